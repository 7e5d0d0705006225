"""Waves of upkeep: each machine is emptied before it goes down, and goes in time."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import (
    MachineListing,
    TaskKey,
    UpkeepWave,
)
from geraniumshore_scheduler.internal.runs import OpenJob, Run

__all__ = ["AnnouncedWave", "Upkeep", "WaveBook", "may_interrupt"]

# How long it takes to empty a machine and to maintain it, for spreading a wave over
# its time: a few steps' tasks end, lasting tasks start elsewhere, then the upkeep.
TURN_S = 5.0
# The share of a wave's time that is planned for; the rest is for what goes wrong.
PLANNED_SHARE = 0.45
# With so little time left, tasks on a machine that is due are ended by its upkeep.
LAST_CALL_S = 3.0


class Stage(enum.Enum):
    """Where a machine of a wave stands."""

    DUE = "due"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    DOWN = "down"
    DONE = "done"


@dataclass(slots=True)
class Upkeep:
    """One machine of a wave. ``minion_id`` is the minion that the upkeep ends."""

    machine: str
    wave: int
    stage: Stage = Stage.DUE
    minion_id: str | None = None


@dataclass(frozen=True, slots=True)
class AnnouncedWave:
    """A wave, and between which times it was announced, as far as a node knows.

    ``latest`` is when the node read of it, ``earliest`` when it had last read all that
    there was: minus infinity for a process that has read nothing before.
    """

    wave: UpkeepWave
    earliest: float
    latest: float

    def announced_at(self, recorded_end: float | None) -> float:
        """Return when to take the wave as announced.

        A node that was cut off, or has just started, reads of it late. A former owner's
        record of the wave's end tells more, within what the node knows by itself; it
        depends on clocks that may jump. Without one, too early is better than too late.
        """
        if recorded_end is None:
            return self.latest if math.isinf(self.earliest) else self.earliest
        by_record = recorded_end - self.wave.within_s
        return min(max(by_record, self.earliest), self.latest)


@dataclass(slots=True)
class _Wave:
    wave: UpkeepWave
    end_at: float
    upkeep_by_machine: dict[str, Upkeep]
    told: str = ""

    @property
    def down(self) -> int:
        """How many machines are down, or may be."""
        stages = (Stage.ORDERED, Stage.DOWN)
        return sum(u.stage in stages for u in self.upkeep_by_machine.values())

    def taken_down_by_others(
        self, machine_by_name: Mapping[str, MachineListing], maybe_down: Collection[str]
    ) -> int:
        """Count the machines that are down, or may be, by a former owner's orders."""
        return sum(
            upkeep.stage not in (Stage.ORDERED, Stage.DOWN)
            and (
                machine in maybe_down
                or (machine in machine_by_name and machine_by_name[machine].in_upkeep)
            )
            for machine, upkeep in self.upkeep_by_machine.items()
        )

    @property
    def done(self) -> bool:
        """Whether every machine has begun its upkeep."""
        stages = (Stage.DOWN, Stage.DONE)
        return all(u.stage in stages for u in self.upkeep_by_machine.values())


