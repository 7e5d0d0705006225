"""In-memory model of a minion: leases, fencing tokens, runs and completions.

Methods take the current time as an argument.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from geraniumshore_standins.internal.users_platform.gang_board import GangBoard
from geraniumshore_standins.internal.users_platform.log_model import Reply

__all__ = ["MinionModel", "TaskPlan"]

MS_PER_SECOND = 1000.0
MAX_LEASE_MS = 6000.0
STARTUP_MS = 300.0


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """How long a run works and how it completes.

    A run with ``how`` set to ``"lasts"`` does not complete by itself. With
    ``works_once_in`` only so few runs work; the others complete at once. ``gang`` is
    the number of tasks that only work together, 0 for those that work alone.
    """

    work_ms: float = 100.0
    how: str = "done"
    works_once_in: int = 1
    gang: int = 0

    @classmethod
    def from_spec(cls, spec: str) -> TaskPlan:
        """Read a plan from a job's spec, ``{"work_ms": 100, "how": "done"}``."""
        try:
            document = json.loads(spec)
        except ValueError:
            return cls()
        if not isinstance(document, dict):
            return cls()
        work_ms = document.get("work_ms", 100.0)
        how = str(document.get("how", "done"))
        works_once_in = int(document.get("works_once_in", 1))
        return cls(float(work_ms), how, works_once_in, int(document.get("gang", 0)))

    def of_run(self, number: int) -> TaskPlan:
        """Return what the run with a number does."""
        if number % self.works_once_in == 0:
            return self
        return replace(self, work_ms=0.0)


@dataclass(slots=True)
class _Run:
    number: int
    began_ms: float
    plan: TaskPlan
    cpu: int
    stopping_at: float | None = None


