"""Control log records about jobs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field

__all__ = [
    "JobEnd",
    "JobEnding",
    "JobRecord",
    "JobSettled",
    "JobStart",
    "JobSubmitted",
    "JobsCancelled",
    "JobsEnded",
    "JobsStarted",
    "Sizes",
    "TaskResult",
]

STRICT = ConfigDict(extra="forbid")

JobEnding = Literal[
    "succeeded",
    "failed",
    "not-run",
    "interrupted",
    "out-of-memory",
    "stopped",
    "checkpointed",
    "impossible",
]


@dataclass(frozen=True, slots=True)
class Sizes:
    """The processors, memory and accelerators that a job uses of a host."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    processors: Annotated[float, Field(gt=0, le=100_000)] = 1.0
    memory_mb: Annotated[int, Field(gt=0, le=1_000_000_000)] = 1024
    accelerators: Annotated[int, Field(ge=0, le=100_000)] = 0


@dataclass(frozen=True, slots=True)
class TaskResult:
    """Length and SHA-256 digest that a task's result must have when it is fetched."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    length: int
    digest: str


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A submitted job; it is accepted once this record is folded.

    ``key_id`` names the caller's key, so that the fold can refuse a key that was
    withdrawn after the submission. ``body`` is in base64; ``body_digest`` is the
    SHA-256 of its bytes.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    job: str
    queue: str
    team: str
    key_id: str | None
    sizes: Sizes
    body: str
    body_digest: str
    content_type: str
    kind: Literal["job-submitted"] = "job-submitted"


@dataclass(frozen=True, slots=True)
class JobStart:
    """One attempt to run a job: its host, and the task's id on the platform."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    job: str
    attempt: int
    host: str
    task: str
    sizes: Sizes


@dataclass(frozen=True, slots=True)
class JobsStarted:
    """Starts that a pool's home is about to request from the platform.

    ``sequence`` grows within an epoch. A batch that arrives after a later one is void,
    so once a batch is folded, no start of an earlier one can still take effect.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    pool: str
    epoch: int
    sequence: int
    starts: tuple[JobStart, ...]
    kind: Literal["jobs-started"] = "jobs-started"


@dataclass(frozen=True, slots=True)
class JobEnd:
    """How an attempt ended, according to the platform.

    ``blames_host`` is set if the failure is attributed to the host, because jobs of the
    same kind succeed on other hosts. ``usage`` is the peak usage of the task.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    job: str
    attempt: int
    ending: JobEnding
    reason: str = ""
    blames_host: bool = False
    usage: Sizes | None = None
    result: TaskResult | None = None


@dataclass(frozen=True, slots=True)
class JobsEnded:
    """Attempts that have ended for good. Any member may append this record."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    ends: tuple[JobEnd, ...]
    kind: Literal["jobs-ended"] = "jobs-ended"


@dataclass(frozen=True, slots=True)
class JobsCancelled:
    """Cancels the named jobs, or all live jobs of a queue if none is named.

    ``team`` restricts this to one team's jobs; operators leave it out.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    jobs: tuple[str, ...] = ()
    queue: str | None = None
    team: str | None = None
    by: str = ""
    kind: Literal["jobs-cancelled"] = "jobs-cancelled"


@dataclass(frozen=True, slots=True)
class JobSettled:
    """A person's decision whether a job of unknown outcome ran."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    job: str
    ran: bool
    by: str = ""
    kind: Literal["job-settled"] = "job-settled"


JobRecord = JobSubmitted | JobsStarted | JobsEnded | JobsCancelled | JobSettled
