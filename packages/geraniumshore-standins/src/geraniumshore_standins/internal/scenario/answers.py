"""What callers got, and whether it agrees with what minions really ran."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ["CallResult", "MinionRun", "check_doubled", "check_truth"]


@dataclass(frozen=True, slots=True)
class CallResult:
    """One call as its caller saw it.

    ``body`` is different for each call, so that the minions' runs can be told apart.
    ``status`` is None where no whole answer came. Times are monotonic seconds.
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
    """One run as a minion counted it."""

    body: str
    team: str
    queue: str
    began: float
    ended: float
    minion: str


def check_truth(
    results: Iterable[CallResult], runs: Iterable[MinionRun]
) -> Iterator[str]:
    """Yield every answer that was not true or not the caller's own."""
    runs_by_body = Counter(run.body for run in runs)
    for result in results:
        ran = runs_by_body[result.body]
        if result.outcome == "not-run" and ran:
            yield f"{result.body}: said not run, but ran {ran} times"
        if result.outcome == "ran" and not ran:
            yield f"{result.body}: said to have run, but did not"
        if result.status == 200 and result.answered_body != result.body:
            yield f"{result.body}: got the answer to {result.answered_body}"


def check_doubled(
    results: Iterable[CallResult], runs: Iterable[MinionRun], idempotent: set[str]
) -> Iterator[str]:
    """Yield every call of a non-idempotent queue that ran more than once."""
    runs_by_body = Counter(run.body for run in runs)
    for result in results:
        ran = runs_by_body[result.body]
        if result.queue not in idempotent and ran > 1:
            yield f"{result.body}: not idempotent, but ran {ran} times"
