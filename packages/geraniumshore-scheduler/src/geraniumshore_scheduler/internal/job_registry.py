"""The fold of the job log, which every node keeps to answer callers from memory."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice

from geraniumshore_scheduler.internal.machine_orders import AnnouncedOrder
from geraniumshore_scheduler.internal.model import Job
from geraniumshore_scheduler.internal.records import (
    MS_S,
    OWNER_LEFT_KEY,
    SILENCES_KEY,
    JobState,
    OwnerRecord,
    Progress,
    RecordKind,
    WaveProgress,
    decode_job,
    decode_machine_orders,
    decode_owner,
    decode_progress,
    decode_silences,
    decode_wave_progress,
    encode_progress,
    job_key,
    split_key,
)
from geraniumshore_scheduler.internal.unresponsive import SilentFor

__all__ = ["BookedJob", "JobBook"]


# Epochs that began longer ago say nothing of leases that may still stand.
EPOCHS_KEPT_S = 60.0


@dataclass(slots=True)
class BookedJob:
    """A job and the newest records of it.

    A final state in the progress stands, whenever a cancellation came. ``ended_at`` is
    when this node learned of the end.
    """

    job: Job
    accepted_at: float
    progress: Progress = field(default_factory=Progress)
    progress_offset: int = -1
    cancelled: bool = False
    ended_at: float | None = None

    @property
    def state(self) -> JobState:
        """The state that callers are told."""
        if self.cancelled and not self.progress.state.final:
            return JobState.CANCELLED
        return self.progress.state


@dataclass(frozen=True, slots=True)
class _Orphan:
    """A record whose job's first record has not been read, or is gone."""

    offset: int
    value: bytes
    read_at: float


class JobBook:
    """All jobs whose records stand in the log. Not safe for use by several threads."""

    def __init__(self) -> None:
        self.job_by_id: dict[str, BookedJob] = {}
        self.owner: OwnerRecord | None = None
        # The newest epoch whose owner gave the schedule up by itself.
        self.left_epoch = -1
        self.opened_at_by_epoch: dict[int, float] = {}
        self.progress_by_wave: dict[int, WaveProgress] = {}
        self.order_by_machine: dict[str, AnnouncedOrder] = {}
        # After when owners sent no lease to minions that were silent.
        self.last_grants: dict[SilentFor, float] = {}
        self._orphans: dict[tuple[RecordKind, str], _Orphan] = {}
        self._pending_by_queue: dict[str, int] = {}

    def fold(self, key: str, value: bytes, offset: int, now: float) -> BookedJob | None:
        """Apply one record; return the job that it changed.

        Records may repeat, and those of different keys may come in any order: they
        stand in two streams, and pages of newest records are no snapshot. Raises
        InvalidInputError for a value that cannot be decoded.
        """
        parts = split_key(key)
        if parts is None:
            return None
        kind, job_id = parts
        if key == OWNER_LEFT_KEY:
            self.left_epoch = max(self.left_epoch, decode_owner(value).epoch)
            return None
        if kind is RecordKind.OWNER:
            self._note_owner(decode_owner(value), now)
            return None
        if kind is RecordKind.WAVE:
            if job_id.isdigit():
                self.progress_by_wave[int(job_id)] = decode_wave_progress(value)
            return None
        if key == SILENCES_KEY:
            self.last_grants = decode_silences(value, now)
            return None
        if kind is RecordKind.MACHINES:
            self.order_by_machine = decode_machine_orders(value, now)
            return None
        booked = self.job_by_id.get(job_id)
        if not value:
            self._drop(kind, job_id, now)
            return None
        if kind is RecordKind.ACCEPTED:
            if booked is None:
                return self._accept(decode_job(value), now)
            return None
        if booked is None:
            self._orphans[kind, job_id] = _Orphan(offset, value, now)
            return None
        self._count(booked, -1)
        if kind is RecordKind.CANCELLED:
            booked.cancelled = True
        elif offset > booked.progress_offset:
            booked.progress = decode_progress(value)
            booked.progress_offset = offset
        self._count(booked, 1)
        if booked.state.final and booked.ended_at is None:
            booked.ended_at = now
        return booked

    def expired(self, ended_before: float, most: int) -> list[str]:
        """Return jobs whose end was learned before a moment, at most so many."""
        ids = (
            job_id
            for job_id, booked in self.job_by_id.items()
            if booked.ended_at is not None and booked.ended_at < ended_before
        )
        return list(islice(ids, most))

    def expired_orphans(self, read_before: float, most: int) -> list[str]:
        """Return dropped jobs whose progress is left, read before a moment.

        An owner that ends while it drops a job leaves its progress: a job's first
        record goes first, or the job would seem to be a new one.
        """
        ids = (
            job_id
            for (kind, job_id), orphan in self._orphans.items()
            if kind is RecordKind.PROGRESS and orphan.read_at < read_before
        )
        return list(islice(ids, most))

    def pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        return self._pending_by_queue.get(queue, 0)

    def _note_owner(self, owner: OwnerRecord, now: float) -> None:
        """Note the owner, and when its epoch had certainly begun."""
        if self.owner is None or owner.epoch > self.owner.epoch:
            self.owner = owner
            self.opened_at_by_epoch[owner.epoch] = now
            for epoch, age in owner.opened_s_ago.items():
                opened_at = min(now - age, self.opened_at_by_epoch.get(epoch, now))
                self.opened_at_by_epoch[epoch] = opened_at

    def opened_s_ago(self, now: float) -> dict[int, float]:
        """Return how long ago the latest epochs had certainly begun, for the log."""
        return {
            epoch: round(now - opened_at - MS_S, 3)
            for epoch, opened_at in self.opened_at_by_epoch.items()
            if now - opened_at < EPOCHS_KEPT_S
        }

    def _accept(self, job: Job, now: float) -> BookedJob:
        booked = BookedJob(job, now)
        self.job_by_id[job.job_id] = booked
        self._count(booked, 1)
        for kind in (RecordKind.CANCELLED, RecordKind.PROGRESS):
            orphan = self._orphans.pop((kind, job.job_id), None)
            if orphan is not None:
                key = job_key(kind, job.job_id)
                self.fold(key, orphan.value, orphan.offset, now)
        return booked

    def _drop(self, kind: RecordKind, job_id: str, now: float) -> None:
        self._orphans.pop((kind, job_id), None)
        if kind is RecordKind.ACCEPTED:
            booked = self.job_by_id.pop(job_id, None)
            if booked is not None:
                self._count(booked, -1)
                if booked.progress_offset >= 0:
                    # Its progress is dropped next, if the owner lives so long.
                    value = encode_progress(booked.progress)
                    left = _Orphan(booked.progress_offset, value, now)
                    self._orphans[RecordKind.PROGRESS, job_id] = left

    def _count(self, booked: BookedJob, change: int) -> None:
        if booked.state is JobState.QUEUED:
            queue = booked.job.queue
            self._pending_by_queue[queue] = self.pending(queue) + change
