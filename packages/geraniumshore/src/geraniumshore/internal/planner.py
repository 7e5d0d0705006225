"""The planner: turns the difference between notes and fleet into intents.

It is pure and level-triggered: each call looks at the folded state afresh and returns
the records to append. Any member may run it at any time, since the fold voids what
does not fit; so a planner that dies or a doubled one costs time only.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.fleet_state import (
    FleetHost,
    FleetState,
    Phase,
    PoolUse,
    pool_uses,
    services_on_host,
    wave_hosts,
    wave_is_paused,
)
from geraniumshore.internal.fleet_view import FleetView
from geraniumshore.internal.intents import HostsObserved, Intent, IntentReport
from geraniumshore.internal.items import Pool, Wave, Weights
from geraniumshore.internal.platform import ActionStatus, ListedHost

if TYPE_CHECKING:
    from geraniumshore.internal.fold import ControlState

__all__ = [
    "PLANNER_KEY",
    "LargestBatch",
    "OneAtATime",
    "Planner",
    "PlannerTimes",
    "RollingWave",
    "WaveCandidate",
    "WavePolicy",
    "patience_seconds",
]

# The member that plans is the home of this key.
PLANNER_KEY = "planner"
DEFAULT_WEIGHTS = "default"
MAX_HOSTS_PER_RECORD = 500
# A host that stands in for another moves there and back.
MOVES_PER_STAND_IN = 2
LONGEST_PATIENCE_SECONDS = 30 * 24 * 3600.0

PlannerRecord = HostsObserved | Intent | IntentReport


@dataclass(frozen=True, slots=True)
class PlannerTimes:
    """How long a step may take before it is reported, in seconds."""

    drain_report: float = 60.0
    reboot_limit: float = 900.0


@dataclass(frozen=True, slots=True)
class WaveCandidate:
    """A host that a wave has still to do, and how much of its kind is left."""

    host: str
    pool: str
    rack: str
    left_in_pool: int
    left_in_rack: int
    max_away: int


class WavePolicy(ABC):
    """Chooses the order in which a wave takes hosts away."""

    @abstractmethod
    def order(
        self, candidates: Sequence[WaveCandidate], uses: Mapping[str, PoolUse]
    ) -> Iterator[WaveCandidate]:
        """Yield the hosts to drain now, the first to be drained first.

        Those that a budget does not allow are passed over by the planner.
        """


class RollingWave(WavePolicy):
    """Keeps every budget as full as it may be; the longest pool and rack go first."""

    def order(
        self, candidates: Sequence[WaveCandidate], uses: Mapping[str, PoolUse]
    ) -> Iterator[WaveCandidate]:
        """Yield all, by rounds left in the pool and then by hosts left in the rack."""
        yield from sorted(
            candidates,
            key=lambda c: (
                -c.left_in_pool / max(1, c.max_away),
                -c.left_in_rack,
                c.host,
            ),
        )


class OneAtATime(WavePolicy):
    """The baseline that takes one host at a time from each pool."""

    def order(
        self, candidates: Sequence[WaveCandidate], uses: Mapping[str, PoolUse]
    ) -> Iterator[WaveCandidate]:
        """Yield the first host of each pool in which none is away."""
        taken: set[str] = set()
        for candidate in sorted(candidates, key=lambda c: c.host):
            if candidate.pool in taken or uses[candidate.pool].away:
                continue
            taken.add(candidate.pool)
            yield candidate


class LargestBatch(WavePolicy):
    """The baseline that fills the budget, then waits for the whole batch."""

    def order(
        self, candidates: Sequence[WaveCandidate], uses: Mapping[str, PoolUse]
    ) -> Iterator[WaveCandidate]:
        """Yield every host of the pools in which none is away."""
        idle = {pool for pool, use in uses.items() if use.away == 0}
        for candidate in sorted(candidates, key=lambda c: c.host):
            if candidate.pool in idle:
                yield candidate


def patience_seconds(weights: Weights) -> float:
    """Return how long a missing host is waited for before a spare stands in.

    The wait ends when being short has cost as much as the moves would. Whatever the
    true time of repair, this costs at most twice what the best choice would have.
    """
    gain_per_hour = weights.roll_out - weights.buffer
    if gain_per_hour <= 0:
        return LONGEST_PATIENCE_SECONDS
    hours = MOVES_PER_STAND_IN * weights.moves / gain_per_hour
    return min(LONGEST_PATIENCE_SECONDS, hours * 3600)


@dataclass(slots=True)
class Planner:
    """Plans for one member. Times are that member's monotonic seconds."""

    new_id: Callable[[], str]
    policy: WavePolicy = field(default_factory=RollingWave)
    times: PlannerTimes = field(default_factory=PlannerTimes)
    view: FleetView = field(default_factory=FleetView)
    _first_seen: dict[str, float] = field(default_factory=dict)
    _short_since: dict[str, float] = field(default_factory=dict)

    def on_list(
        self, state: ControlState, listed: Sequence[ListedHost], now: float
    ) -> None:
        """Take in a fresh list of the platform's hosts."""
        self.view.on_list(listed, state.fleet.by_host, now)

    def plan(
        self, state: ControlState, statuses: Mapping[str, ActionStatus], now: float
    ) -> list[PlannerRecord]:
        """Return the records to append now.

        ``statuses`` has the platform's word on the intents under way, by intent.
        """
        return [
            *self._observations(state, now),
            *self._reports(state, statuses, now),
            *self._next_steps(state),
            *self._new_drains(state, now),
        ]

    def _observations(self, state: ControlState, now: float) -> Iterator[HostsObserved]:
        changes = list(self.view.changes(state.fleet, now))
        for start in range(0, len(changes), MAX_HOSTS_PER_RECORD):
            hosts = tuple(changes[start : start + MAX_HOSTS_PER_RECORD])
            yield HostsObserved(self.new_id(), state.view.number, hosts)

    def _reports(
        self, state: ControlState, statuses: Mapping[str, ActionStatus], now: float
    ) -> Iterator[IntentReport]:
        open_hosts = {
            host.intent: name
            for name, host in state.fleet.by_host.items()
            if host.intent is not None
        }
        self._first_seen = {
            intent: self._first_seen.get(intent, now) for intent in open_hosts
        }
        for intent, name in open_hosts.items():
            host = state.fleet.by_host[name]
            age = now - self._first_seen[intent]
            report = self._report(state.configuration, name, host, statuses, age)
            if report is not None:
                yield report

    def _report(
        self,
        configuration: Configuration,
        name: str,
        host: FleetHost,
        statuses: Mapping[str, ActionStatus],
        age: float,
    ) -> IntentReport | None:
        assert host.intent is not None
        status = statuses.get(host.intent)
        if host.phase is Phase.REBOOTING:
            return self._report_reboot(name, host, host.intent, status, age)
        holding = list(status.holding) if status is not None else []
        if host.phase is Phase.DRAINING:
            loud = services_on_host(configuration, name) - set(host.quiet_services)
            holding += [f"service {service}" for service in sorted(loud)]
        if status is not None and status.state == "done" and not holding:
            return IntentReport(self.new_id(), host.intent, name, "done", status.boot)
        detail = "held by " + (", ".join(holding) or "the platform")
        if age < self.times.drain_report or detail == host.reason:
            return None
        return IntentReport(self.new_id(), host.intent, name, "held", detail=detail)

    def _report_reboot(
        self,
        name: str,
        host: FleetHost,
        intent: str,
        status: ActionStatus | None,
        age: float,
    ) -> IntentReport | None:
        if status is not None and status.state == "failed":
            detail = status.reason or "the platform could not reboot the host"
            return IntentReport(self.new_id(), intent, name, "failed", detail=detail)
        if age >= self.times.reboot_limit:
            detail = f"not back within {self.times.reboot_limit:.0f} s"
            return IntentReport(self.new_id(), intent, name, "failed", detail=detail)
        if status is not None and status.state == "done" and not host.reported_done:
            return IntentReport(self.new_id(), intent, name, "done", status.boot)
        return None

    def _next_steps(self, state: ControlState) -> Iterator[Intent]:
        """Yield the next step of every host that has ended one."""
        stand_ins = _stand_ins_wanted(state)
        for name, host in state.fleet.by_host.items():
            if host.intent is not None or host.phase is Phase.SERVING:
                continue
            target = stand_ins.get(name) or state.configuration.hosts[name].pool
            step = self._next_step(state, name, host, target)
            if step is not None:
                yield step

    def _next_step(
        self, state: ControlState, name: str, host: FleetHost, target: str
    ) -> Intent | None:
        if host.phase is not Phase.ARRIVED and _may_reboot(state, name, host):
            return Intent(self.new_id(), name, "reboot", host.wave)
        may_move = host.phase in {Phase.DRAINED, Phase.REBOOTED}
        if may_move and target != host.pool:
            return Intent(self.new_id(), name, "move", host.wave, target)
        if host.seen == "live":
            return Intent(self.new_id(), name, "return")
        return None

    def _new_drains(self, state: ControlState, now: float) -> Iterator[Intent]:
        uses = pool_uses(state.fleet, state.configuration)
        pools = state.configuration.pools
        taken: set[str] = set()
        for intent in self._wanted_drains(state, uses, now):
            host = state.fleet.by_host[intent.host]
            pool = pools.get(host.pool)
            if intent.host in taken:
                continue
            if pool is not None:
                use = uses[host.pool]
                if not use.room(pool.max_away, pool.max_away_per_rack, host.rack):
                    continue
                use.take(host.rack)
            taken.add(intent.host)
            yield intent

    def _wanted_drains(
        self, state: ControlState, uses: dict[str, PoolUse], now: float
    ) -> Iterator[Intent]:
        yield from self._stand_ins(state, uses, now)
        yield from self._moves(state, uses)
        for name, wave in state.configuration.waves.items():
            if not wave_is_paused(state.fleet, name, wave):
                yield from self._wave(state, uses, name, wave)

    def _moves(
        self, state: ControlState, uses: Mapping[str, PoolUse]
    ) -> Iterator[Intent]:
        """Yield drains of serving hosts that are not where they belong.

        The pool that most lacks hosts gets them first.
        """
        stand_ins = _stand_ins_wanted(state)
        wanted = []
        for name, host in state.fleet.by_host.items():
            target = stand_ins.get(name) or state.configuration.hosts[name].pool
            if host.serving and host.pool != target:
                wanted.append((-uses[target].short, target, name))
        for _, target, name in sorted(wanted):
            yield Intent(self.new_id(), name, "drain", pool=target)

    def _stand_ins(
        self, state: ControlState, uses: Mapping[str, PoolUse], now: float
    ) -> Iterator[Intent]:
        """Yield drains of spare hosts for pools that have lacked hosts for long."""
        patience = patience_seconds(_weights(state.configuration))
        lost_by_pool = _lost_by_pool(state)
        lost = [name for names in lost_by_pool.values() for name in names]
        self._short_since = {name: self._short_since.get(name, now) for name in lost}
        placed = Counter(pool for _, pool in _stand_ins_placed(state))
        spares = _spare_hosts(state)
        for pool, names in lost_by_pool.items():
            waited = [n for n in names if now - self._short_since[n] >= patience]
            for name in waited[placed[pool] :]:
                if not spares or uses[pool].short - uses[pool].coming < 1:
                    break
                lost_host = state.fleet.by_host[name]
                spare = min(spares, key=lambda s: _distance(state.fleet, s, lost_host))
                spares.remove(spare)
                uses[pool].coming += 1
                yield Intent(self.new_id(), spare, "drain", pool=pool)

    def _wave(
        self,
        state: ControlState,
        uses: Mapping[str, PoolUse],
        name: str,
        wave: Wave,
    ) -> Iterator[Intent]:
        under_way = sum(
            host.wave == name and host.phase is not Phase.SERVING
            for host in state.fleet.by_host.values()
        )
        room = wave.parallel - under_way
        candidates = list(_wave_candidates(state, name, wave))
        for candidate in self.policy.order(candidates, uses):
            if room <= 0:
                return
            host = state.fleet.by_host[candidate.host]
            pool = state.configuration.pools[host.pool]
            use = uses[host.pool]
            if use.room(pool.max_away, pool.max_away_per_rack, host.rack):
                room -= 1
                yield Intent(self.new_id(), candidate.host, "drain", name)


