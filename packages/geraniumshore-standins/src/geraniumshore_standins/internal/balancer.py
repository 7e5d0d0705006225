"""The platform's balancer: sends calls in turn to entry hosts that are ready."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Mapping

from geraniumshore_standins.internal.fleet import EntryProcess

__all__ = ["Balancer"]

PROBE_SECONDS = 0.1


class Balancer:
    """Probes readiness at an interval, so that its knowledge lags.

    Hosts that are added to the mapping later are found. Use it as a context.
    """

    def __init__(self, entry_by_name: Mapping[str, EntryProcess]) -> None:
        self._entry_by_name = entry_by_name
        self._ready = list(entry_by_name.values())
        self._turn = itertools.count()
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._probe, daemon=True)

    def __enter__(self) -> Balancer:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Begin to probe."""
        self._thread.start()

    def stop(self) -> None:
        """Probe no more."""
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
            entries = list(self._entry_by_name.values())
            self._ready = [entry for entry in entries if entry.ready()]
