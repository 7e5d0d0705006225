"""How near each team comes to its share when all is busy."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import ClassVar

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.experiments.load import Arrivals, IdleObserver
from geraniumshore_standins.internal.experiments.simulation import (
    SCHEDULER_BY_SUBJECT,
    WARM_UP_SECONDS,
    FleetShape,
    Scheduler,
    Simulation,
)

__all__ = ["SharesExperiment"]

SHAPE = FleetShape(
    hosts=3,
    services=("counting", "cutting"),
    minions=3,
    slots=8,
    share_by_team={"a": 3.0, "b": 2.0, "c": 1.0, "d": 1.0, "e": 1.0, "f": 1.0},
    limit=48,
)
GREEDY_TEAM = "c"
GREED = 5.0
# Demand of every other team, as a multiple of its share.
DEMAND = 1.5
WORK_SECONDS = 0.4
SETTLE_SECONDS = 5.0
WINDOW_SECONDS = 10.0
WINDOWS = 4


@register
class SharesExperiment(Experiment):
    """All teams are busy, and one asks five times as much as the others."""

    name: ClassVar[str] = "shares"
    purpose: ClassVar[str] = "distance from share when all is busy"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the distances for the project's policy and both baselines."""
        for subject, scheduler in SCHEDULER_BY_SUBJECT.items():
            yield from self._measure(subject, scheduler(Simulation(seed), SHAPE))

    def _measure(self, subject: str, scheduler: Scheduler) -> Iterator[Measurement]:
        simulation = scheduler.simulation
        simulation.run_until(WARM_UP_SECONDS)
        for team in SHAPE.share_by_team:
            for service in SHAPE.services:
                rate = _rate(team)
                constant = partial(_constant, rate)
                Arrivals(scheduler, service, team, constant, rate, WORK_SECONDS).start()
        began = WARM_UP_SECONDS + SETTLE_SECONDS
        simulation.run_until(began)
        observer = IdleObserver(scheduler)
        observer.start()
        simulation.run_until(began + WINDOWS * WINDOW_SECONDS)
        distances = [
            abs(_use(scheduler, team, began + i * WINDOW_SECONDS) / fair - 1)
            for i in range(WINDOWS)
            for team in SHAPE.share_by_team
            for fair in (SHAPE.fair_slots(team),)
        ]
        mean = sum(distances) / len(distances)
        yield Measurement(subject, "distance from share, mean", 100 * mean, "%")
        yield Measurement(
            subject, "distance from share, largest", 100 * max(distances), "%"
        )
        idle = 100 * observer.fraction()
        yield Measurement(subject, "slots idle while work waits", idle, "%")


def _rate(team: str) -> float:
    demand = DEMAND * (GREED if team == GREEDY_TEAM else 1.0)
    return demand * SHAPE.fair_slots(team) / WORK_SECONDS / len(SHAPE.services)


def _constant(rate: float, now: float) -> float:
    return rate


def _use(scheduler: Scheduler, team: str, began: float) -> float:
    """Return the mean number of slots that the team used in a window."""
    ended = began + WINDOW_SECONDS
    busy = sum(
        max(0.0, min(ended, work.ended or ended) - max(began, work.started))
        for work in scheduler.all_work
        if work.team == team and work.started is not None
    )
    return busy / WINDOW_SECONDS
