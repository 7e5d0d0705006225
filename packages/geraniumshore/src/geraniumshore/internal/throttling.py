"""Keeps urgent jobs at full speed on hosts that lack processors."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from geraniumshore.internal.items import Host
from geraniumshore.internal.jobs import Job
from geraniumshore.internal.platform_tasks import TaskReport

__all__ = ["TaskThrottle", "throttles_due"]

LEAST_FRACTION = 0.1
STEPS = 10
UNBOUND = 1.0


@dataclass(frozen=True, slots=True)
class TaskThrottle:
    """Bounds a task to a fraction of its processors."""

    task: str
    fraction: float


def throttles_due(
    jobs: Iterable[Job],
    report_by_task: Mapping[str, TaskReport],
    hosts: Mapping[str, Host],
) -> Iterator[TaskThrottle]:
    """Yield the tasks whose bound, as last reported, is not what it should be.

    Deferrable jobs share what urgent ones leave; a host without urgent jobs bounds
    nothing.
    """
    jobs_by_host: dict[str, list[Job]] = {}
    for job in jobs:
        jobs_by_host.setdefault(job.host, []).append(job)
    for host, present in jobs_by_host.items():
        total = hosts[host].processors if host in hosts else 0.0
        fraction = _deferrable_fraction(present, report_by_task, total)
        for job in present:
            wanted = UNBOUND if job.urgent else fraction
            if report_by_task[job.task].throttle != wanted:
                yield TaskThrottle(job.task, wanted)


def _deferrable_fraction(
    jobs: Iterable[Job], report_by_task: Mapping[str, TaskReport], total: float
) -> float:
    used = {True: 0.0, False: 0.0}
    for job in jobs:
        usage = report_by_task[job.task].usage
        used[job.urgent] += usage.processors if usage is not None else 0.0
    if not (used[True] and used[False]) or used[True] + used[False] <= total:
        return UNBOUND
    steps = int(STEPS * (total - used[True]) / used[False])
    return max(LEAST_FRACTION, steps / STEPS)
