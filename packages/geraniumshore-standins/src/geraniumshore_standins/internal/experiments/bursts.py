"""How long urgent work waits when queues burst in turn."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import ClassVar

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.experiments.load import (
    Arrivals,
    IdleObserver,
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
BURST = 5.0
BETWEEN = 1 / 20
# In its burst a queue asks for this multiple of what its pool holds.
BURST_LOAD = 1.1
TURN_SECONDS = 3.0
BURST_SECONDS = 5.0
# Two queues a service; those of one service burst one after the other.
QUEUES = tuple((service, urgent) for service in SHAPE.services for urgent in (0, 1))
WORK_SECONDS = 0.3
WAIT_LIMIT_SECONDS = 10.0
MEASURED_SECONDS = 48.0
MILLISECONDS = 1000


@register
class BurstsExperiment(Experiment):
    """Each queue in turn asks five times its mean, and a twentieth between."""

    name: ClassVar[str] = "bursts"
    purpose: ClassVar[str] = "waits of urgent and other work under bursts"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the waits for the project's policy and both baselines."""
        for subject, scheduler in SCHEDULER_BY_SUBJECT.items():
            yield from self._measure(subject, scheduler(Simulation(seed), SHAPE))

    def _measure(self, subject: str, scheduler: Scheduler) -> Iterator[Measurement]:
        scheduler.simulation.run_until(WARM_UP_SECONDS)
        for number, (service, urgent) in enumerate(QUEUES):
            for team, share in SHAPE.share_by_team.items():
                mean = _mean_rate() * share / sum(SHAPE.share_by_team.values())
                Arrivals(
                    scheduler,
                    service,
                    team,
                    _bursting(mean, number),
                    BURST * mean,
                    WORK_SECONDS,
                    bool(urgent),
                    WAIT_LIMIT_SECONDS,
                ).start()
        observer = IdleObserver(scheduler)
        observer.start()
        scheduler.simulation.run_until(WARM_UP_SECONDS + MEASURED_SECONDS)
        for name, urgent in (("urgent", True), ("other", False)):
            waits = _waits(scheduler, urgent)
            for percent in (50, 99):
                value = MILLISECONDS * percentile(waits, percent)
                yield Measurement(subject, f"{name} wait p{percent}", value, "ms")
        idle = 100 * observer.fraction()
        yield Measurement(subject, "slots idle while work waits", idle, "%")


def _mean_rate() -> float:
    return BURST_LOAD * SHAPE.slots_of_service / WORK_SECONDS / BURST


def _bursting(mean: float, number: int) -> Callable[[float], float]:
    cycle = TURN_SECONDS * len(QUEUES)

    def rate(now: float) -> float:
        into = (now - WARM_UP_SECONDS - number * TURN_SECONDS) % cycle
        return mean * (BURST if into < BURST_SECONDS else BETWEEN)

    return rate


def _waits(scheduler: Scheduler, urgent: bool) -> list[float]:
    """Return the waits; work that was given up counts with its whole wait limit."""
    return [
        (work.started - work.arrived if work.started is not None else work.wait_limit)
        for work in scheduler.all_work
        if work.urgent == urgent and work.ticket not in scheduler.waiting
    ]
