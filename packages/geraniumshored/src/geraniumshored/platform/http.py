"""An HTTP/1.1 client with connection pooling for the platform and its minions."""

from __future__ import annotations

import json
import re
import socket
import struct
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httptools

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.internal.sockets import enable_keepalive, has_pending_input
from geraniumshored.node.clock import steady_seconds

__all__ = [
    "HttpClient",
    "HttpReply",
    "ResponseReader",
    "encode_request",
    "reset_connection",
    "split_address",
]

JSON_HEADERS = {"Content-Type": "application/json"}

# Connecting takes one round trip. A lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_SECONDS = 0.6
# The peer of an idle connection may have vanished without closing it, so idle
# connections are reused only for a short time.
MAX_IDLE_SECONDS = 4.0
MAX_IDLE_PER_ADDRESS = 4
# Of some 4,000 descriptors of a process. The owner of 3,004 minions sends orders to
# most of them within seconds.
MAX_IDLE_CONNECTIONS = 1_000
# SO_LINGER with a zero timeout: closing sends RST and discards unsent data.
LINGER_RESET = struct.pack("ii", 1, 0)
# Below the size from which freed blocks are returned to the system, which costs time.
READ_BYTES = 32_768
# Responses with a lower status (1xx) are interim; the final response follows.
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# A name or an IPv4 address, and a port.
ADDRESS = re.compile(r"([A-Za-z0-9._-]{1,253}):([0-9]{1,5})", re.ASCII)
MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``. Raises ValueError if nothing can listen there.

    The resolver would truncate a port beyond 16 bits, and so name another one.
    """
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        raise ValueError(f"{address[:80]!r} is no host and port")
    return match[1], int(match[2])


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete HTTP response."""

    status: int
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the body as a JSON object. Raises UnknownOutcomeError."""
        try:
            document = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise UnknownOutcomeError(f"response is not valid JSON: {error}") from error
        if not isinstance(document, dict):
            raise UnknownOutcomeError("response is not a JSON object")
        return document


class ResponseReader:
    """Assembles the responses that arrive on one connection.

    The owner of the schedule makes some hundred calls per second, so of the response
    headers only those that determine the end of the message are inspected.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._length_known = False
        self._in_body = False
        self._unsolicited = False
        self._kept_alive = False
        self.complete = False

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request after the last response."""
        return self._length_known and self._kept_alive and not self._unsolicited

    def begin(self) -> None:
        """Expect the response to the next request."""
        self._body = []
        self._length_known = self._in_body = self._kept_alive = self.complete = False

    def feed(self, data: bytes) -> None:
        """Process bytes that have arrived; none mean that the peer has closed.

        Raises EOFError or HttpParserError if no complete response can follow.
        """
        if data:
            self._parser.feed_data(data)
        elif self._in_body and not self._length_known:
            # A response without a length ends when the peer closes the connection.
            self.complete = True
        else:
            raise EOFError("connection closed before the response was complete")

    def reply(self) -> HttpReply:
        """Return the complete response."""
        return HttpReply(self._parser.get_status_code(), b"".join(self._body))

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Detect an unsolicited response.

        Its connection is not reused: the next request could get the response to another
        one.
        """
        if self.complete:
            self._unsolicited = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Detect headers that determine the length of the body."""
        if name.lower() in FRAMING_HEADERS:
            self._length_known = True

    def on_headers_complete(self) -> None:
        """Detect the start of the final response's body."""
        status = self._parser.get_status_code()
        self._in_body = status >= FIRST_FINAL_STATUS
        if status in BODILESS_STATUSES:
            self._length_known = True

    def on_body(self, piece: bytes) -> None:
        """Append a part of the body."""
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Mark the response as complete unless it was an interim one."""
        if self._in_body:
            self.complete = True
            self._kept_alive = self._parser.should_keep_alive()


def encode_request(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes | None,
) -> bytes:
    """Encode a request.

    Raises ValueError for characters that are not printable ASCII. Minion ids come from
    records that any client of the store may have written, so they could contain line
    breaks that inject headers.
    """
    lines = (f"{name}: {value}" for name, value in headers.items())
    start = (f"{method} {target} HTTP/1.1", f"Host: {address}", *lines)
    if not all(line.isascii() and line.isprintable() for line in start):
        raise ValueError(
            "request line or header contains characters other than printable ASCII"
        )
    head = "\r\n".join(start).encode() + b"\r\n"
    if body is None:
        return head + b"\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def reset_connection(sock: socket.socket) -> None:
    """Abort a connection with RST, which discards unsent data."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


