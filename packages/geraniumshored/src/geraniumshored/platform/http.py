"""Calls to the platform and its minions over pooled connections."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httptools

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.internal.sockets import has_input, watch_for_silence
from geraniumshored.node.clock import steady_seconds

__all__ = ["HttpClient", "HttpReply"]

JSON_HEADERS = {"Content-Type": "application/json"}

# A new connection takes one round trip; a lost opening packet comes again after 1 s.
CONNECT_SECONDS = 0.6
# An idle connection may have gone silent unnoticed: use it only for a short time.
IDLE_SECONDS = 4.0
MOST_IDLE = 4
# Ends a connection at once, so that bytes still on their way are dropped.
LINGER_RESET = struct.pack("ii", 1, 0)
READ_BYTES = 65_536
# Answers with a lower status only announce the one that counts.
FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)
SIZING_HEADERS = (b"content-length", b"transfer-encoding")


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole answer."""

    status: int
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the body as a JSON object. Raises UnknownOutcomeError."""
        try:
            document = json.loads(self.body)
        except ValueError as error:
            raise UnknownOutcomeError(f"unreadable answer: {error}") from error
        if not isinstance(document, dict):
            raise UnknownOutcomeError("the answer is no JSON object")
        return document


class _Connection:
    """One HTTP/1.1 connection, for one request at a time.

    An owner of the schedule makes some hundred calls a second, so only what an answer's
    end depends on is looked at of its headers.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self._address = address
        self._socket = socket.create_connection((host, int(port)), CONNECT_SECONDS)
        watch_for_silence(self._socket)
        # Sums up the answer that is being read.
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._sized = False
        self._in_body = False
        self._complete = False
        self._unasked = False
        self._kept_alive = False

    @property
    def reusable(self) -> bool:
        """Whether the last answer leaves the connection open for another request."""
        return self._sized and self._kept_alive and not self._unasked

    def is_quiet(self) -> bool:
        """Tell whether nothing has come since the last answer, not even the end."""
        return not has_input(self._socket)

    def exchange(self, request: bytes, timeout: float) -> HttpReply:
        """Send a request and read its whole answer within ``timeout`` seconds.

        Raises OSError, EOFError or HttpParserError where no whole answer came.
        """
        deadline = time.monotonic() + timeout
        self._socket.settimeout(timeout)
        self._socket.sendall(request)
        self._body = []
        self._sized = self._in_body = self._complete = self._kept_alive = False
        while not self._complete:
            left = deadline - time.monotonic()
            if left <= 0:
                raise TimeoutError("timed out")
            self._socket.settimeout(left)
            data = self._socket.recv(READ_BYTES)
            if data:
                self._parser.feed_data(data)
            elif self._in_body and not self._sized:
                # Without a length, an answer goes on to the end of the stream.
                break
            else:
                raise EOFError("the connection ended before the answer did")
        return HttpReply(self._parser.get_status_code(), b"".join(self._body))

    def close(self) -> None:
        """Close the connection; what is on its way may still arrive."""
        self._socket.close()

    def reset(self) -> None:
        """End the connection at once, so that bytes on their way are dropped."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._socket.close()

    def head(self, method: str, target: str, headers: Mapping[str, str]) -> bytes:
        """Return a request up to its body. Raises ValueError for what has no form.

        Names of minions come from records that anybody may have written.
        """
        lines = (f"{name}: {value}" for name, value in headers.items())
        start = (f"{method} {target} HTTP/1.1", f"Host: {self._address}", *lines)
        if not all(line.isascii() and line.isprintable() for line in start):
            raise ValueError("a line of the request has other than plain characters")
        return "\r\n".join(start).encode() + b"\r\n"

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Note an answer that nothing asked for: the next one would be another's."""
        if self._complete:
            self._unasked = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the answer says where it ends."""
        if name.lower() in SIZING_HEADERS:
            self._sized = True

    def on_headers_complete(self) -> None:
        """Note that the body begins."""
        status = self._parser.get_status_code()
        self._in_body = status >= FIRST_FINAL_STATUS
        if status in BODILESS_STATUSES:
            self._sized = True

    def on_body(self, piece: bytes) -> None:
        """Take in a piece of the body."""
        self._body.append(piece)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._in_body:
            self._complete = True
            self._kept_alive = self._parser.should_keep_alive()


class HttpClient:
    """Sends requests; safe for use by several threads.

    A connection is used again only after a whole answer, and reset after any fault.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[tuple[_Connection, float]]] = defaultdict(
            list
        )
        self.calls = 0
        self.connects = 0

    def request(
        self,
        address: str,
        method: str,
        target: str,
        timeout: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        send_by: float | None = None,
    ) -> HttpReply:
        """Send a request and read its whole answer.

        Nothing is sent after ``send_by``, a time of ``steady_seconds``: connecting may
        take its time, and a process may be suspended at any point. Raises
        PlatformUnavailableError where no byte was sent, UnknownOutcomeError where no
        whole answer came within ``timeout`` seconds.
        """
        self.calls += 1
        connection = self._take(address) or self._connect(address)
        try:
            request = connection.head(method, target, headers or {})
        except ValueError as error:
            connection.close()
            raise PlatformUnavailableError(f"{address}: {error}") from error
        if body is not None:
            request += b"Content-Length: %d\r\n\r\n" % len(body) + body
        else:
            request += b"\r\n"
        if send_by is not None and steady_seconds() >= send_by:
            self._give_back(address, connection)
            raise PlatformUnavailableError(f"{address}: too late to send {target}")
        try:
            reply = connection.exchange(request, timeout)
        except (OSError, EOFError, httptools.HttpParserError) as error:
            connection.reset()
            raise UnknownOutcomeError(
                f"{method} {target} at {address}: {error or type(error).__name__}"
            ) from error
        if connection.reusable:
            self._give_back(address, connection)
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
    ) -> HttpReply:
        """Send a JSON document; raises as ``request`` does."""
        body = json.dumps(document).encode()
        all_headers = {**JSON_HEADERS, **(headers or {})}
        return self.request(address, "POST", path, timeout, body, all_headers, send_by)

    def _connect(self, address: str) -> _Connection:
        self.connects += 1
        try:
            return _Connection(address)
        except (OSError, ValueError) as error:
            raise PlatformUnavailableError(f"{address}: {error}") from error

    def _take(self, address: str) -> _Connection | None:
        while True:
            with self._lock:
                idle = self._idle_by_address[address]
                if not idle:
                    return None
                connection, since = idle.pop()
            if time.monotonic() - since < IDLE_SECONDS and connection.is_quiet():
                return connection
            connection.close()

    def _give_back(self, address: str, connection: _Connection) -> None:
        with self._lock:
            idle = self._idle_by_address[address]
            if len(idle) < MOST_IDLE:
                idle.append((connection, time.monotonic()))
                return
        connection.close()
