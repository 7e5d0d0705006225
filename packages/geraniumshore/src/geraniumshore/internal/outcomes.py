"""What became of one attempt to run a request on a minion."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NotRun", "Outcome", "Ran", "Unknown"]


@dataclass(frozen=True, slots=True)
class NotRun:
    """Certainly not run: no byte was sent, or the minion itself said so.

    ``minion_failed`` blames the minion, ``retriable`` says that another one may do.
    """

    reason: str
    minion_failed: bool = False
    retriable: bool = True


@dataclass(frozen=True, slots=True)
class Ran:
    """Run, with the minion's whole answer."""

    status: int
    content_type: str
    content_encoding: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class Unknown:
    """May have run; where not ``ended``, it may still be running."""

    reason: str
    ended: bool = False


Outcome = NotRun | Ran | Unknown
