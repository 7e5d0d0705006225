"""The operators' requests as a node has read them, for tests of owners."""

from __future__ import annotations

from types import SimpleNamespace

__all__ = ["no_requests"]


def no_requests() -> SimpleNamespace:
    """Return a view of operators that have requested nothing, read up to now."""
    return SimpleNamespace(
        configuration=None,
        evacuated=frozenset(),
        refused=False,
        caught_up_at=float("inf"),
        read_to_end=lambda: True,
    )
