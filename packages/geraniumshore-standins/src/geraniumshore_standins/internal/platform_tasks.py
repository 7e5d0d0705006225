"""Simulated task service of the platform stand-in.

Task hosts enforce processor and memory limits, leases expire, and reported usage lags.
A task's body is a JSON document of :class:`TaskBehaviour` that sets what the task does.
The caller passes in all times, so tests drive the same code that the HTTP stand-in
serves.
"""

from __future__ import annotations

import base64
import hashlib
import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from geraniumshore import (
    Sizes,
    TaskReport,
    TaskReports,
    TaskResult,
    TaskStart,
    TaskState,
)
from geraniumshore_standins.internal.platform_hosts import PlatformHosts

__all__ = [
    "TaskBehaviour",
    "TaskBoard",
    "TaskHost",
    "handle_tasks",
    "sync_tasks_and_hosts",
]

USAGE_LAG_MS = 500
BROKEN_HOST_RUN_MS = 20


@dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """What a task does, as opposed to the sizes that it declares.

    Its memory grows to ``memory_mb`` over ``ramp_ms``. It fails if ``fail`` is set or
    if its host is listed in ``fail_on``.
    """

    run_ms: int = 100
    processors: float = 1.0
    memory_mb: int = 256
    ramp_ms: int = 0
    result_bytes: int = 16
    fail: bool = False
    fail_on: tuple[str, ...] = ()

    @classmethod
    def from_body(cls, body: str) -> TaskBehaviour:
        """Parse a task's body; one that is not a JSON object gives the defaults."""
        try:
            document = json.loads(base64.b64decode(body) or b"{}")
        except ValueError:
            return cls()
        known = document if isinstance(document, dict) else {}
        known = {k: v for k, v in known.items() if k in cls.__dataclass_fields__}
        return cls(**{**known, "fail_on": tuple(known.get("fail_on", ()))})


@dataclass(slots=True)
class TaskHost:
    """One task host. If ``broken``, every task on it fails."""

    processors: float = 16.0
    memory_mb: int = 32_768
    accelerators: int = 0
    alive: bool = True
    broken: bool = False


@dataclass(slots=True)
class _Task:
    start: TaskStart
    behaviour: TaskBehaviour
    began_ms: int
    lease_until_ms: int
    state: TaskState = TaskState.RUNNING
    reason: str = ""
    progress_ms: float = 0.0
    throttle: float = 1.0
    ended_ms: int = 0

    def memory_mb(self, now_ms: int) -> int:
        ramp = self.behaviour.ramp_ms
        grown = min(1.0, (now_ms - self.began_ms + 1) / ramp) if ramp else 1.0
        return max(1, int(self.behaviour.memory_mb * grown))


