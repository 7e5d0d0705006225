"""Roll-out time, moves and buffer of maintenance waves, beside plain baselines.

The fold and the planner are the product's, the hosts the stand-in's; the time is
simulated.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from random import Random

from geraniumshore import (
    Items,
    LargestBatch,
    OneAtATime,
    PlannerTimes,
    ReleaseNote,
    RollingWave,
    Wave,
    WavePolicy,
    Weights,
)
from geraniumshore_standins.internal.fleet_simulation import (
    Deployment,
    FleetSimulation,
)
from geraniumshore_standins.internal.platform_hosts import HostTimes

__all__ = ["MoveFigures", "WaveFigures", "move_figures", "run_wave", "wave_figures"]

TIMES = HostTimes(drain=30, reboot=240, move=10, list_lag=5)
PLANNER_TIMES = PlannerTimes(drain_report=120, reboot_limit=900)
STEP_SECONDS = 1.0
CYCLE_SECONDS = 6 * 7 * 24 * 3600
MOST_SECONDS = 48 * 3600.0
REPAIR_SECONDS = 3600.0
# The work on hosts differs, so some drain longer than others.
SHORTEST_DRAIN_SECONDS, LONGEST_DRAIN_SECONDS = 10.0, 240.0
SEED = 7

SIZES = {
    "5x6 in 3": Deployment(5, 6, 3, max_away=2, max_away_per_rack=1),
    "5x8 in 4": Deployment(5, 8, 4, max_away=2, max_away_per_rack=1),
}
POLICIES: dict[str, Callable[[], WavePolicy]] = {
    "rolling": RollingWave,
    "one at a time per pool": OneAtATime,
    "largest batch": LargestBatch,
}
PRESETS = {
    "spare-is-cheap": Weights.from_preset("spare-is-cheap"),
    "moves-are-dear": Weights.from_preset("moves-are-dear"),
}


@dataclass(frozen=True, slots=True)
class WaveFigures:
    """What one wave over every host took.

    ``bound_minutes`` is what budgets, the times of drain and reboot, and the last
    repair allow at best; ``spare_host_hours`` counts hosts in another pool than the
    notes', and ``capacity_lost`` is the part of the fleet that is away on average when
    each host is done once in 6 weeks.
    """

    size: str
    policy: str
    preset: str
    faults: bool
    ended: bool
    minutes: float
    bound_minutes: float
    drains: int
    moves: int
    spare_host_hours: float
    short_host_hours: float
    budget_breaks: int
    capacity_lost: float


def wave_figures() -> Iterator[WaveFigures]:
    """Yield the figures of every size, policy, preset and kind of day."""
    for size in SIZES:
        for faults in (False, True):
            for policy in POLICIES:
                yield run_wave(size, policy, "moves-are-dear", faults)
            yield run_wave(size, "rolling", "spare-is-cheap", faults)


def run_wave(size: str, policy: str, preset: str, faults: bool) -> WaveFigures:
    """Run one wave over all hosts, with or without failures, to its end."""
    deployment = SIZES[size]
    pools = [f"p{number}" for number in range(deployment.pools)]
    wave = Wave("kernel", pools=pools, parallel=100, max_failures=3)
    note = deployment.note({"w": wave})
    update = {"weights": {"default": PRESETS[preset]}}
    note = note.model_copy(update={"added": note.added.model_copy(update=update)})
    sim = FleetSimulation(note, TIMES, PLANNER_TIMES, POLICIES[policy]())
    random = Random(SEED)
    for host in sim.hosts.by_host.values():
        host.drain_seconds = random.uniform(
            SHORTEST_DRAIN_SECONDS, LONGEST_DRAIN_SECONDS
        )
    began = sim.now
    run = _Run(sim, wave, faults)
    while not run.ended and sim.now - began < MOST_SECONDS:
        run.step()
    return WaveFigures(
        size=size,
        policy=policy,
        preset=preset,
        faults=faults,
        ended=run.ended,
        minutes=round((sim.now - began) / 60, 1),
        bound_minutes=round(max(_bound_seconds(sim), run.last_repair) / 60, 1),
        drains=sim.accepted["drain"],
        moves=sim.hosts.moves,
        spare_host_hours=round(run.spare_seconds / 3600, 2),
        short_host_hours=round(run.short_seconds / 3600, 2),
        budget_breaks=len(sim.violations),
        capacity_lost=round(run.short_seconds / _hosts(deployment) / CYCLE_SECONDS, 7),
    )


def _hosts(deployment: Deployment) -> int:
    return deployment.pools * deployment.hosts_per_pool


def _bound_seconds(sim: FleetSimulation) -> float:
    """Return the least time that any schedule within the budgets takes.

    Each pool's drains and reboots, one after another, over the most hosts that may be
    away at once; and no less than its longest host.
    """
    times_by_pool: dict[str, list[float]] = {}
    for host in sim.hosts.by_host.values():
        drain = host.drain_seconds or TIMES.drain
        times_by_pool.setdefault(host.pool, []).append(drain + TIMES.reboot)
    pools = sim.state.configuration.pools
    return max(
        max(sum(times) / pools[name].max_away, max(times))
        for name, times in times_by_pool.items()
    )


class _Run:
    """One wave under way, with the failures that a script brings about.

    A host breaks before its turn, another does not come back from its reboot, and
    later the hosts of a rack go down at once. Each is repaired after an hour, and an
    operator lets a halted wave go on.
    """

    def __init__(self, sim: FleetSimulation, wave: Wave, faults: bool) -> None:
        self.sim = sim
        self.wave = wave
        self.spare_seconds = 0.0
        self.short_seconds = 0.0
        self._repairs: list[tuple[float, str]] = []
        self._due = list(self._script()) if faults else []
        self.last_repair = 0.0
        if self._due:
            self.last_repair = self._due[-1][0] + REPAIR_SECONDS + TIMES.reboot
        self._began = sim.now

    @property
    def ended(self) -> bool:
        """Tell whether every host is done and where it belongs."""
        if self.sim.left("w") or self._due or self._repairs:
            return False
        return _in_place(self.sim)

    def step(self) -> None:
        """Let one step pass."""
        sim = self.sim
        self._break_hosts()
        sim.step(STEP_SECONDS)
        hosts = sim.state.fleet.by_host
        noted = sim.state.configuration.hosts
        stand_ins = sum(host.pool != noted[n].pool for n, host in hosts.items())
        self.spare_seconds += stand_ins * STEP_SECONDS
        self.short_seconds += sum(not h.serving for h in hosts.values()) * STEP_SECONDS
        if sim.state.fleet.by_wave["w"].halted:
            base = sim.state.configuration.version
            sim.release(ReleaseNote(base=base, changed=Items(waves={"w": self.wave})))

    def _script(self) -> Iterator[tuple[float, tuple[str, ...]]]:
        names = sorted(self.sim.state.configuration.hosts)
        rack = self.sim.state.configuration.hosts[names[-1]].rack
        yield 60.0, (names[3],)
        yield 400.0, (names[0],)
        yield 900.0, tuple(n for n in names if self._rack(n) == rack)

    def _rack(self, name: str) -> str:
        return self.sim.state.configuration.hosts[name].rack

    def _break_hosts(self) -> None:
        now = self.sim.now
        while self._due and now - self._began >= self._due[0][0]:
            for name in self._due.pop(0)[1]:
                self.sim.hosts.fail(name, now)
                self._repairs.append((now + REPAIR_SECONDS, name))
        for at, name in [r for r in self._repairs if r[0] <= now]:
            self.sim.hosts.repair(name, now)
            self._repairs.remove((at, name))


@dataclass(frozen=True, slots=True)
class MoveFigures:
    """What a note that moves hosts between pools took."""

    size: str
    least_moves: int
    moves: int
    drains: int
    minutes: float
    budget_breaks: int


def move_figures() -> Iterator[MoveFigures]:
    """Yield, for each size, what it took to swap a third of two pools' hosts."""
    for size, deployment in SIZES.items():
        sim = FleetSimulation(deployment.note({}), TIMES, PLANNER_TIMES)
        sim.run(60, STEP_SECONDS)
        swapped = deployment.hosts_per_pool // 3
        hosts = sim.state.configuration.hosts
        moved = {
            name: replace(host, pool=to_pool)
            for from_pool, to_pool in (("p0", "p1"), ("p1", "p0"))
            for name, host in [(n, h) for n, h in hosts.items() if h.pool == from_pool][
                :swapped
            ]
        }
        sim.release(ReleaseNote(base=1, changed=Items(hosts=moved)))
        began = sim.now
        while not _in_place(sim) and sim.now - began < MOST_SECONDS:
            sim.step(STEP_SECONDS)
        yield MoveFigures(
            size=size,
            least_moves=len(moved),
            moves=sim.hosts.moves,
            drains=sim.accepted["drain"],
            minutes=round((sim.now - began) / 60, 1),
            budget_breaks=len(sim.violations),
        )


def _in_place(sim: FleetSimulation) -> bool:
    noted = sim.state.configuration.hosts
    return all(
        host.serving and host.pool == noted[name].pool
        for name, host in sim.state.fleet.by_host.items()
    )


if __name__ == "__main__":
    for wave_result in wave_figures():
        print(json.dumps(asdict(wave_result)))
    for move_result in move_figures():
        print(json.dumps(asdict(move_result)))
