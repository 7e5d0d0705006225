"""Outputs of the scheduler: orders to minions, batches to record, decisions to log."""

from __future__ import annotations

from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.runs import Run

__all__ = [
    "Batch",
    "Decision",
    "PaceOrder",
    "StartOrder",
    "StartOutcome",
    "StopOrder",
]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A start to send once the batch that holds it is durable."""

    run: Run
    address: str
    spec: str
    checkpoint: str
    fence: int
    ticket: str | None = None


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Limits a run to a percentage of its full speed."""

    minion_id: str
    address: str
    task: str
    run: int
    percent: int
    fence: int
    planned_at: float


@dataclass(frozen=True, slots=True)
class StopOrder:
    """A stop to send. ``task`` is the task's name as the minion reports it."""

    minion_id: str
    address: str
    task: str
    run: int
    fence: int


class StartOutcome:
    """The outcome of a start order."""

    STARTED = "started"
    NO_ANSWER = "no answer"
    NO_ROOM = "room"
    OLD_RUN = "old"
    LATE = "late"
    UNHEALTHY = "unhealthy"
    NO_TICKET = "ticket"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Batch:
    """Records to append in one call, and the starts to send once they are durable."""

    number: int
    value_by_key: dict[str, bytes]
    starts: tuple[StartOrder, ...]


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision to log: the event, the task or job, and the inputs."""

    event: str
    task: str
    minion_id: str = ""
    details: dict[str, object] = field(default_factory=dict)
