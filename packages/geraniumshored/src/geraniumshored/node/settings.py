"""What a node is told of itself and of the platform's bounds."""

from __future__ import annotations

from dataclasses import dataclass

from geraniumshore_scheduler import OwnershipTimes

__all__ = ["NodeSettings"]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """One node. All times are in seconds.

    ``leaving_s`` is how long a process may go on after SIGTERM. ``duty_lease_s`` is how
    far orders of two owners to one machine must lie apart. ``processors`` is what the
    host gives this process, in cores.
    """

    node: str
    data_centre: str
    times: OwnershipTimes
    leaving_s: float
    duty_lease_s: float
    status_kept_s: float
    processors: float
