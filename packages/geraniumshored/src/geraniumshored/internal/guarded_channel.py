"""Connections of the HTTP library that count what they hold for their client."""

from __future__ import annotations

import contextlib
import fcntl
import json
import socket
import struct
import termios
import threading
import time
from typing import Any

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import WSGITask
from waitress.utilities import BadRequest

from geraniumshored.internal.client_budget import CloseReason, Holder, Phase
from geraniumshored.internal.client_guard import ClientGuard, GuardedConnection

__all__ = ["GuardedChannel"]

# Requests that follow the present one are left unparsed. Beyond this the connection is
# not read until the present one is answered.
MAX_UNPARSED_BYTES = 16_384
# A chunk's size and extensions, and the trailer, which the library does not limit.
MAX_CHUNK_LINE_BYTES = 1_024
MAX_TRAILER_BYTES = 8_192
# A header of a few bytes takes a key, a value and a place in a dictionary.
HEADER_OBJECT_BYTES = 256
# The body, its copy when it is read, and the decoded job, which waits for the store: a
# body of 262,144 bytes with 1,000 steps decodes into 281 KB.
SERVED_BODY_FACTOR = 3
RETRY_AFTER_S = 1
# Parsing a body of chunks of a few bytes takes 1 ms for each 8 KiB; with a declared
# length or in large chunks it takes less than this for the largest body.
ORDINARY_PARSE_S = 0.001
TIMED_OUT = (CloseReason.SILENT, CloseReason.SLOW_HEAD, CloseReason.SLOW_BODY)


class _ClosingTask(WSGITask):
    """Closes the connection after the answer once the server is stopping.

    A caller that keeps its connection open could otherwise send its next request just
    as the process exits, and lose it.
    """

    def build_response_header(self) -> bytes:
        server: Any = self.channel.server
        if server.stopping.is_set():
            self.set_close_on_finish()
        header: bytes = super().build_response_header()
        return header


