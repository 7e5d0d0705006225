"""The records of the job log, and their encoding."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from geraniumshore_scheduler.errors import Finding, InvalidInputError
from geraniumshore_scheduler.internal.machine_orders import AnnouncedOrder
from geraniumshore_scheduler.internal.model import Job, TaskKey
from geraniumshore_scheduler.internal.unresponsive import SilentFor

__all__ = [
    "MACHINE_ORDERS_KEY",
    "MS_S",
    "OWNER_KEY",
    "OWNER_LEFT_KEY",
    "SILENCES_KEY",
    "JobState",
    "OwnerRecord",
    "Placed",
    "Progress",
    "RecordKind",
    "WaveProgress",
    "decode_job",
    "decode_machine_orders",
    "decode_owner",
    "decode_progress",
    "decode_silences",
    "decode_wave_progress",
    "encode_job",
    "encode_machine_orders",
    "encode_owner",
    "encode_progress",
    "encode_silences",
    "encode_wave_progress",
    "job_key",
    "split_key",
    "wave_key",
]


class RecordKind(enum.Enum):
    """What a record of the job log says; the value begins its key."""

    ACCEPTED = "j"
    CANCELLED = "c"
    PROGRESS = "s"
    OWNER = "o"
    WAVE = "w"
    MACHINES = "m"


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """How far a wave of upkeep is, for the next owner.

    ``begun`` has the machines whose upkeep has begun. ``end_wall_ms`` is until when all
    are to have begun, in milliseconds since 1970: a process that starts later reads the
    announcement, and nothing there says how old it is.
    """

    begun: tuple[str, ...] = ()
    end_wall_ms: int | None = None


class JobState(enum.Enum):
    """Where a job stands, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether nothing comes after it."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@dataclass(frozen=True, slots=True)
class Placed:
    """A run that was ordered, or is about to be, on a minion.

    ``epoch`` is that of the last owner that may have renewed its lease.
    """

    minion_id: str
    run: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """The process that owns the schedule from this record on.

    ``opened_s_ago`` says of former epochs when they had certainly begun, and so when
    the ones before them ended: a process that starts later reads this record only.
    """

    member: str
    epoch: int
    opened_s_ago: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Progress:
    """What is known for certain of a job's tasks, by ``occurrence.step.index``.

    ``done`` has a bit for each task, by ``occurrence.step``. ``placed`` is written
    before a start is sent, so that a later owner knows where a task may run.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, int] = field(default_factory=dict)
    failures: dict[str, int] = field(default_factory=dict)
    checkpoints: dict[str, str] = field(default_factory=dict)
    placed: dict[str, list[Placed]] = field(default_factory=dict)

    def copy(self) -> Progress:
        """Return an independent copy."""
        return Progress(
            self.state,
            dict(self.done),
            dict(self.failures),
            dict(self.checkpoints),
            {name: list(places) for name, places in self.placed.items()},
        )

    def is_done(self, task: TaskKey) -> bool:
        """Tell whether a task has ended done."""
        bits = self.done.get(f"{task.occurrence}.{task.step}", 0)
        return bool(bits >> task.position & 1)

    def mark_done(self, task: TaskKey) -> None:
        """Record the task's success; nothing else of it matters any more."""
        step = f"{task.occurrence}.{task.step}"
        self.done[step] = self.done.get(step, 0) | 1 << task.position
        self.failures.pop(task.within_job, None)
        self.checkpoints.pop(task.within_job, None)

    def step_done(self, occurrence: int, step: int, count: int) -> bool:
        """Tell whether all ``count`` tasks of a step have ended done."""
        return self.done.get(f"{occurrence}.{step}", 0).bit_count() >= count


