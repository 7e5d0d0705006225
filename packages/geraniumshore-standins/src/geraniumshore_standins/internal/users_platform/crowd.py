"""Clients that hold a server's memory and descriptors, all driven by one thread."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import repeat
from pathlib import Path
from typing import Self

__all__ = [
    "BytesAfterRefusal",
    "ChunkedBody",
    "ClientKind",
    "Crowd",
    "DeclaredBody",
    "IdleConnection",
    "ProcessUse",
    "UnfinishedHead",
    "UnreadAnswers",
]

CONNECT_TIMEOUT_S = 5.0
POLL_S = 0.05
READ_BYTES = 65_536
KIB = 1024


class ClientKind(ABC):
    """What one client sends before it stays silent with its connection open."""

    reads_answers = True

    @property
    @abstractmethod
    def name(self) -> str:
        """Name in test ids and tables."""

    @abstractmethod
    def pieces(self) -> Iterator[bytes]:
        """Yield what the client sends, one piece at a time."""


@dataclass(frozen=True, slots=True)
class ChunkedBody(ClientKind):
    """A chunked body of ``size`` bytes on the wire that does not end."""

    chunk_bytes: int
    size: int

    @property
    def name(self) -> str:
        """Name in test ids and tables."""
        return f"chunks of {self.chunk_bytes} bytes, {self.size // KIB} KiB"

    def pieces(self) -> Iterator[bytes]:
        """Yield the head and the chunks, several small ones at once."""
        yield _post("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%b\r\n" % (self.chunk_bytes, b"x" * self.chunk_bytes)
        together = max(1, READ_BYTES // len(chunk))
        yield from repeat(chunk * together, self.size // (len(chunk) * together))


@dataclass(frozen=True, slots=True)
class DeclaredBody(ClientKind):
    """A body of which ``sent`` of the ``declared`` bytes are sent, piece by piece."""

    declared: int
    sent: int
    piece_bytes: int = READ_BYTES

    @property
    def name(self) -> str:
        """Name in test ids and tables."""
        return f"{self.sent} of {self.declared} bytes in pieces of {self.piece_bytes}"

    def pieces(self) -> Iterator[bytes]:
        """Yield the head and the body."""
        yield _post(f"Content-Length: {self.declared}")
        whole, rest = divmod(self.sent, self.piece_bytes)
        yield from repeat(b"x" * self.piece_bytes, whole)
        yield b"x" * rest


@dataclass(frozen=True, slots=True)
class UnfinishedHead(ClientKind):
    """A head of ``size`` bytes without its end."""

    size: int

    @property
    def name(self) -> str:
        """Name in test ids and tables."""
        return f"heads without an end, {self.size // KIB} KiB"

    def pieces(self) -> Iterator[bytes]:
        """Yield the request line and headers."""
        yield b"GET / HTTP/1.1\r\nHost: h\r\n"
        line = b"X-Header: " + b"x" * 1_012 + b"\r\n"
        yield from repeat(line, self.size // len(line))


@dataclass(frozen=True, slots=True)
class BytesAfterRefusal(ClientKind):
    """``size`` bytes after a request that is refused as malformed."""

    size: int

    @property
    def name(self) -> str:
        """Name in test ids and tables."""
        return f"{self.size // KIB} KiB after a refusal"

    def pieces(self) -> Iterator[bytes]:
        """Yield the malformed head and what follows it."""
        yield b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"
        yield from repeat(b"x" * READ_BYTES, self.size // READ_BYTES)


@dataclass(frozen=True, slots=True)
class UnreadAnswers(ClientKind):
    """Requests for ``path``, all sent at once, whose answers are not read."""

    path: str
    requests: int

    reads_answers = False

    @property
    def name(self) -> str:
        """Name in test ids and tables."""
        return f"{self.requests} unread answers of {self.path}"

    def pieces(self) -> Iterator[bytes]:
        """Yield all requests at once."""
        yield f"GET {self.path} HTTP/1.1\r\n\r\n".encode() * self.requests


@dataclass(frozen=True, slots=True)
class IdleConnection(ClientKind):
    """A connection without a request."""

    @property
    def name(self) -> str:
        """Name in test ids and tables."""
        return "connections without a request"

    def pieces(self) -> Iterator[bytes]:
        """Yield nothing."""
        yield from ()


@dataclass(frozen=True, slots=True)
class ProcessUse:
    """Peak resident memory and the open descriptors of a process."""

    peak_mb: float
    descriptors: int

    @classmethod
    def of(cls, pid: int) -> Self:
        """Return what the process uses. Raises OSError if it has ended."""
        folder = Path(f"/proc/{pid}")
        fields = dict(
            line.split(":", 1)
            for line in (folder / "status").read_text().splitlines()
            if ":" in line
        )
        peak_kb = int(fields["VmHWM"].split()[0])
        return cls(peak_kb / KIB, len(list((folder / "fd").iterdir())))


class _Client:
    """One connection and what it has still to send."""

    def __init__(self, kind: ClientKind, sock: socket.socket) -> None:
        self.socket = sock
        self._reads = kind.reads_answers
        self._pieces = kind.pieces()
        self._unsent = memoryview(b"")
        self.finished = False
        self.closed = False
        self.answer = b""

    @property
    def events(self) -> int:
        """Selector events that the client waits for."""
        reading = selectors.EVENT_READ if self._reads else 0
        return reading | (0 if self.finished else selectors.EVENT_WRITE)

    def advance(self, events: int) -> None:
        """Send and read what is possible without waiting."""
        try:
            if events & selectors.EVENT_READ:
                data = self.socket.recv(READ_BYTES)
                self.closed = not data
                self.answer = self.answer or data[:64]
            if events & selectors.EVENT_WRITE and not self.closed:
                self._send()
        except BlockingIOError:
            return
        except OSError:
            self.closed = True

    def _send(self) -> None:
        if not self._unsent:
            piece = next(self._pieces, None)
            if piece is None:
                self.finished = True
                return
            self._unsent = memoryview(piece)
        self._unsent = self._unsent[self.socket.send(self._unsent) :]


class Crowd:
    """Connections of one kind to one server. They stay open until ``close``."""

    def __init__(self, address: str, kind: ClientKind, connections: int) -> None:
        self._address = address
        self._kind = kind
        self._connections = connections
        self._clients: list[_Client] = []
        self.unconnected = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def open(self) -> int:
        """Connections that the server has not closed."""
        return sum(not client.closed for client in self._clients)

    @property
    def answered(self) -> int:
        """Connections on which the server has answered something."""
        return sum(bool(client.answer) for client in self._clients)

    def run(self, pid: int, stalled_s: float, timeout_s: float) -> Iterator[ProcessUse]:
        """Connect and send; yield what the process uses meanwhile.

        Ends when nothing could be sent or read for ``stalled_s``, or after
        ``timeout_s``.
        """
        began = moved_at = sampled_at = time.monotonic()
        waiting = deque(range(self._connections))
        with selectors.DefaultSelector() as selector:
            while True:
                now = time.monotonic()
                if now - moved_at > stalled_s or now - began > timeout_s:
                    break
                if waiting:
                    waiting.popleft()
                    self._connect(selector)
                    moved_at = now
                for key, events in selector.select(0 if waiting else POLL_S):
                    moved_at = now
                    self._advance(selector, key.data, events)
                if now - sampled_at > POLL_S:
                    sampled_at = now
                    yield ProcessUse.of(pid)
        yield ProcessUse.of(pid)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.socket.close()

    def _connect(self, selector: selectors.BaseSelector) -> None:
        host, _, port = self._address.partition(":")
        try:
            sock = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
        except OSError:
            self.unconnected += 1
            return
        sock.setblocking(False)
        client = _Client(self._kind, sock)
        self._clients.append(client)
        if client.events:
            selector.register(sock, client.events, client)

    @staticmethod
    def _advance(
        selector: selectors.BaseSelector, client: _Client, events: int
    ) -> None:
        client.advance(events)
        if client.closed or not client.events:
            with contextlib.suppress(KeyError):
                selector.unregister(client.socket)
        else:
            selector.modify(client.socket, client.events, client)


def _post(framing: str) -> bytes:
    head = (
        "POST /jobs/00000000000000ff HTTP/1.1",
        "Host: queues.example",
        "Authorization: Bearer key-of-team",
        framing,
    )
    return "\r\n".join((*head, "", "")).encode()
