"""Reusable threads for calls to the store, which are too short for a thread each."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable

__all__ = ["WorkerThreads"]

logger = logging.getLogger(__name__)


class WorkerThreads:
    """Runs each task at once, in an idle thread or else in a new one.

    In a pool of fixed size a task could wait behind others that hang. Up to
    ``max_idle`` threads wait for tasks. All are daemon threads, so they do not delay
    the exit of the process.
    """

    def __init__(self, name: str, max_idle: int) -> None:
        self._name = name
        self._max_idle = max_idle
        self._tasks: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._lock = threading.Lock()
        # Idle threads minus the tasks queued for them.
        self._free = 0

    def run(self, task: Callable[[], None]) -> None:
        """Start a task. Its exceptions are logged."""
        with self._lock:
            if self._free:
                self._free -= 1
                self._tasks.put(task)
                return
        threading.Thread(
            target=self._run_tasks, args=(task,), name=self._name, daemon=True
        ).start()

    def _run_tasks(self, task: Callable[[], None]) -> None:
        while True:
            try:
                task()
            except Exception:
                logger.exception("fault in a task of %s", self._name)
            with self._lock:
                if self._free >= self._max_idle:
                    return
                self._free += 1
            task = self._tasks.get()
