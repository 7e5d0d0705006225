"""The folded state of the fleet: the pool and phase of hosts, the progress of waves."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from copy import copy
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.items import Wave

if TYPE_CHECKING:
    from geraniumshore.internal.fold import ControlState

__all__ = [
    "copy_for_planning",
    "FleetHost",
    "FleetState",
    "Phase",
    "PoolUse",
    "WaveProgress",
    "host_accepts_work",
    "pool_of",
    "pool_uses",
    "services_on_host",
    "unusable_hosts",
    "unusable_minions",
    "wave_hosts",
    "wave_is_paused",
]


class Phase(Enum):
    """The step of maintenance or of a move that a host is in."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    MOVING = "moving"
    ARRIVED = "arrived"
    REBOOTING = "rebooting"
    REBOOTED = "rebooted"
    FAILED = "failed"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class FleetHost:
    """The folded state of one host.

    ``old_boots`` are the boot ids from before the end of an open reboot: the host is
    back only when another boot is live. ``reported_done`` is set once the platform has
    reported the end of that reboot.
    """

    pool: str
    rack: str
    data_centre: str
    phase: Phase = Phase.SERVING
    seen: str = "unseen"
    boot: str = ""
    intent: str | None = None
    wave: str | None = None
    to_pool: str | None = None
    old_boots: tuple[str, ...] = ()
    reported_done: bool = False
    rebooted: bool = False
    quiet_services: tuple[str, ...] = ()
    since_ms: int = 0
    reason: str = ""

    @property
    def serving(self) -> bool:
        """Return whether the host is up and takes work."""
        return self.phase is Phase.SERVING and self.seen == "live"

    @property
    def away(self) -> bool:
        """Return whether the host counts against its pool's availability budget.

        A host that has just arrived does not: it has not served in its new pool yet.
        """
        return not self.serving and self.phase is not Phase.ARRIVED


@dataclass(slots=True)
class WaveProgress:
    """Progress of a wave. Failures set ``halted``; a release note clears it."""

    done: dict[str, None] = field(default_factory=dict)
    failed: dict[str, None] = field(default_factory=dict)
    halted: bool = False


@dataclass(slots=True)
class FleetState:
    """The fleet's part of the folded state.

    ``departed`` holds the hosts that were withdrawn during a step or while in another
    pool than the configured one. If they are added again, they continue from there.
    """

    by_host: dict[str, FleetHost] = field(default_factory=dict)
    departed: dict[str, FleetHost] = field(default_factory=dict)
    by_wave: dict[str, WaveProgress] = field(default_factory=dict)


@dataclass(slots=True)
class PoolUse:
    """How much of a pool's availability budget is in use.

    ``target`` is the number of hosts configured for the pool; ``incoming`` counts the
    hosts on their way to it.
    """

    target: int = 0
    serving: int = 0
    incoming: int = 0
    away: int = 0
    away_by_rack: Counter[str] = field(default_factory=Counter)

    @property
    def shortfall(self) -> int:
        """The number of configured hosts that do not serve."""
        return self.target - self.serving

    def allows_drain(self, max_away: int, max_per_rack: int | None, rack: str) -> bool:
        """Return whether one more serving host of ``rack`` may be drained."""
        if max(self.away, self.shortfall) + 1 > max_away:
            return False
        return max_per_rack is None or self.away_by_rack[rack] + 1 <= max_per_rack

    def count_drain(self, rack: str) -> None:
        """Count one more host as away."""
        self.away += 1
        self.serving -= 1
        self.away_by_rack[rack] += 1


def pool_uses(
    fleet: FleetState, configuration: Configuration, only: str | None = None
) -> dict[str, PoolUse]:
    """Return the use of every pool's budget, or of one pool's."""
    names = configuration.pools if only is None else (only,)
    uses = {name: PoolUse() for name in names}
    for item in configuration.hosts.values():
        if item.pool in uses:
            uses[item.pool].target += 1
    for host in fleet.by_host.values():
        if host.to_pool in uses and host.to_pool != host.pool:
            uses[host.to_pool].incoming += 1
        use = uses.get(host.pool)
        if use is None:
            continue
        if host.away:
            use.away += 1
            use.away_by_rack[host.rack] += 1
        elif host.serving:
            use.serving += 1
        else:
            use.incoming += 1
    return uses


def copy_for_planning(state: ControlState) -> ControlState:
    """Return a state to plan on, in which the fleet's part is a copy.

    Planning for a large fleet takes long enough to delay whatever waits for the state.
    A plan made on a copy does not, and the fold voids intents that became outdated.
    """
    copied = copy(state)
    copied.fleet = FleetState(
        by_host=dict(state.fleet.by_host),
        departed=dict(state.fleet.departed),
        by_wave={
            name: WaveProgress(
                dict(progress.done), dict(progress.failed), progress.halted
            )
            for name, progress in state.fleet.by_wave.items()
        },
    )
    return copied


def wave_hosts(configuration: Configuration, wave: Wave) -> Iterator[str]:
    """Yield the hosts that a wave covers, each once."""
    pools, hosts = set(wave.pools), set(wave.hosts)
    for name, host in configuration.hosts.items():
        if host.pool in pools or name in hosts:
            yield name


def wave_is_paused(fleet: FleetState, name: str, wave: Wave) -> bool:
    """Return whether the wave is paused by operators or halted by failures."""
    return wave.paused or fleet.by_wave[name].halted


def services_on_host(configuration: Configuration, host: str) -> set[str]:
    """Return the services that have a minion on the host."""
    return {
        minion.service
        for minion in configuration.minions.values()
        if minion.host == host
    }


def host_accepts_work(state: ControlState, host: str) -> bool:
    """Return whether new work may be placed on a host, according to the log."""
    known = state.fleet.by_host.get(host)
    if known is None or known.phase is not Phase.SERVING:
        return False
    return known.seen not in {"leaving", "missing"}


def pool_of(state: ControlState, host: str) -> str | None:
    """Return the pool that a host is in now, which may not be the configured one."""
    known = state.fleet.by_host.get(host)
    return known.pool if known is not None else None


def unusable_hosts(state: ControlState) -> frozenset[str]:
    """Return the hosts that are not serving because of a drain, move or reboot."""
    return frozenset(
        name
        for name, host in state.fleet.by_host.items()
        if host.phase is not Phase.SERVING
    )


def unusable_minions(state: ControlState) -> frozenset[str]:
    """Return the minions on the unusable hosts."""
    busy = unusable_hosts(state)
    if not busy:
        return frozenset()
    return frozenset(
        name
        for name, minion in state.configuration.minions.items()
        if minion.host in busy
    )
