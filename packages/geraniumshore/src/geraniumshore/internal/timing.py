"""Time limits that several modules share, in monotonic seconds."""

from __future__ import annotations

__all__ = [
    "AUTHORITY_SECONDS",
    "CLOCK_MARGIN_SECONDS",
    "HEARTBEAT_SECONDS",
    "IDLE_HEARTBEAT_SECONDS",
    "IDLE_TOKEN_SECONDS",
    "quarantine_until",
]

# How long a response from the log or from a majority gives a member authority.
AUTHORITY_SECONDS = 3.0
# Covers the rate difference of two monotonic clocks over one authority period, and
# the time from a check of authority to the last byte sent because of it.
CLOCK_MARGIN_SECONDS = 0.3
# Interval at which unchanged reports and grants are repeated, in case one was lost.
HEARTBEAT_SECONDS = 0.25
# The same interval for idle, confirmed accounts.
IDLE_HEARTBEAT_SECONDS = 2.0
# An idle token is returned to its team's home after this time.
IDLE_TOKEN_SECONDS = 0.1


def quarantine_until(now: float, run_limit: float) -> float:
    """Return when all work that a departed holder could start must have ended."""
    return now + AUTHORITY_SECONDS + CLOCK_MARGIN_SECONDS + run_limit
