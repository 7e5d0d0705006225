"""Starts the threads of an HTTP server when they are needed."""

from __future__ import annotations

import logging
from typing import Any

from waitress.task import ThreadedTaskDispatcher

__all__ = ["OnDemandDispatcher"]

logger = logging.getLogger(__name__)


class OnDemandDispatcher(ThreadedTaskDispatcher):
    """Runs requests in up to ``max_threads`` threads, each started on first need.

    Most nodes of a large fleet serve a few calls at a time. With all threads started at
    once, 300 nodes took the 32,768 threads that one test machine has.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads

    def start_new_thread(self, target: Any, thread_no: int) -> None:
        """Start a thread. The caller holds the lock and has counted the thread."""
        try:
            super().start_new_thread(target, thread_no)
        except RuntimeError:
            self.threads.discard(thread_no)
            raise

    def add_task(self, task: Any) -> None:
        """Queue a request, and start a thread for it if none is idle.

        Raises RuntimeError if there is no thread at all, and none can be started.
        """
        with self.lock:
            running = len(self.threads)
            idle = running - self.active_count - len(self.queue)
        if idle <= 0 and running < self._max_threads:
            try:
                self.set_thread_count(running + 1)
            except RuntimeError:
                if not running:
                    raise
                logger.warning("no thread can be started, a request is queued")
        super().add_task(task)
