"""Cancellations of jobs that are not in the log, kept for submissions that come late.

A frozen node or a late append may put a job into the log seconds after its caller was
told that it is cancelled. The tombstone that the cancellation left then cancels it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from geraniumshore_scheduler.internal.model import Job
from geraniumshore_scheduler.internal.records import (
    RecordKind,
    Tombstone,
    decode_tombstone,
    job_key,
)

__all__ = ["Tombstones"]


@dataclass(frozen=True, slots=True)
class _KnownTombstone:
    tombstone: Tombstone
    offset: int
    read_at: float


class Tombstones:
    """All tombstones in the log, by job ID."""

    def __init__(self) -> None:
        self._known_by_id: dict[str, dict[str, _KnownTombstone]] = {}
        self._counts: Counter[Tombstone] = Counter()

    def count(self, tombstone: Tombstone) -> int:
        """Return for how many jobs there is a tombstone of the same queue and team."""
        return self._counts[tombstone]

    def fold(self, name: str, value: bytes, offset: int, now: float) -> str:
        """Apply a record, named by job ID and digest; return the job ID.

        A record that is read again keeps its age. Raises InvalidInputError for a value
        that cannot be decoded.
        """
        job_id, _, digest = name.partition("/")
        known_by_digest = self._known_by_id.get(job_id, {})
        known = known_by_digest.get(digest)
        if value and known is not None and offset <= known.offset:
            return job_id
        newest = (
            _KnownTombstone(decode_tombstone(value), offset, now) if value else None
        )
        if known is not None:
            del known_by_digest[digest]
            self._counts[known.tombstone] -= 1
        if newest is not None:
            known_by_digest[digest] = newest
            self._counts[newest.tombstone] += 1
            self._known_by_id[job_id] = known_by_digest
        elif not known_by_digest:
            self._known_by_id.pop(job_id, None)
        return job_id

    def covers(self, job: Job) -> bool:
        """Return whether a job was cancelled before it was in the log."""
        return self.read_at(job) is not None

    def read_at(self, job: Job) -> float | None:
        """Return when the newest tombstone that cancels a job was read."""
        covering = (
            known.read_at
            for known in self._known_by_id.get(job.job_id, {}).values()
            if known.tombstone.covers(job.queue, job.team)
        )
        return max(covering, default=None)

    def expired(self, read_before: float) -> Iterator[str]:
        """Yield the keys of the tombstones that were read before ``read_before``."""
        for job_id, known_by_digest in self._known_by_id.items():
            for digest, known in known_by_digest.items():
                if known.read_at < read_before:
                    yield f"{job_key(RecordKind.TOMBSTONE, job_id)}/{digest}"
