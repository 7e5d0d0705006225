"""Threads that are used again: a call to the store is too short for one of its own."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable

__all__ = ["WorkerThreads"]

logger = logging.getLogger(__name__)


class WorkerThreads:
    """Runs each task at once, in a thread that is free or else in a new one.

    A pool of fixed size would let a task wait behind others that hang. Up to
    ``most_idle`` threads wait for tasks; none keeps the process from ending.
    """

    def __init__(self, name: str, most_idle: int) -> None:
        self._name = name
        self._most_idle = most_idle
        self._tasks: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._lock = threading.Lock()
        # Threads that wait, less the tasks that are queued for them.
        self._free = 0

    def run(self, task: Callable[[], None]) -> None:
        """Begin a task. What it raises is logged."""
        with self._lock:
            if self._free:
                self._free -= 1
                self._tasks.put(task)
                return
        threading.Thread(
            target=self._work, args=(task,), name=self._name, daemon=True
        ).start()

    def _work(self, task: Callable[[], None]) -> None:
        while True:
            try:
                task()
            except Exception:
                logger.exception("fault in a task of %s", self._name)
            with self._lock:
                if self._free >= self._most_idle:
                    return
                self._free += 1
            task = self._tasks.get()
