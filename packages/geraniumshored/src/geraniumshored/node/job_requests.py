"""Requests of callers to a node: submit, show, cancel and count jobs."""

from __future__ import annotations

import logging
import math
import re
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace

from geraniumshore_scheduler import (
    Configuration,
    InvalidInputError,
    Job,
    JobState,
    Queue,
    RecordKind,
    Team,
    Tombstone,
    encode_job,
    encode_tombstone,
    job_key,
    tombstone_key,
)
from geraniumshored.node.answers import Answer, Caller, RequestHandler, Verdict
from geraniumshored.node.appender import Appender, AppendOutcome
from geraniumshored.node.clock import wall_ms
from geraniumshored.node.logs import log_event
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import Record
from geraniumshored.node.views import JobsView, OperatorsView

__all__ = ["Answer", "Caller", "JobRequestHandler", "JobDecoder", "Verdict"]

logger = logging.getLogger(__name__)

# Callers are told to retry after this time when the store is unavailable.
UNAVAILABLE_RETRY_AFTER_S = 1
# A node whose view of the job log is older than this does not report a job as unknown:
# another node may have accepted it meanwhile.
MAX_LOG_AGE_S = 1.5
# Part of a caller's timeout that is reserved for sending the answer.
ANSWER_MARGIN_S = 0.15
MAX_WAIT_S = 2.5
# An append usually takes some 20 ms; with less time than this left it is not begun.
MIN_APPEND_S = 0.2
# Time limit for reading the log before a state is returned; a few times what a read
# takes.
REFRESH_TIMEOUT_S = 0.04
CANCEL_MARK = b"1"
STORE_AWAY = "the store is away"
CANCELLED_AHEAD = "a submission that arrives later has no effect"
CANCELLED_BEFORE = "the job was cancelled before it was submitted"
TOO_MANY_TOMBSTONES = "too many unknown jobs were cancelled"
READING_LOG = "this node has not read the job log yet"
EVACUATED = "all data centres are evacuated, the job waits"
TOO_MANY_STEPS = Answer(Verdict.MALFORMED, detail="the job has too many steps")
MAX_RECORD_BYTES = 262_144
# Callers may name any IDs, and each node keeps the tombstones in memory. The limit is
# for each queue and team.
MAX_TOMBSTONES = 10_000
DEFAULT_STATUS_KEPT_S = 120.0
JOB_ID = re.compile("[0-9A-Fa-f]{16}")


class JobDecoder(ABC):
    """Decodes submitted jobs."""

    @abstractmethod
    def decode(
        self, body: bytes, job_id: str, queue: Queue, team: str | None, accepted_ms: int
    ) -> Job:
        """Return the job. Raises InvalidInputError."""


