"""Statements of the scenario language that check results."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.scenario.answers import (
    check_duplicate_runs,
    check_outcomes,
)
from geraniumshore_standins.internal.scenario.load import call_once
from geraniumshore_standins.internal.scenario.steps import Step
from geraniumshore_standins.internal.scenario.world import World

__all__ = [
    "ExpectCut",
    "ExpectExit",
    "ExpectGood",
    "ExpectIdleMinion",
    "ExpectLimit",
    "ExpectMembers",
    "ExpectOnce",
    "ExpectOnly",
    "ExpectReady",
    "ExpectRefuses",
    "ExpectServes",
    "ExpectTruth",
    "ExpectVersion",
]

MAX_FINDINGS = 5


@dataclass(frozen=True, slots=True)
class ExpectCut(Step):
    """``expect no answer cut``."""

    def run(self, world: World) -> Iterator[str]:
        """Check that every call got a complete answer."""
        cut = (r for r in world.results if r.status is None)
        yield from _limited(f"{r.body} to {r.entry}: {r.error}" for r in cut)


@dataclass(frozen=True, slots=True)
class ExpectOnly(Step):
    """``expect only 200, 503``."""

    statuses: tuple[int, ...]

    def run(self, world: World) -> Iterator[str]:
        """Check that no complete answer has another status."""
        tally = Counter(r.status for r in world.results if r.status is not None)
        for status in sorted(set(tally) - set(self.statuses)):
            yield f"got {tally[status]} answers {status}, want only {self.statuses}"


@dataclass(frozen=True, slots=True)
class ExpectGood(Step):
    """``expect at least 99 % good``."""

    percent: float

    def run(self, world: World) -> Iterator[str]:
        """Check the percentage of calls that were answered with status 200."""
        good = sum(r.status == 200 for r in world.results)
        total = len(world.results)
        if total == 0 or 100 * good < self.percent * total:
            yield f"got {good} of {total} good, want {self.percent} %"


@dataclass(frozen=True, slots=True)
class ExpectOnce(Step):
    """``expect nothing doubled``."""

    def run(self, world: World) -> Iterator[str]:
        """Check that no non-idempotent call ran twice."""
        idempotent = {n for n, q in world.queue_by_name.items() if q.idempotent}
        yield from _limited(
            check_duplicate_runs(world.results, world.runs(), idempotent)
        )


@dataclass(frozen=True, slots=True)
class ExpectTruth(Step):
    """``expect true answers``."""

    def run(self, world: World) -> Iterator[str]:
        """Check every answer against the minions' runs."""
        if not world.results:
            yield "got no answers to check"
        yield from _limited(check_outcomes(world.results, world.runs()))


@dataclass(frozen=True, slots=True)
class ExpectLimit(Step):
    """``expect acme within limit 3``."""

    team: str
    limit: int

    def run(self, world: World) -> Iterator[str]:
        """Check the maximum of concurrent runs over the whole scenario."""
        max_running = world.fleet.max_concurrent_runs(self.team)
        if max_running == 0:
            yield f"nothing of {self.team} ran"
        if max_running > self.limit:
            yield f"got {max_running} of {self.team} at once, want at most {self.limit}"


@dataclass(frozen=True, slots=True)
class ExpectReady(Step):
    """``expect e0 ready within 10 s``."""

    name: str
    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Check that an entry host becomes ready in time."""
        yield from _check_within(
            world.entry(self.name).ready, "not ready", self.seconds
        )


@dataclass(frozen=True, slots=True)
class ExpectServes(Step):
    """``expect e0 serves acme within 10 s``."""

    name: str
    team: str
    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Check that an entry host answers the team with status 200 in time."""
        yield from _check_status_within(world, self.name, self.team, 200, self.seconds)


@dataclass(frozen=True, slots=True)
class ExpectRefuses(Step):
    """``expect e0 refuses acme within 6 s``."""

    name: str
    team: str
    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Check that an entry host refuses the team's key in time."""
        yield from _check_status_within(world, self.name, self.team, 401, self.seconds)


@dataclass(frozen=True, slots=True)
class ExpectExit(Step):
    """``expect e0 exits 0 within 10 s``."""

    name: str
    status: int
    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Check that an entry host's process exits with a status in time."""
        process = world.entry(self.name).process
        yield from _check_within(
            lambda: process.poll() is not None, "did not exit", self.seconds
        )
        if process.poll() not in (None, self.status):
            yield f"got exit status {process.poll()}, want {self.status}"


@dataclass(frozen=True, slots=True)
class ExpectMembers(Step):
    """``expect 3 members within 10 s``."""

    count: int
    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Check that every running entry host sees ``count`` members in time."""
        yield from _check_within(
            lambda: all(
                len(entry.status()["members"]) == self.count
                for entry in world.running_entries()
            ),
            f"not {self.count} members",
            self.seconds,
        )


@dataclass(frozen=True, slots=True)
class ExpectVersion(Step):
    """``expect version 2 everywhere within 6 s``."""

    version: int
    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Check that every entry host with authority has the version in time."""
        yield from _check_within(
            lambda: all(
                status["version"] >= self.version or not status["authority"]
                for status in (e.status() for e in world.running_entries())
            ),
            f"version {self.version} is not in force",
            self.seconds,
        )


@dataclass(frozen=True, slots=True)
class ExpectIdleMinion(Step):
    """``expect nothing new on m0 after 3 s``."""

    name: str
    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Check that a minion counts no new runs for a second after the delay."""
        time.sleep(self.seconds)
        before = world.fleet.minion_counts(self.name)["runs_by_team"]
        time.sleep(1)
        after = world.fleet.minion_counts(self.name)["runs_by_team"]
        if before != after:
            yield f"{self.name} went from {before} to {after}"


def _check_status_within(
    world: World, name: str, team: str, status: int, seconds: float
) -> Iterator[str]:
    entry = world.entry(name)
    bearer = world.bearer(team)
    queue = next(iter(world.queue_by_name))
    numbers = itertools.count()

    def answered() -> bool:
        body = f"probe/{name}/{team}/{status}/{next(numbers)}"
        result = call_once(entry, queue, team, bearer, body)
        return result.status == status

    yield from _check_within(answered, f"no answer {status}", seconds)


def _check_within(
    condition: Callable[[], bool], what: str, seconds: float
) -> Iterator[str]:
    try:
        wait_for(condition, what, seconds)
    except TimeoutError:
        yield f"{what} within {seconds} s"


def _limited(findings: Iterable[str]) -> Iterator[str]:
    yield from itertools.islice(findings, MAX_FINDINGS)
