"""Process of one entry host: creates its components, starts and stops them in order."""

from __future__ import annotations

import logging
import threading
from enum import IntEnum
from uuid import uuid4

from geraniumshore import Admission, Leave, Member, MemberInfo
from geraniumshored.internal.attempt import MinionClient
from geraniumshored.internal.calls import CallHandler
from geraniumshored.internal.claim_log import ClaimLog
from geraniumshored.internal.claims_driver import ClaimsDriver
from geraniumshored.internal.connections import ConnectionPool
from geraniumshored.internal.dispatcher import Dispatcher
from geraniumshored.internal.follower import LogAppender, LogFollower
from geraniumshored.internal.front import HttpFront
from geraniumshored.internal.host_watch import HostWatch
from geraniumshored.internal.job_appender import JobAppender
from geraniumshored.internal.job_calls import JobHandler
from geraniumshored.internal.job_driver import JobDriver
from geraniumshored.internal.metrics import Metrics
from geraniumshored.internal.operators import OperatorHandler
from geraniumshored.internal.peers import PeerNetwork, PeerServer
from geraniumshored.internal.planner_driver import PlannerDriver
from geraniumshored.internal.platform_http import (
    HttpControlLog,
    HttpHostControl,
    HttpHostList,
    PlatformCaller,
)
from geraniumshored.internal.platform_tasks_http import HttpTaskService
from geraniumshored.internal.run_watch import RunWatch
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.service_levels import ServiceLevelCounter
from geraniumshored.internal.settings import Settings
from geraniumshored.internal.ticker import Ticker

__all__ = ["Daemon", "ExitStatus"]

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
SERVICE_LEVELS_INTERVAL_SECONDS = 60.0
LEAVE_TIMEOUT_SECONDS = 3.0
SEND_TIMEOUT_SECONDS = 5.0
# Signal handlers run in the main thread only, and a signal that another thread receives
# does not wake it.
SIGNAL_CHECK_SECONDS = 0.2


class ExitStatus(IntEnum):
    """Exit status of the process, for its supervisor."""

    DONE = 0
    EVICTED = 75


