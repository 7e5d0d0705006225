"""Minions that do not answer: what their owner writes down for the next one.

A new owner that cannot reach a minion would have to take its leases as renewed up to
the moment of the takeover, and longer. Former owners know better: they send no lease to
a minion that is silent, and each knows when the one before it had certainly ended. So
an owner writes down until when leases may have been sent, and says so in the log before
it sends another. A process that has just started knows no more than that.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import NamedTuple

__all__ = ["Silences", "SilentFor"]


class SilentFor(NamedTuple):
    """A minion, and an epoch whose owner sends it no lease any more."""

    minion_id: str
    epoch: int


class Silences:
    """The silent minions that the log has, or will have with the next record.

    For each there is the time after which no lease was sent. It may lie ahead: then it
    is when the owner of that epoch has certainly ended. It is on the reader's clock and
    never too early, as a record gives its age when it was written and is read later.
    """

    def __init__(self, last_grants: Mapping[SilentFor, float]) -> None:
        self._last_grants = dict(last_grants)

    def __contains__(self, minion_id: str) -> bool:
        return any(silent.minion_id == minion_id for silent in self._last_grants)

    def last_grant(self, silent: SilentFor) -> float | None:
        """Return after when no lease was sent, if some owner said so."""
        return self._last_grants.get(silent)

    def note(self, last_grants: Mapping[SilentFor, float]) -> bool:
        """Note minions; tell whether one of them was not noted before."""
        news = [silent for silent in last_grants if silent not in self._last_grants]
        self._last_grants.update((silent, last_grants[silent]) for silent in news)
        return bool(news)

    def forget(self, minion_id: str) -> None:
        """Note that a minion may get leases again."""
        for silent in list(self._last_grants):
            if silent.minion_id == minion_id:
                del self._last_grants[silent]

    def to_record(self, relevant: Container[str]) -> dict[SilentFor, float]:
        """Return what to write down; what concerns no run any more is left out."""
        self._last_grants = {
            silent: at
            for silent, at in self._last_grants.items()
            if silent.minion_id in relevant
        }
        return dict(self._last_grants)
