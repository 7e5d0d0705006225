"""Chooses hosts for jobs, and predicts job sizes from the usage of earlier jobs."""

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
    "FreeCapacity",
    "Placement",
    "UsageHistory",
    "oversize_reason",
]

USAGE_HISTORY_LENGTH = 16
# With fewer samples than this, the declared sizes are used.
MIN_USAGE_SAMPLES = 3
MEMORY_MARGIN = 1.15


@dataclass(slots=True)
class UsageHistory:
    """The latest peaks of usage of the jobs of one team on one queue."""

    processors: list[float] = field(default_factory=list)
    memory_mb: list[int] = field(default_factory=list)

    def record(self, peak: Sizes) -> None:
        """Record the peak usage of one job."""
        self.processors.append(peak.processors)
        self.memory_mb.append(peak.memory_mb)
        del self.processors[:-USAGE_HISTORY_LENGTH]
        del self.memory_mb[:-USAGE_HISTORY_LENGTH]

    def expected(self, declared: Sizes) -> Sizes:
        """Return the expected sizes of the next job.

        These are the highest peak of memory, because too little kills a job, and the
        mean of processors, because too few only slow it down.
        """
        if len(self.memory_mb) < MIN_USAGE_SAMPLES:
            return declared
        return Sizes(
            sum(self.processors) / len(self.processors),
            max(self.memory_mb),
            declared.accelerators,
        )


@dataclass(slots=True)
class FreeCapacity:
    """The free capacity of one host."""

    host: str
    processors: float
    memory_mb: int
    accelerators: int
    total: Host

    @classmethod
    def of_idle_host(cls, name: str, host: Host) -> FreeCapacity:
        """Return the free capacity of a host that runs nothing."""
        return cls(name, host.processors, host.memory_mb, host.accelerators, host)

    def fits(self, sizes: Sizes) -> bool:
        """Return whether a job of these sizes fits."""
        return (
            sizes.processors <= self.processors
            and sizes.memory_mb <= self.memory_mb
            and sizes.accelerators <= self.accelerators
        )

    def reserve(self, sizes: Sizes) -> None:
        """Subtract a job of these sizes."""
        self.processors -= sizes.processors
        self.memory_mb -= sizes.memory_mb
        self.accelerators -= sizes.accelerators


class Placement(ABC):
    """Chooses a host among those on which a job fits."""

    def choose(
        self, sizes: Sizes, capacities: Iterable[FreeCapacity]
    ) -> FreeCapacity | None:
        """Return the host to run a job of ``sizes``, or None if it fits on none."""
        fitting = [capacity for capacity in capacities if capacity.fits(sizes)]
        return self._choose_fitting(sizes, fitting) if fitting else None

    @abstractmethod
    def _choose_fitting(
        self, sizes: Sizes, capacities: Sequence[FreeCapacity]
    ) -> FreeCapacity:
        """Choose among hosts on which the job fits; there is at least one."""


class FirstFit(Placement):
    """Baseline: the first host on which the job fits."""

    def _choose_fitting(
        self, sizes: Sizes, capacities: Sequence[FreeCapacity]
    ) -> FreeCapacity:
        return capacities[0]


class BestFit(Placement):
    """The host with the least capacity left over, to keep hosts free for large jobs.

    Hosts with accelerators are kept for the jobs that need them.
    """

    def _choose_fitting(
        self, sizes: Sizes, capacities: Sequence[FreeCapacity]
    ) -> FreeCapacity:
        return min(capacities, key=lambda capacity: _leftover(sizes, capacity))


def oversize_reason(sizes: Sizes, hosts: Iterable[Host]) -> str | None:
    """Return why a job fits no host, even an idle one.

    Returns None if it fits one, or if there are no hosts.
    """
    all_hosts = list(hosts)
    if not all_hosts:
        return None
    empty = (FreeCapacity.of_idle_host("", host) for host in all_hosts)
    if any(capacity.fits(sizes) for capacity in empty):
        return None
    exceeded = "; ".join(_exceeded_sizes(sizes, all_hosts))
    return exceeded or "no single host of the pool has all that the job needs"


def _exceeded_sizes(sizes: Sizes, hosts: Sequence[Host]) -> Iterator[str]:
    for name, wanted, largest in (
        ("processors", sizes.processors, max(host.processors for host in hosts)),
        ("MB of memory", sizes.memory_mb, max(host.memory_mb for host in hosts)),
        ("accelerators", sizes.accelerators, max(host.accelerators for host in hosts)),
    ):
        if wanted > largest:
            yield f"needs {wanted:g} {name}, the largest host has {largest:g}"


def _leftover(sizes: Sizes, capacity: FreeCapacity) -> tuple[int, float, str]:
    accelerators_left_idle = capacity.accelerators if sizes.accelerators == 0 else 0
    processors = (capacity.processors - sizes.processors) / capacity.total.processors
    memory = (capacity.memory_mb - sizes.memory_mb) / capacity.total.memory_mb
    return accelerators_left_idle, processors + memory, capacity.host
