"""Connections to minions: watched sockets, reused only where nothing is in doubt."""

from __future__ import annotations

import http.client
import threading
import time
from collections import defaultdict
from dataclasses import dataclass

from geraniumshore import Minion
from geraniumshored.internal.sockets import has_input, watch_for_silence

__all__ = ["ConnectionPool", "MinionConnection", "connect", "idle_budget"]

CONNECT_SECONDS = 1.0
# An idle connection is reused for idempotent work for this time, and for other work
# only where it was used moments ago.
IDLE_SECONDS = 5.0
MOMENTS_SECONDS = 0.2


@dataclass(slots=True)
class MinionConnection:
    """One connection, and when it was last known to work."""

    http: http.client.HTTPConnection
    address: str
    used_at: float
    reused: bool = False

    def close(self) -> None:
        """Close it."""
        self.http.close()


def connect(address: str, timeout: float = CONNECT_SECONDS) -> MinionConnection:
    """Open a fresh connection. Raises OSError."""
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.connect()
        watch_for_silence(connection.sock)
    except OSError:
        connection.close()
        raise
    return MinionConnection(connection, address, time.monotonic())


def idle_budget(minion: Minion, members: int) -> int:
    """Return how many idle connections to a minion one of the members may keep.

    Slots bound the connections that are in use, on all members together. What remains
    of the minion's connections is divided over the members, half of it for probes.
    """
    return max(0, minion.connections - minion.slots) // (2 * max(1, members))


class ConnectionPool:
    """Idle connections to all minions. Safe for use by several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, list[MinionConnection]] = defaultdict(list)

    def take(self, address: str, idempotent: bool) -> MinionConnection:
        """Return an idle connection that is good enough, or a fresh one.

        Raises OSError where no connection can be opened; no byte was sent then.
        """
        longest_idle = IDLE_SECONDS if idempotent else MOMENTS_SECONDS
        while (connection := self._pop(address)) is not None:
            idle = time.monotonic() - connection.used_at
            if idle <= longest_idle and not has_input(connection.http.sock):
                connection.reused = True
                return connection
            connection.close()
        return connect(address)

    def give_back(self, connection: MinionConnection, budget: int) -> None:
        """Keep a connection that gave a whole answer, if the budget allows."""
        connection.used_at = time.monotonic()
        with self._lock:
            idle = self._idle_by_address[connection.address]
            if connection.http.sock is not None and len(idle) < budget:
                idle.append(connection)
                return
        connection.close()

    def close_idle(self) -> None:
        """Close what has been idle for too long."""
        now = time.monotonic()
        with self._lock:
            for address, idle in list(self._idle_by_address.items()):
                for connection in idle:
                    if now - connection.used_at > IDLE_SECONDS:
                        connection.close()
                kept = [c for c in idle if now - c.used_at <= IDLE_SECONDS]
                self._idle_by_address[address] = kept

    def _pop(self, address: str) -> MinionConnection | None:
        with self._lock:
            idle = self._idle_by_address[address]
            return idle.pop() if idle else None
