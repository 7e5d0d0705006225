"""What a scheduler gives out: orders to minions, batches to record, decisions."""

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
    """A start to send once the batch that names it is durable."""

    run: Run
    address: str
    spec: str
    checkpoint: str
    fence: int
    ticket: str | None = None


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Lets a run work at a share of its speed, in percent."""

    minion_id: str
    address: str
    task: str
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    """A stop to send. ``task`` is the name that the minion uses."""

    minion_id: str
    address: str
    task: str
    run: int
    fence: int


class StartOutcome:
    """How a start was answered."""

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
    """Records to append in one call, and the starts that they allow."""

    number: int
    value_by_key: dict[str, bytes]
    starts: tuple[StartOrder, ...]


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision to log: what was decided on which task, and the inputs."""

    event: str
    task: str
    minion_id: str = ""
    details: dict[str, object] = field(default_factory=dict)