@dataclass(slots=True)
class TaskBoard:
    """All tasks and task hosts.

    ``starts_by_task`` counts starts from the beginning, ``resumes_by_task`` those from
    a checkpoint.
    """

    hosts: dict[str, TaskHost] = field(default_factory=dict)
    tasks: dict[str, _Task] = field(default_factory=dict)
    running_tasks: dict[str, _Task] = field(default_factory=dict)
    starts_by_task: Counter[str] = field(default_factory=Counter)
    resumes_by_task: Counter[str] = field(default_factory=Counter)
    most_running_by_team: Counter[str] = field(default_factory=Counter)
    kills: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    now_ms: int = 0

    def advance(self, now_ms: int) -> None:
        """Advance the clock to ``now_ms`` and the running tasks with it."""
        elapsed = max(0, now_ms - self.now_ms)
        self.now_ms = max(self.now_ms, now_ms)
        by_host: dict[str, list[_Task]] = {}
        for task in self._running():
            by_host.setdefault(task.start.host, []).append(task)
        for name, running in by_host.items():
            self._run(self.hosts[name], running, elapsed)
            self._kill_over_memory(self.hosts[name], running)
        for task in self._running():
            if task.lease_until_ms < self.now_ms:
                self._end(task, TaskState.LAPSED, "the lease was not renewed")

    def start(self, starts: tuple[TaskStart, ...], lease_ms: int) -> TaskReports:
        """Start each task at most once, and not after ``not_after_ms``."""
        self.calls["start"] += 1
        for start in starts:
            if start.task not in self.tasks and self.now_ms <= start.not_after_ms:
                self._begin(start, lease_ms)
        return self._reports(start.task for start in starts)

    def renew(self, tasks: Iterable[str], lease_ms: int) -> TaskReports:
        """Renew the leases of running tasks."""
        self.calls["renew"] += 1
        for task in self._running_among(tasks):
            task.lease_until_ms = self.now_ms + lease_ms
        return self._reports(tasks)

    def stop(self, tasks: Iterable[str]) -> TaskReports:
        """Stop running tasks."""
        self.calls["stop"] += 1
        for task in self._running_among(tasks):
            self._end(task, TaskState.STOPPED, "stopped")
        return self._reports(tasks)

    def checkpoint(self, tasks: Iterable[str]) -> TaskReports:
        """Save the progress of running tasks and end them."""
        self.calls["checkpoint"] += 1
        for task in self._running_among(tasks):
            self._end(task, TaskState.CHECKPOINTED, "checkpointed")
        return self._reports(tasks)

    def throttle(self, tasks: Iterable[str], fraction: float) -> TaskReports:
        """Limit running tasks to a fraction of their processors."""
        self.calls["throttle"] += 1
        for task in self._running_among(tasks):
            task.throttle = fraction
        return self._reports(tasks)

    def result(self, task_id: str) -> bytes | None:
        """Return the result of a task, or None if it has not succeeded."""
        task = self.tasks.get(task_id)
        if task is None or task.state is not TaskState.SUCCEEDED:
            return None
        return _result_of(task)

    def kill_host(self, name: str) -> None:
        """Take a host down; its running tasks are lost."""
        self.hosts[name].alive = False
        for task in self._running():
            if task.start.host == name:
                self._end(task, TaskState.LOST, "the host died")

    def running(self, team: str | None = None) -> int:
        """Return the number of running tasks, of one team or of all."""
        return sum(team in {None, task.start.team} for task in self._running())

    def starts_by_job(self) -> Counter[str]:
        """Return by job the number of starts from the beginning."""
        counts: Counter[str] = Counter()
        for task, count in self.starts_by_task.items():
            counts[task.partition(".")[0]] += count
        return counts

    def states(self) -> Counter[str]:
        """Return the number of tasks by state."""
        return Counter(task.state.value for task in self.tasks.values())

    def handle(self, action: str, document: Any) -> TaskReports:
        """Handle one action of the HTTP interface.

        Raises KeyError for an unknown action.
        """
        match action:
            case "start":
                starts = tuple(_task_start(item) for item in document["starts"])
                return self.start(starts, int(document["lease_ms"]))
            case "renew":
                return self.renew(document["tasks"], int(document["lease_ms"]))
            case "stop":
                return self.stop(document["tasks"])
            case "checkpoint":
                return self.checkpoint(document["tasks"])
            case "throttle":
                return self.throttle(document["tasks"], float(document["fraction"]))
        raise KeyError(action)

    def counts(self) -> dict[str, Any]:
        """Return the counts that tests take as ground truth."""
        return {
            "starts_by_job": self.starts_by_job(),
            "states": self.states(),
            "kills": self.kills,
            "calls": self.calls,
            "running": Counter(task.start.team for task in self._running()),
            "most_running_by_team": self.most_running_by_team,
        }

    def _begin(self, start: TaskStart, lease_ms: int) -> None:
        host = self.hosts.get(start.host)
        behaviour = TaskBehaviour.from_body(start.body)
        task = _Task(start, behaviour, self.now_ms, self.now_ms + lease_ms)
        self.tasks[start.task] = self.running_tasks[start.task] = task
        if host is None or not host.alive:
            self._end(task, TaskState.REFUSED, "the host is not there")
            return
        earlier = self.tasks.get(start.checkpoint) if start.checkpoint else None
        if earlier is not None and earlier.state is TaskState.CHECKPOINTED:
            task.progress_ms = earlier.progress_ms
            self.resumes_by_task[start.task] += 1
        else:
            self.starts_by_task[start.task] += 1
        self._update_max_running(start.team)

    def _update_max_running(self, team: str) -> None:
        max_running = max(self.most_running_by_team[team], self.running(team))
        self.most_running_by_team[team] = max_running

    def _run(self, host: TaskHost, running: list[_Task], elapsed_ms: int) -> None:
        wanted = sum(task.behaviour.processors * task.throttle for task in running)
        speed = min(1.0, host.processors / wanted) if wanted else 1.0
        for task in running:
            task.progress_ms += elapsed_ms * speed * task.throttle
            self._end_if_complete(host, task)

    def _end_if_complete(self, host: TaskHost, task: _Task) -> None:
        behaviour = task.behaviour
        run_ms = BROKEN_HOST_RUN_MS if host.broken else behaviour.run_ms
        if task.progress_ms < run_ms:
            return
        if host.broken:
            self._end(task, TaskState.FAILED, "the host fails what it starts")
        elif behaviour.fail or task.start.host in behaviour.fail_on:
            self._end(task, TaskState.FAILED, "exit status 1")
        else:
            self._end(task, TaskState.SUCCEEDED, "")

    def _kill_over_memory(self, host: TaskHost, running: list[_Task]) -> None:
        """Kill the tasks that most exceed their declared memory until the rest fit."""
        alive = [task for task in running if task.state is TaskState.RUNNING]
        while sum(task.memory_mb(self.now_ms) for task in alive) > host.memory_mb:
            worst = max(
                alive,
                key=lambda t: t.memory_mb(self.now_ms) - t.start.sizes.memory_mb,
            )
            self.kills += 1
            self._end(worst, TaskState.KILLED, "the host ran out of memory")
            alive.remove(worst)

    def _end(self, task: _Task, state: TaskState, reason: str) -> None:
        del self.running_tasks[task.start.task]
        task.state = state
        task.reason = reason
        task.ended_ms = self.now_ms

    def _running(self) -> list[_Task]:
        return list(self.running_tasks.values())

    def _running_among(self, tasks: Iterable[str]) -> Iterator[_Task]:
        named = (self.running_tasks.get(task) for task in tasks)
        return (task for task in named if task is not None)

    def _reports(self, tasks: Iterable[str]) -> TaskReports:
        return TaskReports(self.now_ms, tuple(self._report(task) for task in tasks))

    def _report(self, task_id: str) -> TaskReport:
        task = self.tasks.get(task_id)
        if task is None:
            return TaskReport(task_id, TaskState.ABSENT)
        report = TaskReport(
            task_id,
            task.state,
            task.reason,
            usage=self._lagging_usage(task),
            throttle=task.throttle,
        )
        if task.state is TaskState.SUCCEEDED:
            result = _result_of(task)
            digest = hashlib.sha256(result).hexdigest()
            return replace(report, result=TaskResult(len(result), digest))
        return report

    def _lagging_usage(self, task: _Task) -> Sizes | None:
        ended = task.state is not TaskState.RUNNING
        seen_ms = task.ended_ms if ended else self.now_ms - USAGE_LAG_MS
        if seen_ms < task.began_ms or task.state is TaskState.REFUSED:
            return None
        memory_mb = task.memory_mb(seen_ms)
        accelerators = task.start.sizes.accelerators
        return Sizes(task.behaviour.processors, memory_mb, accelerators)


