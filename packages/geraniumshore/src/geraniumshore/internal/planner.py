"""Plans the intents that bring the fleet to the state that release notes ask for.

The planner has no side effects and is level-triggered: each call compares the whole
folded state with the configuration and returns the records to append. Any member may
run it at any time, because the fold voids intents that conflict with the state. A
planner that crashes, or two that run at once, therefore only cost time.
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
    "replacement_delay_seconds",
]

# The home of this ledger key is the member that runs the planner.
PLANNER_KEY = "planner"
DEFAULT_WEIGHTS = "default"
MAX_HOSTS_PER_RECORD = 500
# A spare host that replaces another one moves to its pool and back.
MOVES_PER_REPLACEMENT = 2
MAX_REPLACEMENT_DELAY_SECONDS = 30 * 24 * 3600.0

PlannerRecord = HostsObserved | Intent | IntentReport


@dataclass(frozen=True, slots=True)
class PlannerTimes:
    """How long a drain or reboot may take before it is reported, in seconds."""

    drain_report: float = 60.0
    reboot_limit: float = 900.0


@dataclass(frozen=True, slots=True)
class WaveCandidate:
    """A host that a wave may drain, and what remains to do in its pool and rack."""

    host: str
    pool: str
    rack: str
    remaining_in_pool: int
    remaining_in_rack: int
    max_away: int


class WavePolicy(ABC):
    """Chooses the order in which a wave drains hosts."""

    @abstractmethod
    def order(
        self, candidates: Sequence[WaveCandidate], uses: Mapping[str, PoolUse]
    ) -> Iterator[WaveCandidate]:
        """Yield the hosts to drain now, in order of priority.

        The planner skips those that a pool's availability budget does not allow.
        """


class RollingWave(WavePolicy):
    """Uses every budget fully; pools and racks with the most work left go first."""

    def order(
        self, candidates: Sequence[WaveCandidate], uses: Mapping[str, PoolUse]
    ) -> Iterator[WaveCandidate]:
        """Yield all, by rounds left in the pool, then by hosts left in the rack."""
        yield from sorted(
            candidates,
            key=lambda c: (
                -c.remaining_in_pool / max(1, c.max_away),
                -c.remaining_in_rack,
                c.host,
            ),
        )


class OneAtATime(WavePolicy):
    """Baseline: drains one host at a time in each pool."""

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
    """Baseline: fills the budget, then waits until the whole batch is back."""

    def order(
        self, candidates: Sequence[WaveCandidate], uses: Mapping[str, PoolUse]
    ) -> Iterator[WaveCandidate]:
        """Yield every host of the pools in which none is away."""
        idle = {pool for pool, use in uses.items() if use.away == 0}
        for candidate in sorted(candidates, key=lambda c: c.host):
            if candidate.pool in idle:
                yield candidate


def replacement_delay_seconds(weights: Weights) -> float:
    """Return how long to wait for a missing host before a spare replaces it.

    The wait ends when the missing host has cost as much as the moves would. Whatever
    the repair takes, this costs at most twice as much as the best choice in hindsight.
    """
    gain_per_hour = weights.roll_out - weights.buffer
    if gain_per_hour <= 0:
        return MAX_REPLACEMENT_DELAY_SECONDS
    hours = MOVES_PER_REPLACEMENT * weights.moves / gain_per_hour
    return min(MAX_REPLACEMENT_DELAY_SECONDS, hours * 3600)


@dataclass(slots=True)
class Planner:
    """The planner of one member. Times are the member's monotonic clock in seconds."""

    new_id: Callable[[], str]
    policy: WavePolicy = field(default_factory=RollingWave)
    times: PlannerTimes = field(default_factory=PlannerTimes)
    view: FleetView = field(default_factory=FleetView)
    _first_seen: dict[str, float] = field(default_factory=dict)
    _missing_since: dict[str, float] = field(default_factory=dict)

    def on_list(
        self, state: ControlState, listed: Sequence[ListedHost], now: float
    ) -> None:
        """Process a new list of the platform's hosts."""
        self.view.on_list(listed, state.fleet.by_host, now)

    def plan(
        self, state: ControlState, statuses: Mapping[str, ActionStatus], now: float
    ) -> list[PlannerRecord]:
        """Return the records to append now.

        ``statuses`` is what the platform reports about the open intents, by intent id.
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
        blockers = list(status.holding) if status is not None else []
        if host.phase is Phase.DRAINING:
            busy_services = services_on_host(configuration, name) - set(
                host.quiet_services
            )
            blockers += [f"service {service}" for service in sorted(busy_services)]
        if status is not None and status.state == "done" and not blockers:
            return IntentReport(self.new_id(), host.intent, name, "done", status.boot)
        detail = "held by " + (", ".join(blockers) or "the platform")
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
        """Yield the next step of every host that has completed one."""
        replacements = _needed_replacements(state)
        for name, host in state.fleet.by_host.items():
            if host.intent is not None or host.phase is Phase.SERVING:
                continue
            target = replacements.get(name) or state.configuration.hosts[name].pool
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
        for intent in self._proposed_drains(state, uses, now):
            host = state.fleet.by_host[intent.host]
            pool = pools.get(host.pool)
            if intent.host in taken:
                continue
            if pool is not None:
                use = uses[host.pool]
                if not use.allows_drain(
                    pool.max_away, pool.max_away_per_rack, host.rack
                ):
                    continue
                use.count_drain(host.rack)
            taken.add(intent.host)
            yield intent

    def _proposed_drains(
        self, state: ControlState, uses: dict[str, PoolUse], now: float
    ) -> Iterator[Intent]:
        yield from self._replacement_drains(state, uses, now)
        yield from self._relocation_drains(state, uses)
        for name, wave in state.configuration.waves.items():
            if not wave_is_paused(state.fleet, name, wave):
                yield from self._wave_drains(state, uses, name, wave)

    def _relocation_drains(
        self, state: ControlState, uses: Mapping[str, PoolUse]
    ) -> Iterator[Intent]:
        """Yield drains of serving hosts that belong in another pool.

        Pools with the largest shortfall get their hosts first.
        """
        replacements = _needed_replacements(state)
        wanted = []
        for name, host in state.fleet.by_host.items():
            target = replacements.get(name) or state.configuration.hosts[name].pool
            if host.serving and host.pool != target:
                wanted.append((-uses[target].shortfall, target, name))
        for _, target, name in sorted(wanted):
            yield Intent(self.new_id(), name, "drain", pool=target)

    def _replacement_drains(
        self, state: ControlState, uses: Mapping[str, PoolUse], now: float
    ) -> Iterator[Intent]:
        """Yield drains of spares for hosts that were missing for too long."""
        delay = replacement_delay_seconds(_weights(state.configuration))
        lost_by_pool = _lost_by_pool(state)
        lost = [name for names in lost_by_pool.values() for name in names]
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in lost
        }
        placed = Counter(pool for _, pool in _assigned_replacements(state))
        spares = _spare_hosts(state)
        for pool, names in lost_by_pool.items():
            overdue = [n for n in names if now - self._missing_since[n] >= delay]
            for name in overdue[placed[pool] :]:
                if not spares or uses[pool].shortfall - uses[pool].incoming < 1:
                    break
                lost_host = state.fleet.by_host[name]
                spare = min(
                    spares, key=lambda s: _replacement_rank(state.fleet, s, lost_host)
                )
                spares.remove(spare)
                uses[pool].incoming += 1
                yield Intent(self.new_id(), spare, "drain", pool=pool)

    def _wave_drains(
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
        available = wave.parallel - under_way
        candidates = list(_wave_candidates(state, name, wave))
        for candidate in self.policy.order(candidates, uses):
            if available <= 0:
                return
            host = state.fleet.by_host[candidate.host]
            pool = state.configuration.pools[host.pool]
            use = uses[host.pool]
            if use.allows_drain(pool.max_away, pool.max_away_per_rack, host.rack):
                available -= 1
                yield Intent(self.new_id(), candidate.host, "drain", name)


def _may_reboot(state: ControlState, name: str, host: FleetHost) -> bool:
    """Return whether the host's wave still has to reboot it."""
    wave = state.configuration.waves.get(host.wave or "")
    if wave is None or host.wave is None or host.rebooted:
        return False
    if wave_is_paused(state.fleet, host.wave, wave):
        return False
    return host.phase in {Phase.DRAINED, Phase.FAILED}


