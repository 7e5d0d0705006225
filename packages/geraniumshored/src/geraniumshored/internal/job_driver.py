"""Makes the platform calls about tasks that the homes of pools request."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from geraniumshore import (
    LEASE_MS,
    PlatformUnavailableError,
    TaskCalls,
    TaskReports,
    TaskService,
    UnknownOutcomeError,
)
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.ticker import Ticker

__all__ = ["JobDriver"]

logger = logging.getLogger(__name__)

DRIVE_INTERVAL_SECONDS = 0.1
MAX_TASKS_PER_CALL = 1_000
Call = Callable[[], TaskReports]


class JobDriver:
    """Calls the platform's task service and passes its reports to the homes of pools.

    Renewals run on a separate thread, so that slow starts do not let leases expire.
    """

    def __init__(self, tasks: TaskService, runtime: Runtime) -> None:
        self._tasks = tasks
        self._runtime = runtime
        self._ticker = Ticker(DRIVE_INTERVAL_SECONDS, self.drive)
        self._renewer = ThreadPoolExecutor(1, thread_name_prefix="task-renewals")

    def start(self) -> None:
        """Start to make calls at an interval."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop making calls."""
        self._ticker.stop()
        self._renewer.shutdown(wait=False, cancel_futures=True)

    def drive(self) -> None:
        """Make the calls that are due now."""
        for work in self._runtime.perform(lambda member, now: member.job_work(now)):
            if work.renewals:
                self._renewer.submit(self._renew, work)
            for name, call in self._calls(work):
                self._perform(work.pool, name, call)

    def _calls(self, work: TaskCalls) -> Iterator[tuple[str, Call]]:
        if work.stops:
            yield "stop", partial(self._tasks.stop, work.stops)
        if work.checkpoints:
            yield "checkpoint", partial(self._tasks.checkpoint, work.checkpoints)
        yield from self._throttles(work)
        if work.starts:
            yield "start", partial(self._tasks.start, work.starts, LEASE_MS)

    def _throttles(self, work: TaskCalls) -> Iterator[tuple[str, Call]]:
        for fraction in {throttle.fraction for throttle in work.throttles}:
            tasks = tuple(t.task for t in work.throttles if t.fraction == fraction)
            yield "throttle", partial(self._tasks.throttle, tasks, fraction)

    def _renew(self, work: TaskCalls) -> None:
        for begin in range(0, len(work.renewals), MAX_TASKS_PER_CALL):
            chunk = work.renewals[begin : begin + MAX_TASKS_PER_CALL]
            renew = partial(self._tasks.renew, chunk, LEASE_MS)
            self._perform(work.pool, "renew", renew)

    def _perform(self, pool: str, name: str, call: Call) -> None:
        """Make one call, if this member has authority now."""
        if not self._runtime.has_authority():
            return
        counter = self._runtime.metrics.task_calls
        try:
            reports = call()
        except PlatformUnavailableError:
            counter.labels(name, "failed").inc()
            return
        except UnknownOutcomeError:
            counter.labels(name, "unknown").inc()
            return
        counter.labels(name, "answered").inc()
        self._runtime.perform(
            lambda member, now: member.on_task_reports(pool, reports, now)
        )
