"""Checks of RULES.md on what the stand-ins saw."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from standins.world import Event

__all__ = ["quota_breaks", "twice_breaks"]


def twice_breaks(events: Iterable[Event]) -> Iterator[str]:
    """TWICE: two runs at the same time, or a start after an end that was taken note of.

    An end counts once ``acked_upto`` has reached it, at any time.
    """
    running: dict[str, str] = {}
    starts: dict[str, list[Event]] = {}
    done: dict[tuple[str, int], Event] = {}
    noted: set[tuple[str, int]] = set()
    for event in events:
        key = (event.task, event.run)
        if event.kind == "start":
            if event.task in running:
                yield (
                    f"TWICE {event.task} runs on {running[event.task]} and on "
                    f"{event.minion}"
                )
            running[event.task] = event.minion
            starts.setdefault(event.task, []).append(event)
        elif event.kind == "end":
            if running.get(event.task) == event.minion:
                del running[event.task]
            if event.how == "done":
                done[key] = event
        elif event.kind == "noted" and event.how == "done":
            noted.add(key)
    for key in sorted(noted):
        for start in starts[key[0]]:
            if start.at > done[key].at:
                yield (
                    f"TWICE {key[0]}: run {key[1]} ended done at {done[key].at:.3f}, "
                    f"which was taken note of; run {start.run} started at "
                    f"{start.at:.3f}"
                )


def quota_breaks(
    events: Iterable[Event],
    tenant_by_job: Mapping[str, str],
    cpu_by_job: Mapping[str, int],
    cap_by_tenant: Mapping[str, int],
    overage: float = 0.1,
) -> Iterator[str]:
    """QUOTA: a start brings a tenant above cap x (1 + overage) and one task more."""
    running: dict[tuple[str, str], int] = {}
    for event in events:
        if event.kind not in ("start", "end"):
            continue
        job = event.task.partition(".")[0]
        tenant, cpu = tenant_by_job[job], cpu_by_job[job]
        if event.kind == "end":
            running.pop((event.task, event.minion), None)
            continue
        running[event.task, event.minion] = cpu
        used = sum(
            size
            for (task, _), size in running.items()
            if tenant_by_job[task.partition(".")[0]] == tenant
        )
        limit = cap_by_tenant[tenant] * (1 + overage) + cpu
        if used > limit:
            yield (
                f"QUOTA {event.task} at {event.at:.3f}: {tenant} has {used} running, "
                f"cap {cap_by_tenant[tenant]}, allowed {limit:.0f}"
            )
