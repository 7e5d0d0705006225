"""The order in which a node reads large pages, so that they do not share its link."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from geraniumshored.node.ports import Stream

__all__ = ["PageTurns"]

# The largest page, 1 MB of values in base64, takes 6 s over the slowest link of
# 2 Mbit/s. A read that has waited longer is not delayed further by a stalled one.
MAX_TURN_WAIT_S = 8.0
# Small streams first: a node needs all of them, and has the small ones soon.
RANK_BY_STREAM = {
    Stream.OPERATORS: 0,
    Stream.MINIONS: 1,
    Stream.STATUS: 1,
    Stream.ACCEPTED: 2,
    Stream.PROGRESS: 3,
}


class PageTurns:
    """Lets one page of newest records at a time pass the link, small streams first.

    Pages of the operators' stream never wait. Thread-safe.
    """

    def __init__(self, max_wait_s: float = MAX_TURN_WAIT_S) -> None:
        self._max_wait_s = max_wait_s
        self._changed = threading.Condition()
        self._open = 0
        self._waiting: Counter[int] = Counter()

    @contextmanager
    def turn(self, stream: Stream) -> Iterator[None]:
        """Wait until a page of ``stream`` may be read, and read it meanwhile."""
        rank = RANK_BY_STREAM[stream]
        with self._changed:
            if rank > 0:
                self._waiting[rank] += 1
                try:
                    self._changed.wait_for(
                        lambda: self._is_next(rank), self._max_wait_s
                    )
                finally:
                    self._waiting[rank] -= 1
            self._open += 1
        try:
            yield
        finally:
            with self._changed:
                self._open -= 1
                self._changed.notify_all()

    def _is_next(self, rank: int) -> bool:
        return not self._open and not any(self._waiting[r] for r in range(rank))
