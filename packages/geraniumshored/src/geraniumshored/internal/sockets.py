"""Socket options that let the kernel notice a peer that is gone."""

from __future__ import annotations

import select
import socket

__all__ = ["SOCKET_OPTIONS", "watch_for_silence", "has_input"]

IDLE_SECONDS = 2
PROBE_SECONDS = 1
PROBES = 2
UNACKNOWLEDGED_MS = 4_000

# An idle connection is given up after IDLE + PROBES * PROBE seconds without an answer
# to a probe, and a busy one after UNACKNOWLEDGED_MS without an acknowledgement.
SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]


def watch_for_silence(sock: socket.socket) -> None:
    """Let the kernel end a connection whose other end has gone silent."""
    for level, name, value in SOCKET_OPTIONS:
        sock.setsockopt(level, name, value)


def has_input(sock: socket.socket) -> bool:
    """Tell whether a read would return at once: data, or the end of the stream."""
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))
