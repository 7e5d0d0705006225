"""What control costs a member, by the number of members."""

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
    Cost,
    FleetSize,
    LoadGenerator,
    cost_of,
    start_fleet,
)
from geraniumshore_standins.internal.fleet import Fleet

__all__ = ["ControlExperiment"]

MEMBERS = (3, 5, 7, 9)
SETTLE_SECONDS = 3.0
MEASURED_SECONDS = 8.0
CALLS_PER_SECOND = 60.0


@register
class ControlExperiment(Experiment):
    """Real processes at today's sizes, idle and under a light load."""

    name: ClassVar[str] = "control"
    purpose: ClassVar[str] = "processor time, bytes and messages of a member"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the cost of the mean member for each size."""
        for members in MEMBERS:
            yield from self._measure(members)

    def _measure(self, members: int) -> Iterator[Measurement]:
        size = FleetSize(members, services=5, minions=6, slots=8)
        subject = f"{members} members"
        with Fleet() as fleet:
            keys = start_fleet(fleet, size)
            entries = list(fleet.by_name.values())
            load = LoadGenerator(entries, [f"s{i}" for i in range(5)], keys)
            time.sleep(SETTLE_SECONDS)
            costs = [[cost_of(entry) for entry in entries]]
            time.sleep(MEASURED_SECONDS)
            costs.append([cost_of(entry) for entry in entries])
            load.run(CALLS_PER_SECOND, MEASURED_SECONDS)
            costs.append([cost_of(entry) for entry in entries])
        yield from _differences(subject, "idle", costs[0], costs[1])
        yield from _differences(subject, "load", costs[1], costs[2])
        memory = max(cost.memory_kb for cost in costs[2]) / 1024
        yield Measurement(subject, "largest member", memory, "MB")
        answered = load.count_by_status[200] / sum(load.count_by_status.values())
        yield Measurement(subject, "calls answered 200", 100 * answered, "%")


def _differences(
    subject: str, state: str, before: list[Cost], after: list[Cost]
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
