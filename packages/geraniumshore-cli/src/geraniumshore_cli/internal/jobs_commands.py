"""``geraniumshore jobs ...``: submits, lists, follows, cancels and settles jobs."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal
from uuid import uuid4

from cyclopts import App, Parameter

from geraniumshore import JobPhase
from geraniumshore_cli.internal.client import Client, Reply
from geraniumshore_cli.internal.output import (
    AsJson,
    ExitCode,
    report_refusal,
    show,
    show_table,
)

__all__ = ["app"]

POLL_INTERVAL_SECONDS = 0.3
PROGRESS_INTERVAL_SECONDS = 2.0
MAX_WAIT_SECONDS = 3_600.0
UNFINISHED_PHASES = frozenset({JobPhase.WAITING.value, JobPhase.RUNNING.value})

app = App(name="jobs", help="Jobs: submit, follow, cancel, settle.")

Wait = Annotated[
    bool, Parameter(negative="", help="Return only when the job has ended.")
]


@app.command
def submit(
    queue: str,
    body: str = "",
    *,
    file: Path | None = None,
    processors: float | None = None,
    memory_mb: int | None = None,
    accelerators: int | None = None,
    idempotency_key: str | None = None,
    wait: Wait = False,
) -> int:
    """Submit a job and print its id.

    Without ``--idempotency-key`` a random key is generated, so that a retry by the
    client cannot submit the job twice.
    """
    payload = file.read_bytes() if file is not None else body.encode()
    headers = {"Idempotency-Key": idempotency_key or uuid4().hex}
    sizes = {
        "Job-Processors": processors,
        "Job-Memory-Mb": memory_mb,
        "Job-Accelerators": accelerators,
    }
    headers.update({n: str(value) for n, value in sizes.items() if value is not None})
    client = Client.from_environment()
    reply = client.call("POST", f"/queues/{queue}", payload, headers)
    if not reply.ok:
        print(f"idempotency key: {headers['Idempotency-Key']}", file=sys.stderr)
        return report_refusal(reply)
    job = reply.json()["job"]
    print(job)
    return _wait_for_completion(client, job) if wait else ExitCode.DONE


@app.command
def status(job: str, *, wait: Wait = False, as_json: AsJson = False) -> int:
    """Show one job; exit with 1 if it failed and 3 if its outcome is unknown."""
    client = Client.from_environment()
    if wait:
        exit_code = _wait_for_completion(client, job)
        if exit_code is not ExitCode.DONE:
            return exit_code
    reply = client.call("GET", f"/jobs/{job}")
    if not reply.ok:
        return report_refusal(reply)
    job_document = reply.json()
    if as_json:
        show(job_document)
    else:
        show_table(("field", "value"), list(job_document.items()))
    return _report_outcome(job_document)


@app.command(name="list")
def list_jobs(
    *, queue: str | None = None, phase: JobPhase | None = None, as_json: AsJson = False
) -> int:
    """List the newest jobs, with a count by phase."""
    filters = {"queue": queue, "phase": phase.value if phase is not None else None}
    query = "&".join(f"{name}={value}" for name, value in filters.items() if value)
    reply = Client.from_environment().call("GET", f"/jobs?{query}")
    if not reply.ok:
        return report_refusal(reply)
    listed = reply.json()
    if as_json:
        show(listed)
        return ExitCode.DONE
    columns = ("job", "queue", "team", "phase", "attempt", "host", "reason")
    show_table(columns, [[job[c] for c in columns] for job in listed["jobs"]])
    counts = sorted(listed["counts"].items())
    print(", ".join(f"{count} {name}" for name, count in counts) or "no jobs")
    return ExitCode.DONE


@app.command
def cancel(*jobs: str, queue: str | None = None) -> int:
    """Cancel the given jobs, or all live jobs of a queue, in one request."""
    if not jobs and queue is None:
        print("jobs: expected job ids or --queue", file=sys.stderr)
        return ExitCode.BAD_INPUT
    return _post_command("/jobs/cancel", {"jobs": jobs, "queue": queue})


@app.command
def result(job: str, *, output: Path | None = None) -> int:
    """Write the complete result of a job to a file or to standard output."""
    reply = Client.from_environment().call("GET", f"/jobs/{job}/result")
    if not reply.ok:
        return report_refusal(reply)
    if output is not None:
        output.write_bytes(reply.body)
    else:
        sys.stdout.buffer.write(reply.body)
    return ExitCode.DONE


@app.command
def settle(job: str, outcome: Literal["ran", "not-run"]) -> int:
    """Set the outcome of a job whose outcome is unknown.

    After ``not-run`` the job is started again, so check first what it has done.
    """
    return _post_command(f"/jobs/{job}/settle", {"ran": outcome == "ran"})


def _post_command(path: str, document: Mapping[str, object]) -> int:
    client = Client.from_environment()
    reply = client.call("POST", path, json.dumps(document).encode())
    return ExitCode.DONE if reply.ok else report_refusal(reply)


def _wait_for_completion(client: Client, job: str) -> ExitCode:
    """Poll a job until it has ended, printing its progress periodically."""
    began = reported_at = time.monotonic()
    while time.monotonic() - began < MAX_WAIT_SECONDS:
        reply = client.call("GET", f"/jobs/{job}")
        if not reply.ok and reply.status != 503:
            return report_refusal(reply)
        if reply.ok and reply.json()["phase"] not in UNFINISHED_PHASES:
            return _report_outcome(reply.json())
        if time.monotonic() - reported_at >= PROGRESS_INTERVAL_SECONDS:
            reported_at = time.monotonic()
            _print_progress(reply, reported_at - began)
        time.sleep(POLL_INTERVAL_SECONDS)
    print(f"{job}: not ended after {MAX_WAIT_SECONDS:.0f} s", file=sys.stderr)
    return ExitCode.UNKNOWN


def _print_progress(reply: Reply, seconds: float) -> None:
    job_document = reply.json() if reply.ok else {}
    phase = job_document.get("phase", "no answer")
    reason = f" ({job_document['reason']})" if job_document.get("reason") else ""
    print(f"{seconds:.0f} s: {phase}{reason}", file=sys.stderr)


def _report_outcome(job_document: Mapping[str, Any]) -> ExitCode:
    if job_document["phase"] in {JobPhase.SUCCEEDED.value, *UNFINISHED_PHASES}:
        return ExitCode.DONE
    print(
        f"{job_document['job']}: {job_document['phase']}: {job_document['reason']}",
        file=sys.stderr,
    )
    unknown = job_document["phase"] == JobPhase.UNKNOWN.value
    return ExitCode.UNKNOWN if unknown else ExitCode.REFUSED
