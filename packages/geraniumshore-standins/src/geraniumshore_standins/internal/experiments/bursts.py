"""Experiment: wait times of urgent and other work while queues burst in turn."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import ClassVar

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.experiments.load import (
    ArrivalProcess,
    IdleSlotSampler,
    percentile,
)
from geraniumshore_standins.internal.experiments.simulation import (
    SCHEDULER_BY_SUBJECT,
    WARM_UP_SECONDS,
    FleetShape,
    Scheduler,
    Simulation,
)

__all__ = ["BurstsExperiment"]

SHAPE = FleetShape(
    hosts=3,
    services=("counting", "cutting"),
    minions=3,
    slots=8,
    share_by_team={"a": 3.0, "b": 2.0, "c": 1.0, "d": 1.0, "e": 1.0, "f": 1.0},
    limit=24,
)
# Arrival rates of a queue as multiples of its mean rate.
BURST_RATE_FACTOR = 5.0
BETWEEN_BURSTS_RATE_FACTOR = 1 / 20
# Demand of a queue during its burst as a multiple of its pool's capacity.
BURST_LOAD_FACTOR = 1.1
BURST_INTERVAL_SECONDS = 3.0
BURST_SECONDS = 5.0
# Two queues per service; the queues of one service burst one after the other.
QUEUES = tuple((service, urgent) for service in SHAPE.services for urgent in (0, 1))
WORK_SECONDS = 0.3
WAIT_LIMIT_SECONDS = 10.0
MEASURED_SECONDS = 48.0
MILLISECONDS_PER_SECOND = 1000


@register
class BurstsExperiment(Experiment):
    """Queues burst in turn to 5 times their mean rate, and drop to 1/20 in between."""

    name: ClassVar[str] = "bursts"
    purpose: ClassVar[str] = "wait times of urgent and other work under bursts"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the wait times under the project's policy and both baselines."""
        for subject, scheduler in SCHEDULER_BY_SUBJECT.items():
            yield from self._measure(subject, scheduler(Simulation(seed), SHAPE))

    def _measure(self, subject: str, scheduler: Scheduler) -> Iterator[Measurement]:
        scheduler.simulation.run_until(WARM_UP_SECONDS)
        for queue_index, (service, urgent) in enumerate(QUEUES):
            for team, share in SHAPE.share_by_team.items():
                mean = _mean_rate() * share / sum(SHAPE.share_by_team.values())
                ArrivalProcess(
                    scheduler,
                    service,
                    team,
                    _burst_rate(mean, queue_index),
                    BURST_RATE_FACTOR * mean,
                    WORK_SECONDS,
                    bool(urgent),
                    WAIT_LIMIT_SECONDS,
                ).start()
        sampler = IdleSlotSampler(scheduler)
        sampler.start()
        scheduler.simulation.run_until(WARM_UP_SECONDS + MEASURED_SECONDS)
        for name, urgent in (("urgent", True), ("other", False)):
            waits = _wait_times(scheduler, urgent)
            for percent in (50, 99):
                value = MILLISECONDS_PER_SECOND * percentile(waits, percent)
                yield Measurement(subject, f"{name} wait p{percent}", value, "ms")
        idle = 100 * sampler.fraction()
        yield Measurement(subject, "slots idle while work waits", idle, "%")


def _mean_rate() -> float:
    return BURST_LOAD_FACTOR * SHAPE.slots_of_service / WORK_SECONDS / BURST_RATE_FACTOR


def _burst_rate(mean: float, queue_index: int) -> Callable[[float], float]:
    cycle = BURST_INTERVAL_SECONDS * len(QUEUES)

    def rate(now: float) -> float:
        elapsed = (now - WARM_UP_SECONDS - queue_index * BURST_INTERVAL_SECONDS) % cycle
        return mean * (
            BURST_RATE_FACTOR if elapsed < BURST_SECONDS else BETWEEN_BURSTS_RATE_FACTOR
        )

    return rate


def _wait_times(scheduler: Scheduler, urgent: bool) -> list[float]:
    """Return the wait times; work that timed out counts with its full wait limit."""
    return [
        (work.started - work.arrived if work.started is not None else work.wait_limit)
        for work in scheduler.all_work
        if work.urgent == urgent and work.ticket not in scheduler.waiting
    ]
