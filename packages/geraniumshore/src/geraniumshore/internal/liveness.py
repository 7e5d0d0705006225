"""Failure detection: which members are unresponsive from one member's view."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from geraniumshore.internal.records import MemberInfo

__all__ = ["Liveness"]

# A member from which nothing was received for this long may be proposed for eviction.
UNRESPONSIVE_AFTER_SECONDS = 3.0
# A gap this long between two inputs means that this process itself was paused, so
# missing messages from that time say nothing about other members.
OWN_PAUSE_SECONDS = 1.0
# The platform's host list lags, so a host counts as gone only after this time off it.
HOST_ABSENCE_SECONDS = 20.0


@dataclass(slots=True)
class Liveness:
    """The last message time of each other member, and hosts missing on the platform."""

    own: MemberInfo
    last_heard_at: dict[str, float] = field(default_factory=dict)
    _absent_since: dict[str, float] = field(default_factory=dict)
    _observed_at: float | None = None

    def observe(self, members: Iterable[str], now: float) -> None:
        """Record that this process runs at ``now`` with ``members`` in the view."""
        paused = (
            self._observed_at is not None
            and now - self._observed_at > OWN_PAUSE_SECONDS
        )
        self._observed_at = now
        self.last_heard_at = {
            member: now if paused else self.last_heard_at.get(member, now)
            for member in members
            if member != self.own.member
        }

    def on_heard(self, member: str, now: float) -> None:
        """Record a message from ``member``."""
        if member in self.last_heard_at:
            self.last_heard_at[member] = now

    def seconds_since_heard(self, member: str, now: float) -> float:
        """Return the seconds since the last message from a member."""
        return now - self.last_heard_at.get(member, now)

    def unresponsive(self, now: float) -> list[str]:
        """Return the unresponsive members, in the same order on every member."""
        return sorted(
            member
            for member in self.last_heard_at
            if self.seconds_since_heard(member, now) >= UNRESPONSIVE_AFTER_SECONDS
        )

    def on_hosts(
        self, listed: Iterable[str], members: Mapping[str, MemberInfo], now: float
    ) -> None:
        """Process the platform's list of hosts.

        A list that lacks this member's own host is wrong or empty and is ignored.
        """
        names = set(listed)
        if self.own.host not in names:
            self._absent_since.clear()
            return
        self._absent_since = {
            info.host: self._absent_since.get(info.host, now)
            for info in members.values()
            if info.host not in names
        }

    def gone(self, members: Mapping[str, MemberInfo], now: float) -> set[str]:
        """Return unresponsive members whose hosts the platform no longer lists."""
        unresponsive = set(self.unresponsive(now))
        return {
            name
            for name, info in members.items()
            if name in unresponsive
            and now - self._absent_since.get(info.host, now) >= HOST_ABSENCE_SECONDS
        }