class GuardedChannel(HTTPChannel, GuardedConnection):
    """Parses one request at a time and reports what is held to the guard."""

    task_class = _ClosingTask
    # The stubs declare the library's list as a sequence.
    requests: list[HTTPRequestParser]

    def __init__(
        self, server: Any, sock: socket.socket, addr: Any, adj: Any, map: Any = None
    ) -> None:
        self.holder = Holder.opened(time.monotonic())
        self._guard: ClientGuard = server.guard
        self._server = server
        self._close_reason: CloseReason | None = None
        self._unparsed = b""
        self._kernel_bytes = 0
        self._serving: HTTPRequestParser | None = None
        self._parse_s = 0.0
        super().__init__(server, sock, addr, adj, map=map)
        self._guard.admit(self)

    @property
    def unanswered(self) -> bool:
        """Whether a request that was read has not been answered completely."""
        return bool(self.requests or self.total_outbufs_len or self._unparsed)

    def readable(self) -> bool:
        """Return whether to read; called by the server's thread in each turn."""
        if self._close_reason is not None and not self.server.accepting:
            # The server has no turns after ``stop_reading``, and reuses no descriptor.
            self.finish_closing()
        if self._close_reason is not None or not self.connected:
            return False
        if (
            self._unparsed
            and not self._is_busy()
            and self._server.may_continue_pipeline()
        ):
            with self.requests_lock:  # type: ignore[attr-defined]
                self._parse()
            self.report()
        # The server accepts nothing any more after ``stop_reading``.
        return bool(
            self.server.accepting
            and len(self._unparsed) < MAX_UNPARSED_BYTES
            and super().readable()
        )

    def handle_read(self) -> None:
        """Read, unless this is a costly request and the turn has had enough of them."""
        costly = self._parse_s > ORDINARY_PARSE_S
        if not (costly and self._server.costly_parsing_ended):
            super().handle_read()

    def writable(self) -> bool:
        """Return whether there is something to send or to close."""
        return bool(
            self._close_reason is None and self.connected and super().writable()
        )

    def handle_write(self) -> None:
        """Send what is possible."""
        unsent = self.total_outbufs_len
        super().handle_write()
        if self.total_outbufs_len != unsent:
            self.holder.moved_at = time.monotonic()
        self.report()

    def received(self, data: bytes) -> bool:
        """Parse what has arrived, up to the end of one request."""
        if not data or self._close_reason is not None:
            return False
        self.holder.moved_at = time.monotonic()
        with self.requests_lock:  # type: ignore[attr-defined]
            if self.will_close or self.close_when_flushed:
                return False
            self._unparsed += data
            self._parse()
        self.report()
        return True

    def service(self) -> None:
        """Answer one request in a thread of the server, if its memory is available."""
        with self.requests_lock:  # type: ignore[attr-defined]
            if not self.requests:
                return
            request = self._serving = self.requests[0]
        body = _body_bytes(request) * SERVED_BODY_FACTOR
        if not self._guard.begin_serving(self, body + _head_bytes(request)):
            # The server's thread closes the connection.
            self._serving = None
            return
        super().service()
        if self.connected:
            self.holder.moved_at = time.monotonic()
            self.report()
        else:
            self._guard.release(self)

    def handle_close(self) -> None:
        """Close the connection and free what it holds.

        A request that is being served holds its memory until it has been.
        """
        super().handle_close()
        # The lock is taken while a connection is found to be closed in ``received``;
        # no request is queued then.
        if self.requests_lock.acquire(blocking=False):  # type: ignore[attr-defined]
            try:
                if self._phase() is Phase.QUEUED:
                    self.requests = []
            finally:
                self.requests_lock.release()  # type: ignore[attr-defined]
        self.request = None
        self._unparsed = b""
        if self._phase() is not Phase.SERVED:
            self._guard.release(self)

    def report(self) -> None:
        """Tell the guard what this connection holds now."""
        phase = self._phase()
        held = len(self._unparsed) + self._kernel_bytes + self.total_outbufs_len
        queued = self.requests[:1]
        for request in (self.request, *queued):
            if request is not None:
                factor = SERVED_BODY_FACTOR if phase is Phase.SERVED else 1
                held += _head_bytes(request) + _body_bytes(request) * factor
        if phase is not self.holder.phase or held != self.holder.held_bytes:
            self._guard.update(self, phase, held)

    def count_kernel_bytes(self) -> None:
        """Count bytes that the kernel holds while the connection is not read."""
        if not self.connected or self._close_reason is not None:
            return
        if self.requests or self.total_outbufs_len:
            with contextlib.suppress(OSError):
                unread = _kernel_count(self._fd(), termios.FIONREAD)
                unsent = _kernel_count(self._fd(), termios.TIOCOUTQ)
                self._kernel_bytes = unread + unsent
        else:
            self._kernel_bytes = 0
        self.report()

    def close_for(self, reason: CloseReason) -> None:
        """Close at the beginning of the server's next turn.

        A descriptor that is closed within a turn could be given to a new connection,
        which would then get the events of the old one.
        """
        self._close_reason = reason
        if threading.get_ident() == self._server.thread_id and not self.requests:
            self.request = None
            self._unparsed = b""
        self._server.close_soon(self)

    def finish_closing(self) -> None:
        """Send a refusal if the request was not served, and close."""
        if self.connected and self._phase() in (Phase.HEAD, Phase.BODY, Phase.QUEUED):
            with contextlib.suppress(OSError):
                self.socket.send(_refusal(self._close_reason))  # type: ignore[union-attr]
        if self.connected:
            self.handle_close()

    def _fd(self) -> int:
        return self.socket.fileno()  # type: ignore[union-attr]

    def _is_busy(self) -> bool:
        return bool(
            self.requests
            or self.total_outbufs_len
            or self.will_close
            or self.close_when_flushed
        )

    def _phase(self) -> Phase:
        queued = self.requests[:1]
        if queued:
            return Phase.SERVED if queued[0] is self._serving else Phase.QUEUED
        if self.total_outbufs_len:
            return Phase.ANSWER
        request = self.request
        if request is None:
            # A connection that is closed for its memory has dropped its request.
            return self.holder.phase if self._close_reason else Phase.IDLE
        return Phase.BODY if request.headers_finished else Phase.HEAD

    def _parse(self) -> None:
        """Parse up to the end of one request; the library parses all that arrived."""
        began = time.thread_time()
        self._parse_request()
        spent = time.thread_time() - began
        # The next request is judged by itself.
        self._parse_s = 0.0 if self.request is None else self._parse_s + spent
        self._server.count_parsing(spent)

    def _parse_request(self) -> None:
        while self._unparsed and not self.requests:
            if self.request is None:
                self.request = self.parser_class(self.adj)
            request = self.request
            consumed = request.received(self._unparsed)
            self._unparsed = self._unparsed[consumed:]
            _limit_framing(request)
            if (
                request.expect_continue
                and request.headers_finished
                and not self.sent_continue
            ):
                self.send_continue()
            if request.completed:
                self._complete(request)
            elif not consumed:
                return

    def _complete(self, request: HTTPRequestParser) -> None:
        self.sent_continue = False
        self.request = None
        if request.empty:
            return
        if request.error is not None:
            self._guard.count_refused(f"HTTP {request.error.code}")
            # The connection ends with the refusal, so what follows is of no use.
            self._unparsed = b""
        self.requests.append(request)
        self.server.add_task(self)  # type: ignore[arg-type]


def _head_bytes(request: HTTPRequestParser) -> int:
    headers = len(request.headers) * HEADER_OBJECT_BYTES
    return len(request.header_plus) + request.header_bytes_received + headers


def _body_bytes(request: HTTPRequestParser) -> int:
    receiver: Any = request.body_rcv
    if receiver is None:
        return 0
    framing = 0
    if request.chunked:
        framing = len(receiver.control_line) + len(receiver.trailer)
    return int(receiver.__len__()) + framing


def _limit_framing(request: HTTPRequestParser) -> None:
    receiver: Any = request.body_rcv
    if not request.chunked or request.completed or receiver is None:
        return
    if (
        len(receiver.control_line) > MAX_CHUNK_LINE_BYTES
        or len(receiver.trailer) > MAX_TRAILER_BYTES
    ):
        request.error = BadRequest("Chunk framing too long")
        request.completed = True


def _kernel_count(descriptor: int, query: int) -> int:
    answer = fcntl.ioctl(descriptor, query, b"\0\0\0\0")
    return int(struct.unpack("i", answer)[0])


def _refusal(reason: CloseReason | None) -> bytes:
    status = "408 Request Timeout" if reason in TIMED_OUT else "503 Service Unavailable"
    detail = "not run" if reason is None else f"not run: {reason.value}"
    body = json.dumps({"detail": detail})
    head = (
        f"HTTP/1.1 {status}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        f"Retry-After: {RETRY_AFTER_S}",
        "Connection: close",
    )
    return "\r\n".join((*head, "", body)).encode()
