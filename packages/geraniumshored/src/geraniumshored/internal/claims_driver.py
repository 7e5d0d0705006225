"""Idempotency keys for work that must not run twice.

A key is claimed through the log before the work is sent, and retries are answered from
the claim.
"""

from __future__ import annotations

import base64
import hashlib
import time
from concurrent.futures import TimeoutError as FutureTimeoutError
from enum import Enum
from uuid import uuid4

from geraniumshore import (
    MAX_ANSWER_BYTES,
    Answer,
    Claim,
    KeptAnswer,
    KeptClaim,
    NotRun,
    Outcome,
    PlatformUnavailableError,
    Ran,
    Refusal,
    Unknown,
    UnknownOutcomeError,
    claim_key,
)
from geraniumshored.internal.claim_log import ClaimLog
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.work import Work

__all__ = ["ClaimRefusal", "ClaimsDriver", "body_digest"]

# How long a call waits for its claim to be folded when the log is slow.
CLAIM_TIMEOUT_SECONDS = 2.5
POLL_SECONDS = 0.05


class ClaimRefusal(Enum):
    """Why a key could not be claimed. The call has not run anything."""

    HELD = "held"
    LOG_DOWN = "log-down"
    FULL = "full"


def body_digest(work: Work) -> str:
    """Return a digest that detects a different body under the same key."""
    digest = hashlib.sha256()
    for part in (work.content_type, work.content_encoding or ""):
        digest.update(part.encode() + b"\0")
    digest.update(work.body)
    return digest.hexdigest()


class ClaimsDriver:
    """Claims keys through the log and looks up earlier claims."""

    def __init__(self, runtime: Runtime, log: ClaimLog) -> None:
        self._runtime = runtime
        self._log = log

    def find(self, work: Work) -> KeptClaim | None:
        """Return the existing claim of the work's key, if there is one."""
        assert work.key is not None
        key = claim_key(work.team, work.queue_name, work.key)
        return self._runtime.member.state.claims.find(key)

    def claim(self, work: Work) -> Claim | ClaimRefusal:
        """Claim the work's key; the work may be sent only if this succeeds."""
        assert work.key is not None
        if not self._log.available():
            return ClaimRefusal.LOG_DOWN
        record = Claim(
            id=uuid4().hex,
            member=self._runtime.member.id,
            team=work.team,
            queue=work.queue_name,
            key=work.key,
            digest=body_digest(work),
        )
        try:
            verdict = self._log.claim(record).result(CLAIM_TIMEOUT_SECONDS)
        except PlatformUnavailableError:
            return ClaimRefusal.LOG_DOWN
        except (UnknownOutcomeError, FutureTimeoutError):
            # The claim may be in the log, so a "not run" answer releases the key.
            self.record_outcome(record, NotRun("the claim was not confirmed"))
            return ClaimRefusal.LOG_DOWN
        if verdict.accepted:
            return record
        if any(finding.place == "claims" for finding in verdict.findings):
            return ClaimRefusal.FULL
        return ClaimRefusal.HELD

    def record_outcome(self, claim: Claim, outcome: Outcome | Refusal) -> None:
        """Record the outcome of a claimed request in the log."""
        answer = Answer(
            id=uuid4().hex,
            claim=claim.id,
            team=claim.team,
            queue=claim.queue,
            key=claim.key,
            outcome="not-run",
        )
        match outcome:
            case Ran():
                answer = Answer(
                    answer.id,
                    claim.id,
                    claim.team,
                    claim.queue,
                    claim.key,
                    "ran",
                    _answer_to_keep(outcome),
                )
            case Unknown():
                answer = Answer(
                    answer.id, claim.id, claim.team, claim.queue, claim.key, "unknown"
                )
        self._log.record_answer(answer)

    def await_outcome(self, work: Work) -> KeptClaim | None:
        """Wait until the existing claim has an outcome or is released.

        Returns None if the key is free. The wait ends at the deadline, when the caller
        disconnects, or when the claim's member has left the view; the claim is then
        returned without an outcome.
        """
        while (claim := self.find(work)) is not None:
            members = self._runtime.member.state.view.members
            expired = time.monotonic() >= work.deadline
            if claim.outcome is not None or claim.member not in members or expired:
                return claim
            if work.abandoned():
                return claim
            time.sleep(POLL_SECONDS)
        return None

    def wait_until_recorded(self, seconds: float) -> bool:
        """Wait until every outcome is in the log; return False on timeout."""
        return self._log.wait_until_recorded(seconds)


def _answer_to_keep(outcome: Ran) -> KeptAnswer | None:
    kept = KeptAnswer(
        outcome.status,
        outcome.content_type,
        outcome.content_encoding,
        base64.b64encode(outcome.body).decode(),
    )
    return kept if kept.length <= MAX_ANSWER_BYTES else None
