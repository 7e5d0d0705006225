"""Roll-out time, moves and spare hosts of maintenance waves, compared with baselines.

The product's fold and planner run against the platform stand-in's hosts in simulated
time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
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
from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.fleet_simulation import (
    Deployment,
    FleetSimulation,
)
from geraniumshore_standins.internal.platform_hosts import HostTimes

__all__ = [
    "MoveFigures",
    "WaveExperiment",
    "WaveFigures",
    "move_figures",
    "run_wave",
    "wave_figures",
]

TIMES = HostTimes(drain=30, reboot=240, move=10, list_lag=5)
PLANNER_TIMES = PlannerTimes(drain_report=120, reboot_limit=900)
STEP_SECONDS = 1.0
WAVE_INTERVAL_SECONDS = 6 * 7 * 24 * 3600
TIMEOUT_SECONDS = 48 * 3600.0
REPAIR_SECONDS = 3600.0
# Each host gets a random drain time in this range, as work on hosts differs.
MIN_DRAIN_SECONDS, MAX_DRAIN_SECONDS = 10.0, 240.0
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
    """Cost of one wave over all hosts.

    ``bound_minutes`` is a lower bound from the budgets, the drain and reboot times and
    the last repair. ``spare_host_hours`` counts hosts that are in another pool than
    configured, ``short_host_hours`` hosts that are not serving. ``capacity_lost`` is
    the average fraction of the fleet out of service if every host takes part in a wave
    once in 6 weeks.
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


def wave_figures(seed: int) -> Iterator[WaveFigures]:
    """Yield results for every size, policy and preset, with and without faults."""
    for size in SIZES:
        for faults in (False, True):
            for policy in POLICIES:
                yield run_wave(size, policy, "moves-are-dear", faults, seed)
            yield run_wave(size, "rolling", "spare-is-cheap", faults, seed)


def run_wave(
    size: str, policy: str, preset: str, faults: bool, seed: int = SEED
) -> WaveFigures:
    """Run one wave over all hosts to completion, with or without host failures."""
    deployment = SIZES[size]
    pools = [f"p{number}" for number in range(deployment.pools)]
    wave = Wave("kernel", pools=pools, parallel=100, max_failures=3)
    note = deployment.note({"w": wave})
    update = {"weights": {"default": PRESETS[preset]}}
    note = note.model_copy(update={"added": note.added.model_copy(update=update)})
    sim = FleetSimulation(note, TIMES, PLANNER_TIMES, POLICIES[policy]())
    random = Random(seed)
    for host in sim.hosts.by_host.values():
        host.drain_seconds = random.uniform(MIN_DRAIN_SECONDS, MAX_DRAIN_SECONDS)
    began = sim.now
    run = _WaveRun(sim, wave, faults)
    while not run.ended and sim.now - began < TIMEOUT_SECONDS:
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
        capacity_lost=round(
            run.short_seconds / _host_count(deployment) / WAVE_INTERVAL_SECONDS, 7
        ),
    )


def _host_count(deployment: Deployment) -> int:
    return deployment.pools * deployment.hosts_per_pool


