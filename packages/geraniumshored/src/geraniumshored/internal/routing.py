"""Relays batches for an unreachable member through another member.

Two members may be unable to connect to each other while both can connect to a third.
A batch that cannot be sent directly is then sent to the third member, which forwards
it unchanged and returns the answer. A batch is relayed at most once, so relays cannot
form a loop.
"""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import grpc

from geraniumshored.internal import peer_pb2

__all__ = ["DIRECT_RETRY_SECONDS", "RELAY_METADATA", "RelayRoutes", "Route", "is_relay"]

# After a direct exchange fails and a relay succeeds, batches are relayed for this time
# before the direct connection is tried again.
DIRECT_RETRY_SECONDS = 2.0
RELAY_METADATA = (("geraniumshore-relay", "1"),)


class Route(ABC):
    """A connection to one member."""

    healthy: bool
    member: str

    @abstractmethod
    def call(self, batch: peer_pb2.Batch, relay: bool = False) -> peer_pb2.Batch:
        """Exchange a batch. Raises grpc.RpcError."""


class RelayRoutes:
    """Relays batches through the reachable members in turn."""

    def __init__(self, routes: Callable[[], Sequence[Route]]) -> None:
        self._routes = routes
        self._relay_counter = itertools.count()

    def exchange(self, batch: peer_pb2.Batch) -> peer_pb2.Batch | None:
        """Relay a batch and return its answer, or None if that failed."""
        relays = [
            route
            for route in self._routes()
            if route.healthy and route.member != batch.recipient
        ]
        if not relays:
            return None
        try:
            return relays[next(self._relay_counter) % len(relays)].call(
                batch, relay=True
            )
        except grpc.RpcError:
            return None


def is_relay(context: grpc.ServicerContext) -> bool:
    """Return whether the caller asks for its batch to be forwarded."""
    return any(key == RELAY_METADATA[0][0] for key, _ in context.invocation_metadata())
