"""Runs admitted calls on minions: slots, attempts, retries and outlier detection."""

from __future__ import annotations

import random
import threading
import time
from collections import defaultdict
from concurrent.futures import Future, TimeoutError as FutureTimeoutError
from uuid import uuid4

from geraniumshore import (
    Decision,
    Flow,
    Minion,
    NotRun,
    Outcome,
    OutlierDetector,
    Ran,
    Refusal,
    Refuse,
    RetryBudget,
    SlotRequest,
    Start,
    Unknown,
    WaitEstimator,
    backoff_seconds,
    is_failure,
    may_repeat,
    verify_key,
)
from geraniumshored.internal.attempt import MinionClient, MinionRequest
from geraniumshored.internal.run_watch import RunWatch
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.work import Work

__all__ = ["Dispatcher"]

# How often a call that waits for a slot checks whether its caller has disconnected.
CALLER_POLL_SECONDS = 0.25
# A call waits for the decision about its slot until this long after its deadline.
DECISION_GRACE_SECONDS = 1.0
# The size limit of a minion's answer is the body limit of the queue, but at least
# this.
MIN_ANSWER_LIMIT_BYTES = 1024 * 1024


class Dispatcher:
    """Runs admitted calls on minions. Thread-safe."""

    def __init__(self, runtime: Runtime, client: MinionClient, watch: RunWatch) -> None:
        self._runtime = runtime
        self._metrics = runtime.metrics
        self._client = client
        self._run_watch = watch
        self._random = random.Random()
        self._lock = threading.Lock()
        self._waits = WaitEstimator()
        self._budget_by_queue: dict[str, RetryBudget] = defaultdict(RetryBudget)
        self._outliers_by_service: dict[str, OutlierDetector] = defaultdict(
            OutlierDetector
        )

    def run(self, work: Work) -> Outcome | Refusal:
        """Run the call, with retries, and return its final outcome."""
        # An earlier attempt may have run the call, so its outcome takes precedence over
        # a later refusal or ``NotRun``.
        earlier_outcome: Outcome | None = None
        attempts = 0
        while True:
            decision = self._await_slot(work)
            if isinstance(decision, Refuse):
                return earlier_outcome or decision.refusal
            outcome = self._attempt(work, decision)
            attempts += 1
            if isinstance(outcome, Refusal):
                return earlier_outcome or outcome
            if not isinstance(outcome, NotRun):
                earlier_outcome = outcome
            if not self._prepare_retry(work, decision.minion, outcome, attempts):
                return earlier_outcome or outcome

    def on_tick(self) -> None:
        """Clear suspicions whose ejection has expired, and forget removed minions."""
        minions = self._runtime.member.state.configuration.minions
        for service, outliers in list(self._outliers_by_service.items()):
            with self._lock:
                outliers.retain_minions(minions)
            self._report_suspects(service)

    def _prepare_retry(
        self, work: Work, minion: str, outcome: Outcome, attempts: int
    ) -> bool:
        """Return whether to retry, after the backoff pause.

        The retry avoids this minion if there is another one.
        """
        with self._lock:
            budget = self._budget_by_queue[work.queue_name]
            if isinstance(outcome, Ran) and not is_failure(outcome):
                budget.on_success()
                return False
            if not may_repeat(outcome, work.queue.idempotent, attempts):
                return False
            pause = backoff_seconds(attempts, self._random.random())
            if time.monotonic() + pause >= work.deadline or not budget.take():
                return False
            self._outliers_by_service[work.service].avoid(minion, time.monotonic())
        self._report_suspects(work.service)
        self._metrics.retries.labels(work.queue_name).inc()
        time.sleep(pause)
        return True

    def _await_slot(self, work: Work) -> Decision:
        """Wait for a slot, unless that would certainly exceed the deadline."""
        flow = Flow(work.queue_name, work.team)
        with self._lock:
            if not self._waits.enter(flow, time.monotonic(), work.deadline):
                return Refuse(work.request_id, Refusal.QUEUE_FULL)
        started = False
        try:
            decision = self._request_slot(work)
            started = isinstance(decision, Start)
        finally:
            with self._lock:
                self._waits.leave(flow, time.monotonic(), started)
        return decision

    def _request_slot(self, work: Work) -> Decision:
        request = SlotRequest(
            ticket=uuid4().hex,
            queue=work.queue_name,
            service=work.service,
            team=work.team,
            urgent=work.queue.urgent,
            deadline=work.deadline,
            max_waiting=work.queue.max_waiting,
        )
        future = self._runtime.request_slot(request)
        return self._await_decision(work, request.ticket, future)

    def _await_decision(
        self, work: Work, ticket: str, future: Future[Decision]
    ) -> Decision:
        give_up_at = work.deadline + DECISION_GRACE_SECONDS
        while (remaining := give_up_at - time.monotonic()) > 0:
            try:
                return future.result(min(CALLER_POLL_SECONDS, remaining))
            except FutureTimeoutError:
                if work.abandoned():
                    break
        if not self._runtime.perform(lambda member, now: member.cancel(ticket, now)):
            self._runtime.finish(ticket)
        return Refuse(ticket, Refusal.EXPIRED)

    def _attempt(self, work: Work, start: Start) -> Outcome | Refusal:
        """Send the work to the minion if that is still allowed.

        The configuration, the deadline and this member's authority may have changed
        while the call waited for its slot.
        """
        configuration = self._runtime.member.state.configuration
        minion = configuration.minions.get(start.minion)
        refused = self._refusal_before_sending(work, start.minion)
        if minion is None or refused is not None:
            self._runtime.finish(start.ticket)
            return refused or NotRun("the minion was withdrawn")
        return self._send(work, start, minion)

    def _refusal_before_sending(
        self, work: Work, minion: str
    ) -> NotRun | Refusal | None:
        member = self._runtime.member
        if not self._runtime.has_authority():
            return Refusal.NO_AUTHORITY
        if time.monotonic() >= work.deadline or work.abandoned():
            return Refusal.EXPIRED
        if work.bearer is not None:
            keys = member.state.configuration.keys
            if verify_key(keys, work.bearer) != work.team:
                return NotRun("the key was withdrawn", retriable=False)
        if minion in member.unusable_minions:
            return NotRun("the minion is leaving")
        return None

    def _send(self, work: Work, start: Start, minion: Minion) -> Outcome:
        request = MinionRequest(
            request_id=start.ticket,
            queue=work.queue_name,
            team=work.team,
            body=work.body,
            content_type=work.content_type,
            content_encoding=work.content_encoding,
            run_limit=work.queue.run_limit_ms / 1000,
            idempotent=work.queue.idempotent,
            max_answer_bytes=max(work.queue.max_body_bytes, MIN_ANSWER_LIMIT_BYTES),
        )
        sent_at = time.monotonic()
        members = len(self._runtime.member.state.view.members)
        outcome: Outcome = Unknown("a fault in the entry host")
        try:
            outcome = self._client.attempt(minion, request, members)
        finally:
            self._release(minion, request, sent_at, outcome)
        self._metrics.attempts.labels(type(outcome).__name__).inc()
        self._record_result(work, start.minion, outcome)
        return outcome

    def _release(
        self, minion: Minion, request: MinionRequest, sent_at: float, outcome: Outcome
    ) -> None:
        """Release the slot once the run has certainly ended."""

        def finish() -> None:
            self._runtime.finish(request.request_id)

        if isinstance(outcome, Unknown) and not outcome.ended:
            ends_at = sent_at + request.run_limit
            self._run_watch.call_on_completion(
                minion.address, request.request_id, sent_at, ends_at, finish
            )
        else:
            finish()

    def _record_result(self, work: Work, minion: str, outcome: Outcome) -> None:
        failed = is_failure(outcome)
        if isinstance(outcome, NotRun) and not failed:
            return
        with self._lock:
            outliers = self._outliers_by_service[work.service]
            outliers.on_result(minion, work.request_id, not failed, time.monotonic())
        if failed:
            self._report_suspects(work.service)

    def _report_suspects(self, service: str) -> None:
        with self._lock:
            now = time.monotonic()
            suspects = self._outliers_by_service[service].suspects(now)
        entry = self._runtime.member.entry.by_service.get(service)
        if entry is not None and entry.suspects != suspects:
            self._runtime.perform(
                lambda member, now: member.set_suspected_minions(service, suspects, now)
            )
            self._metrics.suspects.labels(service).set(len(suspects))
