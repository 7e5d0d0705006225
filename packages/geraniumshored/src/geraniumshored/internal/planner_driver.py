"""Runs the maintenance planner: reads hosts, calls the platform, appends records.

Every member runs this thread. Only the member that is the planner's home plans and
calls the platform. Each home of a service reports which drained hosts have none of the
service's work running any more.
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
    ControlState,
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
    copy_for_planning,
    quiet_service_records,
)
from geraniumshored.internal.follower import LogAppender
from geraniumshored.internal.runtime import Runtime

__all__ = ["PlannerDriver"]

logger = logging.getLogger(__name__)

PLAN_INTERVAL_SECONDS = 0.4
# For a large fleet the interval grows, so that planning takes at most this fraction of
# a core.
MAX_CORE_FRACTION = 0.02
MAX_CONCURRENT_CALLS = 4
# The next step waits up to this time for the appended records to be folded, so that it
# does not decide the same again.
FOLD_TIMEOUT_SECONDS = 2.0

ACTION_BY_PHASE = {
    Phase.DRAINING: "drain",
    Phase.MOVING: "move",
    Phase.REBOOTING: "reboot",
    Phase.RETURNING: "return",
}


@dataclass(frozen=True, slots=True)
class _OpenAction:
    """The platform action of an intent that is in progress."""

    intent: str
    host: str
    action: str
    pool: str | None


class PlannerDriver(threading.Thread):
    """Thread that plans at an interval while this member is the planner's home."""

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
        self._host_list = host_list
        self._control = control
        self._planner = Planner(new_id=lambda: uuid4().hex, times=times)
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, "host-control")
        self._stop_requested = threading.Event()
        self._fold_deadline = float("-inf")
        self._appended_ids: set[str] = set()

    def run(self) -> None:
        """Plan until stopped."""
        pause = PLAN_INTERVAL_SECONDS
        while not self._stop_requested.wait(pause):
            began = time.thread_time()
            try:
                self._step()
            except Exception:
                # A failed step must not stop maintenance permanently.
                logger.exception("planner step failed")
            spent = time.thread_time() - began
            pause = max(PLAN_INTERVAL_SECONDS, spent / MAX_CORE_FRACTION)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()

    def _step(self) -> None:
        if not self._is_previous_step_folded():
            return
        records: list[Record] = list(self._runtime.perform(_service_quiet_records))
        if self._runtime.perform(_is_active_planner):
            records += self._plan()
        self._append(records)

    def _plan(self) -> list[Record]:
        listed = self._read_list()
        state = self._runtime.perform(lambda member, _: copy_for_planning(member.state))
        statuses = dict(self._statuses(list(_open_actions(state))))
        now = time.monotonic()
        if listed is not None:
            self._planner.on_list(state, listed, now)
        records: list[Record] = list(self._planner.plan(state, statuses, now))
        return records if self._runtime.perform(_is_active_planner) else []

    def _read_list(self) -> tuple[ListedHost, ...] | None:
        try:
            return self._host_list.list_hosts()
        except PlatformUnavailableError:
            return None

    def _statuses(
        self, actions: list[_OpenAction]
    ) -> Iterator[tuple[str, ActionStatus]]:
        for intent, status in self._pool.map(self._ensure_action, actions):
            if status is not None:
                yield intent, status

    def _ensure_action(self, action: _OpenAction) -> tuple[str, ActionStatus | None]:
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
        """Append records; the next step waits until they are folded."""
        if not records:
            return
        self._fold_deadline = time.monotonic() + FOLD_TIMEOUT_SECONDS
        self._appended_ids = {record.id for record in records}
        for record in records:
            self._appender.submit(record)

    def _is_previous_step_folded(self) -> bool:
        if time.monotonic() >= self._fold_deadline:
            return True
        recent = self._runtime.member.state.recent_ids
        return all(record_id in recent for record_id in self._appended_ids)


def _service_quiet_records(member: Member, now: float) -> list[Record]:
    return list(quiet_service_records(member, lambda: uuid4().hex, now))


def _is_active_planner(member: Member, now: float) -> bool:
    """Return whether this member is the planner's home and has authority."""
    members = member.state.view.members
    if not members or not member.has_authority(now):
        return False
    return choose_member(PLANNER_KEY, members) == member.id


def _open_actions(state: ControlState) -> Iterator[_OpenAction]:
    for name, host in state.fleet.by_host.items():
        if host.intent is not None:
            yield _open_action(name, host, host.intent)


def _open_action(name: str, host: FleetHost, intent: str) -> _OpenAction:
    pool = host.to_pool if host.phase is Phase.MOVING else None
    return _OpenAction(intent, name, ACTION_BY_PHASE[host.phase], pool)
