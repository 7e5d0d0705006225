"""State of a running scenario: processes, loads and results of calls."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from geraniumshore import (
    GeneratedKey,
    Items,
    Key,
    Minion,
    Queue,
    ReleaseNote,
    Service,
    Team,
    Withdrawn,
)
from geraniumshore_standins.internal.balancer import Balancer
from geraniumshore_standins.internal.fleet import EntryProcess, Fleet, wait_for
from geraniumshore_standins.internal.hop import Hop
from geraniumshore_standins.internal.scenario.answers import CallResult, MinionRun
from geraniumshore_standins.internal.scenario.load import Load

__all__ = ["SERVICE", "World"]

SERVICE = "work"
RELEASE_TIMEOUT_SECONDS = 20.0
IDLE_TIMEOUT_SECONDS = 40.0


@dataclass(slots=True)
class World:
    """Settings, processes and results of one scenario run."""

    fleet: Fleet
    entries: int = 3
    minions: int = 2
    slots: int = 8
    work_ms: int = 20
    limit_by_team: dict[str, int] = field(default_factory=dict)
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    key_by_team: dict[str, GeneratedKey] = field(default_factory=dict)
    balancer: Balancer | None = None
    loads: list[Load] = field(default_factory=list)
    results: list[CallResult] = field(default_factory=list)
    version: int = 0
    log_hop_by_entry: dict[str, Hop] = field(default_factory=dict)
    work_hop_by_minion: dict[str, Hop] = field(default_factory=dict)
    behind_proxy: bool = False

    def begin(self, behind_proxy: bool = False) -> None:
        """Start the processes and apply the initial release note."""
        self.behind_proxy = behind_proxy
        self.fleet.start_platform()
        if behind_proxy:
            self.fleet.start_proxy()
        for number in range(self.minions):
            self.start_minion(f"m{number}")
        for number in range(self.entries):
            self.start_entry(f"e{number}")
        self.fleet.wait_for_minions()
        self.fleet.wait_until_ready()
        for minion in self.fleet.address_by_minion:
            self.fleet.set_minion_modes(minion, work_ms=self.work_ms)
        self.key_by_team = {t: self.fleet.make_key(t) for t in self.limit_by_team}
        self.apply(ReleaseNote(base=0, added=self._initial_items()))
        self.balancer = Balancer(self.fleet.entry_by_name)
        self.balancer.start()

    def start_entry(self, name: str) -> None:
        """Start an entry host, behind the proxy if the scenario uses one."""
        if not self.behind_proxy:
            self.fleet.start_entry(name)
            return
        hop = self.fleet.open_hop(self.fleet.platform_address)
        self.log_hop_by_entry[name] = hop
        self.fleet.start_entry(name, platform_address=hop.address, peer_proxied=True)

    def start_minion(self, name: str) -> None:
        """Start a minion, behind the proxy if the scenario uses one."""
        address = self.fleet.start_minion(name, self.slots)
        if self.behind_proxy:
            self.work_hop_by_minion[name] = self.fleet.open_hop(address)

    def hop(self, kind: str, name: str) -> Hop:
        """Return a hop by kind and host. Raises KeyError for an unknown hop."""
        by_kind = {
            "log": self.log_hop_by_entry,
            "peers": self.fleet.peer_hop_by_entry,
            "work": self.work_hop_by_minion,
        }
        return by_kind[kind][name]

    def end(self) -> None:
        """Stop loads and the balancer; the fleet kills its processes itself."""
        self.stop_loads()
        if self.balancer is not None:
            self.balancer.stop()

    def stop_loads(self) -> None:
        """Stop every load and store the results of its callers."""
        for load in self.loads:
            self.results.extend(load.stop())
        self.loads.clear()

    def apply(self, note: ReleaseNote) -> None:
        """Apply a release note through any entry host that answers."""
        wait_for(
            lambda: self._apply_once(note),
            "accepted release note",
            RELEASE_TIMEOUT_SECONDS,
        )
        self.version = note.base + 1

    def change(self, **sections: Items | Withdrawn) -> None:
        """Apply a release note based on the current version."""
        self.apply(ReleaseNote.model_validate({"base": self.version, **sections}))

    def entry(self, name: str) -> EntryProcess:
        """Return an entry host's process. Raises KeyError for an unknown name."""
        return self.fleet.entry_by_name[name]

    def running_entries(self) -> list[EntryProcess]:
        """Return the entry hosts whose process is running."""
        return [
            e for e in self.fleet.entry_by_name.values() if e.process.poll() is None
        ]

    def bearer(self, team: str) -> str:
        """Return a team's bearer token. Raises KeyError for an unknown team."""
        return self.key_by_team[team].bearer

    def runs(self) -> list[MinionRun]:
        """Wait until all minions are idle and return their completed runs."""
        wait_for(self._minions_idle, "idle minions", IDLE_TIMEOUT_SECONDS)
        return [
            MinionRun(
                run["body"], run["team"], run["queue"], run["began"], run["ended"], name
            )
            for name in self.fleet.address_by_minion
            for run in self.fleet.minion_counts(name)["runs"]
        ]

    def _minions_idle(self) -> bool:
        return not any(
            sum(self.fleet.minion_counts(name)["running_by_team"].values())
            for name in self.fleet.address_by_minion
        )

    def _apply_once(self, note: ReleaseNote) -> bool:
        for entry in self.running_entries():
            if not entry.ready():
                continue
            reply = entry.operator.post("releases", note.model_dump(mode="json"))
            if reply.status == 200:
                return True
            if reply.status == 409:
                # An earlier attempt may have succeeded although its answer was lost.
                version: int = entry.status()["version"]
                return version == note.base + 1
        time.sleep(0.1)
        return False

    def _work_address(self, minion: str) -> str:
        hop = self.work_hop_by_minion.get(minion)
        return hop.address if hop else self.fleet.address_by_minion[minion]

    def _initial_items(self) -> Items:
        return Items(
            services={SERVICE: Service()},
            minions={
                name: Minion(SERVICE, self._work_address(name), slots=self.slots)
                for name in self.fleet.address_by_minion
            },
            teams={
                name: Team(1.0, limit) for name, limit in self.limit_by_team.items()
            },
            keys={
                made.key_id: Key(team, made.key.salt, made.key.digest)
                for team, made in self.key_by_team.items()
            },
            queues=self.queue_by_name,
        )
