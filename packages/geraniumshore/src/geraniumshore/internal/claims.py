"""Claims of idempotency keys and the answers to the requests that claimed them.

A claim is appended to the log before anything is sent for its key, so a caller's retry
finds it through any entry host. Claims expire by the log service's clock, which is the
same for every reader.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from geraniumshore.errors import Finding
from geraniumshore.internal.claim_records import Answer, Claim, KeptAnswer

__all__ = [
    "CLAIM_WINDOW_MS",
    "ClaimKey",
    "Claims",
    "KeptClaim",
    "MAX_ANSWER_BYTES",
    "claim_key",
    "fold_answer",
    "fold_claim",
]

# How long a claim and its answer are kept.
CLAIM_WINDOW_MS = 600_000
# Longer answers are not kept; a retry only learns that the request ran.
MAX_ANSWER_BYTES = 64 * 1024
# Total size of kept answers. The oldest are dropped first; their claims remain.
MAX_KEPT_BYTES = 4 * 1024 * 1024
# Beyond this, new claims are refused: dropping one early could let work run twice.
MAX_CLAIMS = 20_000

ClaimKey = str


@dataclass(slots=True)
class KeptClaim:
    """A claim in force. ``outcome`` is None while the request may be running."""

    id: str
    member: str
    digest: str
    claimed_at_ms: int
    outcome: Literal["ran", "unknown"] | None = None
    answer: KeptAnswer | None = None


@dataclass(slots=True)
class Claims:
    """All unexpired claims, oldest first."""

    by_key: dict[ClaimKey, KeptClaim] = field(default_factory=dict)
    clock_ms: int = 0
    kept_bytes: int = 0

    def find(self, key: ClaimKey) -> KeptClaim | None:
        """Return the claim of ``key``, or None."""
        return self.by_key.get(key)


def claim_key(team: str, queue: str, idempotency_key: str) -> ClaimKey:
    """Return the claimed key. Names of teams and queues contain no slash."""
    return f"{team}/{queue}/{idempotency_key}"


def fold_claim(claims: Claims, record: Claim, at_ms: int) -> tuple[Finding, ...]:
    """Fold a claim; return findings if it is void."""
    _expire(claims, at_ms)
    key = claim_key(record.team, record.queue, record.key)
    if key in claims.by_key:
        return (Finding("key", "is already claimed"),)
    if len(claims.by_key) >= MAX_CLAIMS:
        return (Finding("claims", f"the maximum of {MAX_CLAIMS} claims is reached"),)
    claims.by_key[key] = KeptClaim(
        record.id, record.member, record.digest, claims.clock_ms
    )
    return ()


def fold_answer(claims: Claims, record: Answer, at_ms: int) -> tuple[Finding, ...]:
    """Fold the outcome of a claimed request; return findings if it is void."""
    _expire(claims, at_ms)
    key = claim_key(record.team, record.queue, record.key)
    claim = claims.by_key.get(key)
    if claim is None or claim.id != record.claim:
        return (Finding("claim", f"{record.claim} is not in force"),)
    if claim.outcome is not None:
        return (Finding("outcome", f"is already recorded as {claim.outcome}"),)
    if record.outcome == "not-run":
        del claims.by_key[key]
        return ()
    claim.outcome = record.outcome
    if record.answer is not None and record.answer.length <= MAX_ANSWER_BYTES:
        claim.answer = record.answer
        claims.kept_bytes += record.answer.length
        _drop_oldest_answers(claims)
    return ()


def _expire(claims: Claims, at_ms: int) -> None:
    claims.clock_ms = max(claims.clock_ms, at_ms)
    while claims.by_key:
        key, oldest = next(iter(claims.by_key.items()))
        if claims.clock_ms - oldest.claimed_at_ms < CLAIM_WINDOW_MS:
            return
        _drop_answer(claims, oldest)
        del claims.by_key[key]


def _drop_oldest_answers(claims: Claims) -> None:
    for claim in claims.by_key.values():
        if claims.kept_bytes <= MAX_KEPT_BYTES:
            return
        _drop_answer(claims, claim)


def _drop_answer(claims: Claims, claim: KeptClaim) -> None:
    if claim.answer is not None:
        claims.kept_bytes -= claim.answer.length
        claim.answer = None