def _bound_seconds(sim: FleetSimulation) -> float:
    """Return a lower bound on the duration of any schedule within the budgets.

    For each pool, it is the sum of its drains and reboots divided by ``max_away``, and
    at least the time of its slowest host.
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


class _WaveRun:
    """One wave in progress, with scheduled host failures.

    A host fails before its drain, another one while it reboots, and later all hosts of
    a rack at once. Each is repaired after an hour. A release note resumes the wave
    whenever it is halted, as an operator would.
    """

    def __init__(self, sim: FleetSimulation, wave: Wave, faults: bool) -> None:
        self.sim = sim
        self.wave = wave
        self.spare_seconds = 0.0
        self.short_seconds = 0.0
        self._pending_repairs: list[tuple[float, str]] = []
        self._pending_failures = list(self._scheduled_failures()) if faults else []
        self.last_repair = 0.0
        if self._pending_failures:
            self.last_repair = (
                self._pending_failures[-1][0] + REPAIR_SECONDS + TIMES.reboot
            )
        self._began = sim.now

    @property
    def ended(self) -> bool:
        """Return whether every host is done, repaired and in its configured pool."""
        if (
            self.sim.remaining_hosts("w")
            or self._pending_failures
            or self._pending_repairs
        ):
            return False
        return _all_serving_in_configured_pool(self.sim)

    def step(self) -> None:
        """Apply due failures and repairs, and advance the simulation by one step."""
        sim = self.sim
        self._apply_failures_and_repairs()
        sim.step(STEP_SECONDS)
        hosts = sim.state.fleet.by_host
        configured_hosts = sim.state.configuration.hosts
        hosts_elsewhere = sum(
            host.pool != configured_hosts[n].pool for n, host in hosts.items()
        )
        self.spare_seconds += hosts_elsewhere * STEP_SECONDS
        self.short_seconds += sum(not h.serving for h in hosts.values()) * STEP_SECONDS
        if sim.state.fleet.by_wave["w"].halted:
            base = sim.state.configuration.version
            sim.release(ReleaseNote(base=base, changed=Items(waves={"w": self.wave})))

    def _scheduled_failures(self) -> Iterator[tuple[float, tuple[str, ...]]]:
        names = sorted(self.sim.state.configuration.hosts)
        rack = self.sim.state.configuration.hosts[names[-1]].rack
        yield 60.0, (names[3],)
        yield 400.0, (names[0],)
        yield 900.0, tuple(n for n in names if self._rack(n) == rack)

    def _rack(self, name: str) -> str:
        return self.sim.state.configuration.hosts[name].rack

    def _apply_failures_and_repairs(self) -> None:
        now = self.sim.now
        while (
            self._pending_failures and now - self._began >= self._pending_failures[0][0]
        ):
            for name in self._pending_failures.pop(0)[1]:
                self.sim.hosts.fail(name, now)
                self._pending_repairs.append((now + REPAIR_SECONDS, name))
        for at, name in [r for r in self._pending_repairs if r[0] <= now]:
            self.sim.hosts.repair(name, now)
            self._pending_repairs.remove((at, name))


@dataclass(frozen=True, slots=True)
class MoveFigures:
    """Cost of a release note that moves hosts between pools."""

    size: str
    least_moves: int
    moves: int
    drains: int
    minutes: float
    budget_breaks: int


def move_figures() -> Iterator[MoveFigures]:
    """Yield, for each size, the cost of swapping a third of two pools' hosts."""
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
        while (
            not _all_serving_in_configured_pool(sim)
            and sim.now - began < TIMEOUT_SECONDS
        ):
            sim.step(STEP_SECONDS)
        yield MoveFigures(
            size=size,
            least_moves=len(moved),
            moves=sim.hosts.moves,
            drains=sim.accepted["drain"],
            minutes=round((sim.now - began) / 60, 1),
            budget_breaks=len(sim.violations),
        )


def _all_serving_in_configured_pool(sim: FleetSimulation) -> bool:
    configured_hosts = sim.state.configuration.hosts
    return all(
        host.serving and host.pool == configured_hosts[name].pool
        for name, host in sim.state.fleet.by_host.items()
    )


@register
class WaveExperiment(Experiment):
    """Waves over all hosts by each policy, and a release note that swaps hosts."""

    name = "wave"
    purpose = "roll-out, moves and buffer of maintenance, beside plain baselines"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield measurements of every size, policy and preset, and of the swaps."""
        for wave in wave_figures(seed):
            failures = "faults" if wave.faults else "no faults"
            subject = f"{wave.size}, {failures}, {wave.policy}, {wave.preset}"
            yield Measurement(subject, "roll-out", wave.minutes, "min")
            yield Measurement(subject, "least roll-out", wave.bound_minutes, "min")
            yield Measurement(subject, "moves", wave.moves, "hosts")
            yield Measurement(subject, "spare use", wave.spare_host_hours, "host h")
            yield Measurement(subject, "budget breaks", wave.budget_breaks, "")
            yield Measurement(subject, "capacity lost", wave.capacity_lost, "of 1")
        for swap in move_figures():
            subject = f"{swap.size}, swap of hosts"
            yield Measurement(subject, "roll-out", swap.minutes, "min")
            yield Measurement(subject, "least moves", swap.least_moves, "hosts")
            yield Measurement(subject, "moves", swap.moves, "hosts")
            yield Measurement(subject, "budget breaks", swap.budget_breaks, "")