def _may_reboot(state: ControlState, name: str, host: FleetHost) -> bool:
    """Tell whether the host's wave still wants it rebooted."""
    wave = state.configuration.waves.get(host.wave or "")
    if wave is None or host.wave is None or host.rebooted:
        return False
    if wave_is_paused(state.fleet, host.wave, wave):
        return False
    return host.phase in {Phase.DRAINED, Phase.FAILED}


def _stand_ins_placed(state: ControlState) -> Iterator[tuple[str, str]]:
    """Yield each spare host that is in, or on its way to, a pool that is not spare."""
    pools = state.configuration.pools
    for name, host in state.fleet.by_host.items():
        if not pools[state.configuration.hosts[name].pool].spare:
            continue
        place = pools.get(host.to_pool or host.pool)
        if place is not None and not place.spare:
            yield name, host.to_pool or host.pool


def _stand_ins_wanted(state: ControlState) -> dict[str, str]:
    """Return the stand-ins that their pool still needs; those that are there first."""
    missing = Counter({p: len(names) for p, names in _lost_by_pool(state).items()})
    placed = sorted(
        _stand_ins_placed(state),
        key=lambda place: (state.fleet.by_host[place[0]].pool != place[1], place),
    )
    wanted = {}
    for name, pool in placed:
        if missing[pool] > 0:
            missing[pool] -= 1
            wanted[name] = pool
    return wanted


