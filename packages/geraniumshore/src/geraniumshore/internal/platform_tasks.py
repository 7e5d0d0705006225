"""The platform's tasks, as an abstract base class: what runs a job on a host."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from geraniumshore.internal.job_records import Sizes, TaskResult

__all__ = ["TaskReport", "TaskReports", "TaskService", "TaskStart", "TaskState"]


class TaskState(StrEnum):
    """What the platform says of a task. All but RUNNING and ABSENT are final.

    ABSENT: the platform knows no such task. REFUSED: never begun, and never will be.
    KILLED: ended for memory. LOST: its host died. LAPSED: its lease was not renewed.
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
    """One task; ``usage`` is the most seen so far, and lags behind.

    ``throttle`` is the fraction of its processors that it is bound to.
    """

    task: str
    state: TaskState
    reason: str = ""
    usage: Sizes | None = None
    result: TaskResult | None = None
    throttle: float = 1.0


@dataclass(frozen=True, slots=True)
class TaskReports:
    """An answer about tasks, all true at ``now_ms`` of the platform's clock."""

    now_ms: int
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class TaskStart:
    """Asks for a task.

    The platform begins it at most once by its id, and not after ``not_after_ms`` of
    its own clock. ``checkpoint`` names the checkpointed task to go on from.
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
    """Tasks under leases. Every call names many tasks and may be repeated.

    Each raises PlatformUnavailableError where it certainly had no effect, and
    UnknownOutcomeError where it may have had one.
    """

    @abstractmethod
    def start(self, starts: tuple[TaskStart, ...], lease_ms: int) -> TaskReports:
        """Begin tasks, each under a lease."""

    @abstractmethod
    def renew(self, tasks: tuple[str, ...], lease_ms: int) -> TaskReports:
        """Renew the leases of tasks that run, and report on all of them."""

    @abstractmethod
    def stop(self, tasks: tuple[str, ...]) -> TaskReports:
        """Stop tasks that run."""

    @abstractmethod
    def checkpoint(self, tasks: tuple[str, ...]) -> TaskReports:
        """Keep the progress of tasks that run, and end them."""

    @abstractmethod
    def throttle(self, tasks: tuple[str, ...], fraction: float) -> TaskReports:
        """Bound tasks to a fraction of their processors."""

    @abstractmethod
    def result(self, task: str) -> bytes | None:
        """Return a task's whole result, or None where it is no longer kept."""
