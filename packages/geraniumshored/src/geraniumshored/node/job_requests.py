"""What callers ask of a node: to accept, show, cancel and count jobs."""

from __future__ import annotations

import enum
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from geraniumshore_scheduler import (
    Configuration,
    InvalidInputError,
    Job,
    JobState,
    Queue,
    RecordKind,
    Team,
    encode_job,
    job_key,
)
from geraniumshored.node.appender import Appender, AppendOutcome
from geraniumshored.node.clock import wall_ms
from geraniumshored.node.logs import log_event
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import Record
from geraniumshored.node.views import JobsView, OperatorsView

__all__ = ["Answer", "Caller", "Intake", "JobDecoder", "Verdict"]

logger = logging.getLogger(__name__)

# A caller that was turned away because the store is away may come back after this.
STORE_AWAY_RETRY_S = 1
# A node that has heard nothing of the job log for so long does not say that a job is
# unknown: it may have been accepted elsewhere meanwhile.
CURRENT_S = 1.5
# Some of a caller's patience is kept for the answer's way back.
ANSWER_MARGIN_S = 0.15
LONGEST_WAIT_S = 2.5
# A caller that asks for a state waits this long for a read of the log, a few times what
# one takes.
FRESH_WAIT_S = 0.04
CANCEL_MARK = b"1"


class Verdict(enum.Enum):
    """What became of a call."""

    OK = "ok"
    UNKNOWN_QUEUE = "unknown queue"
    UNKNOWN_KEY = "unknown key"
    UNKNOWN_JOB = "unknown job"
    MALFORMED = "malformed"
    NOT_RUN = "not run"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class Answer:
    """A verdict, with what the caller asked for or when to come back."""

    verdict: Verdict
    state: JobState | None = None
    pending: int | None = None
    retry_after_s: int | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Caller:
    """Who calls, where, and for how long they wait."""

    host: str
    path: str
    key: str | None
    patience_s: float


class JobDecoder(ABC):
    """Decodes what callers hand in."""

    @abstractmethod
    def decode(
        self, body: bytes, job_id: str, queue: Queue, team: str | None, accepted_ms: int
    ) -> Job:
        """Return the job. Raises InvalidInputError."""


class Intake:
    """Answers callers from what this node has folded, and writes what it accepts."""

    def __init__(
        self,
        operators: OperatorsView,
        jobs: JobsView,
        appender: Appender,
        decoder: JobDecoder,
        metrics: NodeMetrics,
        now: Callable[[], float],
    ) -> None:
        self._operators = operators
        self._jobs = jobs
        self._appender = appender
        self._decoder = decoder
        self._metrics = metrics
        self._now = now

    def submit(self, caller: Caller, body: bytes) -> Answer:
        """Accept a job, or say truthfully that it will not run."""
        found = self._admit(caller)
        if isinstance(found, Answer):
            return found
        configuration, queue, team, job_id = found
        if not job_id:
            return Answer(Verdict.MALFORMED, detail="the path names no job")
        if self._jobs.find(job_id) is not None:
            return self._told("submit", job_id, Answer(Verdict.OK, detail="known"))
        if len(body) > configuration.max_body_bytes:
            return Answer(Verdict.MALFORMED, detail="the body is too large")
        team_name = None if team is None else team.name
        try:
            job = self._decoder.decode(body, job_id, queue, team_name, wall_ms())
        except InvalidInputError as error:
            answer = Answer(Verdict.MALFORMED, detail=str(error))
            return self._told("submit", job_id, answer)
        record = Record(job_key(RecordKind.ACCEPTED, job_id), encode_job(job))
        answer = self._write(record, caller)
        if answer.verdict is Verdict.UNCERTAIN and self._jobs.find(job_id) is not None:
            answer = Answer(Verdict.OK, detail="seen in the log")
        return self._told("submit", job_id, answer, configuration.version)

    def show(self, caller: Caller) -> Answer:
        """Return a job's state, or a queue's number of pending jobs."""
        found = self._admit(caller)
        if isinstance(found, Answer):
            return found
        _, queue, team, job_id = found
        if not job_id:
            if not self._current():
                return self._behind()
            return Answer(Verdict.OK, pending=self._jobs.pending(queue.name))
        state = self._find_state(job_id, team)
        if state is None or not state.final:
            self._jobs.refresh(FRESH_WAIT_S)
            state = self._find_state(job_id, team)
        if state is None:
            return self._unknown_job("show", job_id)
        return Answer(Verdict.OK, state=state)

    def cancel(self, caller: Caller) -> Answer:
        """Cancel a job; the answer comes once that is in the log."""
        found = self._admit(caller)
        if isinstance(found, Answer):
            return found
        configuration, _, team, job_id = found
        state = self._find_state(job_id, team)
        if state is None:
            self._jobs.refresh(FRESH_WAIT_S)
            state = self._find_state(job_id, team)
        if state is None:
            return self._unknown_job("cancel", job_id)
        if state.final:
            return self._told("cancel", job_id, Answer(Verdict.OK, state=state))
        record = Record(job_key(RecordKind.CANCELLED, job_id), CANCEL_MARK)
        answer = self._write(record, caller)
        return self._told("cancel", job_id, answer, configuration.version)

    def _admit(
        self, caller: Caller
    ) -> Answer | tuple[Configuration, Queue, Team | None, str]:
        configuration = self._operators.configuration
        if configuration is None:
            return Answer(
                Verdict.NOT_RUN,
                retry_after_s=STORE_AWAY_RETRY_S,
                detail="no configuration yet",
            )
        queue = configuration.find_queue(caller.host, caller.path)
        if queue is None:
            answer = Answer(Verdict.UNKNOWN_QUEUE)
            return self._told("admit", caller.path, answer, configuration.version)
        team = configuration.team_by_key.get(caller.key or "")
        if team is None and not queue.open_to_all:
            answer = Answer(Verdict.UNKNOWN_KEY)
            return self._told("admit", caller.path, answer, configuration.version)
        job_id = caller.path[len(queue.path_prefix) :]
        return configuration, queue, team, job_id

    def _find_state(self, job_id: str, team: Team | None) -> JobState | None:
        booked = self._jobs.find(job_id)
        if booked is None:
            return None
        owner = booked.job.team
        # Another team's job is as good as unknown.
        if owner is not None and (team is None or team.name != owner):
            return None
        return booked.state

    def _write(self, record: Record, caller: Caller) -> Answer:
        patience = min(LONGEST_WAIT_S, caller.patience_s - ANSWER_MARGIN_S)
        outcome = self._appender.append(record, self._now() + patience)
        if outcome is AppendOutcome.DONE:
            # This node's next answers know it, before it is read back.
            self._jobs.fold(record)
            return Answer(Verdict.OK)
        if outcome is AppendOutcome.NOT_DONE:
            return Answer(
                Verdict.NOT_RUN,
                retry_after_s=STORE_AWAY_RETRY_S,
                detail="the store is away",
            )
        return Answer(Verdict.UNCERTAIN, detail="the store did not answer")

    def _unknown_job(self, call: str, job_id: str) -> Answer:
        if not self._current():
            return self._behind()
        return self._told(call, job_id, Answer(Verdict.UNKNOWN_JOB))

    def _current(self) -> bool:
        return self._jobs.age(self._now()) < CURRENT_S

    @staticmethod
    def _behind() -> Answer:
        return Answer(
            Verdict.NOT_RUN,
            retry_after_s=STORE_AWAY_RETRY_S,
            detail="this node is behind the job log",
        )

    def _told(
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
        )
        return answer
