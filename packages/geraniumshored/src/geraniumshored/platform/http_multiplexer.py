"""An HTTP client that carries many calls at once in one thread.

The owner of the schedule polls every minion, and a minion holds a poll open for up to a
second. A thread for each poll reached the limit of threads of a process at some 1,000
minions.
"""

from __future__ import annotations

import errno
import heapq
import itertools
import logging
import os
import selectors
import socket
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from ipaddress import IPv4Address
from queue import Empty, SimpleQueue

import httptools

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.internal.sockets import enable_keepalive, has_pending_input
from geraniumshored.platform.http import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_IDLE_SECONDS,
    READ_BYTES,
    HttpReply,
    ResponseReader,
    encode_request,
    reset_connection,
    split_address,
)

__all__ = ["HttpMultiplexer"]

logger = logging.getLogger(__name__)

# A process has some 4,000 descriptors. With more minions than this, those without work
# are polled on a new connection each time, which leaves room for starts and callers.
MAX_IDLE_CONNECTIONS = 1_000


class _Connection:
    """A non-blocking connection to one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader = ResponseReader()
        self.idle_since = 0.0
        self.connected = False
        # Parsed first, as no socket should be left open for a malformed address.
        host, port = split_address(address)
        # A name would be resolved in the thread that carries all other calls.
        target = str(IPv4Address(host)), port
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.socket.setblocking(False)
            enable_keepalive(self.socket)
            code = self.socket.connect_ex(target)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, os.strerror(code))
        except OSError:
            self.socket.close()
            raise


class _Call:
    """A call that is under way. ``unsent`` is the part of the request to send."""

    def __init__(self, connection: _Connection, request: bytes, what: str) -> None:
        self.connection = connection
        self.unsent = request
        self.what = what
        self.sent_any = False
        self.answer: Future[HttpReply] = Future()


class HttpMultiplexer:
    """Carries out HTTP calls without a thread for each. Thread-safe.

    Outcomes and their types are those of ``HttpClient``. The callbacks of answers run
    in this object's thread and must not block.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        for end in (self._wake_reader, self._wake_writer):
            end.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._requests: SimpleQueue[Callable[[], None]] = SimpleQueue()
        self._numbers = itertools.count()
        # Deadlines of calls: time, a tie breaker, the call, whether it is to connect.
        self._deadlines: list[tuple[float, int, _Call, bool]] = []
        self._idle_by_address: dict[str, list[_Connection]] = defaultdict(list)
        self._idle_count = 0
        self._swept_at = time.monotonic()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None

    def request(
        self,
        address: str,
        method: str,
        target: str,
        timeout: float,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Future[HttpReply]:
        """Send a request; return the future of the complete response.

        It fails with PlatformUnavailableError if nothing was sent, and with
        UnknownOutcomeError if no complete response arrived within ``timeout`` seconds.
        """
        answer: Future[HttpReply] = Future()
        what = f"{method} {target} at {address}"
        try:
            request = encode_request(address, method, target, headers, body)
        except ValueError as error:
            answer.set_exception(PlatformUnavailableError(f"{address}: {error}"))
            return answer
        self._start_thread()
        self._requests.put(lambda: self._begin(address, request, what, timeout, answer))
        self._wake()
        return answer

    def _start_thread(self) -> None:
        with self._lock:
            if self._thread is None:
                thread = threading.Thread(target=self._run, name="polls", daemon=True)
                thread.start()
                self._thread = thread

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"w")
        except BlockingIOError:
            # The thread has not yet read earlier wake-ups.
            return

    def _run(self) -> None:
        while True:
            try:
                self._step()
            except Exception:
                logger.exception("fault while carrying out calls")

    def _step(self) -> None:
        for key, _ in self._selector.select(self._next_deadline_in()):
            if key.fileobj is self._wake_reader:
                self._wake_reader.recv(READ_BYTES)
            else:
                self._advance(key.data)
        # What has arrived is processed before any call is given up.
        self._give_up_overdue()
        self._close_expired()
        while True:
            try:
                begin = self._requests.get_nowait()
            except Empty:
                return
            begin()

    def _next_deadline_in(self) -> float | None:
        while self._deadlines and self._deadlines[0][2].answer.done():
            heapq.heappop(self._deadlines)
        due = [self._deadlines[0][0]] if self._deadlines else []
        if self._idle_count:
            due.append(self._swept_at + MAX_IDLE_SECONDS)
        return max(0.0, min(due) - time.monotonic()) if due else None

    def _give_up_overdue(self) -> None:
        now = time.monotonic()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, call, connecting = heapq.heappop(self._deadlines)
            if call.answer.done() or (connecting and call.connection.connected):
                continue
            self._fail(call, TimeoutError("timed out"))

    def _begin(
        self,
        address: str,
        request: bytes,
        what: str,
        timeout: float,
        answer: Future[HttpReply],
    ) -> None:
        try:
            connection = self._take_idle(address) or _Connection(address)
        except (OSError, ValueError) as error:
            answer.set_exception(PlatformUnavailableError(f"{address}: {error}"))
            return
        call = _Call(connection, request, what)
        call.answer = answer
        connection.reader.begin()
        now = time.monotonic()
        self._add_deadline(now + timeout, call, connecting=False)
        if connection.connected:
            self._selector.register(connection.socket, selectors.EVENT_READ, call)
            self._send(call)
        else:
            self._add_deadline(now + CONNECT_TIMEOUT_SECONDS, call, connecting=True)
            self._selector.register(connection.socket, selectors.EVENT_WRITE, call)

    def _add_deadline(self, at: float, call: _Call, connecting: bool) -> None:
        entry = (at, next(self._numbers), call, connecting)
        heapq.heappush(self._deadlines, entry)

    def _advance(self, call: _Call) -> None:
        connection = call.connection
        try:
            if not connection.connected:
                code = connection.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    raise OSError(code, os.strerror(code))
                connection.connected = True
            if call.unsent:
                self._send(call)
                return
            connection.reader.feed(connection.socket.recv(READ_BYTES))
        except BlockingIOError:
            return
        except (OSError, EOFError, httptools.HttpParserError) as error:
            self._fail(call, error)
            return
        if connection.reader.complete:
            self._finish(call)

    def _send(self, call: _Call) -> None:
        sock = call.connection.socket
        try:
            sent = sock.send(call.unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._fail(call, error)
            return
        call.sent_any = call.sent_any or sent > 0
        call.unsent = call.unsent[sent:]
        events = selectors.EVENT_WRITE if call.unsent else selectors.EVENT_READ
        self._selector.modify(sock, events, call)

    def _finish(self, call: _Call) -> None:
        connection = call.connection
        self._selector.unregister(connection.socket)
        reply = connection.reader.reply()
        if connection.reader.reusable and self._idle_count < MAX_IDLE_CONNECTIONS:
            connection.idle_since = time.monotonic()
            self._idle_by_address[connection.address].append(connection)
            self._idle_count += 1
        else:
            connection.socket.close()
        call.answer.set_result(reply)

    def _fail(self, call: _Call, error: Exception) -> None:
        self._selector.unregister(call.connection.socket)
        reset_connection(call.connection.socket)
        cause = f"{call.what}: {error or type(error).__name__}"
        call.answer.set_exception(
            UnknownOutcomeError(cause)
            if call.sent_any
            else PlatformUnavailableError(cause)
        )

    def _take_idle(self, address: str) -> _Connection | None:
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            self._idle_count -= 1
            fresh = time.monotonic() - connection.idle_since < MAX_IDLE_SECONDS
            if fresh and not has_pending_input(connection.socket):
                return connection
            connection.socket.close()
        self._idle_by_address.pop(address, None)
        return None

    def _close_expired(self) -> None:
        """Close the connections of all addresses that are too old to be reused.

        Many addresses are never polled again: their minions are gone, or belong to
        another owner by now.
        """
        now = time.monotonic()
        if now < self._swept_at + MAX_IDLE_SECONDS:
            return
        self._swept_at = now
        for address, idle in list(self._idle_by_address.items()):
            fresh = [c for c in idle if now - c.idle_since < MAX_IDLE_SECONDS]
            for connection in idle:
                if now - connection.idle_since >= MAX_IDLE_SECONDS:
                    connection.socket.close()
            self._idle_count -= len(idle) - len(fresh)
            if fresh:
                self._idle_by_address[address] = fresh
            else:
                del self._idle_by_address[address]