class JobRequestHandler(RequestHandler):
    """Answers callers from this node's views, and writes accepted jobs to the store."""

    def __init__(
        self,
        operators: OperatorsView,
        jobs: JobsView,
        appender: Appender,
        decoder: JobDecoder,
        metrics: NodeMetrics,
        now: Callable[[], float],
        max_record_bytes: int = MAX_RECORD_BYTES,
        status_kept_s: float = DEFAULT_STATUS_KEPT_S,
    ) -> None:
        self._max_record_bytes = max_record_bytes
        self._status_kept_s = status_kept_s
        self._operators = operators
        self._jobs = jobs
        self._appender = appender
        self._decoder = decoder
        self._metrics = metrics
        self._now = now
        self._answer_by = float("inf")

    def answer_by(self, end: float) -> None:
        """Answer all calls by ``end``, when the process begins to exit.

        A job or cancellation that could not be recorded by then is refused at once.
        """
        self._answer_by = end

    def submit(self, caller: Caller, body: bytes) -> Answer:
        """Accept a job.

        NOT_RUN means that it will certainly not run, UNCERTAIN that it may.
        """
        admitted = self._admit(caller)
        if isinstance(admitted, Answer):
            return admitted
        configuration, queue, team, job_id = admitted
        if JOB_ID.fullmatch(job_id) is None:
            return Answer(
                Verdict.MALFORMED, detail="a job ID has 16 hexadecimal digits"
            )
        if self._jobs.find(job_id) is not None:
            return self._record_answer(
                "submit", job_id, Answer(Verdict.OK, detail="known")
            )
        job = self._decode("submit", body, admitted, job_id)
        if isinstance(job, Answer):
            return job
        cancelled_at = self._jobs.cancelled_before_at(job)
        if cancelled_at is not None:
            answer = self._refuse_cancelled(cancelled_at)
            return self._record_answer("submit", job_id, answer, configuration.version)
        if not self._jobs.can_accept(self._now()):
            answer = self._refusal(STORE_AWAY)
            return self._record_answer("submit", job_id, answer)
        record = Record(job_key(RecordKind.ACCEPTED, job_id), encode_job(job))
        if record.size > self._max_record_bytes:
            return self._record_answer("submit", job_id, TOO_MANY_STEPS)
        answer = self._write(record, caller)
        if answer.verdict is Verdict.OK:
            answer = replace(answer, detail=self._waiting_detail())
        if answer.verdict is Verdict.UNCERTAIN and self._jobs.find(job_id) is not None:
            answer = Answer(Verdict.OK, detail="seen in the log")
        return self._record_answer("submit", job_id, answer, configuration.version)

    def admit_job(self, caller: Caller, body: bytes, job_id: str) -> Answer | Job:
        """Return a job as it would be accepted, or the refusal; nothing is recorded."""
        admitted = self._admit(caller)
        if isinstance(admitted, Answer):
            return admitted
        job = self._decode("explain", body, admitted, job_id)
        if isinstance(job, Answer):
            return job
        record = Record(job_key(RecordKind.ACCEPTED, job_id), encode_job(job))
        if record.size > self._max_record_bytes:
            return self._record_answer("explain", job_id, TOO_MANY_STEPS)
        self._record_answer("explain", job_id, Answer(Verdict.OK))
        return job

    def show(self, caller: Caller) -> Answer:
        """Return a job's state, or the number of a queue's pending jobs."""
        admitted = self._admit(caller)
        if isinstance(admitted, Answer):
            return admitted
        _, queue, team, job_id = admitted
        if not job_id:
            if not self._is_current():
                return self._outdated_answer()
            return Answer(Verdict.OK, pending=self._jobs.pending(queue.name))
        state = self._find_state(job_id, queue, team)
        if state is None or not state.final:
            self._jobs.refresh(REFRESH_TIMEOUT_S)
            state = self._find_state(job_id, queue, team)
        if state is None:
            return self._unknown_job("show", job_id)
        return Answer(Verdict.OK, state=state)

    def cancel(self, caller: Caller) -> Answer:
        """Cancel a job; return once the cancellation is in the log.

        That also holds for an unknown job, as its submission may still be on its way.
        """
        admitted = self._admit(caller)
        if isinstance(admitted, Answer):
            return admitted
        configuration, queue, team, job_id = admitted
        state = self._find_state(job_id, queue, team)
        if state is None:
            # The caller takes "unknown" for a cancellation, so it must be certain.
            if not self._is_current() or not self._jobs.read_accepted():
                return self._outdated_answer()
            state = self._find_state(job_id, queue, team)
        if state is None:
            answer = self._cancel_unknown(caller, queue, team, job_id)
            return self._record_answer("cancel", job_id, answer, configuration.version)
        if state.final:
            return self._record_answer(
                "cancel", job_id, Answer(Verdict.OK, state=state)
            )
        record = Record(job_key(RecordKind.CANCELLED, job_id), CANCEL_MARK)
        answer = self._write(record, caller)
        return self._record_answer("cancel", job_id, answer, configuration.version)

    def _cancel_unknown(
        self, caller: Caller, queue: Queue, team: Team | None, job_id: str
    ) -> Answer:
        """Leave a tombstone for a job that is not in the log."""
        if JOB_ID.fullmatch(job_id) is None:
            return Answer(Verdict.UNKNOWN_JOB)
        owner = None if team is None or queue.open_to_all else team.name
        tombstone = Tombstone(queue.name, owner)
        if self._jobs.count_tombstones(tombstone) >= MAX_TOMBSTONES:
            return self._refusal(TOO_MANY_TOMBSTONES)
        key = tombstone_key(job_id, tombstone)
        answer = self._write(Record(key, encode_tombstone(tombstone)), caller)
        if answer.verdict is Verdict.OK:
            return Answer(Verdict.UNKNOWN_JOB, detail=CANCELLED_AHEAD)
        return answer

    def _refuse_cancelled(self, cancelled_at: float) -> Answer:
        """Return the answer to a job whose ID is taken until its tombstone expires."""
        left_s = cancelled_at + self._status_kept_s - self._now()
        retry_after_s = max(UNAVAILABLE_RETRY_AFTER_S, math.ceil(left_s))
        return Answer(
            Verdict.NOT_RUN, retry_after_s=retry_after_s, detail=CANCELLED_BEFORE
        )

    def _admit(
        self, caller: Caller
    ) -> Answer | tuple[Configuration, Queue, Team | None, str]:
        configuration = self._operators.configuration
        if configuration is None:
            return self._refusal("no configuration yet")
        queue = configuration.find_queue(caller.host, caller.path)
        if queue is None:
            answer = Answer(Verdict.UNKNOWN_QUEUE)
            return self._record_answer(
                "admit", caller.path, answer, configuration.version
            )
        team = configuration.team_by_key.get(caller.key or "")
        if team is None and not queue.open_to_all:
            answer = Answer(Verdict.UNKNOWN_KEY)
            return self._record_answer(
                "admit", caller.path, answer, configuration.version
            )
        job_id = caller.path[len(queue.path_prefix) :]
        if not self._jobs.has_read_log:
            # The job may be in the part of the log that is not read yet.
            return self._record_answer("admit", job_id, self._refusal(READING_LOG))
        return configuration, queue, team, job_id

    def _decode(
        self,
        call: str,
        body: bytes,
        admitted: tuple[Configuration, Queue, Team | None, str],
        job_id: str,
    ) -> Answer | Job:
        configuration, queue, team, _ = admitted
        if len(body) > configuration.max_body_bytes:
            return Answer(Verdict.MALFORMED, detail="the body is too large")
        team_name = None if team is None else team.name
        try:
            return self._decoder.decode(body, job_id, queue, team_name, wall_ms())
        except InvalidInputError as error:
            answer = Answer(Verdict.MALFORMED, detail=str(error))
            return self._record_answer(call, job_id, answer)

    def _find_state(
        self, job_id: str, queue: Queue, team: Team | None
    ) -> JobState | None:
        registered = self._jobs.find(job_id)
        if registered is None:
            return None
        owner = registered.job.team
        if owner is None or queue.open_to_all:
            return registered.state
        # Another team's job is reported as unknown.
        return registered.state if team is not None and team.name == owner else None

    def _write(self, record: Record, caller: Caller) -> Answer:
        began = self._now()
        if self._answer_by - began < MIN_APPEND_S + ANSWER_MARGIN_S:
            return self._refusal("this node is leaving")
        time_left_s = min(caller.timeout_s, self._answer_by - began)
        wait_s = min(MAX_WAIT_S, time_left_s - ANSWER_MARGIN_S)
        outcome = self._appender.append(record, began + wait_s)
        if outcome is AppendOutcome.DONE:
            # Later answers of this node use the record before it is read back.
            self._jobs.fold(record, began)
            return Answer(Verdict.OK)
        if outcome is AppendOutcome.NOT_DONE:
            return self._refusal(STORE_AWAY)
        return Answer(Verdict.UNCERTAIN, detail="the store did not answer")

    def _waiting_detail(self) -> str:
        """Return why no job can start now, if this node knows a reason."""
        everywhere = self._jobs.registry.evacuations.everywhere
        return EVACUATED if everywhere and self._operators.evacuated else ""

    def _unknown_job(self, call: str, job_id: str) -> Answer:
        if not self._is_current():
            return self._outdated_answer()
        return self._record_answer(call, job_id, Answer(Verdict.UNKNOWN_JOB))

    def _is_current(self) -> bool:
        return self._jobs.age(self._now()) < MAX_LOG_AGE_S

    @staticmethod
    def _refusal(why: str) -> Answer:
        """Return the answer to a call that has had and will have no effect."""
        return Answer(
            Verdict.NOT_RUN, retry_after_s=UNAVAILABLE_RETRY_AFTER_S, detail=why
        )

    def _outdated_answer(self) -> Answer:
        return self._refusal("this node is behind the job log")

    def _record_answer(
        self, call: str, job_id: str, answer: Answer, version: int | None = None
    ) -> Answer:
        self._metrics.count("calls", call, answer.verdict.value)
        log_event(
            logger,
            "call answered",
            call=call,
            job=job_id,
            verdict=answer.verdict.value,
            detail=answer.detail,
            configuration=version,
            log_age_s=round(self._jobs.age(self._now()), 3),
            log_offset=self._jobs.accepted_offset,
        )
        return answer
