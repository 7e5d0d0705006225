"""HTTP handlers for jobs: submission, status, listing, cancellation and results."""

from __future__ import annotations

import base64
import hashlib
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import parse_qs
from uuid import uuid4

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from geraniumshore import (
    MAX_JOB_BODY_BYTES,
    Finding,
    Job,
    JobPhase,
    JobsCancelled,
    JobSettled,
    JobSubmitted,
    PlatformUnavailableError,
    Queue,
    Record,
    Sizes,
    TaskService,
    UnknownOutcomeError,
    Verdict,
    validation_findings,
    verify_key,
)
from geraniumshored.internal.http_types import (
    HttpAnswer,
    HttpRequest,
    answer_json,
    answer_problem,
)
from geraniumshored.internal.job_appender import JobAppender
from geraniumshored.internal.operators import OperatorHandler
from geraniumshored.internal.runtime import Runtime

__all__ = ["JobHandler"]

RETRY_AFTER_SECONDS = 2
MAX_LISTED_JOBS = 1_000
MAX_OPEN_CALLS = 24
MAX_COMMAND_BYTES = 4 * 1024 * 1024
SIZE_HEADERS = {
    "processors": "job-processors",
    "memory_mb": "job-memory-mb",
    "accelerators": "job-accelerators",
}
_SIZES: TypeAdapter[Sizes] = TypeAdapter(Sizes)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class CancelCommand:
    """Jobs to cancel by id, or a queue whose live jobs are all cancelled."""

    jobs: tuple[str, ...] = ()
    queue: str | None = None


@dataclass(frozen=True, slots=True)
class SettleCommand:
    """A person's decision whether a job with an unknown outcome has run."""

    ran: bool


_CANCEL: TypeAdapter[CancelCommand] = TypeAdapter(CancelCommand)
_SETTLE: TypeAdapter[SettleCommand] = TypeAdapter(SettleCommand)


@dataclass(frozen=True, slots=True)
class Caller:
    """A team, identified by its key, or an operator, who may see all teams' jobs."""

    name: str
    team: str | None

    def may_see(self, job: Job) -> bool:
        """Return whether the caller may see a job."""
        return self.team in {None, job.team}


