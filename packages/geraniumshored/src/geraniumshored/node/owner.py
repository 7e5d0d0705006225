"""The process that owns the schedule and executes the scheduler's decisions."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from itertools import islice

from geraniumshore_scheduler import (
    DURATIONS_KEY,
    INTERFERENCE_KEY,
    OWNER_KEY,
    Authority,
    Batch,
    Explanation,
    GeraniumshoreError,
    InvalidInputError,
    Job,
    MachineOrders,
    OwnerRecord,
    OwnerReplacedError,
    PaceOrder,
    PlatformUnavailableError,
    PollRequest,
    RecordKind,
    RegisteredJob,
    Scheduler,
    SequenceError,
    StartOrder,
    StartOutcome,
    StartPermission,
    StopOrder,
    UnknownOutcomeError,
    decode_durations,
    encode_owner,
    job_key,
)
from geraniumshored.node.clock import wall_ms
from geraniumshored.node.decision_log import summarize
from geraniumshored.node.logs import log_event
from geraniumshored.node.machine_controller import MachineController
from geraniumshored.node.members import host_of
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import (
    Platform,
    Record,
    Stream,
    Writer,
    split_appends,
)
from geraniumshored.node.session_threads import SessionThreads
from geraniumshored.node.sessions import (
    UNRESPONSIVE_POLL_PAUSE_S,
    MinionSession,
    Order,
    Poll,
    SessionOwner,
)
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import JobsView, MinionsView, OperatorsView

__all__ = ["Owner"]

logger = logging.getLogger(__name__)

WRITER_NAME = "owner"
# Maximum time between decision rounds: some decisions depend only on time passing.
DECISION_INTERVAL_S = 0.1
# Delay before a decision round, so that several changes share one append.
BATCH_LINGER_S = 0.01
# Delay before a failed append is retried.
RETRY_S = 0.05
# A minion is not polled again until the completions of its last poll are recorded;
# this is how often that is checked.
UNRECORDED_POLL_PAUSE_S = 0.02
# Delay before the next poll if the last one brought no news and was not a long poll.
IDLE_POLL_PAUSE_S = 0.5
# With more minions than this, those without work answer polls at once: each poll that
# is held back takes a connection, and a process has some 4,000 descriptors.
MAX_HELD_POLLS = 1_000
# The rate at which all of those minions together are polled.
IDLE_POLLS_PER_S = 2_000
# How often steps that need advice are looked for, and the delay before a failed advice
# request is retried.
ADVICE_CHECK_INTERVAL_S = 0.02
ADVICE_RETRY_S = 0.3
# After this many failed decision rounds in a row, ownership is given up so that another
# process can try.
MAX_CONSECUTIVE_FAULTS = 20
# How often the records of completed jobs are deleted, and how many jobs at a time.
CLEANUP_INTERVAL_S = 2.0
MAX_JOBS_PER_CLEANUP = 200
CANCELLING_KINDS = frozenset({RecordKind.CANCELLED, RecordKind.TOMBSTONE})
# Metrics that an owner replaces by those of its own schedule.
GAUGES = ("durations_corrected", "interference_pairs")
# A takeover fails when the epoch could not be opened within this time, or when reads of
# the log have brought nothing for as long. How long they take in all depends on the
# link and on the size of the log.
TAKEOVER_TIMEOUT_S = 5.0


class Owner(SessionOwner):
    """One epoch of ownership, from the takeover until it ends."""

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
            opened_at_by_epoch=self._jobs.registry.opened_at_by_epoch,
            lease_by_epoch=self._jobs.registry.lease_by_epoch,
            run_ages=self._jobs.registry.run_ages,
        )
        # A record that the store rejects would hold up all others of its batch.
        overhead = Record(DURATIONS_KEY, b"").size
        self._scheduler.limit_durations_record(settings.record_bytes - overhead)
        overhead = Record(INTERFERENCE_KEY, b"").size
        self._scheduler.limit_interference_record(settings.record_bytes - overhead)
        self._session_by_minion: dict[str, MinionSession] = {}
        self._threads = SessionThreads()
        self._machine_orders = MachineOrders(
            host_of(member), settings.ownership_lease_s
        )
        self._start_permission = StartPermission()
        self._append_number = 0
        # A complete read of the log that began later shows this epoch or a newer one.
        self._opened_at = float("inf")
        self._cleaned_up_at = now()

    @property
    def stopped(self) -> bool:
        """Whether this process has stopped being the owner in this epoch."""
        return self._stopped.is_set()

    def start(self) -> None:
        """Take the schedule over in a new thread."""
        threading.Thread(target=self._run, name="owner", daemon=True).start()

    def stop(self, why: str) -> None:
        """End this epoch; no more orders are sent."""
        if not self._stopped.is_set():
            self._stopped.set()
            self._disconnect()
            self._wake.set()
            for session in list(self._session_by_minion.values()):
                session.close()
            self._threads.close()
            log_event(logger, "ownership lost", epoch=self.authority.epoch, cause=why)

    def _disconnect(self) -> None:
        """Receive no more from the views, unless a later epoch already does."""
        if self._jobs.on_progress_read not in (None, self._on_progress_read):
            return
        self._jobs.on_job = None
        self._jobs.on_progress_read = None
        self._minions.on_change = None
        self._operators.owned = False
        # Neither the views nor the metrics must keep the schedule of an ended epoch in
        # memory.
        self._operators.on_configuration = lambda _: None
        for gauge in GAUGES:
            self._metrics.gauge(gauge, float)

    def explain(self, job: Job) -> Explanation | None:
        """Return where a job would start now; None if this owner may not decide.

        Raises InvalidInputError for a job that cannot be tried.
        """
        with self._lock:
            now = self._now()
            if self.stopped or not self.authority.holds(now, self._settings.times):
                return None
            return self._scheduler.explain(job, now, wall_ms())

    def _on_progress_read(self, begun_at: float) -> None:
        """Confirm or end ownership according to the owner record in the log."""
        owner = self._jobs.registry.owner
        if owner is None or owner.epoch != self.authority.epoch:
            if begun_at > self._opened_at:
                self.stop("the log has another owner")
            return
        with self._lock:
            if not self.authority.holds(begun_at, self._settings.times):
                # Requests of operators may have been missed while orders were not sent.
                self._start_permission.require_reading(begun_at)
            self.authority.confirm(begun_at)

    def _apply_evacuations(self) -> None:
        """Apply what is known of evacuations now; hold starts if that is too old."""
        operators, now = self._operators, self._now()
        permission = self._start_permission
        permission.record_reading(operators.caught_up_at)
        self._scheduler.set_evacuated(operators.evacuated, now)
        held = not permission.allows_starts(operators.refused, now)
        if self._scheduler.hold_starts(held):
            log_event(logger, "starts held" if held else "starts released")

    # Takeover.

    def _run(self) -> None:
        try:
            if self._take_over():
                MachineController(
                    self._settings,
                    self._platform,
                    self._operators,
                    self._jobs.registry.progress_by_wave,
                    self._machine_orders,
                    self._scheduler,
                    self._lock,
                    self._stopped,
                    self._metrics,
                    self._now,
                    self._wake.set,
                ).start()
                threading.Thread(
                    target=self._run_advice, name="advice", daemon=True
                ).start()
                self._run_decisions()
        except OwnerReplacedError as error:
            self.stop(str(error))
        except Exception:
            logger.exception("fault in the owner")
            self.stop("fault")
        finally:
            # The takeover may have connected to the views after it was stopped.
            self._disconnect()

    def _take_over(self) -> bool:
        deadline = self._now() + TAKEOVER_TIMEOUT_S
        opened_at = self._now()
        end = self._open_epoch(deadline)
        if end is None:
            return False
        self._opened_at = reading_since = self._now()
        self._jobs.on_progress_read = self._on_progress_read
        while self._jobs.progress_offset < end:
            stalled_s = self._jobs.progress_stalled_s(reading_since)
            if self._stopped.wait(RETRY_S) or stalled_s > TAKEOVER_TIMEOUT_S:
                self.stop("reading the log made no progress")
                return False
        self._read_operators(opened_at)
        with self._jobs.lock:
            self._jobs.on_job = self._on_job
            with self._lock:
                now = self._now()
                self.authority.taken_at = now
                self.authority.confirm(opened_at)
                self._machine_orders.take_over(self._jobs.registry.order_by_machine)
                self._scheduler.restore_last_grants(self._jobs.registry.last_grants)
                self._restore_durations(now)
                learned_by_key = self._jobs.registry.learned_by_key
                self._scheduler.restore_interference(
                    learned_by_key.get(INTERFERENCE_KEY), now
                )
                if self._operators.configuration is not None:
                    self._scheduler.set_configuration(self._operators.configuration)
                self._scheduler.restore_evacuations(self._jobs.registry.evacuations)
                self._apply_evacuations()
                self._scheduler.set_listings(self._minions.listing_by_id, now)
                self._scheduler.expect_jobs(self._jobs.registry.unread_placed_jobs())
                jobs = self._jobs.registry.job_by_id.values()
                # Teams' shares count jobs in the order of their acceptance.
                for registered in sorted(jobs, key=lambda job: job.accepted_at):
                    self._scheduler.add_job(registered, now)
        self._metrics.gauge("durations_corrected", self._corrected_durations)
        self._metrics.gauge("interference_pairs", self._count_interference_pairs)
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
            unread_jobs=self._scheduler.unread_jobs,
            evacuated=sorted(self._scheduler.evacuated),
        )
        return not self.stopped

    def _read_operators(self, opened_at: float) -> None:
        """Read the operators' requests up to now.

        Without an answer the takeover goes on, so that leases are renewed, and starts
        are held until the follower has read the requests.
        """
        self._operators.owned = True
        self._start_permission.require_reading(opened_at)
        began_at = self._now()
        if self._operators.read_to_end():
            self._start_permission.record_reading(began_at)

    def _restore_durations(self, now: float) -> None:
        """Start from the durations that the former owner learned."""
        value = self._jobs.registry.learned_by_key.get(DURATIONS_KEY)
        if value is None:
            return
        try:
            self._scheduler.restore_durations(decode_durations(value), now)
        except InvalidInputError as error:
            log_event(logger, "record ignored", key=DURATIONS_KEY, cause=str(error))

    def _corrected_durations(self) -> float:
        with self._lock:
            return 0 if self.stopped else self._scheduler.corrected_durations

    def _open_epoch(self, deadline: float) -> int | None:
        """Fence off the previous owner's appends; return the end of the log.

        Returns None if this failed or the owner was stopped. The time of the call is a
        lower bound for the time at which the log confirmed ownership.
        """
        writer = Writer(WRITER_NAME, self.authority.epoch, self._append_number)
        with self._jobs.lock:
            opened_s_ago = self._jobs.registry.opened_s_ago(self._now())
        lease_s = self._settings.times.granted_lease
        owner = OwnerRecord(self._member, self.authority.epoch, opened_s_ago, lease_s)
        records = [Record(OWNER_KEY, encode_owner(owner))]
        while not self._stopped.is_set() and self._now() < deadline:
            try:
                return self._platform.store.append(Stream.PROGRESS, records, writer).end
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                log_event(logger, "epoch not opened, retrying", cause=str(error))
                self._stopped.wait(RETRY_S)
        self.stop("the epoch could not be opened within the takeover timeout")
        return None

    def _count_interference_pairs(self) -> int:
        with self._lock:
            return 0 if self.stopped else self._scheduler.interference_pairs

    # Changes reported by the views.

    def _on_job(self, registered: RegisteredJob, kind: RecordKind) -> None:
        with self._lock:
            if kind is RecordKind.ACCEPTED:
                self._scheduler.add_job(registered, self._now())
            elif registered.cancelled and kind in CANCELLING_KINDS:
                self._scheduler.cancel_job(registered.job.job_id)
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
                session = MinionSession(self, minion_id, self._threads)
                self._session_by_minion[minion_id] = session
                session.start()
            for minion_id in set(self._session_by_minion) - known:
                self._session_by_minion.pop(minion_id).close()
        self._wake.set()

    # Decisions.

    def _run_decisions(self) -> None:
        faults = 0
        while not self._stopped.is_set():
            self._wake.wait(DECISION_INTERVAL_S)
            self._wake.clear()
            time.sleep(BATCH_LINGER_S)
            try:
                self._decide()
                self._delete_expired_jobs()
                faults = 0
            except OwnerReplacedError:
                raise
            except Exception:
                # Leases are still renewed meanwhile, and the next owner may fail in the
                # same way.
                faults += 1
                if faults >= MAX_CONSECUTIVE_FAULTS:
                    raise
                logger.exception("fault in a decision")
                self._stopped.wait(DECISION_INTERVAL_S)

    def _delete_expired_jobs(self) -> None:
        """Delete the records of jobs whose status retention time has passed."""
        now = self._now()
        if now < self._cleaned_up_at + CLEANUP_INTERVAL_S or not self.may_send():
            return
        self._cleaned_up_at = now
        with self._jobs.lock:
            ended_before = now - self._settings.status_kept_s
            ids = self._jobs.registry.expired(ended_before, MAX_JOBS_PER_CLEANUP)
            orphans = self._jobs.registry.expired_orphans(
                ended_before, MAX_JOBS_PER_CLEANUP
            )
            keys = [
                key
                for job_id in (*ids, *orphans)
                for key in self._jobs.registry.progress_keys(job_id)
            ]
            expired = self._jobs.registry.tombstones.expired(ended_before)
            tombstones = list(islice(expired, MAX_JOBS_PER_CLEANUP))
        if not ids and not orphans and not tombstones:
            return
        kinds = (RecordKind.ACCEPTED, RecordKind.CANCELLED)
        job_keys = (job_key(kind, job_id) for job_id in ids for kind in kinds)
        records = [Record(key, b"") for key in (*job_keys, *tombstones)]
        try:
            if records:
                self._platform.store.append(Stream.ACCEPTED, records)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "expired jobs not deleted, retrying", cause=str(error))
            return
        with self._lock:
            for key in keys:
                self._scheduler.record(key, b"")
        log_event(
            logger,
            "expired jobs deleted",
            jobs=len(ids),
            orphans=len(orphans),
            tombstones=len(tombstones),
        )

    def _decide(self) -> None:
        with self._lock:
            if not self.authority.holds(self._now(), self._settings.times):
                return
            self._apply_evacuations()
            self._resolve_unread_jobs()
            batch = self._scheduler.plan(self._now(), wall_ms())
            stops = self._scheduler.take_stops()
            paces = self._scheduler.take_paces()
            decisions = self._scheduler.take_decisions()
            restart_causes = self._scheduler.take_restart_causes()
            learning_counts = self._scheduler.take_learning_counts()
        for cause, count in restart_causes.items():
            self._metrics.count("restarts", cause, amount=count)
        for use, count in learning_counts.items():
            self._metrics.count("durations", use, amount=count)
        for line in summarize(decisions):
            self._metrics.count("decisions", line.event)
            log_event(logger, line.event, epoch=self.authority.epoch, **line.fields)
        for stop in stops:
            self._send(stop.minion_id, stop)
        for pace in paces:
            self._send(pace.minion_id, pace)
        if batch is not None:
            self._record(batch)

    def _resolve_unread_jobs(self) -> None:
        """Give up on jobs that are still unread after a read begun in this epoch.

        Former owners read each job before they placed it, so these were deleted.
        """
        if not self._scheduler.unread_jobs:
            return
        if self._jobs.accepted_read_at < self.authority.taken_at:
            return
        log_event(logger, "placed jobs not found", jobs=self._scheduler.unread_jobs)
        self._scheduler.on_all_jobs_read(self._now())

    def _record(self, batch: Batch) -> None:
        """Retry the append until the batch is in the log, then send its starts."""
        records = (Record(key, value) for key, value in batch.value_by_key.items())
        began = self._now()
        for piece in split_appends(records, self._settings.append_bytes):
            if not self._append(batch, piece):
                return
        self._metrics.observe("append", "batch", self._now() - began)
        with self._lock:
            self._scheduler.on_durable(batch)
        for start in batch.starts:
            self._send(start.run.minion_id, start)

    def _append(self, batch: Batch, records: list[Record]) -> bool:
        """Append records of a batch; return whether they are in the log."""
        self._append_number += 1
        writer = Writer(WRITER_NAME, self.authority.epoch, self._append_number)
        while not self._stopped.is_set():
            try:
                self._platform.store.append(Stream.PROGRESS, records, writer)
                return not self._stopped.is_set()
            except SequenceError as error:
                self.stop(f"the log has another writer: {error}")
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                log_event(
                    logger,
                    "batch not recorded yet",
                    batch=batch.number,
                    cause=str(error),
                )
                self._stopped.wait(RETRY_S)
        return False

    def _run_advice(self) -> None:
        """Request advice for one step after the other.

        The service handles one call at a time.
        """
        while not self._stopped.wait(ADVICE_CHECK_INTERVAL_S):
            try:
                self._request_advice()
            except Exception:
                logger.exception("fault while asking for advice")
                self._stopped.wait(ADVICE_RETRY_S)

    def _request_advice(self) -> None:
        with self._lock:
            request = self._scheduler.next_advice_request(self._now())
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
            asked=len(request.incarnation_by_minion),
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

    # Called by the minion sessions.

    def may_send(self) -> bool:
        """Return whether orders may be sent now."""
        if self._stopped.is_set():
            return False
        return self.authority.holds(self._now(), self._settings.times)

    def begin_poll(self, minion_id: str) -> Poll | float:
        """Send a poll to a minion, or return the delay in seconds before the next."""
        if not self.may_send():
            return UNRESPONSIVE_POLL_PAUSE_S
        with self._lock:
            now = self._now()
            if self._scheduler.is_recording_completions(minion_id, now):
                return UNRECORDED_POLL_PAUSE_S
            request = self._scheduler.poll_request(minion_id, now)
            if request is None:
                return UNRESPONSIVE_POLL_PAUSE_S
            view = self._scheduler.view_by_id[minion_id]
            if len(self._scheduler.view_by_id) > MAX_HELD_POLLS and not view.runs:
                request = replace(request, wait_ms=0)
        return Poll(request, self._platform.minions.poll(request))

    def finish_poll(self, poll: Poll) -> float:
        """Process the answer to a poll; return the delay before the next one."""
        request, minion_id = poll.request, poll.request.minion_id
        try:
            report = poll.report.result()
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            return self._on_poll_failed(request, error)
        with self._lock:
            self._scheduler.on_report(request, report, self._now())
            view = self._scheduler.view_by_id.get(minion_id)
            unrecorded = view is not None and bool(view.unacked)
            deferred = view is not None and bool(view.deferred)
            idle = view is not None and not view.runs
            minions = len(self._scheduler.view_by_id)
        self._wake.set()
        if idle and minions > MAX_HELD_POLLS:
            return max(IDLE_POLL_PAUSE_S, minions / IDLE_POLLS_PER_S)
        if deferred:
            # They wait for a read of the store, and the minion would answer at once.
            return IDLE_POLL_PAUSE_S
        if unrecorded:
            return UNRECORDED_POLL_PAUSE_S
        return 0.0 if request.wait_ms or request.until_ms is None else IDLE_POLL_PAUSE_S

    def _on_poll_failed(self, request: PollRequest, error: GeraniumshoreError) -> float:
        """Process a poll without an answer; return the delay before the next one.

        A minion that had answered before is polled again at once: often only an answer
        is lost.
        """
        self._metrics.count("looks", "unanswered")
        with self._lock:
            view = self._scheduler.view_by_id.get(request.minion_id)
            had_answered = view is not None and view.responsive
            self._scheduler.on_poll_unanswered(request, self._now())
        log_event(logger, "poll unanswered", minion=request.minion_id, cause=str(error))
        self._wake.set()
        return 0.0 if had_answered else UNRESPONSIVE_POLL_PAUSE_S

    def on_minion_replaced(self, minion_id: str) -> None:
        """Record that another minion has taken the address."""
        with self._lock:
            self._scheduler.on_minion_replaced(minion_id, self._now())
        self._wake.set()

    def execute(self, order: Order) -> None:
        """Send one order and process the answer."""
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
                self._scheduler.on_pace_unanswered(order, self._now())
            log_event(
                logger,
                "pace unanswered",
                task=order.task,
                minion=order.minion_id,
                cause=str(error),
            )
            return
        with self._lock:
            self._scheduler.on_pace_answered(order)

    def _start_run(self, order: StartOrder) -> None:
        with self._lock:
            if not self.may_send():
                # Nothing else would send this order after the authority is confirmed
                # again, so the run is released and can be placed anew.
                self._scheduler.on_start_not_sent(order.run, self._now())
                return
            self._apply_evacuations()
            until_ms = self._scheduler.prepare_start(order.run, self._now())
            timeout_s = self._scheduler.order_timeout_s(self._now())
        if until_ms is None:
            return
        began = self._now()
        try:
            outcome = self._platform.minions.start(order, until_ms, timeout_s)
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
