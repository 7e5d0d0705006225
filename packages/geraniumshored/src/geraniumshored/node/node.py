"""One node: follows the store, answers callers and owns the schedule when dealt it."""

from __future__ import annotations

import logging
import os
import threading
import time
from collections.abc import Callable

from geraniumshored.node.appender import Appender
from geraniumshored.node.clock import steady_seconds
from geraniumshored.node.job_requests import Intake, JobDecoder
from geraniumshored.node.logs import log_event
from geraniumshored.node.members import member_name
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.owner import Owner
from geraniumshored.node.ownership import Ownership
from geraniumshored.node.ports import Platform
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import JobsView, MinionsView, OperatorsView

__all__ = ["Node"]

logger = logging.getLogger(__name__)

# A node that is so far behind the job log asks the balancer to send callers elsewhere.
READY_AGE_S = 2.0
# Time that is left at the end of a graceful stop for the last answers to leave.
STOP_MARGIN_S = 0.5
POLL_S = 0.05


class Node:
    """Wires the parts together. ``intake`` is what a front serves."""

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
        self._appender = Appender(platform.store, now)
        self._stopping = threading.Event()
        self.intake = Intake(
            self._operators, self._jobs, self._appender, decoder, self.metrics, now
        )
        # A process that starts again is another member.
        process = f"{time.time_ns()}-{os.getpid()}"
        member = member_name(settings.node, process, settings.processors)
        self._member = member
        self._ownership = Ownership(
            platform.store,
            member,
            self._jobs,
            self._make_owner,
            self._followed,
            now,
        )
        self.metrics.gauge("log_age_seconds", lambda: self._jobs.age(now()))
        self.metrics.gauge("log_offset", lambda: self._jobs.progress_offset)

    def start(self) -> None:
        """Begin to follow the store and to stand by for the schedule."""
        for part in (self._operators, self._minions, self._jobs, self._appender):
            part.start()
        self._ownership.start()

    def ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return (
            not self._stopping.is_set()
            and self._operators.configuration is not None
            and self._jobs.age(self._now()) < READY_AGE_S
        )

    def stop(self, announce: Callable[[], None], open_calls: Callable[[], int]) -> None:
        """Hand the schedule on and serve callers until the balancer has turned away."""
        began = self._now()
        log_event(logger, "stopping", within_s=self.settings.leaving_s)
        # Connections end with their next answer from the moment the balancer is told.
        announce()
        self._stopping.set()
        self._ownership.leave()
        end = began + self.settings.leaving_s - STOP_MARGIN_S
        while self._now() < end:
            time.sleep(POLL_S)
        log_event(logger, "stopped", open_calls=open_calls())

    def _followed(self) -> bool:
        now = self._now()
        return (
            self._operators.configuration is not None
            and self._jobs.age(now) < READY_AGE_S
            and self._minions.age(now) < READY_AGE_S
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
