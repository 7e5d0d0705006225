"""A thread that calls a function at a fixed interval."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

__all__ = ["Ticker"]


class Ticker(threading.Thread):
    """Calls ``action`` at a fixed interval until stopped."""

    def __init__(self, seconds: float, action: Callable[[], None]) -> None:
        super().__init__(name="ticker", daemon=True)
        self._seconds = seconds
        self._action = action
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Call the action until stopped."""
        due = time.monotonic()
        while not self._stop_requested.is_set():
            self._action()
            due = max(due + self._seconds, time.monotonic())
            self._stop_requested.wait(due - time.monotonic())

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()
