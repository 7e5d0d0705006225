"""Settings of a node, and the platform's time limits."""

from __future__ import annotations

from dataclasses import dataclass

from geraniumshore_scheduler import OwnershipTimes

__all__ = ["NodeSettings"]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node. All times are in seconds.

    ``leaving_s`` is how long a process may run after SIGTERM. ``ownership_lease_s`` is
    the minimum time between orders of two owners to the same machine. ``status_kept_s``
    is how long the status of a completed job is kept. ``processors`` is the number of
    cores that the host gives this process. The store accepts ``append_bytes`` in an
    append and ``record_bytes`` in a record, at most. ``peers`` is the address at which
    this node answers calls that other nodes relay; without one no calls are relayed.
    """

    node: str
    data_centre: str
    times: OwnershipTimes
    leaving_s: float
    ownership_lease_s: float
    status_kept_s: float
    processors: float
    append_bytes: int = 2_097_152
    record_bytes: int = 262_144
    peers: str = ""
