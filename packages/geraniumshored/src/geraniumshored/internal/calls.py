"""Callers' requests: from the HTTP call to the minion's whole answer."""

from __future__ import annotations

import threading
import time
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from uuid import uuid4

from geraniumshore import (
    Decision,
    NotRun,
    Outcome,
    Queue,
    Ran,
    Refusal,
    Refuse,
    SlotRequest,
    Start,
    Unknown,
    verify_key,
)
from geraniumshored.internal.attempt import MinionRequest, attempt
from geraniumshored.internal.http_types import (
    HttpAnswer,
    HttpRequest,
    answer_problem,
)
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.service_levels import ServiceLevelCounter

__all__ = ["CallHandler"]

RETRY_AFTER_SECONDS = 1
STATUS_BY_REFUSAL = {
    Refusal.EXPIRED: 504,
    Refusal.NO_AUTHORITY: 503,
    Refusal.NO_SERVICE: 503,
    Refusal.QUEUE_FULL: 429,
    Refusal.STOPPING: 503,
}
DETAIL_BY_REFUSAL = {
    Refusal.EXPIRED: "no slot became free before the deadline",
    Refusal.NO_AUTHORITY: "this entry host cannot act just now",
    Refusal.NO_SERVICE: "the service has no home yet",
    Refusal.QUEUE_FULL: "too many requests wait in this queue",
    Refusal.STOPPING: "this entry host is being shut down",
}


@dataclass(frozen=True, slots=True)
class Admitted:
    """A call that passed every check at the border. Times are monotonic seconds."""

    request_id: str
    name: str
    queue: Queue
    team: str
    bearer: str | None
    body: bytes
    content_type: str
    content_encoding: str | None
    deadline: float


