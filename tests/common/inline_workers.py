"""Workers that run tasks in the caller's thread, for simulations in one thread."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["InlineWorkers"]


class InlineWorkers:
    """Runs each task before ``run`` returns."""

    def run(self, task: Callable[[], None]) -> None:
        task()
