"""Abstract base class of the platform's task service, which runs jobs on hosts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from geraniumshore.internal.job_records import Sizes, TaskResult

__all__ = ["TaskReport", "TaskReports", "TaskService", "TaskStart", "TaskState"]


class TaskState(StrEnum):
    """The platform's state of a task. All but RUNNING and ABSENT are final.

    ABSENT: the platform knows no such task. REFUSED: not begun, and never will be.
    KILLED: ran out of memory. LOST: its host died. LAPSED: its lease was not renewed.
    """

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    KILLED = "killed"
    LOST = "lost"
    LAPSED = "lapsed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    REFUSED = "refused"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class TaskReport:
    """The report on one task.

    ``usage`` is the peak so far and may be out of date. ``throttle`` is the fraction of
    its processors that the task is limited to.
    """

    task: str
    state: TaskState
    reason: str = ""
    usage: Sizes | None = None
    result: TaskResult | None = None
    throttle: float = 1.0


@dataclass(frozen=True, slots=True)
class TaskReports:
    """Reports on tasks, all valid at ``now_ms`` of the platform's clock."""

    now_ms: int
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class TaskStart:
    """A request to start a task.

    The platform begins at most one task per id, and none after ``not_after_ms`` of its
    own clock. ``checkpoint`` names the checkpointed task to resume from.
    """

    task: str
    host: str
    queue: str
    team: str
    sizes: Sizes
    body: str
    content_type: str
    not_after_ms: int
    checkpoint: str | None = None


class TaskService(ABC):
    """Runs tasks under leases. Every call takes several tasks and may be repeated.

    Each call raises PlatformUnavailableError if it certainly had no effect, and
    UnknownOutcomeError if it may have had one.
    """

    @abstractmethod
    def start(self, starts: tuple[TaskStart, ...], lease_ms: int) -> TaskReports:
        """Begin tasks, each under a lease."""

    @abstractmethod
    def renew(self, tasks: tuple[str, ...], lease_ms: int) -> TaskReports:
        """Renew the leases of running tasks, and report on all named tasks."""

    @abstractmethod
    def stop(self, tasks: tuple[str, ...]) -> TaskReports:
        """Stop running tasks."""

    @abstractmethod
    def checkpoint(self, tasks: tuple[str, ...]) -> TaskReports:
        """Save the progress of running tasks, and end them."""

    @abstractmethod
    def throttle(self, tasks: tuple[str, ...], fraction: float) -> TaskReports:
        """Limit tasks to a fraction of their processors."""

    @abstractmethod
    def result(self, task: str) -> bytes | None:
        """Return a task's whole result, or None if it is no longer stored."""
