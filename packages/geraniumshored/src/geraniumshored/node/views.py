"""Views of the store's streams, kept current by following them."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

from geraniumshore_scheduler import (
    AnnouncedWave,
    Configuration,
    Evacuation,
    EvacuationLog,
    InvalidInputError,
    Job,
    JobRegistry,
    MaintenanceWave,
    MinionListing,
    PlatformUnavailableError,
    Reading,
    RecordKind,
    RecordsTrimmedError,
    RegisteredJob,
    Tombstone,
    UnknownOutcomeError,
    split_key,
)
from geraniumshored.node.catch_up import CatchUp, ReadProgress
from geraniumshored.node.clock import wall_ms
from geraniumshored.node.logs import log_event
from geraniumshored.node.page_size import PageSize
from geraniumshored.node.ports import Page, Platform, Record, Stream

__all__ = ["Follower", "JobsView", "MinionsView", "OperatorsView"]

logger = logging.getLogger(__name__)

# A read waits this long for a record. A dead connection is noticed that much later.
READ_WAIT_MS = 1000
# Delay before a failed read is retried.
RETRY_S = 0.1
# Reads that have failed for this long show that an append would fail too. A single lost
# answer is made up for within it.
STORE_AWAY_AFTER_S = 0.4


class Follower(ABC):
    """Follows a stream: reads the newest record of each key, then new records."""

    def __init__(
        self, platform: Platform, stream: Stream, now: Callable[[], float]
    ) -> None:
        self._platform = platform
        self._stream = stream
        self._now = now
        self._offset: int | None = None
        # All records appended before this time have been read.
        self._caught_up_at = float("-inf")
        self._open_read_started_at: float | None = None
        self._read_started_at = float("-inf")
        self._disconnected_since: float | None = None
        self._refused = False
        self._page_size = PageSize()
        # Set until all records since the beginning have been read.
        self._catch_up: CatchUp | None = None
        self._read_progress = ReadProgress()
        # Whether the last read left records in the log for the next one.
        self._behind = True
        # Values that were ignored, so that one that is written again is not reported.
        self._ignored_by_key: dict[str, bytes] = {}
        self._read_requested = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{stream.value}", daemon=True
        )

    def start(self) -> None:
        """Start the thread that follows the stream."""
        self._thread.start()

    def age(self, now: float) -> float:
        """Return for how many seconds the view may have missed records."""
        return now - self._caught_up_at

    @property
    def caught_up_at(self) -> float:
        """The time before which all appended records have been read."""
        return self._caught_up_at

    def disconnected_s(self, now: float) -> float:
        """Return for how many seconds reads have failed, 0 if the last one did not."""
        since = self._disconnected_since
        return 0.0 if since is None else max(0.0, now - since)

    @property
    def connected(self) -> bool:
        """Whether the last read that ended was answered."""
        return self._disconnected_since is None

    @property
    def has_read_log(self) -> bool:
        """Whether the stream has been read up to its end at least once."""
        return self._caught_up_at > float("-inf")

    def stalled_s(self, since: float) -> float:
        """Return for how many seconds reads have brought nothing, from ``since`` on."""
        return self._read_progress.stalled_s(since)

    @property
    def refused(self) -> bool:
        """Whether the store, or the way to it, refused the last read that ended."""
        return self._refused

    @property
    def offset(self) -> int:
        """The offset up to which the stream is folded."""
        return self._offset or 0

    @abstractmethod
    def _apply(self, record: Record) -> None:
        """Fold one record."""

    @abstractmethod
    def _reset(self) -> None:
        """Reset the view before the newest records are folded again."""

    def _on_newest_folded(self) -> None:
        """Process that the newest record of each key, on all pages, has been folded."""
        return

    @abstractmethod
    def _on_folded(self) -> None:
        """Notify others after each read of the log, and after the last newest page."""

    def _pause_s(self) -> float:
        """Return the delay in seconds between reads."""
        return 0.0

    def _wait_ms(self) -> int:
        """Return the time in milliseconds for which a read waits for a record."""
        return READ_WAIT_MS

    def _run(self) -> None:
        while True:
            if not self.read_once():
                self._read_requested.wait(RETRY_S)

    def read_once(self) -> bool:
        """Read and fold new records; return whether that succeeded."""
        began_at = self._now()
        try:
            self._step()
            self._refused = False
            return True
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            self._read_progress.on_read(began_at, self._now(), brought=False)
            self._refused = isinstance(error, PlatformUnavailableError)
            if self._disconnected_since is None:
                self._disconnected_since = self._now()
                log_event(
                    logger,
                    "stream lost",
                    stream=self._stream.value,
                    offset=self._offset,
                    cause=str(error),
                )
        except Exception:
            self._read_progress.on_read(began_at, self._now(), brought=False)
            # If the thread ended here, the node would answer from an outdated view.
            logger.exception("fault while following %s", self._stream.value)
        return False

    def _step(self) -> None:
        self._read_requested.clear()
        self._read_started_at = started_at = self._open_read_started_at = self._now()
        newest = self._offset is None
        try:
            page = (
                self._read_newest(started_at)
                if self._offset is None
                else self._read_log(self._offset, started_at)
            )
        except RecordsTrimmedError as error:
            self._restart(error)
            return
        self._read_progress.on_read(started_at, self._now(), bool(page.records))
        self._open_read_started_at = None
        if self._disconnected_since is not None:
            self._disconnected_since = None
            log_event(
                logger,
                "stream regained",
                stream=self._stream.value,
                offset=self._offset,
            )
        if self._offset is None:
            return
        self._behind = self._offset < page.end
        if not self._behind:
            # A read of the log without records waited at its end until now.
            waited = not newest and not page.records
            self._caught_up_at = self._now() if waited else self._read_started_at
            self._report_catch_up()
        self._on_folded()
        pause = self._pause_s()
        if pause and not self._behind:
            self._read_requested.wait(pause)

    def _read_log(self, offset: int, started_at: float) -> Page:
        page = self._read_page(offset, self._wait_ms())
        self._fold(page.records)
        self._offset = offset + len(page.records)
        if self._catch_up is not None:
            self._catch_up.on_log(page, started_at)
        return page

    def _read_newest(self, started_at: float) -> Page:
        """Read one page towards the newest record of each key, or of the log since.

        Sets ``_offset`` with the last page. What that page shows is as old as the first
        one, so the read counts as begun then.
        """
        catch_up = self._catch_up
        if catch_up is None or catch_up.has_all_keys:
            self._reset()
            catch_up = self._catch_up = CatchUp(started_at)
        if catch_up.offset is not None and catch_up.log_read_due(started_at):
            page = self._read_page(catch_up.offset, 0)
            self._fold(page.records)
            catch_up.on_log(page, started_at)
            return page
        newest = self._platform.store.newest(self._stream, catch_up.after)
        self._fold(newest.records)
        catch_up.on_newest(newest, started_at)
        if catch_up.has_all_keys:
            self._on_newest_folded()
            self._offset = catch_up.offset
            self._read_started_at = catch_up.began_at
        return Page(newest.records, newest.end)

    def _report_catch_up(self) -> None:
        catch_up, self._catch_up = self._catch_up, None
        if catch_up is not None:
            log_event(
                logger,
                "stream caught up",
                stream=self._stream.value,
                took_s=round(self._now() - catch_up.began_at, 3),
                records=catch_up.records,
                pages=catch_up.pages,
            )

    def _restart(self, error: RecordsTrimmedError) -> None:
        """Read from the beginning again: records after the last read one are gone."""
        log_event(
            logger,
            "stream trimmed",
            stream=self._stream.value,
            offset=self._offset if self._catch_up is None else self._catch_up.offset,
            first=error.first,
        )
        self._offset = self._catch_up = None

    def _read_page(self, offset: int, wait_ms: int) -> Page:
        started_at = self._now()
        try:
            page = self._platform.store.read(
                self._stream, offset, wait_ms, self._page_size.kb
            )
        except UnknownOutcomeError:
            self._page_size.on_unanswered()
            raise
        if offset + len(page.records) < page.end:
            self._page_size.on_full_page(self._now() - started_at)
        return page

    def read_to_end(self) -> bool:
        """Read all records now, outside the thread; return whether that succeeded."""
        offset = self._offset
        if offset is None:
            return False
        # Records appended meanwhile are not waited for.
        end: int | None = None
        try:
            while end is None or offset < end:
                page = self._read_page(offset, 0)
                end = page.end if end is None else end
                if not page.records:
                    break
                self._fold(page.records)
                offset += len(page.records)
        except (
            PlatformUnavailableError,
            RecordsTrimmedError,
            UnknownOutcomeError,
        ) as error:
            log_event(
                logger,
                "read unanswered",
                stream=self._stream.value,
                offset=offset,
                cause=str(error),
            )
            return False
        return offset >= end

    def _fold(self, records: tuple[Record, ...]) -> None:
        for record in records:
            try:
                self._apply(record)
                self._ignored_by_key.pop(record.key, None)
            except InvalidInputError as error:
                if self._ignored_by_key.get(record.key) == record.value:
                    continue
                self._ignored_by_key[record.key] = record.value
                log_event(
                    logger,
                    "record ignored",
                    stream=self._stream.value,
                    key=record.key,
                    offset=record.offset,
                    cause=str(error),
                )
            except Exception:
                # Every node would fail on this record, and later ones still matter.
                logger.exception(
                    "record passed over: %s at %s of %s",
                    record.key,
                    record.offset,
                    self._stream.value,
                )


class OperatorsView(Follower):
    """The newest configuration, the announced waves and the evacuated data centres."""

    # Nothing may start in a data centre 5 s after the request to evacuate it, and a
    # read without an answer is noticed only after its wait.
    OWNER_READ_WAIT_MS = 200

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        super().__init__(platform, Stream.OPERATORS, now)
        self.configuration: Configuration | None = None
        self.wave_by_number: dict[int, AnnouncedWave] = {}
        self.on_configuration: Callable[[Configuration], None] = lambda _: None
        # Read before the last page of newest records, and published with it.
        self._pending: list[AnnouncedWave | Configuration] = []
        # Set while this process owns the schedule.
        self.owned = False
        # Replaced as a whole, as other threads read it.
        self.evacuated: frozenset[str] = frozenset()
        self._evacuations = EvacuationLog()
        # The owner also reads outside the follower's thread.
        self._requests_lock = threading.Lock()

    def _wait_ms(self) -> int:
        return self.OWNER_READ_WAIT_MS if self.owned else READ_WAIT_MS

    def _reset(self) -> None:
        """Keep everything: configurations and waves outlive their records.

        Evacuations end only once all newest records are read.
        """
        with self._requests_lock:
            self._evacuations.begin_reading()

    def _on_newest_folded(self) -> None:
        with self._requests_lock:
            self._evacuations.end_missing()
            self._publish_evacuations()

    def _publish_evacuations(self) -> None:
        before, self.evacuated = self.evacuated, self._evacuations.evacuated
        for name in sorted(self.evacuated - before):
            log_event(logger, "evacuation in force", data_centre=name)
        for name in sorted(before - self.evacuated):
            log_event(logger, "evacuation ended", data_centre=name)

    def _apply(self, record: Record) -> None:
        with self._requests_lock:
            self._evacuations.mark_listed(record.key)
        decoded = self._platform.decode_operator_record(record)
        if decoded is None:
            return
        if isinstance(decoded, Evacuation):
            with self._requests_lock:
                self._evacuations.fold(record.key, decoded, record.offset)
                self._publish_evacuations()
            return
        change: AnnouncedWave | Configuration = (
            AnnouncedWave(decoded, self._caught_up_at, self._now())
            if isinstance(decoded, MaintenanceWave)
            else decoded
        )
        with self._requests_lock:
            self._pending.append(change)
        if self._offset is not None:
            self._publish()

    def _on_folded(self) -> None:
        self._publish()

    def _publish(self) -> None:
        with self._requests_lock:
            pending, self._pending = self._pending, []
        for change in pending:
            if isinstance(change, AnnouncedWave):
                self._publish_wave(change)
            else:
                self._apply_configuration(change)

    def _publish_wave(self, announced: AnnouncedWave) -> None:
        wave = announced.wave
        seen = self.wave_by_number.get(wave.number)
        if seen is not None and seen.wave == wave:
            return
        self.wave_by_number[wave.number] = announced
        log_event(
            logger,
            "wave announced",
            wave=wave.number,
            machines=len(wave.machines),
            within_s=wave.within_s,
            most_at_once=wave.most_at_once,
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
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
    """The platform's list of minions, which lags and may lack entries.

    Every minion rewrites its entry every second or two, so the list grows with the
    fleet and is read all the time. Only nodes that may own the schedule need it: if all
    of some hundred nodes read it, they would use up what the store can deliver.
    """

    FOLLOWER_READ_INTERVAL_S = 1.0
    # Only the owner needs changes quickly.
    OWNER_READ_INTERVAL_S = 0.1

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        super().__init__(platform, Stream.MINIONS, now)
        self._followed = threading.Event()
        # Other threads read this dict; the follower's thread replaces it as a whole.
        self.listing_by_id: dict[str, MinionListing] = {}
        self._pending_listing_by_id: dict[str, MinionListing] = {}
        self.on_change: Callable[[], None] | None = None

    def follow(self) -> None:
        """Keep the view current from now on."""
        self._followed.set()

    def unfollow(self) -> None:
        """Read no more until ``follow`` is called; the view becomes outdated."""
        self._followed.clear()

    def _run(self) -> None:
        while True:
            if not self._followed.is_set():
                # A stream that nobody reads is not lost.
                self._disconnected_since = None
                self._followed.wait()
            if not self.read_once():
                self._read_requested.wait(RETRY_S)

    def _pause_s(self) -> float:
        return (
            self.FOLLOWER_READ_INTERVAL_S
            if self.on_change is None
            else self.OWNER_READ_INTERVAL_S
        )

    def _reset(self) -> None:
        self._pending_listing_by_id = {}

    def _apply(self, record: Record) -> None:
        # A minion whose entry cannot be decoded is not used.
        listing = None
        try:
            if record.value:
                listing = self._platform.decode_minion(record)
        finally:
            if listing is None:
                self._pending_listing_by_id.pop(record.key, None)
            else:
                self._pending_listing_by_id[record.key] = listing

    def _on_folded(self) -> None:
        self.listing_by_id = dict(self._pending_listing_by_id)
        if self.on_change is not None:
            self.on_change()


class JobsView:
    """The fold of the job log's two streams. ``lock`` guards ``registry``."""

    def __init__(self, platform: Platform, now: Callable[[], float]) -> None:
        self.lock = threading.RLock()
        self.registry = JobRegistry()
        self.on_job: Callable[[RegisteredJob, RecordKind], None] | None = None
        self.on_progress_read: Callable[[float], None] | None = None
        self._now = now
        # When an owner's record was last read. Records that were in the log before this
        # process followed it do not count: they may be old.
        self.owner_seen_at = float("-inf")
        self._followers = (
            _JobFollower(self, platform, Stream.ACCEPTED, now),
            _JobFollower(self, platform, Stream.PROGRESS, now),
        )

    def start(self) -> None:
        """Start following both streams."""
        for follower in self._followers:
            follower.start()

    def age(self, now: float) -> float:
        """Return for how many seconds the registry may have missed records."""
        return max(follower.age(now) for follower in self._followers)

    @property
    def connected(self) -> bool:
        """Whether the last read of each stream was answered."""
        return all(follower.connected for follower in self._followers)

    @property
    def has_read_log(self) -> bool:
        """Whether both streams have been read up to their ends at least once."""
        return all(follower.has_read_log for follower in self._followers)

    def progress_stalled_s(self, since: float) -> float:
        """Return for how long reads of the owner's records have brought nothing."""
        return self._followers[1].stalled_s(since)

    def can_accept(self, now: float) -> bool:
        """Return whether the store may accept jobs, as far as reads show."""
        return self._followers[0].disconnected_s(now) < STORE_AWAY_AFTER_S

    @property
    def progress_offset(self) -> int:
        """The offset up to which the owner's records are folded."""
        return self._followers[1].offset

    @property
    def accepted_offset(self) -> int:
        """The offset up to which accepted and cancelled jobs are folded."""
        return self._followers[0].offset

    @property
    def accepted_read_at(self) -> float:
        """The time before which all accepted and cancelled jobs have been read."""
        return self._followers[0].caught_up_at

    def refresh(self, wait_s: float) -> None:
        """Read both streams now and wait for the result, at most ``wait_s``."""
        asked_at = self._now()
        self.read_now()
        for follower in self._followers:
            follower.wait_for_read(asked_at, asked_at + wait_s)

    def read_accepted(self) -> bool:
        """Fold all jobs and cancellations in the log now; return whether it answered.

        The follower folds the same records again, which changes nothing.
        """
        return self._followers[0].read_to_end()

    def read_now(self) -> None:
        """Let both followers read without delay."""
        for follower in self._followers:
            follower.read_now()

    def find(self, job_id: str) -> RegisteredJob | None:
        """Return a job by its id, or None if the log has no such job."""
        with self.lock:
            return self.registry.job_by_id.get(job_id)

    def cancelled_before_at(self, job: Job) -> float | None:
        """Return when this node learned that a job not in the log yet is cancelled."""
        with self.lock:
            return self.registry.tombstones.read_at(job)

    def count_tombstones(self, tombstone: Tombstone) -> int:
        """Return how many unknown jobs of a queue and team have been cancelled."""
        with self.lock:
            return self.registry.tombstones.count(tombstone)

    def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs that have not started."""
        with self.lock:
            return self.registry.pending(queue)

    def fold(self, record: Record, appended_after: float) -> None:
        """Fold one record and notify the owner, if this process is the owner.

        ``appended_after`` is a time before which the record was not in the log.
        """
        reading = Reading(appended_after, wall_ms())
        with self.lock:
            registered = self.registry.fold(
                record.key, record.value, record.offset, self._now(), reading
            )
            parts = split_key(record.key)
            if registered is None or parts is None:
                return
            kind, job_id = parts
            if kind is RecordKind.ACCEPTED and registered.cancelled:
                log_event(
                    logger,
                    "cancelled before its acceptance",
                    job=job_id,
                    offset=record.offset,
                )
            if self.on_job is not None:
                self.on_job(registered, kind)


class _JobFollower(Follower):
    """Follows one of the job log's streams.

    Each read is a call to the store, so nodes read at long intervals, and at once when
    a caller asks for a job. The owner reads accepted jobs sooner, as they wait for it.
    """

    FOLLOWER_READ_INTERVAL_S = 0.3
    OWNER_READ_INTERVAL_S = 0.01
    # The owner's reads of its own stream confirm its ownership, so they must be short.
    OWNER_READ_WAIT_MS = 200
    CONFIRMATION_INTERVAL_S = 0.1
    # The store answers a read within this time if records are present.
    MAX_READ_LATENCY_S = 0.015

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

    def read_now(self) -> None:
        """Skip the delay before the next read."""
        self._read_requested.set()

    def wait_for_read(self, since: float, deadline: float) -> None:
        """Wait until the records of a read started after ``since`` have been folded.

        Also returns when a read has been open for longer than a read of present records
        takes: it is waiting at the end of the stream, so there are none to fold.
        """
        with self._read:
            while self._caught_up_at < since:
                reading_since = self._open_read_started_at
                now = self._now()
                if (
                    reading_since is not None
                    and now > reading_since + self.MAX_READ_LATENCY_S
                ):
                    return
                if now >= deadline or not self._read.wait(deadline - now):
                    return

    @property
    def _confirms_owner(self) -> bool:
        has_owner = self._view.on_progress_read is not None
        return has_owner and self._stream is Stream.PROGRESS

    def _wait_ms(self) -> int:
        return self.OWNER_READ_WAIT_MS if self._confirms_owner else READ_WAIT_MS

    def _pause_s(self) -> float:
        if self._confirms_owner:
            return self.CONFIRMATION_INTERVAL_S
        if self._view.on_job is None or self._stream is Stream.PROGRESS:
            return self.FOLLOWER_READ_INTERVAL_S
        return self.OWNER_READ_INTERVAL_S

    def _apply(self, record: Record) -> None:
        self._view.fold(record, self._caught_up_at)
        if self._stream is Stream.PROGRESS and self._offset is not None:
            self._view.owner_seen_at = self._now()

    def _on_folded(self) -> None:
        with self._read:
            self._read.notify_all()
        on_read = self._view.on_progress_read
        # Records that are not read yet may be those of another owner.
        if on_read is not None and self._confirms_owner and not self._behind:
            on_read(self._read_started_at)

    def _reset(self) -> None:
        """Keep everything: newer records replace older ones one by one."""
