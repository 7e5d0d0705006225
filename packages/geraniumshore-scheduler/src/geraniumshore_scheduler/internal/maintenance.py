"""Plans maintenance waves: drains each machine, then orders its maintenance in time."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import (
    MachineListing,
    MaintenanceWave,
    TaskKey,
)
from geraniumshore_scheduler.internal.runs import OpenJob, Run

__all__ = ["AnnouncedWave", "MachineMaintenance", "WaveRegistry", "may_interrupt"]

# Time to drain and maintain one machine, used to spread the machines of a wave over its
# duration: the tasks of a few steps end, long-running tasks start on other minions,
# then the maintenance takes place.
MACHINE_TURNAROUND_S = 5.0
# The share of a wave's remaining time that is planned for. The rest is a reserve for
# faults.
PLANNED_TIME_SHARE = 0.45
# From this long before the end of a wave a machine is maintained although batch tasks
# still run on it; the maintenance ends them.
FORCED_MAINTENANCE_S = 3.0


class Stage(enum.Enum):
    """The progress of a machine in its wave."""

    DUE = "due"
    DRAINING = "emptying"
    ORDERED = "ordered"
    DOWN = "down"
    DONE = "done"


@dataclass(slots=True)
class MachineMaintenance:
    """One machine of a wave; ``minion_id`` is the minion that the maintenance ends."""

    machine: str
    wave: int
    stage: Stage = Stage.DUE
    minion_id: str | None = None


@dataclass(frozen=True, slots=True)
class AnnouncedWave:
    """A wave and the bounds that a node knows for the time of its announcement.

    ``latest`` is when the node read the announcement. ``earliest`` is when it had last
    read the whole log before that, minus infinity if this process never had.
    """

    wave: MaintenanceWave
    earliest: float
    latest: float

    def announced_at(self, recorded_end: float | None) -> float:
        """Return the time to assume for the announcement.

        A node that was disconnected or has just started reads the announcement late. If
        a former owner recorded the end of the wave, the time follows from that. It is
        clamped to the node's own bounds, because the record depends on clocks that may
        jump. Without a record the lower bound is assumed if there is one, since late
        maintenance is worse than early maintenance.
        """
        if recorded_end is None:
            return self.latest if math.isinf(self.earliest) else self.earliest
        by_record = recorded_end - self.wave.within_s
        return min(max(by_record, self.earliest), self.latest)


@dataclass(slots=True)
class _WaveState:
    wave: MaintenanceWave
    end_at: float
    maintenance_by_machine: dict[str, MachineMaintenance]
    reported_state: str = ""

    @property
    def down_count(self) -> int:
        """The number of machines that are down or may be."""
        stages = (Stage.ORDERED, Stage.DOWN)
        return sum(m.stage in stages for m in self.maintenance_by_machine.values())

    def down_count_of_former_owners(
        self, machine_by_name: Mapping[str, MachineListing], maybe_down: Collection[str]
    ) -> int:
        """Count the machines that are or may be down by orders of a former owner."""
        return sum(
            maintenance.stage not in (Stage.ORDERED, Stage.DOWN)
            and (
                machine in maybe_down
                or (
                    machine in machine_by_name
                    and machine_by_name[machine].in_maintenance
                )
            )
            for machine, maintenance in self.maintenance_by_machine.items()
        )

    @property
    def done(self) -> bool:
        """Whether the maintenance of every machine has begun."""
        stages = (Stage.DOWN, Stage.DONE)
        return all(m.stage in stages for m in self.maintenance_by_machine.values())


def may_interrupt(run: Run, job: OpenJob, view_by_id: Mapping[str, MinionView]) -> bool:
    """Return whether a long-running task may be stopped within its step's budget.

    Each other task of the step that is not at work counts as missing, whatever the
    cause. So does one on an unresponsive minion, as it may have ended since the last
    report, and a run that a former owner may have stopped, until it would have ended.
    Of a step without a budget one task at a time may be missing.
    """
    if not run.step.lasting:
        return True
    missing = 0
    for position in range(run.step.count):
        task: TaskKey = run.task._replace(position=position)
        if task == run.task:
            continue
        other = job.runs.get(task)
        view = None if other is None else view_by_id.get(other.minion_id)
        responsive = view is not None and view.responsive
        if other is None or not responsive or not _stays_at_work(other):
            missing += 1
    return missing < max(1, run.step.may_miss or 0)


def _stays_at_work(run: Run) -> bool:
    return run.at_work and not (run.stop_wanted or run.maybe_stopped)


@dataclass(slots=True)
class WaveRegistry:
    """All announced waves and the progress of their machines."""

    _waves: dict[int, _WaveState] = field(default_factory=dict)

    def announce(
        self, wave: MaintenanceWave, announced_at: float, done: Iterable[str] = ()
    ) -> bool:
        """Add a wave; return whether it is new.

        ``done`` are the machines whose maintenance a former owner has begun.
        """
        if wave.number in self._waves:
            return False
        maintenance_by_machine = {
            machine: MachineMaintenance(machine, wave.number)
            for machine in wave.machines
        }
        for machine in done:
            if machine in maintenance_by_machine:
                maintenance_by_machine[machine].stage = Stage.DONE
        self._waves[wave.number] = _WaveState(
            wave, announced_at + wave.within_s, maintenance_by_machine
        )
        return True

    @property
    def busy(self) -> bool:
        """Whether some machine is still to be maintained or to come up again."""
        return any(
            maintenance.stage is not Stage.DONE
            for wave in self._waves.values()
            for maintenance in wave.maintenance_by_machine.values()
        )

    def unavailable_machines(self) -> set[str]:
        """Return the machines that are being drained or are down."""
        return {
            maintenance.machine
            for wave in self._waves.values()
            for maintenance in wave.maintenance_by_machine.values()
            if maintenance.stage not in (Stage.DUE, Stage.DONE)
        }

    def end_at(self, number: int) -> float:
        """Return the time by which all maintenance of a wave must have begun."""
        return self._waves[number].end_at

    def maintained(self, number: int) -> list[str]:
        """Return the machines of a wave whose maintenance has begun, for the log."""
        wave = self._waves[number]
        return sorted(
            maintenance.machine
            for maintenance in wave.maintenance_by_machine.values()
            if maintenance.stage in (Stage.DOWN, Stage.DONE)
        )

    def update_machines(self, machine_by_name: Mapping[str, MachineListing]) -> None:
        """Process a newer list of machines."""
        for wave in self._waves.values():
            for maintenance in wave.maintenance_by_machine.values():
                listed = machine_by_name.get(maintenance.machine)
                if listed is None:
                    # A machine that was removed needs no maintenance.
                    maintenance.stage = Stage.DONE
                elif maintenance.stage is Stage.DOWN:
                    # A machine that was off has no minion before or after. One that
                    # still has its minion was maintained earlier, by a former owner.
                    was_off = maintenance.minion_id is None
                    if listed.up and (was_off or listed.minion_id is not None):
                        maintenance.stage = Stage.DONE

    def plan(
        self,
        machine_by_name: Mapping[str, MachineListing],
        view_by_id: Mapping[str, MinionView],
        job_by_id: Mapping[str, OpenJob],
        standby_pools: Iterable[str],
        now: float,
        maybe_down: Collection[str] = (),
    ) -> Iterator[MachineMaintenance]:
        """Drain machines that are due; yield those whose maintenance is to be ordered.

        The yielded orders count as given, so ``on_answer`` must follow for each.
        ``maybe_down`` names the machines that a former owner may have taken down since
        the list was read.
        """
        standby = set(standby_pools)
        for wave in self._waves.values():
            former_owner_down = wave.down_count_of_former_owners(
                machine_by_name, maybe_down
            )
            self._start_draining(wave, machine_by_name, view_by_id, standby, now)
            forced = now > wave.end_at - FORCED_MAINTENANCE_S
            for maintenance in wave.maintenance_by_machine.values():
                if maintenance.stage is not Stage.DRAINING:
                    continue
                listed = machine_by_name.get(maintenance.machine)
                if listed is None or not listed.up:
                    continue
                view = view_by_id.get(listed.minion_id or "")
                drained = self._drain(view, job_by_id, view_by_id, forced)
                if (
                    drained
                    and wave.down_count + former_owner_down < wave.wave.most_at_once
                ):
                    maintenance.stage = Stage.ORDERED
                    maintenance.minion_id = listed.minion_id
                    yield maintenance

    def on_answer(self, maintenance: MachineMaintenance, begun: bool | None) -> None:
        """Process the answer to an order: begun, refused, or None for no answer.

        An order without an answer is sent again unchanged.
        """
        if begun is None:
            return
        maintenance.stage = Stage.DOWN if begun else Stage.DRAINING

    def unanswered(self) -> Iterator[MachineMaintenance]:
        """Yield the orders whose outcome is unknown."""
        for wave in self._waves.values():
            for maintenance in wave.maintenance_by_machine.values():
                if maintenance.stage is Stage.ORDERED:
                    yield maintenance

    def unreported_waves(self) -> Iterator[tuple[int, bool]]:
        """Yield number and completion of the waves whose state is not reported yet."""
        for number, wave in self._waves.items():
            state = "done" if wave.done else "running"
            if state != wave.reported_state:
                yield number, wave.done

    def mark_reported(self, number: int, done: bool) -> None:
        """Record that the state of a wave was reported to operators."""
        self._waves[number].reported_state = "done" if done else "running"

    @staticmethod
    def _start_draining(
        wave: _WaveState,
        machine_by_name: Mapping[str, MachineListing],
        view_by_id: Mapping[str, MinionView],
        standby: set[str],
        now: float,
    ) -> None:
        """Start to drain machines: standby ones at once, others spread over time."""
        due = [m for m in wave.maintenance_by_machine.values() if m.stage is Stage.DUE]
        if not due:
            return
        active = sum(
            m.stage in (Stage.DRAINING, Stage.ORDERED, Stage.DOWN)
            for m in wave.maintenance_by_machine.values()
        )
        planned_s = (wave.end_at - now) * PLANNED_TIME_SHARE
        max_active = wave.wave.most_at_once
        if planned_s > 0:
            max_active = min(
                max_active, math.ceil(len(due) * MACHINE_TURNAROUND_S / planned_s)
            )

        def drain_cost(maintenance: MachineMaintenance) -> tuple[bool, int, str]:
            listed = machine_by_name.get(maintenance.machine)
            view = view_by_id.get(listed.minion_id or "") if listed else None
            is_standby = listed is not None and listed.pool in standby
            return (
                not is_standby,
                0 if view is None else len(view.runs),
                maintenance.machine,
            )

        for maintenance in sorted(due, key=drain_cost):
            listed = machine_by_name.get(maintenance.machine)
            if listed is None or not listed.up:
                continue
            if listed.pool not in standby:
                if active >= max_active:
                    continue
                active += 1
            maintenance.stage = Stage.DRAINING

    @staticmethod
    def _drain(
        view: MinionView | None,
        job_by_id: Mapping[str, OpenJob],
        view_by_id: Mapping[str, MinionView],
        forced: bool,
    ) -> bool:
        """Drain a machine; return whether its maintenance may be ordered."""
        if view is None:
            return True
        view.cordoned = True
        has_long_running = False
        for run in view.runs.values():
            job = job_by_id.get(run.task.job_id)
            if not run.step.lasting:
                continue
            has_long_running = True
            if job is None or run.stop_wanted:
                continue
            if may_interrupt(run, job, view_by_id):
                view.request_stop(run)
        return not view.runs or (forced and not has_long_running)
