"""The threads that all minion sessions of an owner share."""

from __future__ import annotations

import heapq
import itertools
import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from geraniumshored.node.logs import log_event

__all__ = ["SessionThreads"]

logger = logging.getLogger(__name__)

# Reports of polls are processed under the owner's lock, so more threads would only wait
# for each other.
REPORT_THREADS = 4
# An order without an answer occupies a thread until it times out. Three starts on each
# of some dozen minions that went dark leave most of these threads to the others.
ORDER_THREADS = 256


class SessionThreads:
    """Runs what sessions have to do: at once, after a delay, or as an order.

    Without limits of its own, a fleet of 3,004 minions took more than the 2,000 threads
    that a process may have.
    """

    def __init__(self) -> None:
        self._reports = ThreadPoolExecutor(REPORT_THREADS, "reports")
        self._orders = ThreadPoolExecutor(ORDER_THREADS, "orders")
        self._condition = threading.Condition()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._closed = False
        self._started = False

    def run_report(self, task: Callable[[], None]) -> None:
        """Run a short task that may wait for the owner's lock."""
        self._submit(self._reports, task)

    def run_order(self, task: Callable[[], None]) -> None:
        """Run a task that may wait for a minion."""
        self._submit(self._orders, task)

    def run_later(self, delay_s: float, task: Callable[[], None]) -> None:
        """Run a short task after a delay."""
        if delay_s <= 0:
            self.run_report(task)
            return
        with self._condition:
            if self._closed:
                return
            due = (time.monotonic() + delay_s, next(self._numbers), task)
            heapq.heappush(self._due, due)
            if self._due[0] is due:
                self._condition.notify()
            if not self._started:
                # If that fails, the next call tries again.
                threading.Thread(
                    target=self._run_timers, name="poll-timers", daemon=True
                ).start()
                self._started = True

    def close(self) -> None:
        """Run nothing more; let all threads end."""
        with self._condition:
            self._closed = True
            self._due.clear()
            self._condition.notify()
        for pool in (self._reports, self._orders):
            pool.shutdown(wait=False, cancel_futures=True)

    def _submit(self, pool: ThreadPoolExecutor, task: Callable[[], None]) -> None:
        # The lock guards against submitting to a pool after its shutdown.
        with self._condition:
            if self._closed:
                return
            try:
                pool.submit(_run_logged, task)
            except RuntimeError as error:
                # The task is queued for the pool's other threads, or for the one that
                # the next call starts.
                log_event(logger, "no thread can be started", cause=str(error))

    def _run_timers(self) -> None:
        while True:
            with self._condition:
                while not self._closed:
                    left = self._due[0][0] - time.monotonic() if self._due else None
                    if left is not None and left <= 0:
                        break
                    self._condition.wait(left)
                if self._closed:
                    return
                _, _, task = heapq.heappop(self._due)
            self.run_report(task)


def _run_logged(task: Callable[[], None]) -> None:
    try:
        task()
    except Exception:
        logger.exception("fault in a task of a minion session")
