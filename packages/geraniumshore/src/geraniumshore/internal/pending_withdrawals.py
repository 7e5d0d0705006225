"""Withdrawn services and lowered run limits under which work may still run.

A withdrawn service keeps its home, without minions, until its last work has certainly
ended. Otherwise a team's next home would not count that work. For the same reason, a
lowered run limit still bounds what departed members may be running. Times are those of
the log, which are the same for every member.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil
from typing import TypeVar

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.timing import quarantine_until

K = TypeVar("K")

__all__ = ["PendingWithdrawals", "longest_run_ms"]

# Allows for the difference between the clocks of the log and the members, and for
# members that fold late.
CLOCK_SLACK_MS = 10_000


def longest_run_ms(configuration: Configuration) -> int:
    """Return the longest run limit of the request queues, in milliseconds.

    It is 0 if there are none.
    """
    limits = (
        queue.run_limit_ms
        for queue in configuration.queues.values()
        if queue.kind == "request"
    )
    return max(limits, default=0)


@dataclass(slots=True)
class PendingWithdrawals:
    """Withdrawn services and former run limits, each with a time of expiry."""

    until_by_service: dict[str, int] = field(default_factory=dict)
    until_by_run_limit: dict[int, int] = field(default_factory=dict)

    def update(self, before: Configuration, after: Configuration, at_ms: int) -> None:
        """Process the change of the configuration by one release note."""
        former = longest_run_ms(before)
        longest = max([former, *self.until_by_run_limit])
        until = (
            at_ms + CLOCK_SLACK_MS + ceil(quarantine_until(0, longest / 1000) * 1000)
        )
        if longest_run_ms(after) < former:
            self.until_by_run_limit[former] = until
        for service in before.services:
            if service not in after.services:
                self.until_by_service[service] = until
        for service in after.services:
            self.until_by_service.pop(service, None)

    def expire(self, at_ms: int) -> None:
        """Remove what has expired by ``at_ms``."""
        self.until_by_service = _unexpired(self.until_by_service, at_ms)
        self.until_by_run_limit = _unexpired(self.until_by_run_limit, at_ms)

    def longest_run_ms(self, configuration: Configuration) -> int:
        """Return the longest run, in milliseconds, that may still be running."""
        return max([longest_run_ms(configuration), *self.until_by_run_limit])


def _unexpired(until_by_key: dict[K, int], at_ms: int) -> dict[K, int]:
    return {key: until for key, until in until_by_key.items() if until > at_ms}
