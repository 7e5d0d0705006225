"""One node: follows the store, answers callers and may own the schedule."""

from __future__ import annotations

import logging
import os
import threading
import time
from collections.abc import Callable

from geraniumshored.node.answers import RequestHandler
from geraniumshored.node.appender import Appender
from geraniumshored.node.clock import steady_seconds
from geraniumshored.node.explanations import ExplanationPeers, PlacementExplainer
from geraniumshored.node.job_requests import JobDecoder, JobRequestHandler
from geraniumshored.node.logs import log_event
from geraniumshored.node.members import member_name
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.owner import Owner
from geraniumshored.node.ownership import Ownership
from geraniumshored.node.ports import Platform
from geraniumshored.node.relay import CallRelay
from geraniumshored.node.relayed_requests import RelayingRequestHandler
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import JobsView, MinionsView, OperatorsView

__all__ = ["Node"]

logger = logging.getLogger(__name__)

# A node whose view of the job log is older than this reports that it is not ready, so
# that the balancer sends callers to other nodes.
MAX_READY_LOG_AGE_S = 2.0
# Reserved at the end of a graceful stop for sending the last answers.
STOP_MARGIN_S = 0.5
# The longest that the exit waits for calls that were read in the last moment.
LAST_ANSWERS_S = 0.3
STOP_CHECK_INTERVAL_S = 0.05


class Node:
    """Connects the parts of a node. ``request_handler`` serves the front's callers."""

    def __init__(
        self, settings: NodeSettings, platform: Platform, decoder: JobDecoder
    ) -> None:
        self.settings = settings
        self.metrics = NodeMetrics()
        now = steady_seconds
        self._now = now
        self._platform = platform
        self._operators = OperatorsView(platform, now)
        self._minions = MinionsView(platform, now)
        self._jobs = JobsView(platform, now)
        self._appender = Appender(
            platform.store,
            now,
            settings.append_bytes,
            self._may_wait_for_store,
        )
        self._stopping = threading.Event()
        self._own_requests = JobRequestHandler(
            self._operators,
            self._jobs,
            self._appender,
            decoder,
            self.metrics,
            now,
            settings.record_bytes,
            settings.status_kept_s,
        )
        # A restarted process is a new member.
        process = f"{time.time_ns()}-{os.getpid()}"
        member = member_name(
            settings.node, process, settings.processors, settings.peers
        )
        self._member = member
        self._ownership = Ownership(
            platform.store,
            member,
            self._jobs,
            self._minions,
            self._make_owner,
            self._is_caught_up,
            now,
        )
        self._relay = self._make_relay()
        self.request_handler = self._make_request_handler()
        self.metrics.gauge(
            "known_members", lambda: len(self._ownership.others() - {member})
        )
        self.metrics.gauge("log_age_seconds", lambda: self._jobs.age(now()))
        self.metrics.gauge("has_read_log", lambda: float(self._jobs.has_read_log))
        self.metrics.gauge(
            "evacuated_data_centres", lambda: len(self._operators.evacuated)
        )
        self.metrics.gauge("log_offset", lambda: self._jobs.progress_offset)

    def _make_relay(self) -> CallRelay | None:
        if not self.settings.peers:
            return None
        return CallRelay(
            self._platform.peers, self._member, self._ownership, self.metrics, self._now
        )

    def _make_request_handler(self) -> RequestHandler:
        if self._relay is None:
            return self._own_requests
        latency = self._appender.latency
        return RelayingRequestHandler(
            self._own_requests, self._relay, latency, self._now
        )

    def make_explainer(self, peers: ExplanationPeers) -> PlacementExplainer:
        """Return what explains placements to operators and to other nodes."""
        return PlacementExplainer(
            self._own_requests,
            self._ownership,
            (self._operators, self._minions, self._jobs),
            peers,
            self._member,
            self._now,
        )

    def _may_wait_for_store(self) -> bool:
        """Return whether a job that a busy store refuses should wait here.

        It waits at the owner, if another node is, where it shares appends with others.
        """
        elsewhere = self._relay is not None and self._relay.has_owner_elsewhere()
        return self._jobs.connected and not elsewhere

    def start(self) -> None:
        """Start following the store and join the group."""
        for part in (self._operators, self._minions, self._jobs, self._appender):
            part.start()
        self._ownership.start()

    def ready(self) -> bool:
        """Return whether the balancer should send callers here.

        A node that cannot reach the store could only refuse them. The balancer ignores
        a single probe, so short disconnections need no delay here.
        """
        return (
            not self._stopping.is_set()
            and self._operators.configuration is not None
            and self._jobs.age(self._now()) < MAX_READY_LOG_AGE_S
            and self._operators.connected
            and self._jobs.connected
        )

    def stop(
        self, announce: Callable[[], None], answer_all: Callable[[float], bool]
    ) -> None:
        """Give up ownership, then serve callers until the balancer sends no more.

        ``answer_all`` ends the service: it leaves further calls unread and answers the
        others within so many seconds.
        """
        began = self._now()
        log_event(logger, "stopping", within_s=self.settings.leaving_s)
        # From here on each connection is closed after its next answer.
        announce()
        self._stopping.set()
        self._ownership.leave()
        end = began + self.settings.leaving_s - STOP_MARGIN_S
        self._own_requests.answer_by(end)
        while self._now() < end:
            time.sleep(STOP_CHECK_INTERVAL_S)
        log_event(logger, "stopped", all_answered=answer_all(LAST_ANSWERS_S))

    def _is_caught_up(self) -> bool:
        now = self._now()
        return (
            self._operators.configuration is not None
            and self._jobs.age(now) < MAX_READY_LOG_AGE_S
        )

    def _make_owner(self, epoch: int) -> Owner:
        return Owner(
            self.settings,
            self._platform,
            (self._operators, self._minions, self._jobs),
            self._member,
            epoch,
            self.metrics,
            self._now,
        )