class Daemon:
    """All components of one entry host process."""

    def __init__(self, settings: Settings, member_id: str) -> None:
        self._settings = settings
        info = MemberInfo(
            member=member_id,
            host=settings.host,
            data_centre=settings.data_centre,
            peer_address=str(settings.peer_advertised or settings.peer),
            http_address=str(settings.http),
        )
        caller = PlatformCaller.from_settings(settings.platform)
        log = HttpControlLog(caller)
        self._runtime = Runtime(Member(info, new_id=lambda: uuid4().hex), Metrics())
        snapshots = self._runtime.member.agreement.snapshots
        snapshots.period = float(settings.snapshot_seconds)
        self._appender = LogAppender(log, self._runtime)
        self._follower = LogFollower(log, self._runtime)
        self._network = PeerNetwork(self._runtime)
        self._peer_server = PeerServer(self._runtime, self._network)
        self._levels = ServiceLevelCounter(self._runtime)
        self._claim_log = ClaimLog(log, self._runtime)
        self._run_watch = RunWatch()
        self._pool = ConnectionPool()
        self._dispatcher = Dispatcher(
            self._runtime, MinionClient(self._pool, self._run_watch), self._run_watch
        )
        self._calls = CallHandler(
            self._runtime,
            self._dispatcher,
            ClaimsDriver(self._runtime, self._claim_log),
            Admission.from_threads(settings.threads),
            self._levels,
        )
        self._host_watch = HostWatch(HttpHostList(caller), self._runtime)
        operators = OperatorHandler(
            self._runtime, self._appender, settings.operators, self._levels
        )
        tasks = HttpTaskService(caller)
        self._job_driver = JobDriver(tasks, self._runtime)
        self._job_appender = JobAppender(log, self._runtime)
        jobs = JobHandler(self._runtime, self._job_appender, tasks, operators)
        self._front = HttpFront(
            self._runtime, self._calls, jobs, operators, settings.client_limits()
        )
        self._planner = PlannerDriver(
            self._runtime,
            self._appender,
            HttpHostList(caller),
            HttpHostControl(caller),
            settings.planner.times(),
        )
        self._ticker = Ticker(TICK_SECONDS, self._tick)
        self._stop_requested = threading.Event()
        self._evicted = False
        self._levels_ticker = Ticker(
            SERVICE_LEVELS_INTERVAL_SECONDS, self._append_levels
        )
        self._runtime.connect(self._network, self._appender)

    @classmethod
    def from_settings(cls, settings: Settings) -> Daemon:
        """Return a daemon with a new member id."""
        return cls(settings, f"{settings.host}-{uuid4().hex[:12]}")

    @property
    def member_id(self) -> str:
        """The id of this process as a member; a restart gets a new one."""
        return self._runtime.member.id

    def run(self, stop_requested: threading.Event) -> ExitStatus:
        """Serve until ``stop_requested`` is set or this member has been evicted.

        In both cases open calls are answered before it returns.
        """
        self._stop_requested = stop_requested
        self._start()
        while not stop_requested.wait(SIGNAL_CHECK_SECONDS):
            pass
        self._shut_down()
        return ExitStatus.EVICTED if self._evicted else ExitStatus.DONE

    def _start(self) -> None:
        self._peer_server.start(str(self._settings.peer))
        self._appender.start()
        self._follower.start()
        self._claim_log.start()
        self._run_watch.start()
        self._host_watch.start()
        self._job_appender.start()
        self._job_driver.start()
        self._ticker.start()
        self._planner.start()
        self._levels_ticker.start()
        self._front.start(self._settings.http, self._settings.threads)
        logger.info("started", extra={"http": str(self._settings.http)})

    def _shut_down(self) -> None:
        """Shut down without interrupting a request.

        The balancer sends calls for up to ``notice_ms`` after ``/readyz`` fails; these
        are served too.
        """
        logger.info("stopping")
        self._front.fail_readiness()
        threading.Event().wait(self._settings.notice_ms / 1000)
        longest = self._runtime.perform(lambda member, _: member.max_call_seconds())
        idle = self._calls.wait_until_idle(longest)
        self._front.wait_until_answers_sent(SEND_TIMEOUT_SECONDS)
        self._claim_log.wait_until_recorded(LEAVE_TIMEOUT_SECONDS)
        self._levels_ticker.stop()
        if not self._evicted:
            self._append_levels()
            self._leave()
        self._front.stop()
        self._planner.stop()
        self._ticker.stop()
        self._follower.stop()
        self._appender.stop()
        self._claim_log.stop()
        self._run_watch.stop()
        self._host_watch.stop()
        self._job_driver.stop()
        self._job_appender.stop()
        self._network.stop()
        self._peer_server.stop(grace_seconds=0.5)
        logger.info("stopped", extra={"every_call_ended": idle})

    def _leave(self) -> None:
        record = Leave(uuid4().hex, self.member_id)
        try:
            self._appender.append(record).result(LEAVE_TIMEOUT_SECONDS)
        except Exception as error:
            logger.warning("leave not confirmed", extra={"error": repr(error)})

    def _append_levels(self) -> None:
        self._levels.append(self.member_id)

    def _tick(self) -> None:
        self._runtime.perform(lambda member, now: member.on_tick(now))
        self._network.close_departed_links()
        self._dispatcher.on_tick()
        self._pool.close_idle()
        if self._runtime.member.agreement.lost_membership:
            self._on_lost_membership()

    def _on_lost_membership(self) -> None:
        if self._stop_requested.is_set():
            return
        logger.error("evicted: exiting, so that a new process can join")
        self._evicted = True
        self._stop_requested.set()
