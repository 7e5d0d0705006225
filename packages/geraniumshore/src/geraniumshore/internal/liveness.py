"""Which members are silent, as one member sees it."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from geraniumshore.internal.records import MemberInfo

__all__ = ["Liveness"]

# A member that was not heard for this long may be proposed for eviction.
SILENCE_SECONDS = 3.0
# A gap this long between two inputs means that this process itself was paused; what
# it has not heard in that time says nothing about others.
OWN_PAUSE_SECONDS = 1.0
# The platform's list of hosts lags; a host counts as gone after this time off it.
ABSENCE_SECONDS = 20.0


@dataclass(slots=True)
class Liveness:
    """When each other member was last heard, and which hosts the platform lacks."""

    own: MemberInfo
    heard_at: dict[str, float] = field(default_factory=dict)
    _absent_since: dict[str, float] = field(default_factory=dict)
    _observed_at: float | None = None

    def observe(self, members: Iterable[str], now: float) -> None:
        """Note that this process runs at ``now``, with ``members`` in the view."""
        paused = (
            self._observed_at is not None
            and now - self._observed_at > OWN_PAUSE_SECONDS
        )
        self._observed_at = now
        self.heard_at = {
            member: now if paused else self.heard_at.get(member, now)
            for member in members
            if member != self.own.member
        }

    def heard(self, member: str, now: float) -> None:
        """Note a message of ``member``."""
        if member in self.heard_at:
            self.heard_at[member] = now

    def silent_for(self, member: str, now: float) -> float:
        """Return for how many seconds a member was not heard."""
        return now - self.heard_at.get(member, now)

    def silent(self, now: float) -> list[str]:
        """Return the silent members, in the same order everywhere."""
        return sorted(
            member
            for member in self.heard_at
            if self.silent_for(member, now) >= SILENCE_SECONDS
        )

    def on_hosts(
        self, listed: Iterable[str], members: Mapping[str, MemberInfo], now: float
    ) -> None:
        """Take in the platform's list of hosts.

        A list without this member's own host is wrong or empty, and is left aside.
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
        """Return silent members whose hosts the platform has not listed for long."""
        silent = set(self.silent(now))
        return {
            name
            for name, info in members.items()
            if name in silent
            and now - self._absent_since.get(info.host, now) >= ABSENCE_SECONDS
        }
