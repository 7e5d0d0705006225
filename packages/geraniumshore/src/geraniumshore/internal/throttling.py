"""Throttles deferrable jobs where processors are scarce, to keep urgent ones fast."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from geraniumshore.internal.items import Host
from geraniumshore.internal.jobs import Job
from geraniumshore.internal.platform_tasks import TaskReport

__all__ = ["TaskThrottle", "throttles_due"]

MIN_FRACTION = 0.1
FRACTION_STEPS = 10
UNTHROTTLED = 1.0


@dataclass(frozen=True, slots=True)
class TaskThrottle:
    """Limits a task to a fraction of its processors."""

    task: str
    fraction: float


def throttles_due(
    jobs: Iterable[Job],
    report_by_task: Mapping[str, TaskReport],
    hosts: Mapping[str, Host],
) -> Iterator[TaskThrottle]:
    """Yield the tasks whose last reported throttle differs from the wanted one.

    Deferrable jobs share the processors that urgent ones leave. Without urgent jobs on
    a host, nothing is throttled there.
    """
    jobs_by_host: dict[str, list[Job]] = {}
    for job in jobs:
        jobs_by_host.setdefault(job.host, []).append(job)
    for host, present in jobs_by_host.items():
        total = hosts[host].processors if host in hosts else 0.0
        fraction = _deferrable_fraction(present, report_by_task, total)
        for job in present:
            wanted = UNTHROTTLED if job.urgent else fraction
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
        return UNTHROTTLED
    steps = int(FRACTION_STEPS * (total - used[True]) / used[False])
    return max(MIN_FRACTION, steps / FRACTION_STEPS)
