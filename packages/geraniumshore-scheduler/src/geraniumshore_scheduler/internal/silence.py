"""Minions that do not answer: what their owner writes down for the next one.

A new owner that cannot reach a minion would have to take its leases as renewed up to
the moment of the takeover, and longer. The former owner knows better: it sends no lease
to a minion that is silent. So it writes down when it sent the last one, and says so in
the log before it sends another.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass

__all__ = ["Silence", "Silences"]


@dataclass(frozen=True, slots=True)
class Silence:
    """The owner of ``epoch`` sent a minion no lease after ``granted_at``.

    That is on the reader's clock, and never too early: the record gives its age when it
    was written, and it is read later.
    """

    epoch: int
    granted_at: float


class Silences:
    """The silent minions that the log has, or will have with the next record."""

    def __init__(self, silence_by_minion: Mapping[str, Silence]) -> None:
        self._by_minion = dict(silence_by_minion)

    def __contains__(self, minion_id: str) -> bool:
        return minion_id in self._by_minion

    def last_grant(self, minion_id: str, epoch: int) -> float | None:
        """Return when the owner of an epoch sent its last lease, if it said so."""
        silence = self._by_minion.get(minion_id)
        if silence is None or silence.epoch != epoch:
            return None
        return silence.granted_at

    def note(self, minion_id: str, silence: Silence) -> None:
        """Note that a minion has had no lease since."""
        self._by_minion[minion_id] = silence

    def forget(self, minion_id: str) -> None:
        """Note that a minion may get leases again."""
        self._by_minion.pop(minion_id, None)

    def to_record(self, relevant: Container[str]) -> dict[str, Silence]:
        """Return what to write down; what concerns no run any more is left out."""
        self._by_minion = {
            minion_id: silence
            for minion_id, silence in self._by_minion.items()
            if minion_id in relevant
        }
        return self._by_minion
