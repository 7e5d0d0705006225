"""Results that callers got, and checks of them against the minions' runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ["CallResult", "MinionRun", "check_duplicate_runs", "check_outcomes"]


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one call as its caller saw it.

    ``body`` is unique to the call, so that minions' runs can be matched to it.
    ``status`` is None if no complete answer arrived. Times are monotonic seconds.
    """

    body: str
    queue: str
    team: str
    entry: str
    sent_at: float
    ended_at: float
    status: int | None
    outcome: str | None
    answered_body: str | None
    error: str | None = None


@dataclass(frozen=True, slots=True)
class MinionRun:
    """One completed run as counted by a minion."""

    body: str
    team: str
    queue: str
    began: float
    ended: float
    minion: str


def check_outcomes(
    results: Iterable[CallResult], runs: Iterable[MinionRun]
) -> Iterator[str]:
    """Yield every answer that states a false outcome or belongs to another call."""
    runs_by_body = Counter(run.body for run in runs)
    for result in results:
        ran = runs_by_body[result.body]
        if result.outcome == "not-run" and ran:
            yield f"{result.body}: said not run, but ran {ran} times"
        if result.outcome == "ran" and not ran:
            yield f"{result.body}: said to have run, but did not"
        if result.status == 200 and result.answered_body != result.body:
            yield f"{result.body}: got the answer to {result.answered_body}"


def check_duplicate_runs(
    results: Iterable[CallResult], runs: Iterable[MinionRun], idempotent: set[str]
) -> Iterator[str]:
    """Yield every call of a non-idempotent queue that ran more than once."""
    runs_by_body = Counter(run.body for run in runs)
    for result in results:
        ran = runs_by_body[result.body]
        if result.queue not in idempotent and ran > 1:
            yield f"{result.body}: not idempotent, but ran {ran} times"
