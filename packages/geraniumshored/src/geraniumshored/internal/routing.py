"""One-hop relay: batches for a member that cannot be reached go through another one.

Two members may be unable to reach each other while both reach a third. A batch that
failed is then handed to that one, which passes it on as it is and brings the answer
back. A batch is relayed once at most, so it cannot circle.
"""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

import grpc

from geraniumshored.internal import peer_pb2

__all__ = ["DIRECT_RETRY_SECONDS", "RELAY_METADATA", "RelayRoutes", "Route", "is_relay"]

# A path that failed is tried again after this time; relays are used until then.
DIRECT_RETRY_SECONDS = 2.0
RELAY_METADATA = (("geraniumshore-relay", "1"),)


class Route(ABC):
    """A way to one member."""

    healthy: bool
    member: str

    @abstractmethod
    def call(self, batch: peer_pb2.Batch, relay: bool = False) -> peer_pb2.Batch:
        """Exchange a batch. Raises grpc.RpcError."""


class RelayRoutes:
    """Finds a member that passes a batch on; another one each time."""

    def __init__(self, routes: Callable[[], Sequence[Route]]) -> None:
        self._routes = routes
        self._turn = itertools.count()

    def exchange(self, batch: peer_pb2.Batch) -> peer_pb2.Batch | None:
        """Return the answer that a relay brought, or None."""
        relays = [
            route
            for route in self._routes()
            if route.healthy and route.member != batch.recipient
        ]
        if not relays:
            return None
        try:
            return relays[next(self._turn) % len(relays)].call(batch, relay=True)
        except grpc.RpcError:
            return None


def is_relay(context: grpc.ServicerContext) -> bool:
    """Tell whether the caller asks to pass its batch on."""
    return any(key == RELAY_METADATA[0][0] for key, _ in context.invocation_metadata())