@dataclass(slots=True)
class MinionModel:
    """One incarnation of a minion.

    ``rate`` is the speed of its clock relative to real time. ``observe`` is called with
    kind, task, run and details of each event: ``start``, ``end``, ``noted`` when an
    owner acknowledges a completion, and ``over capacity``.
    """

    minion_id: str
    born: int
    started_at: float
    rate: float = 1.0
    stop_ms: float = 200.0
    cpu_capacity: int = 16_000
    ends_per_report: int = 500
    observe: Callable[[str, str, int, str], None] = lambda *_: None
    cpu_of: Callable[[str], int] = lambda _: 1000
    fence: int = 0
    lease_until: float = 0.0
    runs: dict[str, _Run] = field(default_factory=dict)
    highest_run_by_task: dict[str, int] = field(default_factory=dict)
    completed_runs: list[list[Any]] = field(default_factory=list)
    completion_count: int = 0
    acked: int = 0
    lapsed_after: int = 0
    remaining_ms: int | None = None
    gangs: GangBoard = field(default_factory=GangBoard)

    def crash(self) -> None:
        """End all runs without a word; the minion is gone."""
        for task, run in self.runs.items():
            if run.plan.gang:
                self.gangs.leave(task, run.number, "crash")
        self.runs.clear()

    def clock_ms(self, now: float) -> float:
        """Return the time of the minion's own clock."""
        return (now - self.started_at) * self.rate * MS_PER_SECOND

    def tick(self, now: float) -> None:
        """Complete the runs whose lease, stop or work is due."""
        clock = self.clock_ms(now)
        if clock >= self.lease_until:
            for task in list(self.runs):
                self._complete(task, "lapsed")
            self.lapsed_after = self.completion_count
        for task, run in list(self.runs.items()):
            if run.stopping_at is not None and clock >= run.stopping_at:
                self._complete(task, "stopped")
            elif run.plan.gang:
                work_s = run.plan.work_ms / MS_PER_SECOND
                how = self.gangs.end_of(task, run.number, run.plan.how, work_s, now)
                if how is not None:
                    self._complete(task, how)
            elif run.plan.how != "lasts" and clock - run.began_ms >= run.plan.work_ms:
                self._complete(task, run.plan.how)

    def hold(self, document: dict[str, Any], now: float) -> Reply:
        """Renew the lease, take acknowledgements and return a report."""
        self.tick(now)
        if (refused := self._check_fence(document, now)) is not None:
            return refused
        self._extend_lease(document.get("until_ms"), now)
        acked = int(document.get("acked_upto", 0))
        for end in self.completed_runs:
            # Runs completed before the lease lapsed may have been restarted elsewhere,
            # so their acknowledgement is not reported.
            if self.lapsed_after < end[0] <= acked:
                self.observe("noted", end[1], end[2], end[3])
        self.completed_runs = [end for end in self.completed_runs if end[0] > acked]
        self.acked = max(self.acked, acked)
        return self._report(now)

    def start(self, document: dict[str, Any], now: float) -> Reply:
        """Start a run, or refuse it if it is outdated or its lease is over."""
        self.tick(now)
        if (refused := self._check_fence(document, now)) is not None:
            return refused
        task, number = str(document["task"]), int(document["run"])
        clock = self.clock_ms(now)
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return Reply(200, {"clock_ms": int(clock)})
        if float(document["until_ms"]) <= clock:
            return self._refuse("late", now)
        self._extend_lease(document["until_ms"], now)
        if running is not None or number <= self.highest_run_by_task.get(task, 0):
            return self._refuse("old", now)
        cpu = self.cpu_of(task)
        used = sum(run.cpu for run in self.runs.values())
        if used + cpu > self.cpu_capacity:
            self.observe("over capacity", task, number, "")
        plan = TaskPlan.from_spec(str(document["spec"])).of_run(number)
        self.runs[task] = _Run(number, clock, plan, cpu)
        if plan.gang:
            self.gangs.join(task, number, plan.gang, now)
        self.observe("start", task, number, "")
        return Reply(200, {"clock_ms": int(clock)})

    def stop(self, document: dict[str, Any], now: float) -> Reply:
        """Stop a run; later starts of it are refused."""
        self.tick(now)
        if (refused := self._check_fence(document, now)) is not None:
            return refused
        task, number = str(document["task"]), int(document["run"])
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stopping_at is None:
            run.stopping_at = self.clock_ms(now) + self.stop_ms
        self.highest_run_by_task[task] = max(
            number, self.highest_run_by_task.get(task, 0)
        )
        return Reply(200, {"clock_ms": int(self.clock_ms(now))})

    def pace(self, document: dict[str, Any], now: float) -> Reply:
        """Accept a change of pace, which has no effect in the model."""
        self.tick(now)
        refused = self._check_fence(document, now)
        return refused or Reply(200, {"clock_ms": int(self.clock_ms(now))})

    def call(self, name: str, document: dict[str, Any], now: float) -> Reply:
        """Dispatch a call by its name on the wire."""
        calls: dict[str, Callable[[dict[str, Any], float], Reply]] = {
            "hold": self.hold,
            "run-start": self.start,
            "run-stop": self.stop,
            "pace": self.pace,
        }
        return calls[name](document, now)

    def running_tasks(self) -> Iterable[str]:
        """Return the running tasks."""
        return tuple(self.runs)

    def _report(self, now: float) -> Reply:
        clock = self.clock_ms(now)
        document: dict[str, Any] = {
            "born": self.born,
            "clock_ms": int(clock),
            "running": [
                [task, run.number, "", self._percent(run, clock), 0]
                for task, run in self.runs.items()
            ],
            "ended": [list(end) for end in self.completed_runs[: self.ends_per_report]],
        }
        if self.remaining_ms is not None:
            document["remaining_ms"] = self.remaining_ms
        return Reply(200, document)

    @staticmethod
    def _percent(run: _Run, clock: float) -> int:
        whole = STARTUP_MS if run.plan.how == "lasts" else run.plan.work_ms
        return min(100, int(100 * (clock - run.began_ms) / max(1.0, whole)))

    def _extend_lease(self, until_ms: Any, now: float) -> None:
        if until_ms is not None:
            longest = self.clock_ms(now) + MAX_LEASE_MS
            self.lease_until = max(self.lease_until, min(float(until_ms), longest))

    def _check_fence(self, document: dict[str, Any], now: float) -> Reply | None:
        fence = int(document.get("fence", 0))
        if fence < self.fence:
            return self._refuse("fence", now)
        self.fence = fence
        return None

    def _refuse(self, reason: str, now: float) -> Reply:
        return Reply(409, {"clock_ms": int(self.clock_ms(now)), "reason": reason})

    def _complete(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        if run.plan.gang:
            self.gangs.leave(task, run.number, how)
        self.completion_count += 1
        self.completed_runs.append([self.completion_count, task, run.number, how, ""])
        self.highest_run_by_task[task] = max(
            run.number, self.highest_run_by_task.get(task, 0)
        )
        self.observe("end", task, run.number, how)
