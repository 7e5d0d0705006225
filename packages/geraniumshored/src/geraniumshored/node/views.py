"""What a node knows from the store's streams, kept current by following them."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

from geraniumshore_scheduler import (
    AnnouncedWave,
    BookedJob,
    Configuration,
    InvalidInputError,
    JobBook,
    MinionListing,
    PlatformUnavailableError,
    RecordKind,
    RecordsTrimmedError,
    UnknownOutcomeError,
    UpkeepWave,
    split_key,
)
from geraniumshored.node.logs import log_event
from geraniumshored.node.ports import Platform, Record, Stream

__all__ = ["Follower", "JobsView", "MinionsView", "OperatorsView"]

logger = logging.getLogger(__name__)

# A read waits this long for a record. A silent connection is noticed that much later.
READ_WAIT_MS = 1000
# A failed read is made again after this time.
RETRY_S = 0.1


class Follower(ABC):
    """Follows one stream: the newest records first, then whatever comes."""

    def __init__(
        self, platform: Platform, stream: Stream, now: Callable[[], float]
    ) -> None:
        self._platform = platform
        self._stream = stream
        self._now = now
        self._offset: int | None = None
        # When all records of before had been read.
        self._read_at = float("-inf")
        self._reading_since: float | None = None
        self._asked_at = float("-inf")
        self._broken = False
        self._pause = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{stream.value}", daemon=True
        )

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def age(self, now: float) -> float:
        """Return for how long the view may have missed records."""
        return now - self._read_at

    @property
    def offset(self) -> int:
        """The offset up to which the stream is folded."""
        return self._offset or 0

    @abstractmethod
    def _apply(self, record: Record) -> None:
        """Fold one record."""

    @abstractmethod
    def _reset(self) -> None:
        """Forget everything, before the newest records are folded again."""

    @abstractmethod
    def _folded(self) -> None:
        """Tell others, after each read."""

    def _pause_s(self) -> float:
        """Return how long to wait between reads."""
        return 0.0

    def _wait_ms(self) -> int:
        """Return for how long a read waits for a record."""
        return READ_WAIT_MS

    def _run(self) -> None:
        while True:
            try:
                self._step()
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                if not self._broken:
                    self._broken = True
                    log_event(
                        logger,
                        "stream lost",
                        stream=self._stream.value,
                        offset=self._offset,
                        cause=str(error),
                    )
                self._pause.wait(RETRY_S)
            except Exception:
                # A node whose view stands still would mislead callers until it ends.
                logger.exception("fault while following %s", self._stream.value)
                self._pause.wait(RETRY_S)

    def _step(self) -> None:
        self._pause.clear()
        self._asked_at = asked_at = self._reading_since = self._now()
        if self._offset is None:
            page = self._platform.store.newest(self._stream)
            self._reset()
            self._fold(page.records)
            self._offset = page.end
        else:
            try:
                page = self._platform.store.read(
                    self._stream, self._offset, self._wait_ms()
                )
            except RecordsTrimmedError as error:
                log_event(
                    logger,
                    "stream trimmed",
                    stream=self._stream.value,
                    offset=self._offset,
                    first=error.first,
                )
                self._offset = None
                return
            self._fold(page.records)
            self._offset += len(page.records)
        if self._broken:
            self._broken = False
            log_event(
                logger,
                "stream regained",
                stream=self._stream.value,
                offset=self._offset,
            )
        # A read that returns nothing has waited at the end of the stream.
        behind = self._offset < page.end
        self._reading_since = None
        if not behind:
            self._read_at = asked_at if page.records else self._now()
        self._folded()
        pause = self._pause_s()
        if pause and not behind:
            self._pause.wait(pause)

    def _fold(self, records: tuple[Record, ...]) -> None:
        for record in records:
            try:
                self._apply(record)
            except InvalidInputError as error:
                log_event(
                    logger,
                    "record ignored",
                    stream=self._stream.value,
                    key=record.key,
                    offset=record.offset,
                    cause=str(error),
                )
            except Exception:
                # Every node reads the same record, and the ones after it still count.
                logger.exception(
                    "record passed over: %s at %s of %s",
                    record.key,
                    record.offset,
                    self._stream.value,
                )


class OperatorsView(Follower):
    """The newest configuration and the waves of upkeep."""

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        super().__init__(platform, Stream.OPERATORS, now)
        self.configuration: Configuration | None = None
        self.wave_by_number: dict[int, AnnouncedWave] = {}
        self.on_configuration: Callable[[Configuration], None] = lambda _: None

    def _reset(self) -> None:
        """Records may be deleted at any time; what was said still holds."""

    def _apply(self, record: Record) -> None:
        if not record.value:
            return
        decoded = self._platform.decode_operator_record(record)
        if isinstance(decoded, UpkeepWave):
            seen = self.wave_by_number.get(decoded.number)
            if seen is None or seen.wave != decoded:
                self.wave_by_number[decoded.number] = AnnouncedWave(
                    decoded, self._read_at, self._now()
                )
                log_event(
                    logger,
                    "wave announced",
                    wave=decoded.number,
                    machines=len(decoded.machines),
                    within_s=decoded.within_s,
                    most_at_once=decoded.most_at_once,
                )
        elif decoded is not None:
            self._use(decoded)

    def _folded(self) -> None:
        """Configurations are told one by one."""

    def _use(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        log_event(
            logger,
            "configuration in force",
            version=configuration.version,
            before=None if current is None else current.version,
            queues=len(configuration.queues),
        )
        self.on_configuration(configuration)


class MinionsView(Follower):
    """The platform's list of minions. It lags, and entries may be missing."""

    # Every minion writes its entry over and over; only the owner needs it, and soon.
    FOLLOW_PAUSE_S = 1.0
    OWNER_PAUSE_S = 0.1

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        super().__init__(platform, Stream.MINIONS, now)
        # Others read this one while the follower's thread folds into the other.
        self.listing_by_id: dict[str, MinionListing] = {}
        self._folding: dict[str, MinionListing] = {}
        self.on_change: Callable[[], None] | None = None

    def _pause_s(self) -> float:
        return self.FOLLOW_PAUSE_S if self.on_change is None else self.OWNER_PAUSE_S

    def _reset(self) -> None:
        self._folding = {}

    def _apply(self, record: Record) -> None:
        # An entry that cannot be read names no minion to use.
        listing = None
        try:
            if record.value:
                listing = self._platform.decode_minion(record)
        finally:
            if listing is None:
                self._folding.pop(record.key, None)
            else:
                self._folding[record.key] = listing

    def _folded(self) -> None:
        self.listing_by_id = dict(self._folding)
        if self.on_change is not None:
            self.on_change()


