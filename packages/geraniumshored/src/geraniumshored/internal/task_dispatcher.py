"""Starts the threads of an HTTP server when they are needed."""

from __future__ import annotations

from typing import Any

from waitress.task import ThreadedTaskDispatcher

__all__ = ["OnDemandDispatcher"]


class OnDemandDispatcher(ThreadedTaskDispatcher):
    """Runs requests in up to ``max_threads`` threads, each started on first need.

    Most nodes of a large fleet serve a few calls at a time. With all threads started at
    once, 300 nodes took the 32,768 threads that one test machine has.
    """

    def __init__(self, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads

    def add_task(self, task: Any) -> None:
        """Queue a request, and start a thread for it if none is idle."""
        with self.lock:
            running = len(self.threads)
            idle = running - self.active_count - len(self.queue)
        if idle <= 0 and running < self._max_threads:
            self.set_thread_count(running + 1)
        super().add_task(task)
