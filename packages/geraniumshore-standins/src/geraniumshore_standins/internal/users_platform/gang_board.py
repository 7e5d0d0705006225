"""The gangs on all minions of a simulation: their members work and end together."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["GANG_WAIT_S", "GangBoard"]

# A member that waits longer for the others ends.
GANG_WAIT_S = 3.0


@dataclass(slots=True)
class _Gang:
    joined_at: dict[str, float] = field(default_factory=dict)
    complete_at: float | None = None
    done: bool = False
    broken: bool = False


class GangBoard:
    """The members of each gang's runs. The members of one run share its number."""

    def __init__(self) -> None:
        self._gang_by_run: dict[tuple[str, int], _Gang] = {}

    def _gang(self, task: str, run: int) -> _Gang:
        step = task.rpartition(".")[0]
        return self._gang_by_run.setdefault((step, run), _Gang())

    def join(self, task: str, run: int, size: int, now: float) -> None:
        """Add a member, whose run has started on some minion."""
        gang = self._gang(task, run)
        gang.joined_at[task] = now
        if len(gang.joined_at) == size and not gang.broken:
            gang.complete_at = now

    def leave(self, task: str, run: int, how: str) -> None:
        """Record that a member's run has ended, which ends the others."""
        gang = self._gang(task, run)
        if how == "done":
            gang.done = True
        elif not gang.done:
            gang.broken = True

    def end_of(
        self, task: str, run: int, how: str, work_s: float, now: float
    ) -> str | None:
        """Return how a member's run ends now, None if it goes on.

        Of a gang that fails the first member does, which breaks the others.
        """
        gang = self._gang(task, run)
        if gang.done:
            return "done"
        if gang.broken:
            return "broken"
        if gang.complete_at is None:
            waited_s = now - gang.joined_at[task]
            return "alone" if waited_s > GANG_WAIT_S else None
        if how == "lasts" or now < gang.complete_at + work_s:
            return None
        return how if how == "done" or task == min(gang.joined_at) else None
