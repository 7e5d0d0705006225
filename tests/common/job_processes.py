"""Helpers that start fleets of real processes that run jobs."""

from __future__ import annotations

import json
from typing import Any

from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import EntryProcess
from geraniumshore_standins.internal.operator_client import HttpReply, http_call
from tests.common.job_cluster import job_note
from tests.common.notes import bearer
from tests.common.processes import apply_note

HOSTS = {
    f"h{n}": {"processors": 64.0, "memory_mb": 64_000, "accelerators": 0}
    for n in range(3)
}
LISTED_HOSTS = [
    {"host": name, "data_centre": "dc1", "rack": f"r{name}", "pool": "roasting"}
    for name in HOSTS
]


def start_job_fleet(fleet: Fleet, entries: int, limits: dict[str, int]) -> None:
    fleet.start_platform()
    for number in range(entries):
        fleet.start_entry(f"e{number}")
    fleet.wait_until_ready()
    put_to_platform(fleet, "/test/tasks/hosts", HOSTS)
    put_to_platform(fleet, "/test/platform-hosts", {"hosts": LISTED_HOSTS})
    apply_note(fleet, job_note(limits, memory_mb=64_000, processors=64.0))


def put_to_platform(fleet: Fleet, path: str, document: object) -> None:
    """Configure the platform's stand-in."""
    http_call(fleet.platform_address, "PUT", path, json.dumps(document).encode())


def task_counts(fleet: Fleet) -> dict[str, Any]:
    """Return the platform stand-in's counts of tasks that ran."""
    counts: dict[str, Any] = http_call(
        fleet.platform_address, "GET", "/test/tasks/counts"
    ).json()
    return counts


def jobs_call(
    entry: EntryProcess,
    method: str,
    path: str,
    document: object = None,
    team: str = "acme",
) -> HttpReply:
    body = None if document is None else json.dumps(document).encode()
    headers = {"Authorization": f"Bearer {bearer(team)}"}
    return http_call(entry.address, method, f"/jobs{path}", body, headers)


def submit(
    entry: EntryProcess, queue: str, key: str, run_ms: int = 200, **headers: str
) -> HttpReply:
    body = json.dumps({"run_ms": run_ms, "memory_mb": 100}).encode()
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    named = {"Idempotency-Key": key, "Job-Memory-Mb": "200", **named}
    return entry.call(queue, bearer("acme"), body, named)
