"""HTTP servers with bounded memory that stop without losing answers."""

from __future__ import annotations

import socket
import threading
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.server import BaseWSGIServer, TcpWSGIServer

from geraniumshored.internal.client_budget import ClientTimeouts
from geraniumshored.internal.client_guard import ClientGuard
from geraniumshored.internal.guarded_channel import GuardedChannel
from geraniumshored.internal.http_types import StartResponse, WsgiEnviron
from geraniumshored.internal.sockets import SOCKET_OPTIONS
from geraniumshored.internal.task_dispatcher import OnDemandDispatcher

__all__ = ["create_wsgi_server", "has_unanswered_requests", "stop_reading"]

# The guard limits the number of connections: at its limit the library would accept no
# more, and ordinary callers would wait until a client goes away.
UNLIMITED_CONNECTIONS = 1_000_000
# A head has a path with a job's ID, a host and a key: below 1 KiB.
MAX_HEAD_BYTES = 32_768
# The kernel doubles these figures. What it holds for a connection counts as memory of
# the process on the target machines; 64 KiB still pass 13 Mbit/s with 40 ms of delay.
KERNEL_BUFFER_BYTES = 32_768
# Connections accepted in one turn. Those that they displace are closed in the next one.
MAX_ACCEPTS_PER_TURN = 16
SWEEP_INTERVAL_SECONDS = 1
# The time for requests that are costly to parse in one turn. Without a limit, 400
# clients that sent chunks of 16 bytes delayed an ordinary job by 1.7 s.
MAX_COSTLY_PARSE_S = 0.02
# Requests that were sent before the answer to the one before them, taken up in one
# turn. Without a limit, 2,000 clients that sent 1,000 requests each at once delayed an
# ordinary job by more than 5 s.
MAX_PIPELINED_PER_TURN = 8


class _GuardedServer(TcpWSGIServer):
    """A server whose connections share the budget of the process."""

    channel_class = GuardedChannel
    active_channels: dict[int, GuardedChannel]  # type: ignore[assignment]

    def __init__(
        self,
        application: Any,
        adjustments: Adjustments,
        guard: ClientGuard,
        timeouts: ClientTimeouts,
        stopping: threading.Event,
    ) -> None:
        self.guard = guard
        self.stopping = stopping
        self.thread_id = 0
        self._timeouts = timeouts
        self._parse_s = 0.0
        self._pipelined = 0
        self._closing: deque[GuardedChannel] = deque()
        dispatcher = OnDemandDispatcher(adjustments.threads)
        # With a separate socket map, the servers of one process do not serve each
        # other's connections.
        super().__init__(application, map={}, dispatcher=dispatcher, adj=adjustments)

    def bind_server_socket(self) -> None:
        """Bind the listening socket, from which connections inherit their buffers."""
        listener: Any = self.socket
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
        super().bind_server_socket()

    def run(self) -> None:
        """Serve until the server is closed."""
        self.thread_id = threading.get_ident()
        super().run()

    @property
    def costly_parsing_ended(self) -> bool:
        """Whether costly requests are to wait for the next turn."""
        return self._parse_s > MAX_COSTLY_PARSE_S

    def count_parsing(self, seconds: float) -> None:
        """Add processor time that parsing took in this turn."""
        self._parse_s += seconds

    def may_continue_pipeline(self) -> bool:
        """Return whether one more pipelined request may be taken up in this turn."""
        self._pipelined += 1
        if self._pipelined == MAX_PIPELINED_PER_TURN + 1:
            # The next turn begins at once.
            self.pull_trigger()
        return self._pipelined <= MAX_PIPELINED_PER_TURN

    def close_soon(self, channel: GuardedChannel) -> None:
        """Close a connection in the next turn. Called from any thread."""
        own_thread = threading.get_ident() == self.thread_id
        pending = bool(self._closing)
        self._closing.append(channel)
        # The trigger's pipe blocks when it is full, and only this thread reads it.
        if not (own_thread and pending):
            self.pull_trigger()

    def readable(self) -> bool:
        """Begin a turn: close what was selected, before descriptors are polled."""
        self._parse_s = 0.0
        self._pipelined = 0
        while self._closing:
            self._closing.popleft().finish_closing()
        return super().readable()

    def handle_accept(self) -> None:
        """Accept a few connections, so that a burst does not wait in the kernel."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            before = len(self.active_channels)
            super().handle_accept()
            if len(self.active_channels) == before:
                return

    def maintenance(self, now: int) -> None:
        """Close connections that exceed a time limit."""
        channels = list(self.active_channels.values())
        for channel in channels:
            channel.count_kernel_bytes()
        self.guard.close_overdue(channels, self._timeouts)


def create_wsgi_server(
    application: Callable[[WsgiEnviron, StartResponse], Iterable[bytes]],
    host: str,
    port: int,
    threads: int,
    max_body_bytes: int,
    idle_seconds: int,
    stopping: threading.Event,
    guard: ClientGuard,
) -> BaseWSGIServer:
    """Listen on a port; call ``run`` to serve. Raises OSError if the port is in use.

    Request and answer bodies of up to ``max_body_bytes`` are buffered in memory, within
    the guard's budget. Connections close after their next answer once ``stopping`` is
    set.
    """
    adjustments = Adjustments(
        host=host,
        port=port,
        threads=threads,
        connection_limit=UNLIMITED_CONNECTIONS,
        cleanup_interval=SWEEP_INTERVAL_SECONDS,
        asyncore_use_poll=True,
        max_request_header_size=MAX_HEAD_BYTES,
        max_request_body_size=max_body_bytes,
        inbuf_overflow=max_body_bytes,
        outbuf_overflow=max_body_bytes,
        ident="geraniumshore",
    )
    adjustments.socket_options = SOCKET_OPTIONS
    timeouts = ClientTimeouts(idle_s=float(idle_seconds))
    return _GuardedServer(application, adjustments, guard, timeouts, stopping)


def stop_reading(server: BaseWSGIServer, timeout_s: float) -> None:
    """Refuse further connections and leave further requests unread.

    What was read until then is still answered. Returns when this is in effect, at the
    latest after ``timeout_s``.
    """
    stopped = threading.Event()

    def close_listener() -> None:
        wasyncore.dispatcher.close(server)
        stopped.set()

    # Only the server's own thread may change what it polls. The stubs take the trigger
    # for a number and the channels for a single one.
    server.trigger.pull_trigger(close_listener)  # type: ignore[attr-defined]
    stopped.wait(timeout_s)


def has_unanswered_requests(server: BaseWSGIServer) -> bool:
    """Return whether a request that was read has not been answered completely."""
    channels = list(server.active_channels.values())  # type: ignore[attr-defined]
    return any(channel.unanswered for channel in channels)