def sync_tasks_and_hosts(board: TaskBoard, hosts: PlatformHosts) -> None:
    """Synchronise the task hosts with the platform's hosts.

    Hosts that went down lose their tasks, and drains see the tasks that still run.
    """
    for name, host in hosts.by_host.items():
        task_host = board.hosts.get(name)
        if task_host is None:
            continue
        if task_host.alive and not host.up:
            board.kill_host(name)
        task_host.alive = host.up
        host.tasks.clear()
    for task in board.running_tasks.values():
        if task.start.host in hosts.by_host:
            hosts.by_host[task.start.host].tasks.add(task.start.task)


def _task_start(document: dict[str, Any]) -> TaskStart:
    return TaskStart(**{**document, "sizes": Sizes(**document["sizes"])})


def _result_of(task: _Task) -> bytes:
    seed = task.start.task.partition(".")[0].encode()
    length = task.behaviour.result_bytes
    return (seed * (length // len(seed) + 1))[:length]


def handle_tasks(board: TaskBoard, now_ms: int, action: str, document: Any) -> Any:
    """Handle one HTTP call about tasks and return the JSON document."""
    board.advance(now_ms)
    if action == "result":
        result = board.result(document["task"])
        encoded = None if result is None else base64.b64encode(result).decode()
        return {"result": encoded}
    return asdict(board.handle(action, document))