class _Connection:
    """An HTTP/1.1 connection that carries one request at a time."""

    def __init__(self, address: str) -> None:
        self._socket = socket.create_connection(
            split_address(address), CONNECT_TIMEOUT_SECONDS
        )
        enable_keepalive(self._socket)
        self._reader = ResponseReader()

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request after the last response."""
        return self._reader.reusable

    def input_is_empty(self) -> bool:
        """Return whether neither data nor EOF has arrived since the last response."""
        return not has_pending_input(self._socket)

    def exchange(
        self, request: bytes, timeout: float, idle_timeout: float | None = None
    ) -> HttpReply:
        """Send a request and read the complete response within ``timeout`` seconds.

        With ``idle_timeout`` each wait for further bytes takes no longer than that.
        Raises OSError, EOFError or HttpParserError if no complete response arrived.
        """
        deadline = time.monotonic() + timeout
        max_wait = timeout if idle_timeout is None else min(timeout, idle_timeout)
        self._socket.settimeout(max_wait)
        self._socket.sendall(request)
        self._reader.begin()
        while not self._reader.complete:
            left = deadline - time.monotonic()
            if left <= 0:
                raise TimeoutError("timed out")
            self._socket.settimeout(min(left, max_wait))
            self._reader.feed(self._socket.recv(READ_BYTES))
        return self._reader.reply()

    def close(self) -> None:
        """Close the connection. Data already sent may still be delivered."""
        self._socket.close()

    def reset(self) -> None:
        """Abort the connection with RST, which discards unsent data."""
        reset_connection(self._socket)


class HttpClient:
    """A thread-safe client that pools connections by address.

    A connection is reused only after a complete response and is reset after any error.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[tuple[_Connection, float]]] = {}
        self._idle_count = 0
        self._swept_at = time.monotonic()
        self.calls = 0
        self.connections_opened = 0

    def request(
        self,
        address: str,
        method: str,
        target: str,
        timeout: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        send_by: float | None = None,
        idle_timeout: float | None = None,
    ) -> HttpReply:
        """Send a request and return the complete response.

        With ``idle_timeout`` the response is also abandoned when no byte has arrived
        for that long, so that ``timeout`` can be long enough for a slow link. Nothing
        is sent after ``send_by``, a time of ``steady_seconds``: connecting may be slow,
        and the process may be suspended at any point. Raises PlatformUnavailableError
        if nothing was sent, UnknownOutcomeError if no complete response arrived.
        """
        self.calls += 1
        connection = self._take_idle(address) or self._connect(address)
        try:
            request = encode_request(address, method, target, headers or {}, body)
        except ValueError as error:
            connection.close()
            raise PlatformUnavailableError(f"{address}: {error}") from error
        if send_by is not None and steady_seconds() >= send_by:
            self._return_idle(address, connection)
            raise PlatformUnavailableError(f"{address}: too late to send {target}")
        try:
            reply = connection.exchange(request, timeout, idle_timeout)
        except (OSError, EOFError, httptools.HttpParserError) as error:
            connection.reset()
            raise UnknownOutcomeError(
                f"{method} {target} at {address}: {error or type(error).__name__}"
            ) from error
        if connection.reusable:
            self._return_idle(address, connection)
        else:
            connection.close()
        return reply

    def post_json(
        self,
        address: str,
        path: str,
        document: object,
        timeout: float,
        headers: Mapping[str, str] | None = None,
        send_by: float | None = None,
        idle_timeout: float | None = None,
    ) -> HttpReply:
        """Send a JSON document by POST. Raises the same errors as ``request``."""
        body = json.dumps(document).encode()
        all_headers = {**JSON_HEADERS, **(headers or {})}
        return self.request(
            address, "POST", path, timeout, body, all_headers, send_by, idle_timeout
        )

    def _connect(self, address: str) -> _Connection:
        self.connections_opened += 1
        try:
            return _Connection(address)
        except (OSError, ValueError) as error:
            raise PlatformUnavailableError(f"{address}: {error}") from error

    def _take_idle(self, address: str) -> _Connection | None:
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                if not idle:
                    return None
                connection, since = idle.pop()
                self._idle_count -= 1
                if not idle:
                    del self._idle_by_address[address]
            if (
                time.monotonic() - since < MAX_IDLE_SECONDS
                and connection.input_is_empty()
            ):
                return connection
            connection.close()

    def _return_idle(self, address: str, connection: _Connection) -> None:
        now = time.monotonic()
        with self._lock:
            closing = self._take_expired(now)
            # Addresses are kept in the order of their last use.
            idle = self._idle_by_address.pop(address, [])
            if len(idle) < MAX_IDLE_PER_ADDRESS:
                idle.append((connection, now))
                self._idle_count += 1
            else:
                closing.append(connection)
            self._idle_by_address[address] = idle
            if self._idle_count > MAX_IDLE_CONNECTIONS:
                closing.append(self._take_least_used())
        for closed in closing:
            closed.close()

    def _take_least_used(self) -> _Connection:
        """Remove a connection to the address that was not called for longest."""
        address, idle = next(iter(self._idle_by_address.items()))
        connection, _ = idle.pop(0)
        if not idle:
            del self._idle_by_address[address]
        self._idle_count -= 1
        return connection

    def _take_expired(self, now: float) -> list[_Connection]:
        """Remove the connections of all addresses that are too old to be reused.

        Many addresses are never called again: their minions are gone, or belong to
        another owner by now.
        """
        if now < self._swept_at + MAX_IDLE_SECONDS:
            return []
        self._swept_at = now
        expired: list[_Connection] = []
        for address, idle in list(self._idle_by_address.items()):
            expired.extend(c for c, since in idle if now - since >= MAX_IDLE_SECONDS)
            idle[:] = [kept for kept in idle if now - kept[1] < MAX_IDLE_SECONDS]
            if not idle:
                del self._idle_by_address[address]
        self._idle_count -= len(expired)
        return expired
