"""The folded state of the fleet: each host's pool and phase, each wave's progress."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.items import Wave

if TYPE_CHECKING:
    from geraniumshore.internal.fold import ControlState

__all__ = [
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
    """Where a host stands between serving and being maintained."""

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
    """One host as the log has it.

    ``old_boots`` are the boots that a reboot under way must end: only with another one
    is the host back. ``reported_done`` says that the platform has ended that reboot.
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
        """Tell whether the host is up and takes work."""
        return self.phase is Phase.SERVING and self.seen == "live"

    @property
    def away(self) -> bool:
        """Tell whether the host uses its pool's budget.

        One that has just arrived was never counted on in its new pool.
        """
        return not self.serving and self.phase is not Phase.ARRIVED


@dataclass(slots=True)
class WaveProgress:
    """What a wave has done. ``halted`` is set by failures, cleared by a note."""

    done: dict[str, None] = field(default_factory=dict)
    failed: dict[str, None] = field(default_factory=dict)
    halted: bool = False


@dataclass(slots=True)
class FleetState:
    """The fleet's part of the folded state.

    ``departed`` has the hosts that were withdrawn while something was done to them, or
    while they stood in elsewhere: added again, they go on from there.
    """

    by_host: dict[str, FleetHost] = field(default_factory=dict)
    departed: dict[str, FleetHost] = field(default_factory=dict)
    by_wave: dict[str, WaveProgress] = field(default_factory=dict)


@dataclass(slots=True)
class PoolUse:
    """How much of a pool's budget is in use.

    ``target`` is the number of hosts that the notes put in the pool; ``coming`` are
    on their way to it.
    """

    target: int = 0
    serving: int = 0
    coming: int = 0
    away: int = 0
    away_by_rack: Counter[str] = field(default_factory=Counter)

    @property
    def short(self) -> int:
        """Hosts that are missing from what the notes promise."""
        return self.target - self.serving

    def room(self, max_away: int, max_per_rack: int | None, rack: str) -> bool:
        """Tell whether one more serving host of ``rack`` may go away."""
        if max(self.away, self.short) + 1 > max_away:
            return False
        return max_per_rack is None or self.away_by_rack[rack] + 1 <= max_per_rack

    def take(self, rack: str) -> None:
        """Count one more host as away."""
        self.away += 1
        self.serving -= 1
        self.away_by_rack[rack] += 1


def pool_uses(
    fleet: FleetState, configuration: Configuration, only: str | None = None
) -> dict[str, PoolUse]:
    """Count every pool's hosts, or those of one pool only."""
    names = configuration.pools if only is None else (only,)
    uses = {name: PoolUse() for name in names}
    for item in configuration.hosts.values():
        if item.pool in uses:
            uses[item.pool].target += 1
    for host in fleet.by_host.values():
        if host.to_pool in uses and host.to_pool != host.pool:
            uses[host.to_pool].coming += 1
        use = uses.get(host.pool)
        if use is None:
            continue
        if host.away:
            use.away += 1
            use.away_by_rack[host.rack] += 1
        elif host.serving:
            use.serving += 1
        else:
            use.coming += 1
    return uses


def wave_hosts(configuration: Configuration, wave: Wave) -> Iterator[str]:
    """Yield the hosts that a wave covers, each once."""
    pools, hosts = set(wave.pools), set(wave.hosts)
    for name, host in configuration.hosts.items():
        if host.pool in pools or name in hosts:
            yield name


def wave_is_paused(fleet: FleetState, name: str, wave: Wave) -> bool:
    """Tell whether a note or too many failures stop the wave."""
    return wave.paused or fleet.by_wave[name].halted


def services_on_host(configuration: Configuration, host: str) -> set[str]:
    """Return the services with a minion on the host."""
    return {
        minion.service
        for minion in configuration.minions.values()
        if minion.host == host
    }


def host_accepts_work(state: ControlState, host: str) -> bool:
    """Tell whether new work may be placed on a host, as far as the log knows."""
    known = state.fleet.by_host.get(host)
    if known is None or known.phase is not Phase.SERVING:
        return False
    return known.seen not in {"leaving", "missing"}


def pool_of(state: ControlState, host: str) -> str | None:
    """Return the pool that a host is in now, which may differ from the notes'."""
    known = state.fleet.by_host.get(host)
    return known.pool if known is not None else None


def unusable_hosts(state: ControlState) -> frozenset[str]:
    """Return the hosts that are drained, moved or rebooted just now."""
    return frozenset(
        name
        for name, host in state.fleet.by_host.items()
        if host.phase is not Phase.SERVING
    )


def unusable_minions(state: ControlState) -> frozenset[str]:
    """Return the minions on hosts that are drained, moved or rebooted just now."""
    busy = unusable_hosts(state)
    if not busy:
        return frozenset()
    return frozenset(
        name
        for name, minion in state.configuration.minions.items()
        if minion.host in busy
    )
