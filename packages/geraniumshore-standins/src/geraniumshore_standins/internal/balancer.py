"""The platform's balancer: sends calls in turn to entry hosts that are ready."""

from __future__ import annotations

import itertools
import threading

from geraniumshore_standins.internal.fleet import EntryProcess

__all__ = ["Balancer"]

PROBE_SECONDS = 0.1


class Balancer:
    """Probes readiness at an interval, so that its knowledge lags. Use as a context."""

    def __init__(self, entries: list[EntryProcess]) -> None:
        self._entries = entries
        self._ready = list(entries)
        self._turn = itertools.count()
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._probe, daemon=True)

    def __enter__(self) -> Balancer:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_requested.set()
        self._thread.join()

    def next(self) -> EntryProcess:
        """Return the entry host that the next call goes to.

        Raises ConnectionError where none is ready.
        """
        ready = self._ready
        if not ready:
            raise ConnectionError("no entry host is ready")
        return ready[next(self._turn) % len(ready)]

    def _probe(self) -> None:
        while not self._stop_requested.wait(PROBE_SECONDS):
            self._ready = [entry for entry in self._entries if entry.ready()]
