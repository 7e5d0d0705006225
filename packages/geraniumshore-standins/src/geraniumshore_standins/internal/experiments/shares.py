"""Experiment: deviation of each team from its fair share under saturation."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import ClassVar

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.experiments.load import (
    ArrivalProcess,
    IdleSlotSampler,
)
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
# Demand of the greedy team relative to its share, as a multiple of DEMAND_FACTOR.
GREEDY_DEMAND_FACTOR = 5.0
# Demand of every other team, as a multiple of its share.
DEMAND_FACTOR = 1.5
WORK_SECONDS = 0.4
STABILISATION_SECONDS = 5.0
WINDOW_SECONDS = 10.0
WINDOW_COUNT = 4


@register
class SharesExperiment(Experiment):
    """All teams exceed their share, one with five times the demand of the others."""

    name: ClassVar[str] = "shares"
    purpose: ClassVar[str] = "distance from share when all is busy"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the deviations under the project's policy and both baselines."""
        for subject, scheduler in SCHEDULER_BY_SUBJECT.items():
            yield from self._measure(subject, scheduler(Simulation(seed), SHAPE))

    def _measure(self, subject: str, scheduler: Scheduler) -> Iterator[Measurement]:
        simulation = scheduler.simulation
        simulation.run_until(WARM_UP_SECONDS)
        for team in SHAPE.share_by_team:
            for service in SHAPE.services:
                rate = _arrival_rate(team)
                rate_function = partial(_constant_rate, rate)
                ArrivalProcess(
                    scheduler, service, team, rate_function, rate, WORK_SECONDS
                ).start()
        began = WARM_UP_SECONDS + STABILISATION_SECONDS
        simulation.run_until(began)
        sampler = IdleSlotSampler(scheduler)
        sampler.start()
        simulation.run_until(began + WINDOW_COUNT * WINDOW_SECONDS)
        distances = [
            abs(
                _mean_slots_used(scheduler, team, began + i * WINDOW_SECONDS) / fair - 1
            )
            for i in range(WINDOW_COUNT)
            for team in SHAPE.share_by_team
            for fair in (SHAPE.fair_slots(team),)
        ]
        mean = sum(distances) / len(distances)
        yield Measurement(subject, "distance from share, mean", 100 * mean, "%")
        yield Measurement(
            subject, "distance from share, largest", 100 * max(distances), "%"
        )
        idle = 100 * sampler.fraction()
        yield Measurement(subject, "slots idle while work waits", idle, "%")


def _arrival_rate(team: str) -> float:
    demand = DEMAND_FACTOR * (GREEDY_DEMAND_FACTOR if team == GREEDY_TEAM else 1.0)
    return demand * SHAPE.fair_slots(team) / WORK_SECONDS / len(SHAPE.services)


def _constant_rate(rate: float, now: float) -> float:
    return rate


def _mean_slots_used(scheduler: Scheduler, team: str, began: float) -> float:
    """Return the mean number of slots that the team used in one window."""
    ended = began + WINDOW_SECONDS
    busy = sum(
        max(0.0, min(ended, work.ended or ended) - max(began, work.started))
        for work in scheduler.all_work
        if work.team == team and work.started is not None
    )
    return busy / WINDOW_SECONDS
