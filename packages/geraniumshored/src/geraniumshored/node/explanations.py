"""Answers where a job would be placed, from the owner's memory or through the owner."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace

from geraniumshore_scheduler import (
    Explanation,
    InvalidInputError,
    Job,
    PlatformUnavailableError,
    UnknownOutcomeError,
)
from geraniumshored.node.answers import Answer, Caller, Verdict
from geraniumshored.node.job_requests import JobRequestHandler
from geraniumshored.node.members import address_of, host_of
from geraniumshored.node.ownership import Ownership
from geraniumshored.node.views import JobsView, MinionsView, OperatorsView

__all__ = [
    "ExplanationPeers",
    "ExplanationReply",
    "PlacementExplainer",
    "PlacementReport",
]

logger = logging.getLogger(__name__)

# As long as a job's ID, but none: no job that was submitted has it.
UNSUBMITTED_JOB_ID = "unsubmitted-job1"
# The owner decides nothing while it explains, which takes 0.2 s for 1,000 tasks on 600
# free minions. These pauses limit that to a tenth of its time.
MIN_PAUSE_S = 0.1
PAUSE_FACTOR = 9
RETRY_AFTER_S = 1
# Less than operators' command waits, so that they are told which node is silent.
RELAY_TIMEOUT_S = 2.0
TOO_MANY = "too many explanations are requested"
NO_OWNER = "no node owns the schedule"
NOT_OWNER = "this node does not own the schedule"


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """An explanation with the owner that gave it and the age of its data.

    The ages are those of the owner's views of the job log, of the list of minions and
    of the operators' stream.
    """

    owner: str
    epoch: int
    jobs_age_s: float
    minions_age_s: float
    operators_age_s: float
    explanation: Explanation


@dataclass(frozen=True, slots=True)
class ExplanationReply:
    """A report, or the verdict by which there is none."""

    verdict: Verdict
    report: PlacementReport | None = None
    detail: str = ""
    retry_after_s: int | None = None

    @classmethod
    def from_refusal(cls, answer: Answer) -> ExplanationReply:
        """Return the reply to a job that would be refused."""
        return cls(answer.verdict, None, answer.detail, answer.retry_after_s)

    @classmethod
    def not_now(cls, detail: str) -> ExplanationReply:
        """Return the reply while no explanation can be given."""
        return cls(Verdict.NOT_RUN, None, detail, RETRY_AFTER_S)


class ExplanationPeers(ABC):
    """Requests for explanations to other nodes."""

    @abstractmethod
    def explain(
        self, address: str, caller: Caller, body: bytes, relayed: bool
    ) -> ExplanationReply:
        """Let the node at ``address`` explain; a ``relayed`` request goes no further.

        Raises PlatformUnavailableError if nothing was sent, UnknownOutcomeError if no
        answer came within the caller's timeout.
        """


class PlacementExplainer:
    """Explains placements if this node owns the schedule, and asks the owner if not."""

    def __init__(
        self,
        requests: JobRequestHandler,
        ownership: Ownership,
        views: tuple[OperatorsView, MinionsView, JobsView],
        peers: ExplanationPeers,
        member: str,
        now: Callable[[], float],
    ) -> None:
        self._requests = requests
        self._ownership = ownership
        self._operators, self._minions, self._jobs = views
        self._peers = peers
        self._member = member
        self._now = now
        self._lock = threading.Lock()
        self._next_at = float("-inf")

    def explain(self, caller: Caller, body: bytes, relayed: bool) -> ExplanationReply:
        """Return where a job would be placed now; nothing is submitted."""
        job = self._requests.admit_job(caller, body, UNSUBMITTED_JOB_ID)
        if isinstance(job, Answer):
            return ExplanationReply.from_refusal(job)
        reply = self._explain_here(job)
        if reply is not None:
            return reply
        if relayed:
            return ExplanationReply.not_now(NOT_OWNER)
        return self._ask_owner(caller, body)

    def _explain_here(self, job: Job) -> ExplanationReply | None:
        """Return the owner's reply, or None if this node does not own the schedule."""
        owner = self._ownership.current
        if owner is None or self._ownership.owner() != self._member:
            # An owner that was replaced may not have heard of it yet.
            return None
        if not self._lock.acquire(blocking=False):
            return ExplanationReply.not_now(TOO_MANY)
        try:
            now = self._now()
            if now < self._next_at:
                return ExplanationReply.not_now(TOO_MANY)
            explanation = owner.explain(job)
            ended_at = self._now()
            pause_s = max(MIN_PAUSE_S, PAUSE_FACTOR * (ended_at - now))
            self._next_at = ended_at + pause_s
        except InvalidInputError as error:
            return ExplanationReply(Verdict.MALFORMED, detail=str(error))
        finally:
            self._lock.release()
        if explanation is None:
            return None
        report = PlacementReport(
            host_of(self._member),
            owner.authority.epoch,
            round(self._jobs.age(now), 3),
            round(self._minions.age(now), 3),
            round(self._operators.age(now), 3),
            explanation,
        )
        return ExplanationReply(Verdict.OK, report)

    def _ask_owner(self, caller: Caller, body: bytes) -> ExplanationReply:
        owner = self._ownership.owner()
        if owner is None or owner == self._member:
            return ExplanationReply.not_now(NO_OWNER)
        address = address_of(owner)
        unreachable = (
            f"{NO_OWNER} that can be reached; the last one is {host_of(owner)}"
        )
        if not address:
            return ExplanationReply.not_now(unreachable)
        try:
            timeout_s = min(caller.timeout_s, RELAY_TIMEOUT_S)
            caller = replace(caller, timeout_s=timeout_s)
            return self._peers.explain(address, caller, body, relayed=True)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            # Explaining has no effect, so a request without an answer had none.
            return ExplanationReply.not_now(f"{unreachable} ({error})")
