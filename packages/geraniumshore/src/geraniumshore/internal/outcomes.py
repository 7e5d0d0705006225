"""What became of one attempt to run a request on a minion."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NotRun", "Outcome", "Ran", "Unknown"]


@dataclass(frozen=True, slots=True)
class NotRun:
    """Certainly not run: no byte was sent, or the minion itself said so."""

    reason: str


@dataclass(frozen=True, slots=True)
class Ran:
    """Run, with the minion's whole answer."""

    status: int
    content_type: str
    content_encoding: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class Unknown:
    """May have run, or may still be running."""

    reason: str


Outcome = NotRun | Ran | Unknown
