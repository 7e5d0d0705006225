"""Clocks: one for leases and ownership, and the time of day."""

from __future__ import annotations

import time

__all__ = ["steady_seconds", "wall_ms"]

MS_PER_S = 1000.0


def steady_seconds() -> float:
    """Return a monotonic time in seconds that includes time spent suspended.

    ``time.monotonic`` stands still while a machine is suspended, so after resuming an
    owner would count expired leases as its own.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the Unix time in milliseconds. It may jump."""
    return int(time.time() * MS_PER_S)