def may_interrupt(run: Run, job: OpenJob, view_by_id: Mapping[str, MinionView]) -> bool:
    """Tell whether a lasting task may be ended now within its step's budget.

    Every other task of the step that is not at work counts as missing, whatever the
    cause, and so does one on a minion that does not answer: it may be gone since its
    last report. A run that a former owner may have stopped counts as missing until it
    would have ended. A step without a budget gives up one task at a time.
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
        reached = view is not None and view.reached
        if other is None or not reached or not _stays_at_work(other):
            missing += 1
    return missing < max(1, run.step.may_miss or 0)


def _stays_at_work(run: Run) -> bool:
    return run.at_work and not (run.stop_wanted or run.maybe_stopped)


@dataclass(slots=True)
class WaveBook:
    """All waves that were announced, and how far each of their machines is."""

    _waves: dict[int, _Wave] = field(default_factory=dict)

    def announce(
        self, wave: UpkeepWave, announced_at: float, done: Iterable[str] = ()
    ) -> bool:
        """Take on a wave; tell whether it is new.

        ``done`` has the machines that a former owner maintained.
        """
        if wave.number in self._waves:
            return False
        upkeep_by_machine = {m: Upkeep(m, wave.number) for m in wave.machines}
        for machine in done:
            if machine in upkeep_by_machine:
                upkeep_by_machine[machine].stage = Stage.DONE
        self._waves[wave.number] = _Wave(
            wave, announced_at + wave.within_s, upkeep_by_machine
        )
        return True

    @property
    def busy(self) -> bool:
        """Whether some machine is still to be maintained or to come back."""
        return any(
            upkeep.stage is not Stage.DONE
            for wave in self._waves.values()
            for upkeep in wave.upkeep_by_machine.values()
        )

    def due_machines(self) -> set[str]:
        """Return the machines that are being emptied or are down."""
        return {
            upkeep.machine
            for wave in self._waves.values()
            for upkeep in wave.upkeep_by_machine.values()
            if upkeep.stage not in (Stage.DUE, Stage.DONE)
        }

    def end_at(self, number: int) -> float:
        """Return until when all upkeep of a wave is to have begun."""
        return self._waves[number].end_at

    def maintained(self, number: int) -> list[str]:
        """Return the machines of a wave whose upkeep has begun, for the log."""
        wave = self._waves[number]
        return sorted(
            upkeep.machine
            for upkeep in wave.upkeep_by_machine.values()
            if upkeep.stage in (Stage.DOWN, Stage.DONE)
        )

    def follow(self, machine_by_name: Mapping[str, MachineListing]) -> None:
        """Take in a newer list of machines."""
        for wave in self._waves.values():
            for upkeep in wave.upkeep_by_machine.values():
                listed = machine_by_name.get(upkeep.machine)
                if listed is None:
                    # A machine that was taken away needs no upkeep.
                    upkeep.stage = Stage.DONE
                elif upkeep.stage is Stage.DOWN:
                    # A machine that was off has no minion before or after; one that
                    # still has its minion was maintained before, by a former owner.
                    off = upkeep.minion_id is None
                    if listed.up and (off or listed.minion_id is not None):
                        upkeep.stage = Stage.DONE

    def plan(
        self,
        machine_by_name: Mapping[str, MachineListing],
        view_by_id: Mapping[str, MinionView],
        job_by_id: Mapping[str, OpenJob],
        standby_pools: Iterable[str],
        now: float,
        maybe_down: Collection[str] = (),
    ) -> Iterator[Upkeep]:
        """Empty machines that are due; yield those to order the upkeep of.

        The order counts as given: ``on_answer`` must follow. ``maybe_down`` names the
        machines that a former owner may have taken down since the list was read.
        """
        off = set(standby_pools)
        for wave in self._waves.values():
            others_down = wave.taken_down_by_others(machine_by_name, maybe_down)
            self._begin(wave, machine_by_name, view_by_id, off, now)
            last_call = now > wave.end_at - LAST_CALL_S
            for upkeep in wave.upkeep_by_machine.values():
                if upkeep.stage is not Stage.EMPTYING:
                    continue
                listed = machine_by_name.get(upkeep.machine)
                if listed is None or not listed.up:
                    continue
                view = view_by_id.get(listed.minion_id or "")
                empty = self._empty(view, job_by_id, view_by_id, last_call)
                if empty and wave.down + others_down < wave.wave.most_at_once:
                    upkeep.stage = Stage.ORDERED
                    upkeep.minion_id = listed.minion_id
                    yield upkeep

    def on_answer(self, upkeep: Upkeep, begun: bool | None) -> None:
        """Take in an order's answer: begun, refused, or None for no answer.

        An order without an answer is given again as it was.
        """
        if begun is None:
            return
        upkeep.stage = Stage.DOWN if begun else Stage.EMPTYING

    def unanswered(self) -> Iterator[Upkeep]:
        """Yield the orders whose outcome is not known."""
        for wave in self._waves.values():
            for upkeep in wave.upkeep_by_machine.values():
                if upkeep.stage is Stage.ORDERED:
                    yield upkeep

    def news(self) -> Iterator[tuple[int, bool]]:
        """Yield the waves of which operators are to be told, each change once."""
        for number, wave in self._waves.items():
            state = "done" if wave.done else "running"
            if state != wave.told:
                yield number, wave.done

    def note_told(self, number: int, done: bool) -> None:
        """Note that operators were told."""
        self._waves[number].told = "done" if done else "running"

    @staticmethod
    def _begin(
        wave: _Wave,
        machine_by_name: Mapping[str, MachineListing],
        view_by_id: Mapping[str, MinionView],
        off: set[str],
        now: float,
    ) -> None:
        """Choose the machines to empty: idle ones at once, others spread over time."""
        due = [u for u in wave.upkeep_by_machine.values() if u.stage is Stage.DUE]
        if not due:
            return
        active = sum(
            u.stage in (Stage.EMPTYING, Stage.ORDERED, Stage.DOWN)
            for u in wave.upkeep_by_machine.values()
        )
        left = (wave.end_at - now) * PLANNED_SHARE
        wanted = wave.wave.most_at_once
        if left > 0:
            wanted = min(wanted, math.ceil(len(due) * TURN_S / left))

        def cost(upkeep: Upkeep) -> tuple[bool, int, str]:
            listed = machine_by_name.get(upkeep.machine)
            view = view_by_id.get(listed.minion_id or "") if listed else None
            idle = listed is not None and listed.pool in off
            return not idle, 0 if view is None else len(view.runs), upkeep.machine

        for upkeep in sorted(due, key=cost):
            listed = machine_by_name.get(upkeep.machine)
            if listed is None or not listed.up:
                continue
            if listed.pool not in off:
                if active >= wanted:
                    continue
                active += 1
            upkeep.stage = Stage.EMPTYING

    @staticmethod
    def _empty(
        view: MinionView | None,
        job_by_id: Mapping[str, OpenJob],
        view_by_id: Mapping[str, MinionView],
        last_call: bool,
    ) -> bool:
        """Empty a machine; tell whether it is."""
        if view is None:
            return True
        view.cordoned = True
        lasting = False
        for run in view.runs.values():
            job = job_by_id.get(run.task.job_id)
            if not run.step.lasting:
                continue
            lasting = True
            if job is None or run.stop_wanted:
                continue
            if may_interrupt(run, job, view_by_id):
                view.want_stop(run)
        return not view.runs or (last_call and not lasting)