class JobsView:
    """The fold of the job log's two streams. The lock guards the book."""

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        self.lock = threading.RLock()
        self.book = JobBook()
        self.on_job: Callable[[BookedJob, RecordKind], None] | None = None
        self.on_progress_read: Callable[[float], None] | None = None
        self._now = now
        # When records of an owner last came; those of before this process say nothing.
        self.owner_seen_at = float("-inf")
        self._followers = (
            _JobFollower(self, platform, Stream.ACCEPTED, now),
            _JobFollower(self, platform, Stream.PROGRESS, now),
        )

    def start(self) -> None:
        """Begin to follow both streams."""
        for follower in self._followers:
            follower.start()

    def age(self, now: float) -> float:
        """Return for how long the book may have missed records."""
        return max(follower.age(now) for follower in self._followers)

    @property
    def progress_offset(self) -> int:
        """The offset up to which the owner's records are folded."""
        return self._followers[1].offset

    def refresh(self, wait_s: float) -> None:
        """Read on now, and wait for that, at most ``wait_s``."""
        asked_at = self._now()
        self.hurry()
        for follower in self._followers:
            follower.wait_for_read(asked_at, asked_at + wait_s)

    def hurry(self) -> None:
        """Read on now."""
        for follower in self._followers:
            follower.hurry()

    def find(self, job_id: str) -> BookedJob | None:
        """Return a job of the log."""
        with self.lock:
            return self.book.job_by_id.get(job_id)

    def pending(self, queue: str) -> int:
        """Return how many of a queue's jobs have not begun."""
        with self.lock:
            return self.book.pending(queue)

    def fold(self, record: Record) -> None:
        """Fold one record, and tell the owner in this process of it."""
        with self.lock:
            booked = self.book.fold(
                record.key, record.value, record.offset, self._now()
            )
            parts = split_key(record.key)
            if booked is not None and parts is not None and self.on_job is not None:
                self.on_job(booked, parts[0])


class _JobFollower(Follower):
    """Follows one of the job log's streams.

    Each read costs the store a call, so a node reads seldom, and at once when a caller
    asks. The owner reads accepted jobs soon: they wait for it.
    """

    FOLLOW_PAUSE_S = 0.3
    OWNER_PAUSE_S = 0.01
    # The owner's reads of its own stream confirm it, so they must not wait for long.
    CONFIRMING_WAIT_MS = 200
    CONFIRMING_PAUSE_S = 0.1
    # The store answers a read of records that exist within this time.
    ANSWER_S = 0.015

    def __init__(
        self,
        view: JobsView,
        platform: Platform,
        stream: Stream,
        now: Callable[[], float],
    ) -> None:
        super().__init__(platform, stream, now)
        self._view = view
        self._read = threading.Condition()

    def hurry(self) -> None:
        """End the pause before the next read."""
        self._pause.set()

    def wait_for_read(self, since: float, deadline: float) -> None:
        """Wait until a read that began after ``since`` has been folded.

        A read that waits for records at the stream's end already would have returned.
        """
        with self._read:
            while self._read_at < since:
                reading_since = self._reading_since
                now = self._now()
                if reading_since is not None and now > reading_since + self.ANSWER_S:
                    return
                if now >= deadline or not self._read.wait(deadline - now):
                    return

    @property
    def _confirming(self) -> bool:
        told = self._view.on_progress_read is not None
        return told and self._stream is Stream.PROGRESS

    def _wait_ms(self) -> int:
        return self.CONFIRMING_WAIT_MS if self._confirming else READ_WAIT_MS

    def _pause_s(self) -> float:
        if self._confirming:
            return self.CONFIRMING_PAUSE_S
        if self._view.on_job is None or self._stream is Stream.PROGRESS:
            return self.FOLLOW_PAUSE_S
        return self.OWNER_PAUSE_S

    def _apply(self, record: Record) -> None:
        self._view.fold(record)
        if self._stream is Stream.PROGRESS and self._offset is not None:
            self._view.owner_seen_at = self._now()

    def _folded(self) -> None:
        with self._read:
            self._read.notify_all()
        on_read = self._view.on_progress_read
        if on_read is not None and self._confirming:
            on_read(self._asked_at)

    def _reset(self) -> None:
        """Keep what is known: newer records replace it one by one."""