class CallHandler:
    """Handles ``POST /queues/NAME``."""

    def __init__(self, runtime: Runtime, levels: ServiceLevelCounter) -> None:
        self._runtime = runtime
        self._levels = levels
        self._metrics = runtime.metrics
        self._open = 0
        self._changed = threading.Condition()

    def handle(self, request: HttpRequest, queue_name: str) -> HttpAnswer:
        """Run one call and answer it, whatever becomes of it."""
        with self._changed:
            self._open += 1
        began = time.monotonic()
        try:
            answer = self._call(request, queue_name, began)
        finally:
            with self._changed:
                self._open -= 1
                self._changed.notify_all()
        known = queue_name in self._runtime.member.state.configuration.queues
        label = queue_name if known else "unknown"
        self._metrics.requests.labels(label, str(answer.status)).inc()
        if known:
            seconds = time.monotonic() - began
            self._metrics.record_latency(queue_name, seconds)
            self._levels.count(queue_name, answer.status, seconds)
        return answer

    def wait_until_idle(self, seconds: float) -> bool:
        """Wait until no call is open; tell whether that was reached in time."""
        with self._changed:
            return self._changed.wait_for(lambda: self._open == 0, seconds)

    def _call(self, request: HttpRequest, queue_name: str, began: float) -> HttpAnswer:
        admitted = self._admit(request, queue_name, began)
        if isinstance(admitted, HttpAnswer):
            return admitted
        decision = self._await_slot(admitted)
        if isinstance(decision, Refuse):
            return _refused(decision.refusal)
        return self._answer(self._run(admitted, decision))

    def _admit(
        self, request: HttpRequest, queue_name: str, began: float
    ) -> Admitted | HttpAnswer:
        """Check the call in the order in which it costs least to refuse."""
        if not self._runtime.has_authority():
            return _refused(Refusal.NO_AUTHORITY)
        configuration = self._runtime.member.state.configuration
        queue = configuration.queues.get(queue_name)
        if queue is None:
            return answer_problem(404, "unknown-queue", f"no queue {queue_name!r}")
        if queue.kind != "request" or queue.service is None:
            return answer_problem(400, "wrong-kind", f"{queue_name!r} takes jobs")
        team = self._team(request.bearer, queue)
        if team is None:
            return answer_problem(401, "unknown-key", "no such key is in force")
        if request.content_length > queue.max_body_bytes:
            return answer_problem(
                413,
                "body-too-large",
                f"got {request.content_length} bytes, "
                f"want at most {queue.max_body_bytes}",
            )
        deadline = _deadline(request, queue, began)
        if isinstance(deadline, HttpAnswer):
            return deadline
        return Admitted(
            request_id=uuid4().hex,
            name=queue_name,
            queue=queue,
            team=team,
            bearer=request.bearer,
            body=request.read_body(),
            content_type=request.headers.get(
                "content-type", "application/octet-stream"
            ),
            content_encoding=request.headers.get("content-encoding"),
            deadline=deadline,
        )

    def _team(self, bearer: str | None, queue: Queue) -> str | None:
        if bearer is not None:
            keys = self._runtime.member.state.configuration.keys
            return verify_key(keys, bearer)
        return queue.open_team if queue.open else None

    def _await_slot(self, admitted: Admitted) -> Decision:
        assert admitted.queue.service is not None
        slot_request = SlotRequest(
            ticket=admitted.request_id,
            queue=admitted.name,
            service=admitted.queue.service,
            team=admitted.team,
            urgent=admitted.queue.urgent,
            deadline=admitted.deadline,
            max_waiting=admitted.queue.max_waiting,
        )
        future = self._runtime.request_slot(slot_request)
        try:
            return future.result(max(0, admitted.deadline - time.monotonic()) + 1)
        except FutureTimeoutError:
            return self._withdraw(admitted)

    def _withdraw(self, admitted: Admitted) -> Decision:
        cancelled = self._runtime.perform(
            lambda member, now: member.cancel(admitted.request_id, now)
        )
        if not cancelled:
            self._runtime.finish(admitted.request_id)
        return Refuse(admitted.request_id, Refusal.EXPIRED)

    def _run(self, admitted: Admitted, start: Start) -> Outcome:
        configuration = self._runtime.member.state.configuration
        minion = configuration.minions.get(start.minion)
        work = MinionRequest(
            request_id=admitted.request_id,
            queue=admitted.name,
            team=admitted.team,
            body=admitted.body,
            content_type=admitted.content_type,
            content_encoding=admitted.content_encoding,
            run_limit=admitted.queue.run_limit_ms / 1000,
        )
        began = time.monotonic()
        if minion is None:
            outcome: Outcome = NotRun("the minion was withdrawn")
        elif self._team(admitted.bearer, admitted.queue) != admitted.team:
            outcome = NotRun("the key was withdrawn")
        elif not self._runtime.has_authority():
            outcome = NotRun("this entry host cannot act just now")
        else:
            outcome = attempt(minion, work)
        self._metrics.attempts.labels(type(outcome).__name__).inc()
        self._release(admitted, outcome, began + work.run_limit)
        return outcome

    def _release(self, admitted: Admitted, outcome: Outcome, run_ends: float) -> None:
        """Give the slot back, once the run has certainly ended."""
        remaining = run_ends - time.monotonic()
        if isinstance(outcome, Unknown) and remaining > 0:
            timer = threading.Timer(
                remaining, self._runtime.finish, [admitted.request_id]
            )
            timer.daemon = True
            timer.start()
        else:
            self._runtime.finish(admitted.request_id)

    def _answer(self, outcome: Outcome) -> HttpAnswer:
        match outcome:
            case Ran():
                headers = {"Content-Type": outcome.content_type, "Outcome": "ran"}
                if outcome.content_encoding is not None:
                    headers["Content-Encoding"] = outcome.content_encoding
                return HttpAnswer(outcome.status, outcome.body, headers)
            case NotRun():
                return answer_problem(
                    503, "not-run", outcome.reason, retry_after=RETRY_AFTER_SECONDS
                )
            case Unknown():
                return answer_problem(502, "unknown", outcome.reason, outcome="unknown")


def _refused(refusal: Refusal) -> HttpAnswer:
    return answer_problem(
        STATUS_BY_REFUSAL[refusal],
        refusal.value,
        DETAIL_BY_REFUSAL[refusal],
        retry_after=RETRY_AFTER_SECONDS,
    )


def _deadline(request: HttpRequest, queue: Queue, began: float) -> float | HttpAnswer:
    limit = began + queue.wait_limit_ms / 1000
    text = request.headers.get("deadline-ms")
    if text is None:
        return limit
    if not (text.isascii() and text.isdigit()):
        return answer_problem(
            400, "bad-deadline", f"got Deadline-Ms {text!r}, want milliseconds"
        )
    if int(text) == 0:
        return _refused(Refusal.EXPIRED)
    return min(limit, began + int(text) / 1000)
