"""Snapshots of the folded state, which are stored in parts in the log itself.

The log keeps its records for a limited time. A snapshot contains the position at which
it was taken, so a reader needs one whole snapshot and the entries from there on.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from geraniumshore.errors import Finding
from geraniumshore.internal.fold import ControlState
from geraniumshore.internal.homes import rank_members
from geraniumshore.internal.records import LogEntry, SnapshotPart
from geraniumshore.internal.release import validation_findings

__all__ = [
    "CatchUp",
    "SnapshotCollector",
    "SnapshotSchedule",
    "WholeSnapshot",
    "decode_state",
    "encode_state",
    "snapshot_parts",
]

PART_CHARACTERS = 64 * 1024
# A snapshot is due after this time, or immediately if the log trimmed the last one.
SNAPSHOT_INTERVAL_SECONDS = 240.0
SNAPSHOT_INTERVAL_ENTRIES = 5_000
# Members become eligible at this interval, so that usually only one of them appends.
STAGGER_SECONDS = 2.0
# Time for a pending append to appear before the next attempt.
APPEND_GRACE_SECONDS = 10.0

_STATE: TypeAdapter[ControlState] = TypeAdapter(ControlState)


def encode_state(state: ControlState) -> str:
    """Encode a folded state as compressed JSON in base64."""
    return base64.b64encode(zlib.compress(_STATE.dump_json(state))).decode()


def decode_state(document: str) -> Result[ControlState, tuple[Finding, ...]]:
    """Decode a folded state; return findings if the document is not a valid one."""
    try:
        return Ok(_STATE.validate_json(zlib.decompress(base64.b64decode(document))))
    except ValidationError as error:
        return Err(validation_findings(error, "snapshot"))
    except (ValueError, zlib.error) as error:
        return Err((Finding("snapshot", f"is not a compressed state: {error}"),))


def snapshot_parts(
    state: ControlState,
    new_id: Callable[[], str],
    bridges: int | None = None,
    endorsed_by: tuple[str, ...] = (),
) -> tuple[SnapshotPart, ...]:
    """Return the records of a snapshot of ``state``, or of a bridge with it."""
    document = encode_state(state)
    starts = range(0, len(document), PART_CHARACTERS)
    snapshot = new_id()
    return tuple(
        SnapshotPart(
            id=new_id(),
            snapshot=snapshot,
            position=state.position,
            part=number,
            parts=len(starts),
            document=document[start : start + PART_CHARACTERS],
            bridges=bridges,
            endorsed_by=endorsed_by,
        )
        for number, start in enumerate(starts)
    )


@dataclass(frozen=True, slots=True)
class WholeSnapshot:
    """A snapshot of which all parts have been read."""

    position: int
    document: str
    bridges: int | None = None
    endorsed_by: tuple[str, ...] = ()


@dataclass(slots=True)
class SnapshotCollector:
    """Assembles snapshots from parts that arrive in any order."""

    _parts_by_snapshot: dict[str, dict[int, str]] = field(default_factory=dict)
    _position: int = -1

    def add(self, part: SnapshotPart) -> WholeSnapshot | None:
        """Add a part; return the snapshot once it is whole."""
        if part.position < self._position:
            return None
        parts = self._parts_by_snapshot.setdefault(part.snapshot, {})
        parts[part.part] = part.document
        if len(parts) < part.parts:
            return None
        self._parts_by_snapshot.clear()
        self._position = part.position
        document = "".join(parts[number] for number in sorted(parts))
        return WholeSnapshot(part.position, document, part.bridges, part.endorsed_by)


@dataclass(slots=True)
class CatchUp:
    """Reads a log that starts after the reader's position, to find a snapshot."""

    first: int
    entries: list[LogEntry] = field(default_factory=list)
    newest: WholeSnapshot | None = None
    bridge: WholeSnapshot | None = None
    stuck_since: float | None = None
    _collector: SnapshotCollector = field(default_factory=SnapshotCollector)

    @property
    def next_offset(self) -> int:
        """The offset from which to continue reading."""
        return self.entries[-1].offset + 1 if self.entries else self.first

    def add(self, entries: Iterable[LogEntry]) -> None:
        """Add entries in order."""
        for entry in entries:
            if entry.offset < self.next_offset:
                continue
            self.entries.append(entry)
            for record in entry.records:
                if isinstance(record, SnapshotPart):
                    self._add_part(record)

    def _add_part(self, part: SnapshotPart) -> None:
        whole = self._collector.add(part)
        if whole is None:
            return
        if whole.bridges is None and whole.position >= self.first:
            self.newest = whole
        elif whole.bridges is not None and whole.bridges >= self.first:
            self.bridge = self.bridge or whole


@dataclass(slots=True)
class SnapshotSchedule:
    """Decides when one member should append a snapshot."""

    own: str
    period: float = SNAPSHOT_INTERVAL_SECONDS
    whole_position: int = 0
    _whole_at: float | None = None
    _trimmed_at: float | None = None
    _next_attempt: float = float("-inf")
    _collector: SnapshotCollector = field(default_factory=SnapshotCollector)

    def on_part(self, part: SnapshotPart, now: float) -> WholeSnapshot | None:
        """Process a folded part; return the snapshot if this part completes it."""
        whole = self._collector.add(part)
        if whole is not None and whole.bridges is None:
            self.whole_position = whole.position
            self._whole_at = now
            self._trimmed_at = None
        return whole

    def on_log_start(self, first: int, now: float) -> None:
        """Record the oldest offset that the log still keeps."""
        if first <= self.whole_position:
            self._trimmed_at = None
        elif self._trimmed_at is None:
            self._trimmed_at = now

    def due(self, members: Iterable[str], position: int, now: float) -> bool:
        """Return whether to append now; call this only for members with authority."""
        if self._whole_at is None:
            self._whole_at = now
        overdue = now - self._due_at(position, now)
        if overdue < 0 or now < self._next_attempt:
            return False
        ranked = rank_members("snapshot", members)
        if self.own not in ranked[: 1 + int(overdue / STAGGER_SECONDS)]:
            return False
        self._next_attempt = now + APPEND_GRACE_SECONDS
        return True

    def _due_at(self, position: int, now: float) -> float:
        assert self._whole_at is not None
        due_at = self._whole_at + self.period
        if self._trimmed_at is not None:
            due_at = min(due_at, self._trimmed_at)
        if position - self.whole_position > SNAPSHOT_INTERVAL_ENTRIES:
            due_at = min(due_at, now)
        return due_at
