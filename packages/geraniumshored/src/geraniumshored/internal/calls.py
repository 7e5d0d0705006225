"""Handles callers' requests over HTTP: checks, admission, idempotency and answers."""

from __future__ import annotations

import base64
import random
import re
import threading
import time
from uuid import uuid4

from geraniumshore import (
    Admission,
    KeptClaim,
    NotRun,
    Outcome,
    Queue,
    Ran,
    Refusal,
    Unknown,
    verify_key,
)
from geraniumshored.internal.claims_driver import (
    ClaimRefusal,
    ClaimsDriver,
    body_digest,
)
from geraniumshored.internal.dispatcher import Dispatcher
from geraniumshored.internal.http_types import (
    HttpAnswer,
    HttpRequest,
    answer_problem,
)
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.service_levels import ServiceLevelCounter
from geraniumshored.internal.work import Work

__all__ = ["CallHandler"]

# Drawn at random, so that callers refused at the same time do not retry together.
RETRY_AFTER_RANGE_SECONDS = (1, 3)
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
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


class CallHandler:
    """Handles ``/queues/NAME``."""

    def __init__(
        self,
        runtime: Runtime,
        dispatcher: Dispatcher,
        claims: ClaimsDriver,
        admission: Admission,
        levels: ServiceLevelCounter,
    ) -> None:
        self._runtime = runtime
        self._levels = levels
        self._metrics = runtime.metrics
        self._dispatcher = dispatcher
        self._claims = claims
        self._admission = admission
        self._open_calls = 0
        self._condition = threading.Condition()

    def handle(self, request: HttpRequest, queue_name: str) -> HttpAnswer:
        """Run one call, answer it, and record its result in the metrics."""
        with self._condition:
            self._open_calls += 1
        began = time.monotonic()
        try:
            answer = self._call(request, queue_name, began)
        finally:
            with self._condition:
                self._open_calls -= 1
                self._condition.notify_all()
        known = queue_name in self._runtime.member.state.configuration.queues
        label = queue_name if known else "unknown"
        self._metrics.requests.labels(label, str(answer.status)).inc()
        if known:
            seconds = time.monotonic() - began
            self._metrics.record_latency(queue_name, seconds)
            self._levels.count(queue_name, answer.status, seconds)
        return answer

    def wait_until_idle(self, seconds: float) -> bool:
        """Wait until no call is open; return False on timeout."""
        with self._condition:
            return self._condition.wait_for(lambda: self._open_calls == 0, seconds)

    def _call(self, request: HttpRequest, queue_name: str, began: float) -> HttpAnswer:
        if request.method != "POST":
            return _method_not_allowed(request.method)
        work = self._check(request, queue_name, began)
        if isinstance(work, HttpAnswer):
            return work
        with self._condition:
            admitted = self._admission.enter(work.team, work.queue.urgent)
        if not admitted:
            return answer_problem(
                503,
                "overloaded",
                "this entry host has as many calls open as it may",
                retry_after=_retry_after(),
            )
        try:
            if work.key is None or work.queue.idempotent:
                return _answer(self._dispatcher.run(work))
            return self._run_with_key(work)
        finally:
            with self._condition:
                self._admission.leave(work.team, work.queue.urgent)

    def _check(
        self, request: HttpRequest, queue_name: str, began: float
    ) -> Work | HttpAnswer:
        """Validate the call, with the cheapest checks first."""
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
        key = request.headers.get("idempotency-key")
        if key is not None and not KEY_PATTERN.fullmatch(key):
            return answer_problem(
                400,
                "bad-idempotency-key",
                f"got {key!r}, want 1 to 200 visible ASCII characters",
            )
        deadline = _deadline(request, queue, began)
        if isinstance(deadline, HttpAnswer):
            return deadline
        return Work(
            request_id=uuid4().hex,
            queue_name=queue_name,
            queue=queue,
            team=team,
            bearer=request.bearer,
            body=request.read_body(),
            content_type=request.headers.get(
                "content-type", "application/octet-stream"
            ),
            content_encoding=request.headers.get("content-encoding"),
            deadline=deadline,
            key=key,
            abandoned=request.abandoned,
        )

    def _team(self, bearer: str | None, queue: Queue) -> str | None:
        if bearer is not None:
            keys = self._runtime.member.state.configuration.keys
            return verify_key(keys, bearer)
        return queue.open_team if queue.open else None

    def _run_with_key(self, work: Work) -> HttpAnswer:
        """Run work under its idempotency key, or repeat an earlier call's answer."""
        while True:
            existing_claim = self._claims.find(work)
            if existing_claim is not None:
                if existing_claim.digest != body_digest(work):
                    return answer_problem(
                        422, "key-reused", "this key came with another body before"
                    )
                existing_claim = self._claims.await_outcome(work)
            if existing_claim is not None:
                return _replay(existing_claim)
            claim = self._claims.claim(work)
            if claim is ClaimRefusal.HELD:
                continue
            if isinstance(claim, ClaimRefusal):
                return _claim_refused(claim)
            outcome: Outcome | Refusal = Unknown("a fault in the entry host")
            try:
                outcome = self._dispatcher.run(work)
            finally:
                self._claims.record_outcome(claim, outcome)
            return _answer(outcome)


def _answer(outcome: Outcome | Refusal) -> HttpAnswer:
    match outcome:
        case Refusal():
            return _refused(outcome)
        case Ran():
            return _completed_answer(
                outcome.status,
                outcome.body,
                outcome.content_type,
                outcome.content_encoding,
            )
        case NotRun():
            return answer_problem(
                503, "not-run", outcome.reason, retry_after=_retry_after()
            )
        case Unknown():
            return answer_problem(502, "unknown", outcome.reason, outcome="unknown")


def _replay(claim: KeptClaim) -> HttpAnswer:
    """Answer a retry from the first call's claim in the log."""
    kept = claim.answer
    if kept is not None:
        body = base64.b64decode(kept.body)
        return _completed_answer(
            kept.status, body, kept.content_type, kept.content_encoding
        )
    if claim.outcome == "ran":
        return answer_problem(
            410, "answer-not-kept", "it ran; its answer is not kept", outcome="ran"
        )
    if claim.outcome == "unknown":
        return answer_problem(
            502, "unknown", "the first call has no known outcome", outcome="unknown"
        )
    return answer_problem(
        504, "still-unknown", "the first call has no outcome yet", outcome="unknown"
    )


def _completed_answer(
    status: int, body: bytes, content_type: str, content_encoding: str | None
) -> HttpAnswer:
    headers = {"Content-Type": content_type, "Outcome": "ran"}
    if content_encoding is not None:
        headers["Content-Encoding"] = content_encoding
    return HttpAnswer(status, body, headers)


def _claim_refused(refusal: ClaimRefusal) -> HttpAnswer:
    detail = {
        ClaimRefusal.LOG_DOWN: "the log does not take the claim of this key",
        ClaimRefusal.FULL: "too many keys are claimed",
    }
    return answer_problem(503, "no-claim", detail[refusal], retry_after=_retry_after())


def _refused(refusal: Refusal) -> HttpAnswer:
    return answer_problem(
        STATUS_BY_REFUSAL[refusal],
        refusal.value,
        DETAIL_BY_REFUSAL[refusal],
        retry_after=_retry_after(),
    )


def _method_not_allowed(method: str) -> HttpAnswer:
    answer = answer_problem(405, "method-not-allowed", f"got {method}, want POST")
    return HttpAnswer(answer.status, answer.body, {**answer.headers, "Allow": "POST"})


def _retry_after() -> int:
    return random.randint(*RETRY_AFTER_RANGE_SECONDS)


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
