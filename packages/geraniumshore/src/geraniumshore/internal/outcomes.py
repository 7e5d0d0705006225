"""The possible outcomes of one attempt to run a request on a minion."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NotRun", "Outcome", "Ran", "Unknown"]


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run: nothing was sent, or the minion said so.

    ``minion_failed`` attributes the failure to the minion; ``retriable`` means that
    another minion may run the request.
    """

    reason: str
    minion_failed: bool = False
    retriable: bool = True


@dataclass(frozen=True, slots=True)
class Ran:
    """The request was run; this is the minion's complete response."""

    status: int
    content_type: str
    content_encoding: str | None
    body: bytes


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run and, unless ``ended``, may still be running."""

    reason: str
    ended: bool = False


Outcome = NotRun | Ran | Unknown
