"""Time bounds that several decisions share. All are monotonic seconds."""

from __future__ import annotations

__all__ = [
    "AUTHORITY_SECONDS",
    "CLOCK_MARGIN_SECONDS",
    "HEARTBEAT_SECONDS",
    "IDLE_HEARTBEAT_SECONDS",
    "IDLE_TOKEN_SECONDS",
    "quarantine_until",
]

# How long one answer of the log, or of a majority, lets a member act.
AUTHORITY_SECONDS = 3.0
# Covers the difference in rate of two monotonic clocks over one authority period,
# and the time between the check of authority and the last byte that it allows.
CLOCK_MARGIN_SECONDS = 0.3
# Unchanged reports and grants are repeated this often, which also replaces lost ones.
HEARTBEAT_SECONDS = 0.25
# The same for accounts that are idle and confirmed.
IDLE_HEARTBEAT_SECONDS = 2.0
# A token without work goes back to its team's home after this time.
IDLE_TOKEN_SECONDS = 0.1


def quarantine_until(now: float, run_limit: float) -> float:
    """Return when the last work that a departed holder could start has ended."""
    return now + AUTHORITY_SECONDS + CLOCK_MARGIN_SECONDS + run_limit
