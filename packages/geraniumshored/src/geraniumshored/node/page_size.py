"""How much a read of the store asks for, so that it is answered in time."""

from __future__ import annotations

__all__ = ["PageSize"]

# The store returns this much if a read names no size.
MAX_PAGE_KB = 1024
# Little enough for the slowest link that a node can work with.
MIN_PAGE_KB = 16
# A full page that came within this time shows that a larger one would come in time.
QUICK_PAGE_S = 0.25
# A page that took longer than this delays the node's other reads over the same link.
SLOW_PAGE_S = 1.0


class PageSize:
    """The size in KiB of the next page of a stream.

    A node that was cut off from the store has much to read afterwards. Over a slow link
    a page of the full size would hold up the node's other reads, or time out.
    """

    def __init__(self) -> None:
        self.kb = MAX_PAGE_KB

    def on_unanswered(self) -> None:
        """Halve the size after a read that got no complete answer in time."""
        self.kb = max(MIN_PAGE_KB, self.kb // 2)

    def on_full_page(self, took_s: float) -> None:
        """Adapt the size to a page that left records for the next one.

        It doubles if the page came quickly, and halves if the page took long.
        """
        if took_s < QUICK_PAGE_S:
            self.kb = min(MAX_PAGE_KB, self.kb * 2)
        elif took_s > SLOW_PAGE_S:
            self.kb = max(MIN_PAGE_KB, self.kb // 2)
