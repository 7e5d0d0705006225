"""Service levels: the history of good and bad calls of each queue.

Members count calls and append their counts to the log about once a minute, so that
the history survives the loss of any member. The fold keeps it in buckets that get
wider with age, so its size is bounded however long the system runs.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar, Literal

from pydantic import ConfigDict

__all__ = [
    "QueueCounts",
    "ServiceLevelHistory",
    "ServiceLevels",
    "Tier",
    "fold_service_levels",
    "is_good_call",
]

STRICT = ConfigDict(extra="forbid")
MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS


@dataclass(frozen=True, slots=True)
class QueueCounts:
    """Good and bad calls of one queue."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    queue: str
    good: int
    bad: int


@dataclass(frozen=True, slots=True)
class ServiceLevels:
    """The calls that one member counted since its last such record."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    member: str
    counts: tuple[QueueCounts, ...]
    kind: Literal["service-levels"] = "service-levels"


@dataclass(frozen=True, slots=True)
class Tier:
    """The width of a tier's buckets and how long they are kept, in milliseconds."""

    width_ms: int
    kept_ms: int


TIERS = (
    Tier(width_ms=5 * MINUTE_MS, kept_ms=6 * HOUR_MS),
    Tier(width_ms=HOUR_MS, kept_ms=3 * DAY_MS),
    Tier(width_ms=6 * HOUR_MS, kept_ms=30 * DAY_MS),
)


@dataclass(slots=True)
class Bucket:
    """Calls of one queue in one interval, which begins at ``start_ms``."""

    start_ms: int
    good: int = 0
    bad: int = 0


@dataclass(slots=True)
class ServiceLevelHistory:
    """One queue's buckets, a list for each tier, oldest first."""

    tiers: list[list[Bucket]] = field(default_factory=lambda: [[] for _ in TIERS])

    def add(self, at_ms: int, good: int, bad: int) -> None:
        """Add calls at a time of the log's clock, and drop expired buckets."""
        for tier, buckets in zip(TIERS, self.tiers, strict=True):
            start_ms = at_ms - at_ms % tier.width_ms
            if not buckets or buckets[-1].start_ms < start_ms:
                buckets.append(Bucket(start_ms))
            buckets[-1].good += good
            buckets[-1].bad += bad
            while buckets[0].start_ms + tier.kept_ms < at_ms:
                del buckets[0]

    def since(self, now_ms: int, window_ms: int) -> tuple[int, int]:
        """Return the numbers of good and bad calls in a window that ends now.

        The narrowest buckets that cover the window are used; a bucket that lies partly
        in the window is counted whole.
        """
        buckets = self._covering(window_ms)
        start_ms = now_ms - window_ms
        within = [
            bucket
            for bucket in buckets.items
            if bucket.start_ms + buckets.width_ms > start_ms
        ]
        return sum(b.good for b in within), sum(b.bad for b in within)

    def _covering(self, window_ms: int) -> _Buckets:
        for tier, buckets in zip(TIERS, self.tiers, strict=True):
            if tier.kept_ms >= window_ms:
                return _Buckets(tier.width_ms, buckets)
        return _Buckets(TIERS[-1].width_ms, self.tiers[-1])


@dataclass(frozen=True, slots=True)
class _Buckets:
    width_ms: int
    items: list[Bucket]


def fold_service_levels(
    history_by_queue: dict[str, ServiceLevelHistory],
    record: ServiceLevels,
    at_ms: int,
    queues: Iterable[str],
) -> None:
    """Add a member's counts, and drop queues that are no longer configured."""
    configured = set(queues)
    for name in set(history_by_queue) - configured:
        del history_by_queue[name]
    for counts in record.counts:
        if counts.queue in configured:
            history = history_by_queue.setdefault(counts.queue, ServiceLevelHistory())
            history.add(at_ms, max(0, counts.good), max(0, counts.bad))


def is_good_call(status: int, seconds: float, objective_ms: int) -> bool | None:
    """Return whether a call met its objective, or None for a caller's error.

    A refusal because of load (429), a system error (5xx) and a late answer are bad.
    Other 4xx answers say nothing about the service.
    """
    if status == 429 or status >= 500:
        return False
    if status >= 400:
        return None
    return seconds * 1000 <= objective_ms
