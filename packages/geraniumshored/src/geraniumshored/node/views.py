"""What a node knows from the store's streams, kept current by following them."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

from geraniumshore_scheduler import (
    BookedJob,
    Configuration,
    GeraniumshoreError,
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
        self._read_at: float | None = None
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
        return float("inf") if self._read_at is None else now - self._read_at

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
            except GeraniumshoreError:
                logger.exception("fault while following %s", self._stream.value)
                self._pause.wait(RETRY_S)

    def _step(self) -> None:
        asked_at = self._now()
        if self._offset is None:
            page = self._platform.store.newest(self._stream)
            self._reset()
            self._fold(page.records)
            self._offset = page.end
        else:
            try:
                page = self._platform.store.read(
                    self._stream, self._offset, READ_WAIT_MS
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


class OperatorsView(Follower):
    """The newest configuration and the waves of upkeep."""

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        super().__init__(platform, Stream.OPERATORS, now)
        self.configuration: Configuration | None = None
        self.wave_by_number: dict[int, tuple[UpkeepWave, float]] = {}
        self.on_configuration: Callable[[Configuration], None] = lambda _: None

    def _reset(self) -> None:
        """Records may be deleted at any time; what was said still holds."""

    def _apply(self, record: Record) -> None:
        if not record.value:
            return
        decoded = self._platform.decode_operator_record(record)
        if isinstance(decoded, UpkeepWave):
            seen = self.wave_by_number.get(decoded.number)
            if seen is None or seen[0] != decoded:
                self.wave_by_number[decoded.number] = decoded, self._now()
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
    OWNER_PAUSE_S = 0.25

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        super().__init__(platform, Stream.MINIONS, now)
        self.listing_by_id: dict[str, MinionListing] = {}
        self.on_change: Callable[[], None] | None = None

    def _pause_s(self) -> float:
        return self.FOLLOW_PAUSE_S if self.on_change is None else self.OWNER_PAUSE_S

    def _reset(self) -> None:
        self.listing_by_id = {}

    def _apply(self, record: Record) -> None:
        listings = dict(self.listing_by_id)
        if record.value:
            try:
                listings[record.key] = self._platform.decode_minion(record)
            except InvalidInputError:
                listings.pop(record.key, None)
                raise
            finally:
                self.listing_by_id = listings
        else:
            listings.pop(record.key, None)
            self.listing_by_id = listings

    def _folded(self) -> None:
        if self.on_change is not None:
            self.on_change()


class JobsView(Follower):
    """The fold of the job log. The lock guards the book."""

    # How often a node that does not own the schedule reads the log. Each read of each
    # node costs the store a call; callers see states that much later.
    FOLLOW_PAUSE_S = 0.1
    # The owner reads sooner: a job waits for it.
    OWNER_PAUSE_S = 0.01

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        super().__init__(platform, Stream.JOBS, now)
        self.lock = threading.RLock()
        self.book = JobBook()
        self.on_job: Callable[[BookedJob, RecordKind], None] | None = None

    def find(self, job_id: str) -> BookedJob | None:
        """Return a job of the log."""
        with self.lock:
            return self.book.job_by_id.get(job_id)

    def pending(self, queue: str) -> int:
        """Return how many of a queue's jobs have not begun."""
        with self.lock:
            return self.book.pending(queue)

    def _pause_s(self) -> float:
        return self.FOLLOW_PAUSE_S if self.on_job is None else self.OWNER_PAUSE_S

    def _folded(self) -> None:
        """Jobs are told one by one."""

    def _reset(self) -> None:
        """Keep what is known: newer records replace it one by one."""

    def _apply(self, record: Record) -> None:
        with self.lock:
            booked = self.book.fold(
                record.key, record.value, record.offset, self._now()
            )
            parts = split_key(record.key)
            if booked is not None and parts is not None and self.on_job is not None:
                self.on_job(booked, parts[0])
