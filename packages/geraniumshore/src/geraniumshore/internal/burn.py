"""Burn rates: how fast each queue uses up its error budget.

The burn rate of a window is its fraction of bad calls divided by the fraction that the
objective allows; at rate 1 the budget lasts exactly its period. An alert fires when
both a long and a short window reach the alert's rate: the long one shows that the fault
is significant, the short one that it is still going on.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from geraniumshore.internal.items import Queue
from geraniumshore.internal.service_levels import (
    DAY_MS,
    HOUR_MS,
    MINUTE_MS,
    ServiceLevelHistory,
)

__all__ = ["Alert", "QueueBurn", "WindowBurn", "burn_by_queue"]

PERIOD_MS = 30 * DAY_MS


@dataclass(frozen=True, slots=True)
class Window:
    """A period of time that ends now."""

    name: str
    length_ms: int


@dataclass(frozen=True, slots=True)
class Alert:
    """An alerting rule: fires when both windows have at least burn rate ``rate``."""

    severity: str
    long: str
    short: str
    rate: float


WINDOWS = (
    Window("5m", 5 * MINUTE_MS),
    Window("30m", 30 * MINUTE_MS),
    Window("1h", HOUR_MS),
    Window("6h", 6 * HOUR_MS),
    Window("3d", 3 * DAY_MS),
)
ALERTS = (
    Alert("page", long="1h", short="5m", rate=14.4),
    Alert("page", long="6h", short="30m", rate=6.0),
    Alert("ticket", long="3d", short="6h", rate=1.0),
)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """One window's calls and its burn rate, which is 0 without calls."""

    window: str
    good: int
    bad: int
    rate: float


@dataclass(frozen=True, slots=True)
class QueueBurn:
    """One queue's burn. ``budget_left`` is a fraction, below 0 when overspent."""

    queue: str
    objective: float
    objective_ms: int
    good: int
    bad: int
    budget_left: float
    windows: tuple[WindowBurn, ...]
    alerts: tuple[Alert, ...]


def burn_by_queue(
    queues: Mapping[str, Queue],
    history_by_queue: Mapping[str, ServiceLevelHistory],
    now_ms: int,
) -> Iterator[QueueBurn]:
    """Yield the burn of every queue, by name. ``now_ms`` is the log's time."""
    for name in sorted(queues):
        history = history_by_queue.get(name, ServiceLevelHistory())
        yield _burn(name, queues[name], history, now_ms)


def _burn(
    name: str, queue: Queue, history: ServiceLevelHistory, now_ms: int
) -> QueueBurn:
    good, bad = history.since(now_ms, PERIOD_MS)
    windows = tuple(_window_burn(window, queue, history, now_ms) for window in WINDOWS)
    rate_by_window = {window.window: window.rate for window in windows}
    return QueueBurn(
        queue=name,
        objective=queue.objective,
        objective_ms=queue.objective_ms,
        good=good,
        bad=bad,
        budget_left=1.0 - _rate(good, bad, queue.objective),
        windows=windows,
        alerts=tuple(
            alert
            for alert in ALERTS
            if min(rate_by_window[alert.long], rate_by_window[alert.short])
            >= alert.rate
        ),
    )


def _window_burn(
    window: Window, queue: Queue, history: ServiceLevelHistory, now_ms: int
) -> WindowBurn:
    good, bad = history.since(now_ms, window.length_ms)
    return WindowBurn(window.name, good, bad, _rate(good, bad, queue.objective))


def _rate(good: int, bad: int, objective: float) -> float:
    total = good + bad
    return bad / total / (1.0 - objective) if total else 0.0
