"""Statements of the scenario language that break things, and mend them."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from dataclasses import dataclass

from geraniumshore_standins.internal.scenario.steps import Step
from geraniumshore_standins.internal.scenario.world import World

__all__ = [
    "HopCut",
    "HopMended",
    "HopMute",
    "HopSilent",
    "HopSlow",
    "Kill",
    "Leave",
    "LogHeals",
    "LogLoses",
    "LogOutage",
    "LogSlow",
    "MinionHeals",
    "MinionMode",
    "Pause",
    "Restart",
    "Resume",
]

FAILING_STATUS = 500


@dataclass(frozen=True, slots=True)
class _OnEntry(Step):
    name: str


@dataclass(frozen=True, slots=True)
class Kill(_OnEntry):
    """``kill e1``."""

    def run(self, world: World) -> Iterator[str]:
        """End the process at once, as a crash does."""
        world.entry(self.name).kill(signal.SIGKILL)
        yield from ()


@dataclass(frozen=True, slots=True)
class Pause(_OnEntry):
    """``pause e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Freeze the process; its connections stay open and silent."""
        world.entry(self.name).kill(signal.SIGSTOP)
        yield from ()


@dataclass(frozen=True, slots=True)
class Resume(_OnEntry):
    """``resume e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Let a frozen process go on."""
        world.entry(self.name).kill(signal.SIGCONT)
        yield from ()


@dataclass(frozen=True, slots=True)
class Leave(_OnEntry):
    """``leave e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Ask the process to shut down gracefully."""
        world.entry(self.name).kill(signal.SIGTERM)
        yield from ()


@dataclass(frozen=True, slots=True)
class Restart(_OnEntry):
    """``restart e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Start a process again that has ended, at the same addresses."""
        world.fleet.restart_entry(self.name)
        yield from ()


@dataclass(frozen=True, slots=True)
class LogOutage(Step):
    """``log outage``."""

    def run(self, world: World) -> Iterator[str]:
        """Make the log refuse everything."""
        world.fleet.set_faults(outage=True)
        yield from ()


@dataclass(frozen=True, slots=True)
class LogSlow(Step):
    """``log slow 500 ms``."""

    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Make every answer of the log late."""
        world.fleet.set_faults(delay_ms=int(self.seconds * 1000))
        yield from ()


@dataclass(frozen=True, slots=True)
class LogLoses(Step):
    """``log loses 3 replies``."""

    count: int

    def run(self, world: World) -> Iterator[str]:
        """Let the next appends take effect without an answer."""
        world.fleet.set_faults(lost_replies=self.count)
        yield from ()


@dataclass(frozen=True, slots=True)
class LogHeals(Step):
    """``log heals``."""

    def run(self, world: World) -> Iterator[str]:
        """End every fault of the log."""
        world.fleet.set_faults()
        yield from ()


@dataclass(frozen=True, slots=True)
class MinionMode(Step):
    """``minion m0 silent`` (or ``cut``, ``crossed``, ``failing``)."""

    name: str
    mode: str

    def run(self, world: World) -> Iterator[str]:
        """Make a minion misbehave."""
        modes: dict[str, object] = {"work_ms": world.work_ms}
        if self.mode == "failing":
            modes["fail_status"] = FAILING_STATUS
        else:
            modes[self.mode] = True
        world.fleet.set_minion_modes(self.name, **modes)
        yield from ()


@dataclass(frozen=True, slots=True)
class MinionHeals(Step):
    """``minion m0 heals``."""

    name: str

    def run(self, world: World) -> Iterator[str]:
        """End a minion's misbehaviour."""
        world.fleet.set_minion_modes(self.name, work_ms=world.work_ms)
        yield from ()


@dataclass(frozen=True, slots=True)
class _OnHop(Step):
    """``log`` and ``peers`` are hops of an entry host, ``work`` is one of a minion."""

    hop: str
    name: str


@dataclass(frozen=True, slots=True)
class HopSilent(_OnHop):
    """``silence log of e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Let open connections go silent for good; new ones work."""
        world.hop(self.hop, self.name).silence()
        yield from ()


@dataclass(frozen=True, slots=True)
class HopMute(_OnHop):
    """``mute peers of e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Forward nothing, on open and on new connections, and close none."""
        world.hop(self.hop, self.name).set_faults(
            silent_to_target=True, silent_to_caller=True
        )
        yield from ()


@dataclass(frozen=True, slots=True)
class HopCut(_OnHop):
    """``cut work of m0``."""

    def run(self, world: World) -> Iterator[str]:
        """Reset open connections and refuse new ones."""
        hop = world.hop(self.hop, self.name)
        hop.set_faults(refuse=True)
        hop.reset()
        yield from ()


@dataclass(frozen=True, slots=True)
class HopSlow(_OnHop):
    """``slow peers of e1 by 200 ms``."""

    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Hold back everything for a time, both ways."""
        hop = world.hop(self.hop, self.name)
        hop.set_faults(delay_ms=int(self.seconds * 1000))
        yield from ()


@dataclass(frozen=True, slots=True)
class HopMended(_OnHop):
    """``mend log of e1``."""

    def run(self, world: World) -> Iterator[str]:
        """End every fault of the hop."""
        world.hop(self.hop, self.name).set_faults()
        yield from ()
