"""The fold of the job log, with which every node answers callers from memory."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

from geraniumshore_scheduler.errors import Finding, InvalidInputError
from geraniumshore_scheduler.internal.machine_orders import AnnouncedOrder
from geraniumshore_scheduler.internal.model import Job
from geraniumshore_scheduler.internal.progress_parts import ProgressParts
from geraniumshore_scheduler.internal.records import (
    AGE_RESOLUTION_S,
    EVACUATIONS_KEY,
    MAX_LEARNED_BYTES,
    OWNER_RESIGNED_KEY,
    UNRESPONSIVE_KEY,
    EvacuationsRecord,
    JobState,
    OwnerRecord,
    Progress,
    RecordKind,
    WaveProgress,
    decode_evacuations,
    decode_job,
    decode_machine_orders,
    decode_owner,
    decode_progress,
    decode_unresponsive,
    decode_wave_progress,
    encode_progress,
    job_key,
    progress_key,
    split_key,
    split_progress_name,
)
from geraniumshore_scheduler.internal.run_ages import RunAges
from geraniumshore_scheduler.internal.tombstones import Tombstones
from geraniumshore_scheduler.internal.unresponsive import MinionEpoch

__all__ = ["JobRegistry", "Reading", "RegisteredJob"]

MS_PER_S = 1000.0

# Epochs that began earlier are left out of the owner's record: all leases from before
# them have lapsed.
EPOCH_RETENTION_S = 60.0
# Owners use few keys; other writers must not fill the memory with further ones.
MAX_LEARNED_KEYS = 8


@dataclass(slots=True)
class RegisteredJob:
    """A job with the state from its newest records.

    A final state in ``progress`` takes precedence over a cancellation, whichever came
    first. ``ended_at`` is when this node learned that the job had ended. Jobs with many
    tasks have further parts of their progress, by number, in records of their own.
    """

    job: Job
    accepted_at: float
    progress: Progress = field(default_factory=Progress)
    progress_offset: int = -1
    cancelled: bool = False
    ended_at: float | None = None
    part_by_number: dict[int, Progress] = field(default_factory=dict)
    offset_by_part: dict[int, int] = field(default_factory=dict)

    def whole_progress(self) -> Progress:
        """Return an independent copy of the progress with all parts."""
        if not self.part_by_number:
            return self.progress.copy()
        return ProgressParts(self.job).merge(self.progress, self.part_by_number)

    @property
    def has_placed_tasks(self) -> bool:
        """Whether tasks may be on minions, as far as the log says."""
        parts = (self.progress, *self.part_by_number.values())
        return any(part.placed for part in parts)

    @property
    def state(self) -> JobState:
        """The state reported to callers."""
        if self.cancelled and not self.progress.state.final:
            return JobState.CANCELLED
        return self.progress.state


@dataclass(frozen=True, slots=True)
class Reading:
    """When the records of a read were appended, as far as the reader knows.

    ``appended_after`` is the start of the last complete read before this one, on the
    reader's steady clock; minus infinity for a process that has just started.
    ``wall_ms`` is the reader's time of day.
    """

    appended_after: float
    wall_ms: float

    def accepted_at(self, job: Job, now: float) -> float:
        """Return when a job was accepted, on the reader's steady clock.

        The time of day of the accepting node decides only within the bounds that the
        reads set, as clocks differ and jump.
        """
        age_s = (self.wall_ms - job.accepted_ms) / MS_PER_S
        return min(now, max(self.appended_after, now - age_s))


@dataclass(frozen=True, slots=True)
class _Orphan:
    """A record of a job whose ACCEPTED record is deleted or not yet read."""

    offset: int
    value: bytes
    read_at: float


class JobRegistry:
    """All jobs that have records in the log. Not thread-safe."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, RegisteredJob] = {}
        self.owner: OwnerRecord | None = None
        # The newest epoch whose owner resigned.
        self.resigned_epoch = -1
        self.opened_at_by_epoch: dict[int, float] = {}
        self.lease_by_epoch: dict[int, float | None] = {}
        self.run_ages = RunAges()
        self.progress_by_wave: dict[int, WaveProgress] = {}
        self.order_by_machine: dict[str, AnnouncedOrder] = {}
        # The times after which owners sent no lease to unresponsive minions.
        self.last_grants: dict[MinionEpoch, float] = {}
        self.evacuations = EvacuationsRecord()
        # What owners have learned, not decoded, by key.
        self.learned_by_key: dict[str, bytes] = {}
        self.tombstones = Tombstones()
        self._orphans: dict[tuple[RecordKind, str], _Orphan] = {}
        self._orphan_parts_by_id: dict[str, dict[int, _Orphan]] = {}
        self._pending_by_queue: dict[str, int] = {}

    def fold(
        self,
        key: str,
        value: bytes,
        offset: int,
        now: float,
        reading: Reading | None = None,
    ) -> RegisteredJob | None:
        """Apply one record; return the job that it changed, if any.

        Records may repeat, and records with different keys may arrive in any order:
        they come from two streams, and pages of newest records are not a snapshot.
        Without ``reading`` a job counts as accepted when its record is applied. Raises
        InvalidInputError for a value that cannot be decoded.
        """
        parts = split_key(key)
        if parts is None:
            return None
        kind, job_id = parts
        if key == OWNER_RESIGNED_KEY:
            self.resigned_epoch = max(self.resigned_epoch, decode_owner(value).epoch)
            return None
        if kind is RecordKind.OWNER:
            self._record_owner(decode_owner(value), now)
            return None
        if kind is RecordKind.WAVE:
            if job_id.isdigit():
                self.progress_by_wave[int(job_id)] = decode_wave_progress(value)
            return None
        if kind is RecordKind.EVACUATIONS:
            if key == EVACUATIONS_KEY:
                self.evacuations = decode_evacuations(value)
            return None
        if key == UNRESPONSIVE_KEY:
            self.last_grants = decode_unresponsive(value, now)
            return None
        if kind is RecordKind.MACHINES:
            self.order_by_machine = decode_machine_orders(value, now)
            return None
        if kind is RecordKind.LEARNED:
            self._record_learned(key, value)
            return None
        if kind is RecordKind.TOMBSTONE:
            return self._fold_tombstone(job_id, value, offset, now)
        if kind is RecordKind.PROGRESS:
            job_id, part = split_progress_name(job_id)
            if part:
                return self._fold_part(job_id, part, _Orphan(offset, value, now))
        registered = self.job_by_id.get(job_id)
        if not value:
            self._drop(kind, job_id, now)
            return None
        if kind is RecordKind.ACCEPTED:
            if registered is None:
                return self._accept(decode_job(value), now, reading)
            return None
        if registered is None:
            self._orphans[kind, job_id] = _Orphan(offset, value, now)
            return None
        if kind is RecordKind.CANCELLED:
            self._cancel(registered, now)
            return registered
        self._adjust_pending(registered, -1)
        if offset > registered.progress_offset:
            registered.progress = decode_progress(value)
            registered.progress.reopen_long_running(registered.job)
            self.run_ages.observe(registered.progress, now)
            registered.progress_offset = offset
        self._adjust_pending(registered, 1)
        self._record_end(registered, now)
        return registered

    def _cancel(self, registered: RegisteredJob, now: float) -> None:
        self._adjust_pending(registered, -1)
        registered.cancelled = True
        self._adjust_pending(registered, 1)
        self._record_end(registered, now)

    @staticmethod
    def _record_end(registered: RegisteredJob, now: float) -> None:
        if registered.state.final and registered.ended_at is None:
            registered.ended_at = now

    def _fold_tombstone(
        self, name: str, value: bytes, offset: int, now: float
    ) -> RegisteredJob | None:
        """Apply a tombstone; return the job if it had been accepted meanwhile."""
        job_id = self.tombstones.fold(name, value, offset, now)
        registered = self.job_by_id.get(job_id)
        if registered is None or not self.tombstones.covers(registered.job):
            return None
        self._cancel(registered, now)
        return registered

    def expired(self, ended_before: float, max_count: int) -> list[str]:
        """Return up to ``max_count`` jobs that have ended.

        Only jobs whose end this node learned before ``ended_before`` count.
        """
        ids = (
            job_id
            for job_id, registered in self.job_by_id.items()
            if registered.ended_at is not None and registered.ended_at < ended_before
        )
        return list(islice(ids, max_count))

    def expired_orphans(self, read_before: float, max_count: int) -> list[str]:
        """Return up to ``max_count`` deleted jobs whose progress record remains.

        Only records read before ``read_before`` count. An owner that ends while it
        deletes a job may leave its progress record: the ACCEPTED record is deleted
        first, because without progress the job would look like a new one.
        """
        mains = (
            (job_id, orphan)
            for (kind, job_id), orphan in self._orphans.items()
            if kind is RecordKind.PROGRESS
        )
        parts = (
            (job_id, orphan)
            for job_id, orphans in self._orphan_parts_by_id.items()
            for orphan in orphans.values()
        )
        ids = dict.fromkeys(
            job_id
            for job_id, orphan in (*mains, *parts)
            if orphan.read_at < read_before
        )
        return list(islice(ids, max_count))

    def _fold_part(
        self, job_id: str, part: int, record: _Orphan
    ) -> RegisteredJob | None:
        """Apply a record of a further part of a job's progress."""
        registered = self.job_by_id.get(job_id)
        if registered is None:
            orphans = self._orphan_parts_by_id.setdefault(job_id, {})
            if record.value:
                orphans[part] = record
            else:
                orphans.pop(part, None)
            if not orphans:
                del self._orphan_parts_by_id[job_id]
            return None
        if record.offset > registered.offset_by_part.get(part, -1):
            registered.offset_by_part[part] = record.offset
            if record.value:
                progress = decode_progress(record.value)
                progress.reopen_long_running(registered.job)
                registered.part_by_number[part] = progress
                self.run_ages.observe(progress, record.read_at)
            else:
                registered.part_by_number.pop(part, None)
        return registered

    def progress_keys(self, job_id: str) -> list[str]:
        """Return the keys of all records of a job's progress."""
        registered = self.job_by_id.get(job_id)
        parts = set(self._orphan_parts_by_id.get(job_id, ()))
        if registered is not None:
            parts.update(registered.part_by_number)
        return [progress_key(job_id, part) for part in (0, *sorted(parts))]

    def unread_placed_jobs(self) -> Iterator[str]:
        """Yield the jobs that are placed on minions but whose own record is not read.

        The streams are read independently, so an owner's records of a job may be known
        before the job. Those of deleted jobs look the same until they are deleted too.
        """
        records_by_id: dict[str, list[bytes]] = {
            job_id: [part.value for part in parts.values()]
            for job_id, parts in self._orphan_parts_by_id.items()
        }
        for (kind, job_id), orphan in self._orphans.items():
            if kind is RecordKind.PROGRESS:
                records_by_id.setdefault(job_id, []).append(orphan.value)
        for job_id, records in records_by_id.items():
            try:
                parts = [decode_progress(value) for value in records]
            except InvalidInputError:
                # Nothing shows that the job runs nowhere.
                yield job_id
                continue
            if any(p.placed for p in parts) and not any(p.state.final for p in parts):
                yield job_id

    def pending(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue that have not started."""
        return self._pending_by_queue.get(queue, 0)

    def _record_learned(self, key: str, value: bytes) -> None:
        """Keep a record of what an owner has learned until an owner needs it."""
        if len(value) > MAX_LEARNED_BYTES:
            problem = f"{len(value)} bytes, at most {MAX_LEARNED_BYTES} expected"
            raise InvalidInputError([Finding(key, problem)])
        if not value:
            self.learned_by_key.pop(key, None)
        elif key in self.learned_by_key or len(self.learned_by_key) < MAX_LEARNED_KEYS:
            self.learned_by_key[key] = value

    def _record_owner(self, owner: OwnerRecord, now: float) -> None:
        """Record an owner, and when its epoch and earlier ones had certainly begun."""
        if self.owner is None or owner.epoch > self.owner.epoch:
            self.owner = owner
            self.opened_at_by_epoch[owner.epoch] = now
            self.lease_by_epoch[owner.epoch] = owner.lease_s
            for epoch, age in owner.opened_s_ago.items():
                opened_at = min(now - age, self.opened_at_by_epoch.get(epoch, now))
                self.opened_at_by_epoch[epoch] = opened_at

    def opened_s_ago(self, now: float) -> dict[int, float]:
        """Return, for the log, the seconds since recent epochs had certainly begun."""
        return {
            epoch: round(now - opened_at - AGE_RESOLUTION_S, 3)
            for epoch, opened_at in self.opened_at_by_epoch.items()
            if now - opened_at < EPOCH_RETENTION_S
        }

    def _accept(self, job: Job, now: float, reading: Reading | None) -> RegisteredJob:
        accepted_at = now if reading is None else reading.accepted_at(job, now)
        registered = RegisteredJob(job, accepted_at)
        self.job_by_id[job.job_id] = registered
        self._adjust_pending(registered, 1)
        for kind in (RecordKind.CANCELLED, RecordKind.PROGRESS):
            orphan = self._orphans.pop((kind, job.job_id), None)
            if orphan is not None:
                key = job_key(kind, job.job_id)
                self.fold(key, orphan.value, orphan.offset, now)
        orphans = self._orphan_parts_by_id.pop(job.job_id, {})
        for part, orphan in orphans.items():
            self._fold_part(job.job_id, part, orphan)
        if self.tombstones.covers(job):
            self._cancel(registered, now)
        return registered

    def _drop(self, kind: RecordKind, job_id: str, now: float) -> None:
        self._orphans.pop((kind, job_id), None)
        if kind is RecordKind.ACCEPTED:
            registered = self.job_by_id.pop(job_id, None)
            if registered is not None:
                self._adjust_pending(registered, -1)
                if registered.progress_offset >= 0:
                    # The progress record is deleted next, unless the owner ends first.
                    value = encode_progress(registered.progress)
                    left = _Orphan(registered.progress_offset, value, now)
                    self._orphans[RecordKind.PROGRESS, job_id] = left
                for part, progress in registered.part_by_number.items():
                    offset = registered.offset_by_part[part]
                    left = _Orphan(offset, encode_progress(progress), now)
                    self._fold_part(job_id, part, left)

    def _adjust_pending(self, registered: RegisteredJob, change: int) -> None:
        if registered.state is JobState.QUEUED:
            queue = registered.job.queue
            self._pending_by_queue[queue] = self.pending(queue) + change
