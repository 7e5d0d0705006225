"""The owner of the schedule: carries the scheduler's decisions out."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from geraniumshore_scheduler import (
    OWNER_KEY,
    Authority,
    Batch,
    BookedJob,
    GeraniumshoreError,
    HoldRequest,
    MachineOrders,
    OwnerRecord,
    OwnerReplacedError,
    PaceOrder,
    PlatformUnavailableError,
    RecordKind,
    Scheduler,
    SequenceError,
    StartOrder,
    StartOutcome,
    StopOrder,
    UnknownOutcomeError,
    encode_owner,
    job_key,
)
from geraniumshored.node.clock import wall_ms
from geraniumshored.node.decision_log import summarize
from geraniumshored.node.logs import log_event
from geraniumshored.node.machine_controller import Machinist
from geraniumshored.node.members import host_of
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import Platform, Record, Stream, Writer
from geraniumshored.node.sessions import (
    SILENT_PAUSE_S,
    MinionSession,
    Order,
    SessionOwner,
)
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import JobsView, MinionsView, OperatorsView

__all__ = ["Owner"]

logger = logging.getLogger(__name__)

WRITER = "owner"
# Decisions are taken at least so often, for what only time brings about.
TICK_S = 0.1
# Records wait this long for others to share their append.
LINGER_S = 0.01
# An append that failed is made again after this time.
RETRY_S = 0.05
# Whether the ends of a look are recorded, which goes before the next one, is seen so
# often.
UNRECORDED_PAUSE_S = 0.02
# Without news, a look that did not wait is made again after this time.
IDLE_PAUSE_S = 0.5
# Waiting steps that need advice are looked for so often; a failed question is asked
# again after a while.
ADVICE_PAUSE_S = 0.02
ADVICE_RETRY_S = 0.3
# So many decisions in a row may fail before another process tries.
MOST_FAULTS = 20
# Records of ended jobs are dropped so often, so many at once.
DROP_PAUSE_S = 2.0
MOST_DROPPED = 200
# The takeover reads the log at most this long before it gives up.
TAKEOVER_S = 5.0


class Owner(SessionOwner):
    """One epoch of ownership, from taking it to losing it."""

    def __init__(
        self,
        settings: NodeSettings,
        platform: Platform,
        views: tuple[OperatorsView, MinionsView, JobsView],
        member: str,
        epoch: int,
        metrics: NodeMetrics,
        now: Callable[[], float],
    ) -> None:
        never = float("-inf")
        self.authority = Authority(epoch, never, never)
        self._settings = settings
        self._member = member
        self._platform = platform
        self._operators, self._minions, self._jobs = views
        self._metrics = metrics
        self._now = now
        self._lock = threading.RLock()
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._scheduler = Scheduler(
            self.authority,
            settings.times,
            opened_at_by_epoch=self._jobs.book.opened_at_by_epoch,
        )
        self._session_by_minion: dict[str, MinionSession] = {}
        self._machine_orders = MachineOrders(host_of(member), settings.duty_lease_s)
        self._number = 0
        self._dropped_at = now()

    @property
    def stopped(self) -> bool:
        """Whether this epoch is over for this process."""
        return self._stopped.is_set()

    def start(self) -> None:
        """Take the schedule over, in a thread of its own."""
        threading.Thread(target=self._run, name="owner", daemon=True).start()

    def stop(self, why: str) -> None:
        """Give no more orders."""
        if not self._stopped.is_set():
            self._stopped.set()
            self._jobs.on_job = None
            self._jobs.on_progress_read = None
            self._minions.on_change = None
            self._wake.set()
            # Their threads wait for orders, and would stay with the process.
            for session in list(self._session_by_minion.values()):
                session.close()
            log_event(logger, "ownership lost", epoch=self.authority.epoch, cause=why)

    def _on_progress_read(self, begun_at: float) -> None:
        """Take in that the log was read; it says who the owner is."""
        owner = self._jobs.book.owner
        if owner is None or owner.epoch != self.authority.epoch:
            if begun_at > self.authority.taken_at:
                self.stop("the log has another owner")
            return
        with self._lock:
            self.authority.confirm(begun_at)

    # Taking over.

    def _run(self) -> None:
        try:
            if self._take_over():
                Machinist(
                    self._settings,
                    self._platform,
                    self._operators,
                    self._jobs.book.progress_by_wave,
                    self._machine_orders,
                    self._scheduler,
                    self._lock,
                    self._stopped,
                    self._metrics,
                    self._now,
                    self._wake.set,
                ).start()
                threading.Thread(
                    target=self._ask_advice, name="advice", daemon=True
                ).start()
                self._serve()
        except OwnerReplacedError as error:
            self.stop(str(error))
        except Exception:
            logger.exception("fault in the owner")
            self.stop("fault")

    def _take_over(self) -> bool:
        deadline = self._now() + TAKEOVER_S
        opened_at = self._now()
        end = self._open_epoch(deadline)
        if end is None:
            return False
        self._jobs.on_progress_read = self._on_progress_read
        while self._jobs.progress_offset < end:
            if self._stopped.wait(RETRY_S) or self._now() > deadline:
                self.stop("the log could not be read")
                return False
        with self._jobs.lock:
            self._jobs.on_job = self._on_job
            with self._lock:
                now = self._now()
                self.authority.taken_at = now
                self.authority.confirm(opened_at)
                self._machine_orders.take_over(self._jobs.book.order_by_machine)
                self._scheduler.take_over_silences(self._jobs.book.last_grants)
                if self._operators.configuration is not None:
                    self._scheduler.set_configuration(self._operators.configuration)
                self._scheduler.set_listings(self._minions.listing_by_id, now)
                for booked in self._jobs.book.job_by_id.values():
                    self._scheduler.add_job(booked, now)
        self._operators.on_configuration = self._on_configuration
        self._minions.on_change = self._on_minions
        self._on_minions()
        log_event(
            logger,
            "ownership taken",
            epoch=self.authority.epoch,
            log_end=end,
            jobs=len(self._scheduler.job_by_id),
            minions=len(self._scheduler.view_by_id),
        )
        return True

    def _open_epoch(self, deadline: float) -> int | None:
        """Fence the former owner's appends; return the end of the log.

        The time at which this began is a lower bound for the log's confirmation.
        """
        writer = Writer(WRITER, self.authority.epoch, self._number)
        with self._jobs.lock:
            opened_s_ago = self._jobs.book.opened_s_ago(self._now())
        owner = OwnerRecord(self._member, self.authority.epoch, opened_s_ago)
        records = [Record(OWNER_KEY, encode_owner(owner))]
        while not self._stopped.is_set() and self._now() < deadline:
            try:
                return self._platform.store.append(Stream.PROGRESS, records, writer).end
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                log_event(logger, "epoch not opened yet", cause=str(error))
                self._stopped.wait(RETRY_S)
        self.stop("the epoch could not be opened")
        return None

    # What happens meanwhile.

    def _on_job(self, booked: BookedJob, kind: RecordKind) -> None:
        with self._lock:
            if kind is RecordKind.ACCEPTED:
                self._scheduler.add_job(booked, self._now())
            elif kind is RecordKind.CANCELLED and booked.cancelled:
                self._scheduler.cancel_job(booked.job.job_id)
        self._wake.set()

    def _on_configuration(self, configuration: object) -> None:
        with self._lock:
            if self._operators.configuration is not None:
                self._scheduler.set_configuration(self._operators.configuration)
        self._wake.set()

    def _on_minions(self) -> None:
        if self.stopped:
            return
        with self._lock:
            self._scheduler.set_listings(self._minions.listing_by_id, self._now())
            known = set(self._scheduler.view_by_id)
            for minion_id in known - set(self._session_by_minion):
                session = MinionSession(self, minion_id)
                self._session_by_minion[minion_id] = session
                session.start()
            for minion_id in set(self._session_by_minion) - known:
                self._session_by_minion.pop(minion_id).close()
        self._wake.set()

    # Deciding.

    def _serve(self) -> None:
        faults = 0
        while not self._stopped.is_set():
            self._wake.wait(TICK_S)
            self._wake.clear()
            time.sleep(LINGER_S)
            try:
                self._decide()
                self._drop_old_jobs()
                faults = 0
            except OwnerReplacedError:
                raise
            except Exception:
                # Leases go on meanwhile, and the next owner may fail in the same way.
                faults += 1
                if faults >= MOST_FAULTS:
                    raise
                logger.exception("fault in a decision")
                self._stopped.wait(TICK_S)

    def _drop_old_jobs(self) -> None:
        """Drop the records of jobs that callers have had their time to ask for."""
        now = self._now()
        if now < self._dropped_at + DROP_PAUSE_S or not self.may_send():
            return
        self._dropped_at = now
        with self._jobs.lock:
            old = now - self._settings.status_kept_s
            ids = self._jobs.book.expired(old, MOST_DROPPED)
            orphans = self._jobs.book.expired_orphans(old, MOST_DROPPED)
        if not ids and not orphans:
            return
        kinds = (RecordKind.ACCEPTED, RecordKind.CANCELLED)
        records = [
            Record(job_key(kind, job_id), b"") for job_id in ids for kind in kinds
        ]
        try:
            if records:
                self._platform.store.append(Stream.ACCEPTED, records)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "old jobs not dropped yet", cause=str(error))
            return
        with self._lock:
            for job_id in (*ids, *orphans):
                self._scheduler.record(job_key(RecordKind.PROGRESS, job_id), b"")
        log_event(logger, "old jobs dropped", jobs=len(ids), orphans=len(orphans))

    def _decide(self) -> None:
        with self._lock:
            if not self.authority.holds(self._now(), self._settings.times):
                return
            batch = self._scheduler.plan(self._now(), wall_ms())
            stops = self._scheduler.take_stops()
            paces = self._scheduler.take_paces()
            decisions = self._scheduler.take_decisions()
        for line in summarize(decisions):
            self._metrics.count("decisions", line.event)
            log_event(logger, line.event, epoch=self.authority.epoch, **line.fields)
        for stop in stops:
            self._send(stop.minion_id, stop)
        for pace in paces:
            self._send(pace.minion_id, pace)
        if batch is not None:
            self._record(batch)

    def _record(self, batch: Batch) -> None:
        """Append a batch until it is known to be in the log, then send its starts."""
        self._number += 1
        writer = Writer(WRITER, self.authority.epoch, self._number)
        records = [Record(key, value) for key, value in batch.value_by_key.items()]
        began = self._now()
        while not self._stopped.is_set():
            try:
                self._platform.store.append(Stream.PROGRESS, records, writer)
                break
            except SequenceError as error:
                self.stop(f"the log has another writer: {error}")
                return
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                log_event(
                    logger,
                    "batch not recorded yet",
                    batch=batch.number,
                    cause=str(error),
                )
                self._stopped.wait(RETRY_S)
        if self._stopped.is_set():
            return
        self._metrics.observe("append", "batch", self._now() - began)
        with self._lock:
            self._scheduler.on_durable(batch)
        for start in batch.starts:
            self._send(start.run.minion_id, start)

    def _ask_advice(self) -> None:
        """Ask on one step after the other: the service takes one call at a time."""
        while not self._stopped.wait(ADVICE_PAUSE_S):
            try:
                self._ask_once()
            except Exception:
                logger.exception("fault while asking for advice")
                self._stopped.wait(ADVICE_RETRY_S)

    def _ask_once(self) -> None:
        with self._lock:
            request = self._scheduler.advice_wanted(self._now())
        if request is None:
            return
        asked_at = self._now()
        try:
            advised = self._platform.advisers.advise(request)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(
                logger, "advice unanswered", step=str(request.step), cause=str(error)
            )
            self._stopped.wait(ADVICE_RETRY_S)
            return
        log_event(
            logger,
            "advice",
            step=str(request.step),
            asked=len(request.life_by_minion),
            eligible=len(advised.ticket_by_minion),
        )
        with self._lock:
            self._scheduler.on_advice(
                request, advised.ticket_by_minion, advised.valid_s, asked_at
            )
        self._wake.set()

    def _send(self, minion_id: str, order: Order) -> None:
        with self._lock:
            session = self._session_by_minion.get(minion_id)
        if session is not None:
            session.send(order)
        elif isinstance(order, StartOrder):
            with self._lock:
                self._scheduler.on_start_not_sent(order.run, self._now())

    # Called by sessions.

    def may_send(self) -> bool:
        """Tell whether orders may be given now."""
        if self._stopped.is_set():
            return False
        return self.authority.holds(self._now(), self._settings.times)

    def look(self, minion_id: str) -> float:
        """Look at a minion; return how long to wait before the next look."""
        if not self.may_send():
            return SILENT_PAUSE_S
        with self._lock:
            now = self._now()
            if self._scheduler.is_recording(minion_id, now):
                return UNRECORDED_PAUSE_S
            request = self._scheduler.hold_request(minion_id, now)
        if request is None:
            return SILENT_PAUSE_S
        try:
            report = self._platform.minions.hold(request)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            self._silent(request, error)
            return SILENT_PAUSE_S
        with self._lock:
            self._scheduler.on_report(request, report, self._now())
            unrecorded = bool(
                (view := self._scheduler.view_by_id.get(minion_id)) and view.unacked
            )
        self._wake.set()
        if unrecorded:
            return UNRECORDED_PAUSE_S
        return 0.0 if request.wait_ms or request.until_ms is None else IDLE_PAUSE_S

    def _silent(self, request: HoldRequest, error: GeraniumshoreError) -> None:
        self._metrics.count("looks", "unanswered")
        with self._lock:
            self._scheduler.on_silence(request, self._now())
        log_event(logger, "look unanswered", minion=request.minion_id, cause=str(error))
        self._wake.set()

    def gone(self, minion_id: str) -> None:
        """Note that another minion has the address."""
        with self._lock:
            self._scheduler.on_gone(minion_id, self._now())
        self._wake.set()

    def carry_out(self, order: Order) -> None:
        """Send one order and take in how it was answered."""
        if isinstance(order, StartOrder):
            self._start_run(order)
        elif isinstance(order, StopOrder):
            self._stop_run(order)
        else:
            self._set_pace(order)

    def _set_pace(self, order: PaceOrder) -> None:
        if not self.may_send():
            return
        try:
            self._platform.minions.pace(order)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            with self._lock:
                self._scheduler.on_pace_unanswered(order)
            log_event(
                logger,
                "pace unanswered",
                task=order.task,
                minion=order.minion_id,
                cause=str(error),
            )

    def _start_run(self, order: StartOrder) -> None:
        with self._lock:
            if not self.may_send():
                # Nobody else would send it once the authority is back.
                self._scheduler.on_start_not_sent(order.run, self._now())
                return
            until_ms = self._scheduler.on_start_sent(order.run, self._now())
        if until_ms is None:
            return
        began = self._now()
        try:
            outcome = self._platform.minions.start(order, until_ms)
        except UnknownOutcomeError:
            outcome = StartOutcome.NO_ANSWER
        except PlatformUnavailableError:
            outcome = StartOutcome.UNHEALTHY
        self._metrics.count("starts", outcome)
        self._metrics.observe("start", outcome, self._now() - began)
        if outcome != StartOutcome.STARTED:
            log_event(
                logger,
                "start not confirmed",
                task=str(order.run.task),
                run=order.run.number,
                minion=order.run.minion_id,
                outcome=outcome,
            )
        with self._lock:
            self._scheduler.on_start_answer(order.run, outcome, self._now())
        self._wake.set()

    def _stop_run(self, order: StopOrder) -> None:
        if not self.may_send():
            return
        try:
            self._platform.minions.stop(order)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(
                logger,
                "stop unanswered",
                task=order.task,
                minion=order.minion_id,
                cause=str(error),
            )
            return
        with self._lock:
            self._scheduler.on_stop_answer(order, self._now())
        self._wake.set()
