"""Statements of the scenario language that inject and remove faults."""

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
        """Kill the process with SIGKILL, as in a crash."""
        world.entry(self.name).kill(signal.SIGKILL)
        yield from ()


@dataclass(frozen=True, slots=True)
class Pause(_OnEntry):
    """``pause e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Suspend the process; its connections stay open without traffic."""
        world.entry(self.name).kill(signal.SIGSTOP)
        yield from ()


@dataclass(frozen=True, slots=True)
class Resume(_OnEntry):
    """``resume e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Resume a suspended process."""
        world.entry(self.name).kill(signal.SIGCONT)
        yield from ()


@dataclass(frozen=True, slots=True)
class Leave(_OnEntry):
    """``leave e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Request a graceful shutdown with SIGTERM."""
        world.entry(self.name).kill(signal.SIGTERM)
        yield from ()


@dataclass(frozen=True, slots=True)
class Restart(_OnEntry):
    """``restart e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Restart a process that has exited, at the same addresses."""
        world.fleet.restart_entry(self.name)
        yield from ()


@dataclass(frozen=True, slots=True)
class LogOutage(Step):
    """``log outage``."""

    def run(self, world: World) -> Iterator[str]:
        """Make the log refuse every request."""
        world.fleet.set_faults(outage=True)
        yield from ()


@dataclass(frozen=True, slots=True)
class LogSlow(Step):
    """``log slow 500 ms``."""

    seconds: float

    def run(self, world: World) -> Iterator[str]:
        """Delay every answer of the log."""
        world.fleet.set_faults(delay_ms=int(self.seconds * 1000))
        yield from ()


@dataclass(frozen=True, slots=True)
class LogLoses(Step):
    """``log loses 3 replies``."""

    count: int

    def run(self, world: World) -> Iterator[str]:
        """Make the next appends take effect without an answer."""
        world.fleet.set_faults(lost_replies=self.count)
        yield from ()


@dataclass(frozen=True, slots=True)
class LogHeals(Step):
    """``log heals``."""

    def run(self, world: World) -> Iterator[str]:
        """Remove every fault of the log."""
        world.fleet.set_faults()
        yield from ()


@dataclass(frozen=True, slots=True)
class MinionMode(Step):
    """``minion m0 silent`` (or ``cut``, ``crossed``, ``failing``)."""

    name: str
    mode: str

    def run(self, world: World) -> Iterator[str]:
        """Switch on a minion's fault mode."""
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
        """Switch off a minion's fault modes."""
        world.fleet.set_minion_modes(self.name, work_ms=world.work_ms)
        yield from ()


@dataclass(frozen=True, slots=True)
class _OnHop(Step):
    """A fault on a hop: ``log`` or ``peers`` of an entry host, ``work`` of a minion."""

    hop: str
    name: str


@dataclass(frozen=True, slots=True)
class HopSilent(_OnHop):
    """``silence log of e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Stop forwarding on open connections; new ones are not affected."""
        world.hop(self.hop, self.name).silence()
        yield from ()


@dataclass(frozen=True, slots=True)
class HopMute(_OnHop):
    """``mute peers of e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Stop forwarding on open and new connections without closing them."""
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
        """Delay all data in both directions."""
        hop = world.hop(self.hop, self.name)
        hop.set_faults(delay_ms=int(self.seconds * 1000))
        yield from ()


@dataclass(frozen=True, slots=True)
class HopMended(_OnHop):
    """``mend log of e1``."""

    def run(self, world: World) -> Iterator[str]:
        """Remove every fault of the hop."""
        world.hop(self.hop, self.name).set_faults()
        yield from ()
