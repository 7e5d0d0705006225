"""Debounces the platform's list of hosts, which lags and flaps."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from geraniumshore.internal.fleet_state import FleetState
from geraniumshore.internal.intents import HostSeen, SeenState
from geraniumshore.internal.platform import ListedHost

__all__ = ["FleetView"]

# How long a changed state must stay on the list before it is recorded.
DEBOUNCE_SECONDS: dict[SeenState, float] = {"live": 1.5, "leaving": 0.5, "missing": 3.0}


@dataclass(slots=True)
class _Observation:
    seen: HostSeen
    since: float


@dataclass(slots=True)
class FleetView:
    """Tracks the listed state of each host and when it last changed."""

    by_host: dict[str, _Observation] = field(default_factory=dict)

    def on_list(
        self, listed: Iterable[ListedHost], known: Iterable[str], now: float
    ) -> None:
        """Process a new list; ``known`` are the hosts that should be on it."""
        by_name = {entry.host: entry for entry in listed}
        for name in known:
            seen = _seen(name, by_name.get(name))
            last = self.by_host.get(name)
            if last is None or last.seen != seen:
                self.by_host[name] = _Observation(seen, now)
        for name in set(self.by_host) - set(known):
            del self.by_host[name]

    def changes(self, fleet: FleetState, now: float) -> Iterator[HostSeen]:
        """Yield the states that are stable and not in the log yet."""
        for name, observation in self.by_host.items():
            host = fleet.by_host.get(name)
            if host is None or _is_recorded(observation.seen, host.seen, host.boot):
                continue
            if now - observation.since >= DEBOUNCE_SECONDS[observation.seen.state]:
                yield observation.seen


def _seen(name: str, listed: ListedHost | None) -> HostSeen:
    if listed is None:
        return HostSeen(name, "missing")
    state: SeenState = "leaving" if listed.state == "leaving" else "live"
    return HostSeen(name, state, listed.boot)


def _is_recorded(seen: HostSeen, state: str, boot: str) -> bool:
    return seen.state == state and seen.boot in {"", boot}
