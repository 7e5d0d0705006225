"""Calls to the platform and its minions over pooled connections."""

from __future__ import annotations

import http.client
import json
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.internal.sockets import has_input, watch_for_silence

__all__ = ["HttpClient", "HttpReply"]

JSON_HEADERS = {"Content-Type": "application/json"}

# A new connection takes one round trip; a lost opening packet comes again after 1 s.
CONNECT_SECONDS = 0.6
# An idle connection may have gone silent unnoticed: use it only for a short time.
IDLE_SECONDS = 4.0
MOST_IDLE = 4
# Ends a connection at once, so that bytes still on their way are dropped.
LINGER_RESET = struct.pack("ii", 1, 0)


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


class HttpClient:
    """Sends requests; safe for use by several threads.

    A connection is used again only after a whole answer, and reset after any fault.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[
            str, list[tuple[http.client.HTTPConnection, float]]
        ] = defaultdict(list)
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
    ) -> HttpReply:
        """Send a request and read its whole answer.

        Raises PlatformUnavailableError where no byte was sent, UnknownOutcomeError
        where no whole answer came within ``timeout`` seconds.
        """
        self.calls += 1
        connection = self._take(address) or self._connect(address)
        try:
            assert connection.sock is not None
            connection.sock.settimeout(timeout)
            connection.request(method, target, body, dict(headers or {}))
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            _reset(connection)
            raise UnknownOutcomeError(
                f"{method} {target} at {address}: {error or type(error).__name__}"
            ) from error
        if response.will_close:
            connection.close()
        else:
            self._give_back(address, connection)
        return HttpReply(response.status, data)

    def post_json(
        self,
        address: str,
        path: str,
        document: object,
        timeout: float,
        headers: Mapping[str, str] | None = None,
    ) -> HttpReply:
        """Send a JSON document; raises as ``request`` does."""
        body = json.dumps(document).encode()
        return self.request(
            address, "POST", path, timeout, body, {**JSON_HEADERS, **(headers or {})}
        )

    def _connect(self, address: str) -> http.client.HTTPConnection:
        host, _, port = address.partition(":")
        self.connects += 1
        connection = http.client.HTTPConnection(
            host, int(port), timeout=CONNECT_SECONDS
        )
        try:
            connection.connect()
            watch_for_silence(connection.sock)
        except OSError as error:
            connection.close()
            raise PlatformUnavailableError(f"{address}: {error}") from error
        return connection

    def _take(self, address: str) -> http.client.HTTPConnection | None:
        while True:
            with self._lock:
                idle = self._idle_by_address[address]
                if not idle:
                    return None
                connection, since = idle.pop()
            fresh = time.monotonic() - since < IDLE_SECONDS
            if fresh and connection.sock is not None and not has_input(connection.sock):
                return connection
            connection.close()

    def _give_back(self, address: str, connection: http.client.HTTPConnection) -> None:
        with self._lock:
            idle = self._idle_by_address[address]
            if len(idle) < MOST_IDLE:
                idle.append((connection, time.monotonic()))
                return
        connection.close()


def _reset(connection: http.client.HTTPConnection) -> None:
    if connection.sock is not None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    connection.close()