def _assigned_replacements(state: ControlState) -> Iterator[tuple[str, str]]:
    """Yield each spare host that is in, or moving to, a pool that is not spare."""
    pools = state.configuration.pools
    for name, host in state.fleet.by_host.items():
        if not pools[state.configuration.hosts[name].pool].spare:
            continue
        place = pools.get(host.to_pool or host.pool)
        if place is not None and not place.spare:
            yield name, host.to_pool or host.pool


def _needed_replacements(state: ControlState) -> dict[str, str]:
    """Return the replacements that pools still need, arrived ones first."""
    missing = Counter({p: len(names) for p, names in _lost_by_pool(state).items()})
    placed = sorted(
        _assigned_replacements(state),
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
    """Return the hosts that failed or are missing, by their configured pool."""
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


def _replacement_rank(
    fleet: FleetState, spare: str, lost: FleetHost
) -> tuple[bool, bool, str]:
    """Return a sort key that prefers spares in the same data centre and another rack.

    A spare in the rack of the failed host may fail for the same reason.
    """
    host = fleet.by_host[spare]
    return host.data_centre != lost.data_centre, host.rack == lost.rack, spare


def _wave_candidates(
    state: ControlState, name: str, wave: Wave
) -> Iterator[WaveCandidate]:
    progress = state.fleet.by_wave[name]
    remaining = [
        (host_name, state.fleet.by_host[host_name])
        for host_name in wave_hosts(state.configuration, wave)
        if host_name not in progress.done
        and state.fleet.by_host[host_name].phase is Phase.SERVING
    ]
    remaining_in_pool = Counter(host.pool for _, host in remaining)
    remaining_in_rack = Counter((host.pool, host.rack) for _, host in remaining)
    for host_name, host in remaining:
        pool: Pool | None = state.configuration.pools.get(host.pool)
        if pool is None or not host.serving:
            continue
        yield WaveCandidate(
            host=host_name,
            pool=host.pool,
            rack=host.rack,
            remaining_in_pool=remaining_in_pool[host.pool],
            remaining_in_rack=remaining_in_rack[host.pool, host.rack],
            max_away=pool.max_away,
        )