def _weights(configuration: Configuration) -> Weights:
    return configuration.weights.get(DEFAULT_WEIGHTS) or Weights()


def _lost_by_pool(state: ControlState) -> dict[str, list[str]]:
    """Return the hosts that pools lack because they failed, by the notes' pool."""
    lost: dict[str, list[str]] = {}
    for name, host in state.fleet.by_host.items():
        pool = state.configuration.hosts[name].pool
        gone = host.phase is Phase.FAILED or host.seen == "missing"
        if gone and host.phase is not Phase.REBOOTING:
            lost.setdefault(pool, []).append(name)
    pools = state.configuration.pools
    return {
        pool: sorted(names) for pool, names in lost.items() if not pools[pool].spare
    }


def _spare_hosts(state: ControlState) -> list[str]:
    pools = state.configuration.pools
    return [
        name
        for name, host in state.fleet.by_host.items()
        if host.serving and host.pool in pools and pools[host.pool].spare
    ]


def _distance(fleet: FleetState, spare: str, lost: FleetHost) -> tuple[bool, bool, str]:
    """Order spares by how far they are: same data centre first, then another rack.

    A spare in the rack of a failed host may well fail with it.
    """
    host = fleet.by_host[spare]
    return host.data_centre != lost.data_centre, host.rack == lost.rack, spare


def _wave_candidates(
    state: ControlState, name: str, wave: Wave
) -> Iterator[WaveCandidate]:
    progress = state.fleet.by_wave[name]
    left = [
        (host_name, state.fleet.by_host[host_name])
        for host_name in wave_hosts(state.configuration, wave)
        if host_name not in progress.done
        and state.fleet.by_host[host_name].phase is Phase.SERVING
    ]
    left_in_pool = Counter(host.pool for _, host in left)
    left_in_rack = Counter((host.pool, host.rack) for _, host in left)
    for host_name, host in left:
        pool: Pool | None = state.configuration.pools.get(host.pool)
        if pool is None or not host.serving:
            continue
        yield WaveCandidate(
            host=host_name,
            pool=host.pool,
            rack=host.rack,
            left_in_pool=left_in_pool[host.pool],
            left_in_rack=left_in_rack[host.pool, host.rack],
            max_away=pool.max_away,
        )
