"""Poisson arrivals of simulated work, and sampling of slots left idle."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from geraniumshore_standins.internal.experiments.simulation import Scheduler, Work

__all__ = ["ArrivalProcess", "IdleSlotSampler", "percentile"]

SAMPLE_INTERVAL_SECONDS = 0.01


@dataclass(slots=True)
class ArrivalProcess:
    """Submits one team's work for one queue as a Poisson process.

    ``rate`` gives the arrivals per second at a time; it must not exceed ``max_rate``.
    """

    scheduler: Scheduler
    service: str
    team: str
    rate: Callable[[float], float]
    max_rate: float
    mean_seconds: float
    urgent: bool = False
    wait_limit: float = 2.0
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def start(self) -> None:
        """Schedule the first arrival; each arrival schedules the next.

        A varying rate is obtained by thinning: candidates arrive at ``max_rate``, and
        each is accepted with probability ``rate / max_rate``.
        """
        random = self.scheduler.simulation.random
        gap = random.expovariate(self.max_rate)
        self.scheduler.simulation.call_later(gap, self._arrive)

    def _arrive(self) -> None:
        simulation = self.scheduler.simulation
        if simulation.random.random() < self.rate(simulation.now) / self.max_rate:
            self.scheduler.submit(self._work())
        self.start()

    def _work(self) -> Work:
        simulation = self.scheduler.simulation
        number = next(self._numbers)
        return Work(
            ticket=f"{self.service}-{self.team}-{int(self.urgent)}-{number}",
            service=self.service,
            team=self.team,
            urgent=self.urgent,
            arrived=simulation.now,
            seconds=simulation.random.expovariate(1 / self.mean_seconds),
            wait_limit=self.wait_limit,
        )


@dataclass(slots=True)
class IdleSlotSampler:
    """Samples the number of slots that are idle while work for them waits."""

    scheduler: Scheduler
    samples: int = 0
    idle_while_waiting: int = 0

    def start(self) -> None:
        """Schedule the next sample."""
        self.scheduler.simulation.call_later(SAMPLE_INTERVAL_SECONDS, self._sample)

    def fraction(self) -> float:
        """Return the fraction of slot time that was idle while work waited."""
        slots = self.scheduler.shape.all_slots
        return self.idle_while_waiting / (self.samples * slots)

    def _sample(self) -> None:
        waiting = Counter(work.service for work in self.scheduler.waiting.values())
        running = Counter(work.service for work in self.scheduler.running.values())
        for service, count in waiting.items():
            idle = self.scheduler.shape.slots_of_service - running[service]
            self.idle_while_waiting += min(idle, count)
        self.samples += 1
        self.start()


def percentile(values: list[float], percent: float) -> float:
    """Return the value below which ``percent`` of the sorted values lie."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]
