"""Log lines for the owner's decisions: one for each job and event, not each task."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from geraniumshore_scheduler import Decision

__all__ = ["DecisionLine", "summarize"]

# Minions listed by name in one line; more are only counted.
MAX_LISTED_MINIONS = 6
# Details by which decisions are grouped; they are the same for all tasks of a line.
SHARED_DETAILS = ("how", "why")


@dataclass(frozen=True, slots=True)
class DecisionLine:
    """One log line."""

    event: str
    fields: dict[str, Any]


def summarize(decisions: Iterable[Decision]) -> Iterator[DecisionLine]:
    """Combine decisions of one round on tasks of the same job.

    A step with many tasks gives one line, so that the lines of a burst stay within the
    log's rate limit.
    """
    groups: dict[tuple[Any, ...], list[Decision]] = {}
    for decision in decisions:
        job_id = decision.task.partition(".")[0]
        shared = tuple(decision.details.get(name) for name in SHARED_DETAILS)
        # Decisions that concern no job get a line each.
        ungrouped = None if job_id else len(groups)
        groups.setdefault((decision.event, job_id, shared, ungrouped), []).append(
            decision
        )
    for (event, job_id, _, _), group in groups.items():
        yield DecisionLine(event, _fields(job_id, group))


def _fields(job_id: str, group: list[Decision]) -> dict[str, Any]:
    if len(group) == 1:
        (only,) = group
        fields: dict[str, Any] = {"minion": only.minion_id or None, **only.details}
        if only.task != job_id:
            fields["task"] = only.task
    else:
        minions = sorted({decision.minion_id for decision in group})
        fields = {
            "tasks": len(group),
            "first_task": group[0].task,
            "minions": minions[:MAX_LISTED_MINIONS],
            "minion_count": len(minions),
        }
        for name in SHARED_DETAILS:
            if name in group[0].details:
                fields[name] = group[0].details[name]
    return {"job": job_id or None, **fields}