T = TypeVar("T")
# Ages are rounded to this, and must not come out longer than they are.
MS_S = 0.001
_JOB = TypeAdapter(Job)
_PROGRESS = TypeAdapter(Progress)
_OWNER = TypeAdapter(OwnerRecord)
_WAVE = TypeAdapter(WaveProgress)
_ORDERS = TypeAdapter(dict[str, tuple[str, float]])
_SILENCES = TypeAdapter(list[tuple[str, int, float]])
OWNER_KEY = f"{RecordKind.OWNER.value}/owner"
# The last owner that gave the schedule up by itself.
OWNER_LEFT_KEY = f"{RecordKind.OWNER.value}/left"
MACHINE_ORDERS_KEY = f"{RecordKind.MACHINES.value}/orders"
SILENCES_KEY = f"{RecordKind.MACHINES.value}/silent"


def job_key(kind: RecordKind, job_id: str) -> str:
    """Return the key of a job's record."""
    return f"{kind.value}/{job_id}"


def split_key(key: str) -> tuple[RecordKind, str] | None:
    """Return the kind and the job of a key, None for a key of another form."""
    prefix, slash, job_id = key.partition("/")
    if not slash:
        return None
    try:
        return RecordKind(prefix), job_id
    except ValueError:
        return None


def encode_job(job: Job) -> bytes:
    """Encode an accepted job."""
    return _JOB.dump_json(job, exclude_defaults=True)


def decode_job(value: bytes) -> Job:
    """Decode an accepted job. Raises InvalidInputError."""
    return _decode(_JOB, value, "job record")


def encode_owner(owner: OwnerRecord) -> bytes:
    """Encode the owner of the schedule."""
    return _OWNER.dump_json(owner)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode the owner of the schedule. Raises InvalidInputError."""
    return _decode(_OWNER, value, "owner record")


def wave_key(number: int) -> str:
    """Return the key under which a wave's progress is recorded."""
    return f"{RecordKind.WAVE.value}/{number}"


def encode_wave_progress(progress: WaveProgress) -> bytes:
    """Encode how far a wave is."""
    return _WAVE.dump_json(progress)


def decode_wave_progress(value: bytes) -> WaveProgress:
    """Decode how far a wave is. Raises InvalidInputError."""
    return _decode(_WAVE, value, "wave record")


def encode_machine_orders(
    order_by_machine: Mapping[str, AnnouncedOrder], now: float
) -> bytes:
    """Encode announced orders by their age in seconds: clocks of hosts differ."""
    rows = {
        machine: (order.host, round(max(0.0, now - order.at), 3))
        for machine, order in order_by_machine.items()
    }
    return _ORDERS.dump_json(rows)


def decode_machine_orders(value: bytes, now: float) -> dict[str, AnnouncedOrder]:
    """Decode announced orders that are read now. Raises InvalidInputError."""
    rows = _decode(_ORDERS, value, "machine orders")
    return {
        machine: AnnouncedOrder(host, now - age)
        for machine, (host, age) in rows.items()
    }


def encode_silences(last_grants: Mapping[SilentFor, float], now: float) -> bytes:
    """Encode silent minions by the age of their last leases: clocks of hosts differ."""
    rows = [
        (*silent, round(now - granted_at - MS_S, 3))
        for silent, granted_at in last_grants.items()
    ]
    return _SILENCES.dump_json(rows)


def decode_silences(value: bytes, now: float) -> dict[SilentFor, float]:
    """Decode silent minions that are read now. Raises InvalidInputError."""
    rows = _decode(_SILENCES, value, "silent minions")
    return {SilentFor(minion_id, epoch): now - age for minion_id, epoch, age in rows}


def encode_progress(progress: Progress) -> bytes:
    """Encode a job's progress."""
    return _PROGRESS.dump_json(progress, exclude_defaults=True)


def decode_progress(value: bytes) -> Progress:
    """Decode a job's progress. Raises InvalidInputError."""
    return _decode(_PROGRESS, value, "progress record")


def _decode(adapter: TypeAdapter[T], value: bytes, what: str) -> T:
    try:
        return adapter.validate_json(value)
    except ValidationError as error:
        raise InvalidInputError([Finding(what, str(error))]) from error
