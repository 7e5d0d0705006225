"""Drives the planner: reads the list, calls the platform, appends what is decided.

Every member runs it. The member that is the planner's home plans and acts; each home
of a service vouches for the drained hosts that have nothing of it running any more.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from uuid import uuid4

from geraniumshore import (
    PLANNER_KEY,
    ActionStatus,
    FleetHost,
    HostControl,
    HostList,
    ListedHost,
    Member,
    Phase,
    Planner,
    PlannerTimes,
    PlatformUnavailableError,
    Record,
    UnknownOutcomeError,
    choose_member,
    service_quiets,
)
from geraniumshored.internal.follower import LogAppender
from geraniumshored.internal.runtime import Runtime

__all__ = ["PlannerDriver"]

logger = logging.getLogger(__name__)

PLAN_SECONDS = 0.4
# Planning for a large fleet is spaced so that it takes at most this part of a core.
MOST_CORE_SHARE = 0.02
CALLS_AT_ONCE = 4
# A record that was appended is waited for before the same is decided again.
SETTLE_SECONDS = 2.0

ACTION_BY_PHASE = {
    Phase.DRAINING: "drain",
    Phase.MOVING: "move",
    Phase.REBOOTING: "reboot",
    Phase.RETURNING: "return",
}


@dataclass(frozen=True, slots=True)
class _OpenAction:
    """An intent under way, as the platform is told of it."""

    intent: str
    host: str
    action: str
    pool: str | None


class PlannerDriver(threading.Thread):
    """Plans at a steady interval while this member is the planner's home."""

    def __init__(
        self,
        runtime: Runtime,
        appender: LogAppender,
        host_list: HostList,
        control: HostControl,
        times: PlannerTimes,
    ) -> None:
        super().__init__(name="planner", daemon=True)
        self._runtime = runtime
        self._appender = appender
        self._list = host_list
        self._control = control
        self._planner = Planner(new_id=lambda: uuid4().hex, times=times)
        self._pool = ThreadPoolExecutor(CALLS_AT_ONCE, "host-control")
        self._stop_requested = threading.Event()
        self._settled_at = float("-inf")
        self._awaited: set[str] = set()

    def run(self) -> None:
        """Plan until stopped."""
        pause = PLAN_SECONDS
        while not self._stop_requested.wait(pause):
            began = time.thread_time()
            try:
                self._step()
            except Exception:
                # One bad step must not end maintenance for good.
                logger.exception("planner step failed")
            spent = time.thread_time() - began
            pause = max(PLAN_SECONDS, spent / MOST_CORE_SHARE)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()

    def _step(self) -> None:
        if not self._has_settled():
            return
        records: list[Record] = list(self._runtime.perform(_quiets))
        if self._runtime.perform(_plans):
            records += self._plan()
        self._append(records)

    def _plan(self) -> list[Record]:
        listed = self._read_list()
        actions = self._runtime.perform(lambda member, _: list(_open_actions(member)))
        statuses = dict(self._statuses(actions))

        def plan(member: Member, now: float) -> list[Record]:
            if listed is not None:
                self._planner.on_list(member.state, listed, now)
            if not _plans(member, now):
                return []
            return list(self._planner.plan(member.state, statuses, now))

        return self._runtime.perform(plan)

    def _read_list(self) -> tuple[ListedHost, ...] | None:
        try:
            return self._list.list_hosts()
        except PlatformUnavailableError:
            return None

    def _statuses(
        self, actions: list[_OpenAction]
    ) -> Iterator[tuple[str, ActionStatus]]:
        for intent, status in self._pool.map(self._ensure, actions):
            if status is not None:
                yield intent, status

    def _ensure(self, action: _OpenAction) -> tuple[str, ActionStatus | None]:
        if not self._runtime.has_authority():
            return action.intent, None
        try:
            status = self._control.ensure(
                action.intent, action.host, action.action, action.pool
            )
        except (PlatformUnavailableError, UnknownOutcomeError):
            return action.intent, None
        return action.intent, status

    def _append(self, records: list[Record]) -> None:
        """Append, and remember to wait until what was appended is folded."""
        if not records:
            return
        self._settled_at = time.monotonic() + SETTLE_SECONDS
        self._awaited = {record.id for record in records}
        for record in records:
            self._appender.submit(record)

    def _has_settled(self) -> bool:
        if time.monotonic() >= self._settled_at:
            return True
        recent = self._runtime.member.state.recent_ids
        return all(record_id in recent for record_id in self._awaited)


def _quiets(member: Member, now: float) -> list[Record]:
    return list(service_quiets(member, lambda: uuid4().hex, now))


def _plans(member: Member, now: float) -> bool:
    """Tell whether this member is the planner's home and may act."""
    members = member.state.view.members
    if not members or not member.has_authority(now):
        return False
    return choose_member(PLANNER_KEY, members) == member.id


def _open_actions(member: Member) -> Iterator[_OpenAction]:
    for name, host in member.state.fleet.by_host.items():
        if host.intent is not None:
            yield _open_action(name, host, host.intent)


def _open_action(name: str, host: FleetHost, intent: str) -> _OpenAction:
    pool = host.to_pool if host.phase is Phase.MOVING else None
    return _OpenAction(intent, name, ACTION_BY_PHASE[host.phase], pool)
