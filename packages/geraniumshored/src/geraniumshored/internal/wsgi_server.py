"""HTTP servers that close each connection after its next answer during shutdown."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import BaseWSGIServer, create_server
from waitress.task import WSGITask

from geraniumshored.internal.http_types import StartResponse, WsgiEnviron
from geraniumshored.internal.sockets import SOCKET_OPTIONS

__all__ = ["create_wsgi_server", "has_unanswered_requests", "stop_reading"]

MAX_CONNECTIONS = 2_000


def create_wsgi_server(
    application: Callable[[WsgiEnviron, StartResponse], Iterable[bytes]],
    host: str,
    port: int,
    threads: int,
    max_body_bytes: int,
    idle_seconds: int,
    stopping: threading.Event,
) -> BaseWSGIServer:
    """Listen on a port; call ``run`` to serve. Raises OSError if the port is in use.

    Request and answer bodies of up to ``max_body_bytes`` are buffered in memory.
    """
    server = create_server(
        application,
        host=host,
        port=port,
        threads=threads,
        channel_timeout=idle_seconds,
        connection_limit=MAX_CONNECTIONS,
        asyncore_use_poll=True,
        max_request_body_size=max_body_bytes,
        inbuf_overflow=max_body_bytes,
        outbuf_overflow=max_body_bytes,
        ident="geraniumshore",
        # With a separate socket map, the servers of one process do not serve each
        # other's connections.
        map={},
    )
    # A single address results in a single socket.
    assert isinstance(server, BaseWSGIServer)
    server.adj.socket_options = SOCKET_OPTIONS
    server.channel_class = _closing_channel(stopping)
    return server


def _closing_channel(stopping: threading.Event) -> type[HTTPChannel]:
    """Return a channel class that closes connections once ``stopping`` is set.

    A caller that keeps its connection open could otherwise send its next request just
    as the process exits, and lose it.
    """

    class ClosingTask(WSGITask):
        def build_response_header(self) -> bytes:
            if stopping.is_set():
                self.set_close_on_finish()
            header: bytes = super().build_response_header()
            return header

    class ClosingChannel(HTTPChannel):
        task_class = ClosingTask

        def readable(self) -> bool:
            # The server accepts nothing any more after ``stop_reading``.
            return bool(self.server.accepting and super().readable())

    return ClosingChannel


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
    return any(channel.requests or channel.total_outbufs_len for channel in channels)
