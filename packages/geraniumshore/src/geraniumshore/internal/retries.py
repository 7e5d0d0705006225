"""When an attempt that failed may be made again, and after what pause."""

from __future__ import annotations

from dataclasses import dataclass

from geraniumshore.internal.outcomes import NotRun, Outcome, Ran, Unknown

__all__ = ["RetryBudget", "backoff_seconds", "is_failure", "may_repeat"]

MAX_ATTEMPTS = 4
# Retries may be this part of the attempts that succeeded.
RETRIES_PER_SUCCESS = 0.2
# So many retries are allowed before any success, and at most so many are saved up.
FIRST_RETRIES = 10.0
MOST_RETRIES = 50.0
FIRST_BACKOFF_SECONDS = 0.01
LONGEST_BACKOFF_SECONDS = 0.5
SERVER_ERROR = 500


@dataclass(slots=True)
class RetryBudget:
    """Bounds retries to a fraction of successes, so that retries cannot pile up."""

    balance: float = FIRST_RETRIES

    def on_success(self) -> None:
        """Take in an attempt that succeeded."""
        self.balance = min(MOST_RETRIES, self.balance + RETRIES_PER_SUCCESS)

    def take(self) -> bool:
        """Spend one retry; False means that there is none to spend."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def is_failure(outcome: Outcome) -> bool:
    """Tell whether an attempt failed through the minion or the work."""
    match outcome:
        case Ran():
            return outcome.status >= SERVER_ERROR
        case NotRun():
            return outcome.minion_failed
        case Unknown():
            return True


def may_repeat(outcome: Outcome, idempotent: bool, attempts: int) -> bool:
    """Tell whether another attempt can do no harm and may do good."""
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
    """Return the pause after the ``attempts``-th attempt; ``draw`` is in [0, 1)."""
    grown = FIRST_BACKOFF_SECONDS * float(2**attempts)
    return min(LONGEST_BACKOFF_SECONDS, grown) * draw
