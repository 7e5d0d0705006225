"""The records of the job log, their keys and their encoding."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from geraniumshore_scheduler.errors import Finding, InvalidInputError
from geraniumshore_scheduler.internal.machine_orders import AnnouncedOrder
from geraniumshore_scheduler.internal.model import Job, TaskKey
from geraniumshore_scheduler.internal.unresponsive import MinionEpoch

__all__ = [
    "MACHINE_ORDERS_KEY",
    "AGE_RESOLUTION_S",
    "EVACUATIONS_KEY",
    "MAX_LEARNED_BYTES",
    "INTERFERENCE_KEY",
    "OWNER_KEY",
    "OWNER_RESIGNED_KEY",
    "UNRESPONSIVE_KEY",
    "EvacuationsRecord",
    "JobState",
    "OwnerRecord",
    "Placement",
    "Progress",
    "RecordKind",
    "Tombstone",
    "WaveProgress",
    "decode_evacuations",
    "decode_job",
    "decode_machine_orders",
    "decode_owner",
    "decode_progress",
    "decode_tombstone",
    "decode_unresponsive",
    "decode_wave_progress",
    "encode_evacuations",
    "encode_job",
    "encode_machine_orders",
    "encode_owner",
    "encode_progress",
    "encode_tombstone",
    "encode_unresponsive",
    "encode_wave_progress",
    "job_key",
    "progress_key",
    "split_key",
    "split_progress_name",
    "tombstone_key",
    "wave_key",
]


class RecordKind(enum.Enum):
    """The kind of a record in the job log. The value is the prefix of its key."""

    ACCEPTED = "j"
    CANCELLED = "c"
    TOMBSTONE = "t"
    PROGRESS = "s"
    OWNER = "o"
    WAVE = "w"
    MACHINES = "m"
    EVACUATIONS = "e"
    LEARNED = "d"


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Progress of a maintenance wave, for the next owner.

    ``begun`` lists the machines whose maintenance has begun. ``end_wall_ms`` is the
    time by which all must have begun, in milliseconds since 1970. It is recorded
    because a process that starts later cannot see how old the announcement is.
    """

    begun: tuple[str, ...] = ()
    end_wall_ms: int | None = None


@dataclass(frozen=True, slots=True)
class EvacuationsRecord:
    """The evacuations that an owner knows, for other nodes and operators.

    ``since_ms`` gives for each data centre when an owner first read the request, in
    milliseconds since 1970. ``everywhere`` means that no other data centre has minions.
    """

    since_ms: dict[str, int] = field(default_factory=dict)
    everywhere: bool = False