class JobHandler:
    """Handles ``POST /queues/NAME`` for job queues, and all paths below ``/jobs``."""

    def __init__(
        self,
        runtime: Runtime,
        appender: JobAppender,
        tasks: TaskService,
        operators: OperatorHandler,
    ) -> None:
        self._runtime = runtime
        self._appender = appender
        self._tasks = tasks
        self._operators = operators
        self._open_calls = threading.BoundedSemaphore(MAX_OPEN_CALLS)

    def accepts_jobs(self, queue_name: str) -> bool:
        """Return whether a queue accepts jobs."""
        queue = self._runtime.member.state.configuration.queues.get(queue_name)
        return queue is not None and queue.kind == "job"

    def submit(self, request: HttpRequest, queue_name: str) -> HttpAnswer:
        """Submit a job; the answer is 202 only once the job is in the log."""
        answer = self._with_call_limit(lambda: self._submit(request, queue_name))
        self._runtime.metrics.requests.labels(queue_name, str(answer.status)).inc()
        return answer

    def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer a call below ``/jobs``."""
        return self._with_call_limit(lambda: self._handle(request))

    def _with_call_limit(self, answer: Callable[[], HttpAnswer]) -> HttpAnswer:
        """Answer a call, or refuse it if too many are open.

        The limit keeps HTTP threads free for other calls.
        """
        if not self._open_calls.acquire(blocking=False):
            return _refused(429, "busy", "too many calls about jobs are open here")
        try:
            return answer()
        finally:
            self._open_calls.release()

    def _handle(self, request: HttpRequest) -> HttpAnswer:
        caller = self._caller(request.bearer)
        if caller is None:
            return answer_problem(401, "unknown-key", "no such key is in force")
        if request.content_length > MAX_COMMAND_BYTES:
            return _too_large(request.content_length, MAX_COMMAND_BYTES)
        match (request.method, request.path[1:]):
            case ("GET", ()):
                return self._list(request, caller)
            case ("GET", (job_id,)):
                job = self._visible_job(job_id, caller)
                return (
                    answer_json(200, _job_document(job))
                    if job
                    else _unknown_job(job_id)
                )
            case ("GET", (job_id, "result")):
                return self._result(job_id, caller)
            case ("POST", ("cancel",)):
                return self._cancel(request, caller)
            case ("POST", (job_id, "settle")):
                return self._settle(request, job_id, caller)
            case _:
                return answer_problem(404, "unknown-path", "/".join(request.path))

    def _caller(self, bearer: str | None) -> Caller | None:
        if bearer is None:
            return None
        keys = self._runtime.member.state.configuration.keys
        team = verify_key(keys, bearer)
        if team is not None:
            return Caller(bearer.rpartition(".")[0], team)
        operator = self._operators.identify(bearer)
        return None if operator is None else Caller(operator, None)

    def _submit(self, request: HttpRequest, queue_name: str) -> HttpAnswer:
        if not self._runtime.has_authority():
            return _refused(503, "no-authority", "this entry host cannot act just now")
        configuration = self._runtime.member.state.configuration
        queue = configuration.queues[queue_name]
        caller = self._submitter(request.bearer, queue)
        if caller is None or caller.team is None:
            return answer_problem(401, "unknown-key", "no such key is in force")
        limit = min(queue.max_body_bytes, MAX_JOB_BODY_BYTES)
        if request.content_length > limit:
            return _too_large(request.content_length, limit)
        sizes = _read_sizes(request)
        if isinstance(sizes, Err):
            return answer_problem(
                400, "bad-sizes", "the sizes have faults", findings=sizes.err_value
            )
        record = _submission(request, queue_name, caller, sizes.ok_value)
        return self._accept(record)

    def _submitter(self, bearer: str | None, queue: Queue) -> Caller | None:
        if bearer is not None:
            return self._caller(bearer)
        return Caller("", queue.open_team) if queue.open else None

    def _accept(self, record: JobSubmitted) -> HttpAnswer:
        known = self._runtime.member.state.jobs.by_id.get(record.job)
        if known is not None:
            return _answer_duplicate(known, record)
        verdict = self._append(record, record.job)
        if isinstance(verdict, HttpAnswer):
            return verdict
        known = self._runtime.member.state.jobs.by_id.get(record.job)
        if verdict.accepted:
            return answer_json(202, {"job": record.job})
        if known is not None:
            return _answer_duplicate(known, record)
        return answer_problem(
            429,
            "refused-job",
            "the job was not accepted",
            findings=verdict.findings,
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _append(self, record: Record, about: str) -> Verdict | HttpAnswer:
        try:
            return self._appender.append(record)
        except PlatformUnavailableError:
            return _refused(503, "log-down", "the platform's log is down; not accepted")
        except UnknownOutcomeError:
            return answer_problem(
                504,
                "unknown",
                f"the log did not confirm {about}; ask for its status, or repeat "
                "with the same Idempotency-Key",
                outcome="unknown",
            )

    def _visible_job(self, job_id: str, caller: Caller) -> Job | None:
        job = self._runtime.member.state.jobs.by_id.get(job_id)
        return job if job is not None and caller.may_see(job) else None

    def _list(self, request: HttpRequest, caller: Caller) -> HttpAnswer:
        wanted = {name: v[-1] for name, v in parse_qs(request.query).items()}
        shown, counts = self._runtime.perform(
            lambda member, _: _select_jobs(
                member.state.jobs.by_id.values(), caller, wanted
            )
        )
        return answer_json(200, {"counts": counts, "jobs": shown})

    def _result(self, job_id: str, caller: Caller) -> HttpAnswer:
        job = self._visible_job(job_id, caller)
        if job is None:
            return _unknown_job(job_id)
        if job.phase is not JobPhase.SUCCEEDED or job.result is None:
            return answer_problem(409, "no-result", f"{job_id} is {job.phase.value}")
        try:
            result = self._tasks.result(job.task)
        except (PlatformUnavailableError, UnknownOutcomeError):
            return _refused(503, "platform-down", "the result cannot be fetched now")
        if result is None:
            return answer_problem(410, "result-gone", "the result is no longer kept")
        digest = hashlib.sha256(result).hexdigest()
        if len(result) != job.result.length or digest != job.result.digest:
            return answer_problem(502, "bad-result", "the result came damaged")
        return HttpAnswer(200, result, {"Content-Type": "application/octet-stream"})

    def _cancel(self, request: HttpRequest, caller: Caller) -> HttpAnswer:
        command = _read(_CANCEL, request)
        if isinstance(command, Err):
            return answer_problem(
                400, "bad-command", "want jobs or a queue", findings=command.err_value
            )
        wanted = command.ok_value
        if not wanted.jobs and wanted.queue is None:
            return answer_problem(400, "bad-command", "want jobs or a queue")
        record = JobsCancelled(
            uuid4().hex, wanted.jobs, wanted.queue, caller.team, caller.name
        )
        return self._command(record, "the cancellation")

    def _settle(self, request: HttpRequest, job_id: str, caller: Caller) -> HttpAnswer:
        command = _read(_SETTLE, request)
        if isinstance(command, Err):
            return answer_problem(
                400, "bad-command", "want ran", findings=command.err_value
            )
        if self._visible_job(job_id, caller) is None:
            return _unknown_job(job_id)
        ran = command.ok_value.ran
        return self._command(
            JobSettled(uuid4().hex, job_id, ran, caller.name), "the settlement"
        )

    def _command(self, record: Record, about: str) -> HttpAnswer:
        verdict = self._append(record, about)
        if isinstance(verdict, HttpAnswer):
            return verdict
        if verdict.accepted:
            return answer_json(200, {"offset": verdict.offset})
        return answer_problem(
            409, "void", f"{about} changes nothing", findings=verdict.findings
        )


def _submission(
    request: HttpRequest, queue_name: str, caller: Caller, sizes: Sizes
) -> JobSubmitted:
    body = request.read_body()
    assert caller.team is not None
    key = request.headers.get("idempotency-key")
    job = uuid4().hex if key is None else _job_id_from_key(caller.team, queue_name, key)
    return JobSubmitted(
        id=uuid4().hex,
        job=job,
        queue=queue_name,
        team=caller.team,
        key_id=caller.name or None,
        sizes=sizes,
        body=base64.b64encode(body).decode(),
        body_digest=hashlib.sha256(body).hexdigest(),
        content_type=request.headers.get("content-type", "application/octet-stream"),
    )


def _job_id_from_key(team: str, queue_name: str, key: str) -> str:
    """Return the job id for an idempotency key; the same key gives the same id."""
    digest = hashlib.sha256("\0".join((team, queue_name, key)).encode())
    return f"k{digest.hexdigest()[:31]}"


def _read_sizes(request: HttpRequest) -> Result[Sizes, tuple[Finding, ...]]:
    given = {
        name: request.headers[header]
        for name, header in SIZE_HEADERS.items()
        if header in request.headers
    }
    try:
        return Ok(_SIZES.validate_python(given))
    except ValidationError as error:
        return Err(validation_findings(error, "headers"))


def _read(
    adapter: TypeAdapter[T], request: HttpRequest
) -> Result[T, tuple[Finding, ...]]:
    try:
        return Ok(adapter.validate_json(request.read_body()))
    except ValidationError as error:
        return Err(validation_findings(error, "body"))


def _select_jobs(
    jobs: Iterable[Job], caller: Caller, wanted: dict[str, str]
) -> tuple[list[dict[str, object]], dict[str, int]]:
    """Return the newest matching jobs and the number of jobs in each phase."""
    counts: dict[str, int] = {}
    shown: list[Job] = []
    for job in jobs:
        if not caller.may_see(job) or wanted.get("queue", job.queue) != job.queue:
            continue
        counts[job.phase.value] = counts.get(job.phase.value, 0) + 1
        if wanted.get("phase", job.phase.value) == job.phase.value:
            shown.append(job)
    return [_job_document(job) for job in shown[-MAX_LISTED_JOBS:]], counts


def _job_document(job: Job) -> dict[str, object]:
    return {
        "job": job.id,
        "queue": job.queue,
        "team": job.team,
        "phase": job.phase.value,
        "reason": job.reason,
        "attempt": job.attempt,
        "host": job.host,
        "cancel_requested": job.cancel_requested,
        "accepted_at_ms": job.accepted_at_ms,
        "started_at_ms": job.started_at_ms,
        "ended_at_ms": job.ended_at_ms,
    }


def _answer_duplicate(job: Job, record: JobSubmitted) -> HttpAnswer:
    if job.body_digest != record.body_digest or job.queue != record.queue:
        return answer_problem(
            422, "key-reused", "the Idempotency-Key was used for another job"
        )
    return answer_json(202, {"job": job.id})


def _unknown_job(job_id: str) -> HttpAnswer:
    return answer_problem(404, "unknown-job", f"no job {job_id!r} is known")


def _refused(status: int, kind: str, detail: str) -> HttpAnswer:
    return answer_problem(status, kind, detail, retry_after=RETRY_AFTER_SECONDS)


def _too_large(got: int, limit: int) -> HttpAnswer:
    return answer_problem(
        413, "body-too-large", f"got {got} bytes, want at most {limit}"
    )
