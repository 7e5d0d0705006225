"""TCP keepalive options that detect an unreachable peer."""

from __future__ import annotations

import select
import socket

__all__ = ["SOCKET_OPTIONS", "enable_keepalive", "has_pending_input"]

KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
MAX_UNACKNOWLEDGED_MS = 4_000

# An idle connection is closed after KEEPALIVE_IDLE_SECONDS + KEEPALIVE_PROBES *
# KEEPALIVE_INTERVAL_SECONDS without an answer to a probe, and a busy one after
# MAX_UNACKNOWLEDGED_MS without an acknowledgement.
SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]


def enable_keepalive(sock: socket.socket) -> None:
    """Set socket options with which the kernel closes a connection to a dead peer."""
    for level, name, value in SOCKET_OPTIONS:
        sock.setsockopt(level, name, value)


def has_pending_input(sock: socket.socket) -> bool:
    """Return whether a read would not block: data, end of stream, or an error."""
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poll.poll(0))