class JobState(enum.Enum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether no other state can follow."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@dataclass(frozen=True, slots=True)
class Placement:
    """The placement of a run on a minion, recorded before its start is sent.

    ``epoch`` is that of the last owner that may have renewed the run's lease.
    """

    minion_id: str
    run: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """The process that owns the schedule from this record on.

    ``opened_s_ago`` gives, for recent epochs, how many seconds ago each had certainly
    begun, and so when the one before it ended. A process that starts later reads no
    owner record but this. ``lease_s`` is the length of the leases that this owner
    grants; owners of former releases did not record it.
    """

    member: str
    epoch: int
    opened_s_ago: dict[int, float] = field(default_factory=dict)
    lease_s: float | None = None


@dataclass(slots=True)
class Progress:
    """Confirmed progress of a job's tasks, by ``occurrence.step.position``.

    All tasks of the first ``completed_occurrences`` have succeeded. For later
    occurrences ``done`` is keyed by ``occurrence.step`` and has a bit for each task.
    ``failures`` of a gang are those of its first task, and ``failed_runs`` has the
    number of the last one that was counted, as several members may fail in one run.
    ``placed`` is recorded before a start is sent, so that a later owner knows where a
    task may run.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, int] = field(default_factory=dict)
    failures: dict[str, int] = field(default_factory=dict)
    failed_runs: dict[str, int] = field(default_factory=dict)
    checkpoints: dict[str, str] = field(default_factory=dict)
    placed: dict[str, list[Placement]] = field(default_factory=dict)
    completed_occurrences: int = 0

    def copy(self) -> Progress:
        """Return an independent copy."""
        return Progress(
            self.state,
            dict(self.done),
            dict(self.failures),
            dict(self.failed_runs),
            dict(self.checkpoints),
            {name: list(places) for name, places in self.placed.items()},
            self.completed_occurrences,
        )

    def is_done(self, task: TaskKey) -> bool:
        """Return whether a task has succeeded."""
        if task.occurrence < self.completed_occurrences:
            return True
        return bool(self.done_bits(task.occurrence, task.step) >> task.position & 1)

    def done_bits(self, occurrence: int, step: int) -> int:
        """Return a bit for each task of a step of an occurrence not completed yet."""
        return self.done.get(f"{occurrence}.{step}", 0)

    def mark_done(self, task: TaskKey) -> None:
        """Record a task's success; forget its failures and checkpoint."""
        if task.occurrence < self.completed_occurrences:
            return
        step = f"{task.occurrence}.{task.step}"
        self.done[step] = self.done.get(step, 0) | 1 << task.position
        self.failures.pop(task.within_job, None)
        self.failed_runs.pop(task.within_job, None)
        self.checkpoints.pop(task.within_job, None)

    def step_done(self, occurrence: int, step: int, count: int) -> bool:
        """Return whether all ``count`` tasks of a step have succeeded."""
        if occurrence < self.completed_occurrences:
            return True
        return self.done_bits(occurrence, step).bit_count() >= count

    def complete_occurrence(self, steps: int) -> None:
        """Record that the first occurrence not completed yet, of ``steps``, now is."""
        for step in range(steps):
            self.done.pop(f"{self.completed_occurrences}.{step}", None)
        self.completed_occurrences += 1

    def reopen_long_running(self, job: Job) -> None:
        """Withdraw the successes of long-running tasks, which run until ``job`` ends.

        Former releases recorded one when a run ended ``done``.
        """
        if not job.lasting:
            return
        for occurrence in range(self.completed_occurrences):
            for number, step in enumerate(job.steps):
                self.done[f"{occurrence}.{number}"] = (1 << step.count) - 1
        self.completed_occurrences = 0
        lasting = {str(n) for n, step in enumerate(job.steps) if step.lasting}
        self.done = {
            name: bits
            for name, bits in self.done.items()
            if name.partition(".")[2] not in lasting
        }
        if self.state is JobState.DONE:
            self.state = JobState.RUNNING


@dataclass(frozen=True, slots=True)
class Tombstone:
    """The cancellation of a job that was not in the log.

    A submission that is still on its way may put the job there later. ``team`` is None
    if the queue is open to callers without a key, who may cancel all of its jobs.
    """

    queue: str
    team: str | None = None

    def covers(self, queue: str, team: str | None) -> bool:
        """Return whether it cancels jobs that a team submits to a queue.

        A job without a team may be cancelled by any team that may use its queue.
        """
        return self.queue == queue and (
            self.team is None or team is None or self.team == team
        )


T = TypeVar("T")
# Ages are rounded to milliseconds. Subtracting one unit before the rounding keeps a
# recorded age from exceeding the real one.
AGE_RESOLUTION_S = 0.001
_JOB = TypeAdapter(Job)
_PROGRESS = TypeAdapter(Progress)
_TOMBSTONE = TypeAdapter(Tombstone)
_OWNER = TypeAdapter(OwnerRecord)
_WAVE = TypeAdapter(WaveProgress)
_EVACUATIONS = TypeAdapter(EvacuationsRecord)
_ORDERS = TypeAdapter(dict[str, tuple[str, float]])
_UNRESPONSIVE = TypeAdapter(list[tuple[str, int, float]])
OWNER_KEY = f"{RecordKind.OWNER.value}/owner"
# The last owner that resigned, that is, gave up its ownership by itself.
OWNER_RESIGNED_KEY = f"{RecordKind.OWNER.value}/left"
EVACUATIONS_KEY = f"{RecordKind.EVACUATIONS.value}/evacuations"
MACHINE_ORDERS_KEY = f"{RecordKind.MACHINES.value}/orders"
UNRESPONSIVE_KEY = f"{RecordKind.MACHINES.value}/silent"
# Size limit of a record of what an owner has learned.
MAX_LEARNED_BYTES = 32 * 1024
INTERFERENCE_KEY = f"{RecordKind.LEARNED.value}/interference"
# The names of queues and teams may be longer than the store's keys.
TOMBSTONE_DIGEST_BYTES = 8


def job_key(kind: RecordKind, job_id: str) -> str:
    """Return the key of a job's record of the given kind."""
    return f"{kind.value}/{job_id}"


def tombstone_key(job_id: str, tombstone: Tombstone) -> str:
    """Return the key of a tombstone; callers of each queue and team have their own."""
    digest = hashlib.blake2b(
        encode_tombstone(tombstone), digest_size=TOMBSTONE_DIGEST_BYTES
    )
    return f"{job_key(RecordKind.TOMBSTONE, job_id)}/{digest.hexdigest()}"


def progress_key(job_id: str, part: int) -> str:
    """Return the key of a part of a job's progress."""
    key = job_key(RecordKind.PROGRESS, job_id)
    return f"{key}/{part}" if part else key


def split_progress_name(name: str) -> tuple[str, int]:
    """Return the job ID and the part that the name of a progress record gives."""
    job_id, slash, part = name.rpartition("/")
    if slash and part.isascii() and part.isdigit():
        return job_id, int(part)
    return name, 0


def split_key(key: str) -> tuple[RecordKind, str] | None:
    """Return a key's kind and job ID, or None if the key has another form."""
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
    """Return the key of a maintenance wave's progress."""
    return f"{RecordKind.WAVE.value}/{number}"


def encode_wave_progress(progress: WaveProgress) -> bytes:
    """Encode a maintenance wave's progress."""
    return _WAVE.dump_json(progress)


def decode_wave_progress(value: bytes) -> WaveProgress:
    """Decode a maintenance wave's progress. Raises InvalidInputError."""
    return _decode(_WAVE, value, "wave record")


def encode_evacuations(record: EvacuationsRecord) -> bytes:
    """Encode the evacuations that an owner knows."""
    return _EVACUATIONS.dump_json(record)


def decode_evacuations(value: bytes) -> EvacuationsRecord:
    """Decode the evacuations that an owner knows. Raises InvalidInputError."""
    return _decode(_EVACUATIONS, value, "evacuations record")


def encode_machine_orders(
    order_by_machine: Mapping[str, AnnouncedOrder], now: float
) -> bytes:
    """Encode announced orders with ages in seconds, as the clocks of hosts differ."""
    rows = {
        machine: (order.host, round(max(0.0, now - order.at), 3))
        for machine, order in order_by_machine.items()
    }
    return _ORDERS.dump_json(rows)


def decode_machine_orders(value: bytes, now: float) -> dict[str, AnnouncedOrder]:
    """Decode announced orders, read at ``now``. Raises InvalidInputError."""
    rows = _decode(_ORDERS, value, "machine orders")
    return {
        machine: AnnouncedOrder(host, now - age)
        for machine, (host, age) in rows.items()
    }


def encode_unresponsive(last_grants: Mapping[MinionEpoch, float], now: float) -> bytes:
    """Encode unresponsive minions with the ages in seconds of their last leases.

    Ages are used, as the clocks of hosts differ.
    """
    rows = [
        (*minion_epoch, round(now - granted_at - AGE_RESOLUTION_S, 3))
        for minion_epoch, granted_at in last_grants.items()
    ]
    return _UNRESPONSIVE.dump_json(rows)


def decode_unresponsive(value: bytes, now: float) -> dict[MinionEpoch, float]:
    """Decode unresponsive minions, read at ``now``. Raises InvalidInputError."""
    rows = _decode(_UNRESPONSIVE, value, "unresponsive minions")
    return {MinionEpoch(minion_id, epoch): now - age for minion_id, epoch, age in rows}


def encode_progress(progress: Progress) -> bytes:
    """Encode a job's progress."""
    return _PROGRESS.dump_json(progress, exclude_defaults=True)


def decode_progress(value: bytes) -> Progress:
    """Decode a job's progress. Raises InvalidInputError."""
    return _decode(_PROGRESS, value, "progress record")


def encode_tombstone(tombstone: Tombstone) -> bytes:
    """Encode the cancellation of a job that was not in the log."""
    return _TOMBSTONE.dump_json(tombstone)


def decode_tombstone(value: bytes) -> Tombstone:
    """Decode the cancellation of a job not in the log. Raises InvalidInputError."""
    return _decode(_TOMBSTONE, value, "tombstone")


def _decode(adapter: TypeAdapter[T], value: bytes, what: str) -> T:
    try:
        return adapter.validate_json(value)
    except ValidationError as error:
        raise InvalidInputError([Finding(what, str(error))]) from error
