"""Authority: whether a member may act just now.

A member may start work, grant units and accept callers' keys only while it is known
to be up to date: while a read of the log's tail that it *sent* less than
``AUTHORITY_SECONDS`` ago has been answered and folded. A process that was paused
therefore wakes without authority.
"""

from __future__ import annotations

from dataclasses import dataclass

from geraniumshore.internal.timing import AUTHORITY_SECONDS

__all__ = ["Authority"]


@dataclass(slots=True)
class Authority:
    """The times until which each source of authority lasts (monotonic seconds)."""

    log_until: float = float("-inf")

    def confirm_tail(self, sent_at: float) -> None:
        """Take in a tail read, sent at ``sent_at``, whose records are all folded."""
        self.log_until = max(self.log_until, sent_at + AUTHORITY_SECONDS)

    def until(self) -> float:
        """Return when authority lapses unless it is renewed before."""
        return self.log_until

    def holds(self, now: float) -> bool:
        """Tell whether the member may act at ``now``."""
        return now < self.until()
