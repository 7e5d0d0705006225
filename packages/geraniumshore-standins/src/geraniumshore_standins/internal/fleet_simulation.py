"""Runs the real fold and planner against simulated hosts in simulated time.

All decisions are made by the product's own code, and the hosts are those of the
platform stand-in. Only the clock is simulated.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from geraniumshore import (
    ActionStatus,
    ControlState,
    FleetHost,
    Host,
    Items,
    Join,
    ListedHost,
    LogEntry,
    MemberInfo,
    Planner,
    PlannerTimes,
    Pool,
    Record,
    Release,
    ReleaseNote,
    RollingWave,
    Verdict,
    Wave,
    WavePolicy,
    fold_entry,
    wave_hosts,
)
from geraniumshore_standins.internal.platform_hosts import (
    HostTimes,
    PlatformHost,
    PlatformHosts,
)

__all__ = ["Deployment", "FleetSimulation", "SimulatedPlanner"]

HOSTS_PER_RACK = 4
# Phases in which a host runs no work and no action on it is in progress.
IDLE_PHASES = {"drained", "rebooted", "failed"}


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size and budgets of a fleet. The last pool is a spare pool."""

    pools: int
    hosts_per_pool: int
    data_centres: int
    max_away: int = 1
    max_away_per_rack: int | None = 1

    def hosts(self) -> dict[str, Host]:
        """Return the hosts, spread over data centres, then over racks."""
        hosts = {}
        count = self.pools * self.hosts_per_pool
        racks_per_site = -(-count // (self.data_centres * HOSTS_PER_RACK))
        for number in range(count):
            pool, place = divmod(number, self.hosts_per_pool)
            site = place % self.data_centres
            rack = (pool + place // self.data_centres) % racks_per_site
            hosts[f"h{number:04}"] = Host(f"p{pool}", f"dc{site}", f"dc{site}-r{rack}")
        return hosts

    def note(self, waves: Mapping[str, Wave]) -> ReleaseNote:
        """Return the initial release note, which includes ``waves``."""
        pools = {
            f"p{number}": Pool(
                max_away=self.max_away, max_away_per_rack=self.max_away_per_rack
            )
            for number in range(self.pools - 1)
        }
        pools[f"p{self.pools - 1}"] = Pool(max_away=self.hosts_per_pool, spare=True)
        added = Items(pools=pools, hosts=self.hosts(), waves=dict(waves))
        return ReleaseNote(base=0, added=added)


@dataclass(slots=True)
class SimulatedPlanner:
    """Planner of one member with its own folded state, which may lag the log."""

    planner: Planner
    state: ControlState = field(default_factory=ControlState)
    paused: bool = False


class FleetSimulation:
    """In-memory log, hosts and planners.

    ``violations`` describes every intent that exceeded a budget or acted on a host in
    the wrong phase.
    """

    def __init__(
        self,
        note: ReleaseNote,
        times: HostTimes,
        planner_times: PlannerTimes,
        policy: WavePolicy | None = None,
        planners: int = 1,
    ) -> None:
        self.now = 1_000.0
        self.ids = itertools.count()
        self.entries: list[LogEntry] = []
        self.state = ControlState()
        self.hosts = PlatformHosts(times)
        self.planners = [
            SimulatedPlanner(
                Planner(self.new_id, policy or RollingWave(), planner_times)
            )
            for _ in range(planners)
        ]
        self.accepted: Counter[str] = Counter()
        self.violations: list[str] = []
        self.replies_to_lose = 0
        info = MemberInfo("m", "m", "dc0", "127.0.0.1:1", "127.0.0.1:2")
        self.append(Join(self.new_id(), 0, info))
        self.release(note)
        self.hosts.add(
            (
                PlatformHost(name, host.data_centre, host.rack, host.pool)
                for name, host in note.added.hosts.items()
            ),
            self.now,
        )

    def new_id(self) -> str:
        """Return a new unique id."""
        return f"i{next(self.ids)}"

    def release(self, note: ReleaseNote) -> Verdict:
        """Append a release note and return its verdict."""
        return self.append(Release(self.new_id(), note))[0]

    def append(self, *records: Record) -> list[Verdict]:
        """Append and fold records, checking the invariants after each."""
        entry = LogEntry(len(self.entries), int(self.now * 1000), records)
        self.entries.append(entry)
        verdicts = []
        before = dict(self.state.fleet.by_host)
        for verdict in fold_entry(self.state, entry):
            verdicts.append(verdict)
            after = dict(self.state.fleet.by_host)
            if verdict.accepted:
                self._count_accepted(verdict.record)
                self.violations.extend(
                    self._violations_by(verdict.record, before, after)
                )
            before = after
        return verdicts

    def step(self, seconds: float) -> None:
        """Advance the clock, then run each planner that is not paused once."""
        self.now += seconds
        self.hosts.advance(self.now)
        listed = [ListedHost(**entry) for entry in self.hosts.listed(self.now)]
        for member in self.planners:
            if not member.paused:
                self.plan_once(member, listed)

    def plan_once(self, member: SimulatedPlanner, listed: list[ListedHost]) -> None:
        """Fold the log up to its end, poll the platform, and plan."""
        for entry in self.entries[member.state.position :]:
            list(fold_entry(member.state, entry))
        self.plan_without_reading_log(member, listed)

    def plan_without_reading_log(
        self, member: SimulatedPlanner, listed: list[ListedHost]
    ) -> None:
        """Poll the platform and plan without reading the log first."""
        member.planner.on_list(member.state, listed, self.now)
        statuses = dict(self._statuses(member.state))
        records = member.planner.plan(member.state, statuses, self.now)
        if records:
            self.append(*records)

    def run(self, seconds: float, step: float) -> None:
        """Advance the clock by ``seconds`` in steps."""
        end = self.now + seconds
        while self.now < end:
            self.step(step)

    def remaining_hosts(self, wave: str) -> int:
        """Return the number of hosts that a wave has not completed."""
        covered = set(
            wave_hosts(self.state.configuration, self.state.configuration.waves[wave])
        )
        return len(covered - set(self.state.fleet.by_wave[wave].done))

    def _statuses(self, state: ControlState) -> Iterable[tuple[str, ActionStatus]]:
        for name, host in state.fleet.by_host.items():
            if host.intent is None:
                continue
            action = _ACTION_BY_PHASE[host.phase.value]
            if self.hosts.outage:
                continue
            answer = self.hosts.ensure(
                host.intent, name, action, host.to_pool, self.now
            )
            if self.replies_to_lose > 0:
                self.replies_to_lose -= 1
                continue
            yield (
                host.intent,
                ActionStatus(answer["state"], answer["boot"], tuple(answer["holding"])),
            )

    def _count_accepted(self, record: Record) -> None:
        label: str = record.kind
        if record.kind == "intent":
            label = record.action
        self.accepted[label] += 1

    def _violations_by(
        self,
        record: Record,
        before: dict[str, FleetHost],
        after: dict[str, FleetHost],
    ) -> Iterable[str]:
        """Yield the violations by a record, computed independently of the planner.

        Budgets are checked only when a drain takes a host out of service, as hosts
        that fail on their own may exceed any budget.
        """
        if record.kind != "intent":
            return
        host = after[record.host]
        phase = before[record.host].phase.value
        if record.action in {"reboot", "move"} and phase not in IDLE_PHASES:
            yield f"{record.host}: {record.action} while {phase}"
        pool = self.state.configuration.pools.get(host.pool)
        was_up = before[record.host].seen == "live"
        if record.action != "drain" or pool is None or not was_up:
            return
        away = [
            other
            for other in after.values()
            if other.pool == host.pool
            and (other.phase.value != "serving" or other.seen != "live")
            and other.phase.value != "arrived"
        ]
        if len(away) > pool.max_away:
            yield f"{record.host}: {len(away)} of {host.pool} away"
        in_rack = sum(other.rack == host.rack for other in away)
        limit = pool.max_away_per_rack
        if limit is not None and in_rack > limit:
            yield f"{record.host}: {in_rack} of {host.pool} away in {host.rack}"


_ACTION_BY_PHASE = {
    "draining": "drain",
    "moving": "move",
    "rebooting": "reboot",
    "returning": "return",
}
