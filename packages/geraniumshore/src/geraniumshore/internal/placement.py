"""Which host a job goes to, by what jobs of its kind were seen to use."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from geraniumshore.internal.items import Host
from geraniumshore.internal.job_records import Sizes

__all__ = [
    "BestFit",
    "FirstFit",
    "MEMORY_MARGIN",
    "HostRoom",
    "Placement",
    "UsageHistory",
    "oversized",
]

REMEMBERED_USES = 16
# Fewer uses than this say too little about a kind of job.
LEAST_USES = 3
MEMORY_MARGIN = 1.15


@dataclass(slots=True)
class UsageHistory:
    """The latest peaks of use of one kind of job: a team's, on a queue."""

    processors: list[float] = field(default_factory=list)
    memory_mb: list[int] = field(default_factory=list)

    def record(self, peak: Sizes) -> None:
        """Take in one job's peak."""
        self.processors.append(peak.processors)
        self.memory_mb.append(peak.memory_mb)
        del self.processors[:-REMEMBERED_USES]
        del self.memory_mb[:-REMEMBERED_USES]

    def expected(self, declared: Sizes) -> Sizes:
        """Return the sizes to expect of the next job.

        Too little memory kills a job, so the highest peak counts; too few processors
        only slow it down, so their mean does.
        """
        if len(self.memory_mb) < LEAST_USES:
            return declared
        return Sizes(
            sum(self.processors) / len(self.processors),
            max(self.memory_mb),
            declared.accelerators,
        )


@dataclass(slots=True)
class HostRoom:
    """What is free on one host."""

    host: str
    processors: float
    memory_mb: int
    accelerators: int
    total: Host

    @classmethod
    def of_empty(cls, name: str, host: Host) -> HostRoom:
        """Return the room of a host that runs nothing."""
        return cls(name, host.processors, host.memory_mb, host.accelerators, host)

    def fits(self, sizes: Sizes) -> bool:
        """Tell whether a job of these sizes has room."""
        return (
            sizes.processors <= self.processors
            and sizes.memory_mb <= self.memory_mb
            and sizes.accelerators <= self.accelerators
        )

    def take(self, sizes: Sizes) -> None:
        """Count a job of these sizes as placed here."""
        self.processors -= sizes.processors
        self.memory_mb -= sizes.memory_mb
        self.accelerators -= sizes.accelerators


class Placement(ABC):
    """Chooses among the hosts that have room."""

    def choose(self, sizes: Sizes, rooms: Iterable[HostRoom]) -> HostRoom | None:
        """Return the host to run a job of ``sizes``, or None where none has room."""
        fitting = [room for room in rooms if room.fits(sizes)]
        return self._choose_fitting(sizes, fitting) if fitting else None

    @abstractmethod
    def _choose_fitting(self, sizes: Sizes, rooms: Sequence[HostRoom]) -> HostRoom:
        """Choose among hosts that all have room; there is at least one."""


class FirstFit(Placement):
    """The baseline: the first host that has room."""

    def _choose_fitting(self, sizes: Sizes, rooms: Sequence[HostRoom]) -> HostRoom:
        return rooms[0]


class BestFit(Placement):
    """The host on which least is left over, so that large jobs find whole hosts.

    Hosts with accelerators are kept for the jobs that need them.
    """

    def _choose_fitting(self, sizes: Sizes, rooms: Sequence[HostRoom]) -> HostRoom:
        return min(rooms, key=lambda room: _leftover(sizes, room))


def oversized(sizes: Sizes, hosts: Iterable[Host]) -> str | None:
    """Say why a job fits no host, even an empty one; None where it fits, or where
    there is no host to compare with.
    """
    all_hosts = list(hosts)
    if not all_hosts:
        return None
    empty = (HostRoom.of_empty("", host) for host in all_hosts)
    if any(room.fits(sizes) for room in empty):
        return None
    faults = "; ".join(_faults(sizes, all_hosts))
    return faults or "no single host of the pool has all that the job needs"


def _faults(sizes: Sizes, hosts: Sequence[Host]) -> Iterator[str]:
    for name, wanted, most in (
        ("processors", sizes.processors, max(host.processors for host in hosts)),
        ("MB of memory", sizes.memory_mb, max(host.memory_mb for host in hosts)),
        ("accelerators", sizes.accelerators, max(host.accelerators for host in hosts)),
    ):
        if wanted > most:
            yield f"needs {wanted:g} {name}, the largest host has {most:g}"


def _leftover(sizes: Sizes, room: HostRoom) -> tuple[int, float, str]:
    accelerators_left_idle = room.accelerators if sizes.accelerators == 0 else 0
    processors = (room.processors - sizes.processors) / room.total.processors
    memory = (room.memory_mb - sizes.memory_mb) / room.total.memory_mb
    return accelerators_left_idle, processors + memory, room.host
