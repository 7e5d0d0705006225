"""Experiment: resource usage of a member by the number of members."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import ClassVar

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.experiments.processes import (
    FleetSize,
    LoadGenerator,
    ResourceUsage,
    read_resource_usage,
    start_fleet,
)
from geraniumshore_standins.internal.fleet import Fleet

__all__ = ["ControlExperiment"]

MEMBERS = (3, 5, 7, 9)
STABILISATION_SECONDS = 3.0
MEASURED_SECONDS = 8.0
CALLS_PER_SECOND = 60.0


@register
class ControlExperiment(Experiment):
    """Runs real processes at current fleet sizes, idle and under a light load."""

    name: ClassVar[str] = "control"
    purpose: ClassVar[str] = "processor time, bytes and messages of a member"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the mean resource usage per member for each number of members."""
        for members in MEMBERS:
            yield from self._measure(members)

    def _measure(self, members: int) -> Iterator[Measurement]:
        size = FleetSize(members, services=5, minions=6, slots=8)
        subject = f"{members} members"
        with Fleet() as fleet:
            keys = start_fleet(fleet, size)
            entries = list(fleet.entry_by_name.values())
            load = LoadGenerator(entries, [f"s{i}" for i in range(5)], keys)
            time.sleep(STABILISATION_SECONDS)
            samples = [[read_resource_usage(entry) for entry in entries]]
            time.sleep(MEASURED_SECONDS)
            samples.append([read_resource_usage(entry) for entry in entries])
            load.run(CALLS_PER_SECOND, MEASURED_SECONDS)
            samples.append([read_resource_usage(entry) for entry in entries])
        yield from _usage_rates(subject, "idle", samples[0], samples[1])
        yield from _usage_rates(subject, "load", samples[1], samples[2])
        memory = max(sample.memory_kb for sample in samples[2]) / 1024
        yield Measurement(subject, "largest member", memory, "MB")
        answered = load.count_by_status[200] / sum(load.count_by_status.values())
        yield Measurement(subject, "calls answered 200", 100 * answered, "%")


def _usage_rates(
    subject: str, state: str, before: list[ResourceUsage], after: list[ResourceUsage]
) -> Iterator[Measurement]:
    pairs = list(zip(before, after, strict=True))
    count = len(pairs)
    seconds = sum(b.at - a.at for a, b in pairs) / count
    cpu = sum(b.cpu_seconds - a.cpu_seconds for a, b in pairs) / count / seconds
    sent = sum(b.peer_bytes - a.peer_bytes for a, b in pairs) / count / seconds
    messages = sum(b.peer_messages - a.peer_messages for a, b in pairs) / count
    yield Measurement(subject, f"{state}: core", 100 * cpu, "%")
    yield Measurement(subject, f"{state}: bytes to peers", sent / 1024, "KB/s")
    yield Measurement(subject, f"{state}: messages", messages / seconds, "1/s")
