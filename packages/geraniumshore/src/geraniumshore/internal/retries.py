"""Retry decisions: whether a failed attempt may be repeated, and the backoff."""

from __future__ import annotations

from dataclasses import dataclass

from geraniumshore.internal.outcomes import NotRun, Outcome, Ran, Unknown

__all__ = ["RetryBudget", "backoff_seconds", "is_failure", "may_repeat"]

MAX_ATTEMPTS = 4
# Retries earned by each successful attempt.
RETRIES_PER_SUCCESS = 0.2
# Retries available before any success, and the maximum that can be saved.
INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 50.0
BASE_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.5
SERVER_ERROR = 500


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of successes, which prevents retry storms."""

    balance: float = INITIAL_RETRIES

    def on_success(self) -> None:
        """Record a successful attempt."""
        self.balance = min(MAX_SAVED_RETRIES, self.balance + RETRIES_PER_SUCCESS)

    def take(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def is_failure(outcome: Outcome) -> bool:
    """Return whether an attempt failed because of the minion or the work."""
    match outcome:
        case Ran():
            return outcome.status >= SERVER_ERROR
        case NotRun():
            return outcome.minion_failed
        case Unknown():
            return True


def may_repeat(outcome: Outcome, idempotent: bool, attempts: int) -> bool:
    """Return whether another attempt is safe and may succeed."""
    if attempts >= MAX_ATTEMPTS:
        return False
    match outcome:
        case NotRun():
            return outcome.retriable
        case Unknown():
            return idempotent
        case Ran():
            return idempotent and outcome.status >= SERVER_ERROR


def backoff_seconds(attempts: int, draw: float) -> float:
    """Return the backoff after ``attempts`` attempts; ``draw`` is in [0, 1)."""
    grown = BASE_BACKOFF_SECONDS * float(2**attempts)
    return min(MAX_BACKOFF_SECONDS, grown) * draw
