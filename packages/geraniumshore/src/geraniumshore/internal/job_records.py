"""The control log's records about jobs."""

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
    """What a job takes of a host."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    processors: Annotated[float, Field(gt=0, le=100_000)] = 1.0
    memory_mb: Annotated[int, Field(gt=0, le=1_000_000_000)] = 1024
    accelerators: Annotated[int, Field(ge=0, le=100_000)] = 0


@dataclass(frozen=True, slots=True)
class TaskResult:
    """What a task's result must be when it is fetched; ``digest`` is SHA-256."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    length: int
    digest: str


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A job; it is accepted once this record is folded.

    ``key_id`` names the caller's key, so that a key withdrawn in between is refused.
    ``body`` is in base64, and ``body_digest`` the SHA-256 of the bytes.
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
    """One attempt: the host that it is for, and the task's id on the platform."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    job: str
    attempt: int
    host: str
    task: str
    sizes: Sizes


@dataclass(frozen=True, slots=True)
class JobsStarted:
    """Starts that the pool's home is about to ask the platform for.

    ``sequence`` grows within an epoch. A batch that comes after a later one is void,
    so that no start of an earlier batch is in doubt once a later one is folded.
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
    """How an attempt ended, as the platform says.

    ``blames_host`` is set where the host has failed other good jobs too. ``usage``
    is the most that the task was seen to use.
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
    """Attempts that have ended for good. True whoever says so."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    ends: tuple[JobEnd, ...]
    kind: Literal["jobs-ended"] = "jobs-ended"


@dataclass(frozen=True, slots=True)
class JobsCancelled:
    """Cancels the named jobs, or all live jobs of a queue where none is named.

    ``team`` bounds it to one team's jobs; operators leave it out.
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
    """A person's word on a job of unknown outcome."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    job: str
    ran: bool
    by: str = ""
    kind: Literal["job-settled"] = "job-settled"


JobRecord = JobSubmitted | JobsStarted | JobsEnded | JobsCancelled | JobSettled
