"""Statements of the scenario language for set-up, load, calls and changes."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from geraniumshore import Items, Queue, Team, Withdrawn
from geraniumshore_standins.internal.scenario.load import Load, call_once
from geraniumshore_standins.internal.scenario.world import SERVICE, World

__all__ = [
    "AddEntry",
    "Begin",
    "BeginBehindProxy",
    "Call",
    "Entries",
    "Limit",
    "Minions",
    "NewQueue",
    "NewTeam",
    "RunLimit",
    "Scenario",
    "StartLoad",
    "Statement",
    "Step",
    "StopLoad",
    "Wait",
    "WaitLimit",
    "WithdrawKey",
    "WithdrawMinion",
]

MS_PER_SECOND = 1000


class Step(ABC):
    """An action on the world or a check of it."""

    @abstractmethod
    def run(self, world: World) -> Iterator[str]:
        """Run the action or check, and yield every failed expectation."""


@dataclass(frozen=True, slots=True)
class Statement:
    """A step and its line number."""

    line: int
    step: Step


@dataclass(frozen=True, slots=True)
class Scenario:
    """Statements of a scenario file, in order."""

    name: str
    statements: tuple[Statement, ...]


@dataclass(frozen=True, slots=True)
class Entries(Step):
    """``entries 3``."""

    count: int

    def run(self, world: World) -> Iterator[str]:
        """Set the number of entry hosts to start."""
        world.entries = self.count
        yield from ()


@dataclass(frozen=True, slots=True)
class Minions(Step):
    """``minions 2 of 8 slots running 20 ms``."""

    count: int
    slots: int
    work_seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Set the number of minions to start, their slots, and the duration of work."""
        world.minions = self.count
        world.slots = self.slots
        world.work_ms = int(self.work_seconds * MS_PER_SECOND)
        yield from ()


@dataclass(frozen=True, slots=True)
class NewTeam(Step):
    """``team acme limit 3``."""

    name: str
    limit: int

    def run(self, world: World) -> Iterator[str]:
        """Add a team to the initial release note."""
        world.limit_by_team[self.name] = self.limit
        yield from ()


@dataclass(frozen=True, slots=True)
class RunLimit:
    """``run limit 2 s``, an option of a queue."""

    seconds: float


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """``wait limit 2 s``, an option of a queue."""

    seconds: float


class NewQueue(Step):
    """``queue count idempotent urgent run limit 2 s wait limit 5 s``."""

    def __init__(self, name: str, *options: str | RunLimit | WaitLimit) -> None:
        self.name = name
        self.options = options

    def run(self, world: World) -> Iterator[str]:
        """Add a queue to the initial release note."""
        runs = [o.seconds for o in self.options if isinstance(o, RunLimit)]
        waits = [o.seconds for o in self.options if isinstance(o, WaitLimit)]
        world.queue_by_name[self.name] = Queue(
            service=SERVICE,
            idempotent="idempotent" in self.options,
            urgent="urgent" in self.options,
            run_limit_ms=int((runs or [2.0])[-1] * MS_PER_SECOND),
            wait_limit_ms=int((waits or [5.0])[-1] * MS_PER_SECOND),
        )
        yield from ()


@dataclass(frozen=True, slots=True)
class Begin(Step):
    """``begin``."""

    def run(self, world: World) -> Iterator[str]:
        """Start every process and apply the initial release note."""
        world.begin()
        yield from ()


@dataclass(frozen=True, slots=True)
class BeginBehindProxy(Step):
    """``begin behind proxy``, required for faults on hops."""

    def run(self, world: World) -> Iterator[str]:
        """Start every process with hops to log, peers and minions through the proxy."""
        world.begin(behind_proxy=True)
        yield from ()


@dataclass(frozen=True, slots=True)
class StartLoad(Step):
    """``load count as acme by 8 callers``."""

    queue: str
    team: str
    callers: int

    def run(self, world: World) -> Iterator[str]:
        """Start callers that call until ``stop load``."""
        assert world.balancer is not None
        bearer = world.bearer(self.team)
        load = Load(world.balancer, self.queue, self.team, bearer, self.callers)
        world.loads.append(load)
        yield from ()


@dataclass(frozen=True, slots=True)
class StopLoad(Step):
    """``stop load``."""

    def run(self, world: World) -> Iterator[str]:
        """Stop every load and wait for outstanding answers."""
        world.stop_loads()
        yield from ()


@dataclass(frozen=True, slots=True)
class Call(Step):
    """``call count as acme expect 200``."""

    queue: str
    team: str
    status: int

    def run(self, world: World) -> Iterator[str]:
        """Make one call through the balancer and check its status."""
        assert world.balancer is not None
        entry = world.balancer.next()
        body = f"call/{len(world.results)}"
        bearer = world.bearer(self.team)
        result = call_once(entry, self.queue, self.team, bearer, body)
        world.results.append(result)
        if result.status != self.status:
            yield f"got {result.status or result.error}, want {self.status}"


@dataclass(frozen=True, slots=True)
class Wait(Step):
    """``wait 2 s``."""

    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Sleep."""
        time.sleep(self.seconds)
        yield from ()


@dataclass(frozen=True, slots=True)
class AddEntry(Step):
    """``add entry e3``."""

    name: str

    def run(self, world: World) -> Iterator[str]:
        """Start another entry host."""
        world.start_entry(self.name)
        yield from ()


@dataclass(frozen=True, slots=True)
class WithdrawKey(Step):
    """``withdraw key of acme``."""

    team: str

    def run(self, world: World) -> Iterator[str]:
        """Apply a release note that withdraws the team's key."""
        key_id = world.key_by_team[self.team].key_id
        world.change(withdrawn=Withdrawn(keys=[key_id]))
        yield from ()


@dataclass(frozen=True, slots=True)
class WithdrawMinion(Step):
    """``withdraw minion m1``."""

    name: str

    def run(self, world: World) -> Iterator[str]:
        """Apply a release note that withdraws a minion."""
        world.change(withdrawn=Withdrawn(minions=[self.name]))
        yield from ()


@dataclass(frozen=True, slots=True)
class Limit(Step):
    """``limit acme 2``."""

    team: str
    limit: int

    def run(self, world: World) -> Iterator[str]:
        """Apply a release note that changes the team's limit."""
        world.change(changed=Items(teams={self.team: Team(1.0, self.limit)}))
        yield from ()
