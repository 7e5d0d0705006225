"""Connection pool for minions, with keepalive and cautious reuse."""

from __future__ import annotations

import http.client
import threading
import time
from collections import defaultdict
from dataclasses import dataclass

from geraniumshore import Minion
from geraniumshored.internal.sockets import enable_keepalive, has_pending_input

__all__ = ["ConnectionPool", "MinionConnection", "connect", "max_idle_connections"]

CONNECT_TIMEOUT_SECONDS = 1.0
# An idle connection is reused up to this age. The limit is shorter for work that is not
# idempotent, because a request on a connection that the minion has closed meanwhile
# may have an unknown outcome.
MAX_IDLE_SECONDS = 5.0
MAX_IDLE_SECONDS_NOT_IDEMPOTENT = 0.2


@dataclass(slots=True)
class MinionConnection:
    """A connection and the time at which it was last known to work."""

    http: http.client.HTTPConnection
    address: str
    used_at: float
    reused: bool = False

    def close(self) -> None:
        """Close the connection."""
        self.http.close()


def connect(address: str, timeout: float = CONNECT_TIMEOUT_SECONDS) -> MinionConnection:
    """Open a new connection. Raises OSError."""
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.connect()
        enable_keepalive(connection.sock)
    except OSError:
        connection.close()
        raise
    return MinionConnection(connection, address, time.monotonic())


def max_idle_connections(minion: Minion, members: int) -> int:
    """Return how many idle connections to a minion each member may keep.

    The minion's slots limit the connections in use, over all members together. The rest
    of its connections is divided among the members, and half of it is for probes.
    """
    return max(0, minion.connections - minion.slots) // (2 * max(1, members))


class ConnectionPool:
    """Pool of idle connections to all minions. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[MinionConnection]] = defaultdict(list)

    def acquire(self, address: str, idempotent: bool) -> MinionConnection:
        """Return a recently used idle connection, or a new one.

        Raises OSError if no connection can be opened; no byte has been sent then.
        """
        max_idle_seconds = (
            MAX_IDLE_SECONDS if idempotent else MAX_IDLE_SECONDS_NOT_IDEMPOTENT
        )
        while (connection := self._pop(address)) is not None:
            idle = time.monotonic() - connection.used_at
            if idle <= max_idle_seconds and not has_pending_input(connection.http.sock):
                connection.reused = True
                return connection
            connection.close()
        return connect(address)

    def release(self, connection: MinionConnection, max_idle: int) -> None:
        """Return a connection after a complete answer.

        It is closed if ``max_idle`` connections to its minion are idle already.
        """
        connection.used_at = time.monotonic()
        with self._lock:
            idle = self._idle_by_address[connection.address]
            if connection.http.sock is not None and len(idle) < max_idle:
                idle.append(connection)
                return
        connection.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now = time.monotonic()
        with self._lock:
            for address, idle in list(self._idle_by_address.items()):
                for connection in idle:
                    if now - connection.used_at > MAX_IDLE_SECONDS:
                        connection.close()
                kept = [c for c in idle if now - c.used_at <= MAX_IDLE_SECONDS]
                self._idle_by_address[address] = kept

    def _pop(self, address: str) -> MinionConnection | None:
        with self._lock:
            idle = self._idle_by_address[address]
            return idle.pop() if idle else None
