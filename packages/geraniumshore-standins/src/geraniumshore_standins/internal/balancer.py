"""Round-robin load balancer over the entry hosts that report ready."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Mapping

from geraniumshore_standins.internal.fleet import EntryProcess

__all__ = ["Balancer"]

PROBE_INTERVAL_SECONDS = 0.1


class Balancer:
    """Probes readiness periodically, so its view of ready hosts may be stale.

    Entry hosts added to the mapping later are probed too. Use it as a context
    manager.
    """

    def __init__(self, entry_by_name: Mapping[str, EntryProcess]) -> None:
        self._entry_by_name = entry_by_name
        self._ready = list(entry_by_name.values())
        self._call_numbers = itertools.count()
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._probe_readiness, daemon=True)

    def __enter__(self) -> Balancer:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start the probe thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the probe thread and wait for it."""
        self._stop_requested.set()
        self._thread.join()

    def next(self) -> EntryProcess:
        """Return the entry host for the next call.

        Raises ConnectionError if no entry host is ready.
        """
        ready = self._ready
        if not ready:
            raise ConnectionError("no entry host is ready")
        return ready[next(self._call_numbers) % len(ready)]

    def _probe_readiness(self) -> None:
        while not self._stop_requested.wait(PROBE_INTERVAL_SECONDS):
            entries = list(self._entry_by_name.values())
            self._ready = [entry for entry in entries if entry.ready()]
