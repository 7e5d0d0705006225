"""Records of unresponsive minions, which let the next owner release runs sooner.

Without them, a new owner that cannot reach a minion has to assume that its leases were
renewed until the takeover and for some time after it. Former owners know more: they
send no leases to an unresponsive minion, and each knows when its predecessor had
certainly ended. So an owner records until when leases may have been sent to a minion,
and retracts the record in the log before it sends another lease. These records are all
that a process which has just started knows about earlier leases.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import NamedTuple

__all__ = ["UnresponsiveMinions", "MinionEpoch"]


class MinionEpoch(NamedTuple):
    """A minion, and an epoch whose owner no longer sends it leases."""

    minion_id: str
    epoch: int


class UnresponsiveMinions:
    """The unresponsive minions that are in the log or will be with the next record.

    Each has the time after which no lease was sent. A time in the future is when the
    owner of that epoch has certainly ended. Times are on the reader's clock and never
    too early: a record holds an age as of its writing, and it is read later.
    """

    def __init__(self, last_grants: Mapping[MinionEpoch, float]) -> None:
        self._last_grants = dict(last_grants)

    def __contains__(self, minion_id: str) -> bool:
        return any(
            minion_epoch.minion_id == minion_id for minion_epoch in self._last_grants
        )

    def last_grant(self, minion_epoch: MinionEpoch) -> float | None:
        """Return the time after which no lease was sent, None if not recorded."""
        return self._last_grants.get(minion_epoch)

    def add(self, last_grants: Mapping[MinionEpoch, float]) -> bool:
        """Add entries that are missing; return whether there were any."""
        added = [
            minion_epoch
            for minion_epoch in last_grants
            if minion_epoch not in self._last_grants
        ]
        self._last_grants.update(
            (minion_epoch, last_grants[minion_epoch]) for minion_epoch in added
        )
        return bool(added)

    def forget(self, minion_id: str) -> None:
        """Remove a minion's entries, as it may get leases again."""
        for minion_epoch in list(self._last_grants):
            if minion_epoch.minion_id == minion_id:
                del self._last_grants[minion_epoch]

    def to_record(self, relevant: Container[str]) -> dict[MinionEpoch, float]:
        """Remove the entries of minions not in ``relevant``; return the others."""
        self._last_grants = {
            minion_epoch: at
            for minion_epoch, at in self._last_grants.items()
            if minion_epoch.minion_id in relevant
        }
        return dict(self._last_grants)
