"""The clock by which leases and ownership are counted."""

from __future__ import annotations

import time

__all__ = ["steady_seconds", "wall_ms"]

MS = 1000.0


def steady_seconds() -> float:
    """Return a clock that never jumps and that also counts suspensions.

    ``time.monotonic`` stands still while a machine is suspended, so an owner would
    wake up and believe that its leases are still its own.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the time of day in milliseconds since 1970. It may jump."""
    return int(time.time() * MS)
