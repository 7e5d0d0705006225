"""Keeps the scheduler's starts out of evacuated data centres."""

from __future__ import annotations

from collections.abc import Collection

from geraniumshore_scheduler.internal.caps import CapUse
from geraniumshore_scheduler.internal.evacuation import RoomElsewhere, plan_moves
from geraniumshore_scheduler.internal.model import Step
from geraniumshore_scheduler.internal.placer import Placer
from geraniumshore_scheduler.internal.records import (
    EVACUATIONS_KEY,
    EvacuationsRecord,
    encode_evacuations,
)
from geraniumshore_scheduler.internal.runs import Run

__all__ = ["Evacuator"]

# Interval between looks for long-running tasks that can move out. A move takes over a
# second, so a shorter one gains nothing.
MOVE_CHECK_INTERVAL_S = 0.25


class Evacuator(Placer):
    """Applies evacuations to the minions and moves long-running tasks out."""

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres in which nothing starts."""
        return self._evacuated

    @property
    def steps_without_room(self) -> dict[str, list[Step]]:
        """By service, the long-running tasks that wait for room to move out."""
        return self._steps_without_room

    def restore_evacuations(self, recorded: EvacuationsRecord) -> None:
        """Load what former owners recorded, so that evacuations keep their begin."""
        self._recorded_evacuations = recorded

    def set_evacuated(self, data_centres: Collection[str], now: float) -> None:
        """Start nothing in these data centres, and accept work in all others again."""
        evacuated = frozenset(data_centres)
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        self._steps_without_room = {}
        self._moves_checked_at = float("-inf")
        reopened_services: set[str] = set()
        for view in self.view_by_id.values():
            if view.listing is None:
                continue
            accepted = view.accepts(now)
            view.set_evacuated(view.listing.data_centre in evacuated)
            if not accepted and view.accepts(now):
                reopened_services.add(view.listing.service)
        self._changed_services |= reopened_services
        for service in reopened_services:
            self._end_pauses(service)

    def hold_starts(self, held: bool) -> bool:
        """Hold or release all starts; return whether that is a change."""
        if held == self._starts_held:
            return False
        self._starts_held = held
        self._placed_all_at = float("-inf")
        return True

    def _move_long_running_tasks(self, now: float) -> None:
        if not self._evacuated or self._unread_jobs or self._starts_held:
            # Teams with a cap start nothing while jobs are unread, and no task starts
            # while starts are held.
            return
        if now < self._moves_checked_at + MOVE_CHECK_INTERVAL_S:
            return
        self._moves_checked_at = now
        accepting = (view for view in self.view_by_id.values() if view.accepts(now))
        without_room: dict[str, list[Step]] = {}
        claims = self._claim_caps()

        def may_restart(run: Run) -> bool:
            claim = claims.get(run.team or "")
            return claim is None or claim.allows_restart(run.step.size)

        moves = plan_moves(
            self.view_by_id,
            self.job_by_id,
            RoomElsewhere(accepting),
            without_room,
            may_restart,
        )
        for run in moves:
            self._request_stop(run)
            self._record_decision("moved out", str(run.task), run.minion_id)
        self._steps_without_room = without_room

    def _claim_caps(self) -> dict[str, CapUse]:
        """Return what teams with a cap use, and need for tasks that were interrupted.

        Only long-running tasks count among those that wait: they are to start again as
        soon as they can.
        """
        claims = dict(self._cap_uses())
        for job in self.job_by_id.values():
            claim = claims.get(job.job.team or "")
            if claim is None:
                continue
            for number, count in job.waiting.count_returned():
                step = job.job.steps[number]
                if step.lasting:
                    claim = claim.with_tasks(step.size, count)
            claims[job.job.team or ""] = claim
        return claims

    def _record_evacuations(self, wall_ms: float) -> None:
        """Record for nodes and operators since when data centres are evacuated."""
        recorded = self._recorded_evacuations
        if not self._evacuated and not recorded.since_ms:
            return
        present = {
            view.listing.data_centre
            for view in self.view_by_id.values()
            if view.listing is not None and not view.unlisted
        }
        current = EvacuationsRecord(
            {
                name: recorded.since_ms.get(name, int(wall_ms))
                for name in sorted(self._evacuated)
            },
            everywhere=bool(present) and present <= self._evacuated,
        )
        if current != recorded:
            self._recorded_evacuations = current
            self._records[EVACUATIONS_KEY] = encode_evacuations(current)
