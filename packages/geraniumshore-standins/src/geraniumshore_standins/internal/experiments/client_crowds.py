"""Memory and descriptors of a node under crowds of untrusted clients."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from itertools import product
from typing import Any

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.users_platform import PlatformFleet
from geraniumshore_standins.internal.users_platform.crowd import (
    BytesAfterRefusal,
    ChunkedBody,
    ClientKind,
    Crowd,
    DeclaredBody,
    IdleConnection,
    UnfinishedHead,
    UnreadAnswers,
)

__all__ = ["ClientCrowds"]

# The smallest machine.
MEMORY_MB = 200
MAX_FDS = 4_100
SIZES = (60, 400, 2_000)
MIB = 1024 * 1024
# The largest body that the HTTP server takes, and the operators' largest one.
LEGAL = 4 * MIB - 1024
ACCEPTED = 262_144
STALLED_S = 2.0
TIMEOUT_S = 60.0
KINDS: tuple[ClientKind, ...] = (
    ChunkedBody(65_536, LEGAL - 65_536),
    ChunkedBody(16, MIB),
    ChunkedBody(65_536, 26 * MIB),
    DeclaredBody(64 * MIB, 26 * MIB),
    DeclaredBody(LEGAL, LEGAL),
    DeclaredBody(LEGAL, LEGAL - 1),
    DeclaredBody(ACCEPTED, ACCEPTED),
    DeclaredBody(ACCEPTED, ACCEPTED - 1, piece_bytes=1_000),
    BytesAfterRefusal(26 * MIB),
    UnfinishedHead(240 * 1024),
    UnreadAnswers("/metrics", 1_000),
    IdleConnection(),
)


@register
class ClientCrowds(Experiment):
    """A fresh node for each kind and number of clients."""

    name = "client-crowds"
    purpose = "what a node on the smallest machine holds for untrusted clients"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the peak of memory and descriptors, and an ordinary caller's wait."""
        for kind, size in product(KINDS, SIZES):
            yield from self.measure(kind, size)

    def measure(self, kind: ClientKind, size: int) -> Iterator[Measurement]:
        """Measure one crowd of one kind."""
        with PlatformFleet(memory_mb=MEMORY_MB, max_fds=MAX_FDS) as fleet:
            fleet.start(nodes=1, minions=1)
            node = fleet.node_by_name["n0"]
            with Crowd(node.front, kind, size) as crowd:
                uses = list(crowd.run(node.process.pid, STALLED_S, TIMEOUT_S))
                began = time.monotonic()
                reply = fleet.submit("n0", "0" * 16, _ordinary_job())
                took = time.monotonic() - began
                left = crowd.open
        subject = f"{size} connections"
        yield from (
            Measurement(subject, f"{kind.name}: {name}", float(value), unit)
            for name, value, unit in (
                ("peak", max(use.peak_mb for use in uses), "MB"),
                ("descriptors", max(use.descriptors for use in uses), ""),
                ("left open", left, ""),
                ("ordinary job", reply.status, "status"),
                ("ordinary job after", took, "s"),
            )
        )


def _ordinary_job() -> dict[str, Any]:
    step = {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 50}
    return {"spec": json.dumps({"work_ms": 50}), "phases": [step]}
