"""``geraniumshore jobs ...``: submit, follow, cancel and settle jobs."""

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

POLL_SECONDS = 0.3
PROGRESS_SECONDS = 2.0
WAIT_SECONDS = 3_600.0
OPEN_PHASES = frozenset({JobPhase.WAITING.value, JobPhase.RUNNING.value})

app = App(name="jobs", help="Jobs: submit, follow, cancel, settle.")

Wait = Annotated[bool, Parameter(negative="", help="Return when the job has ended.")]


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

    Without ``--idempotency-key`` one is made, so that a repeat inside the client
    cannot double the job.
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
    return _await_end(client, job) if wait else ExitCode.DONE


@app.command
def status(job: str, *, wait: Wait = False, as_json: AsJson = False) -> int:
    """Show one job; the exit code is 1 where it failed and 3 where it is unknown."""
    client = Client.from_environment()
    if wait:
        ended = _await_end(client, job)
        if ended is not ExitCode.DONE:
            return ended
    reply = client.call("GET", f"/jobs/{job}")
    if not reply.ok:
        return report_refusal(reply)
    shown = reply.json()
    if as_json:
        show(shown)
    else:
        show_table(("field", "value"), list(shown.items()))
    return _exit_code(shown)


@app.command(name="list")
def list_jobs(
    *, queue: str | None = None, phase: JobPhase | None = None, as_json: AsJson = False
) -> int:
    """List the newest jobs, and count them by phase."""
    wanted = {"queue": queue, "phase": phase.value if phase is not None else None}
    query = "&".join(f"{name}={value}" for name, value in wanted.items() if value)
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
    """Cancel the named jobs, or all live jobs of a queue, in one go."""
    if not jobs and queue is None:
        print("jobs: want ids of jobs, or --queue", file=sys.stderr)
        return ExitCode.BAD_INPUT
    return _command("/jobs/cancel", {"jobs": jobs, "queue": queue})


@app.command
def result(job: str, *, output: Path | None = None) -> int:
    """Fetch a job's whole result, to a file or to standard output."""
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
    """Say what became of a job whose outcome is unknown.

    After ``not-run`` it is started again, so look at what it did first.
    """
    return _command(f"/jobs/{job}/settle", {"ran": outcome == "ran"})


def _command(path: str, document: Mapping[str, object]) -> int:
    client = Client.from_environment()
    reply = client.call("POST", path, json.dumps(document).encode())
    return ExitCode.DONE if reply.ok else report_refusal(reply)


def _await_end(client: Client, job: str) -> ExitCode:
    """Wait until a job has ended, saying now and then where it stands."""
    began = told_at = time.monotonic()
    while time.monotonic() - began < WAIT_SECONDS:
        reply = client.call("GET", f"/jobs/{job}")
        if not reply.ok and reply.status != 503:
            return report_refusal(reply)
        if reply.ok and reply.json()["phase"] not in OPEN_PHASES:
            return _exit_code(reply.json())
        if time.monotonic() - told_at >= PROGRESS_SECONDS:
            told_at = time.monotonic()
            _tell_progress(reply, told_at - began)
        time.sleep(POLL_SECONDS)
    print(f"{job}: not ended after {WAIT_SECONDS:.0f} s", file=sys.stderr)
    return ExitCode.UNKNOWN


def _tell_progress(reply: Reply, seconds: float) -> None:
    shown = reply.json() if reply.ok else {}
    phase = shown.get("phase", "no answer")
    reason = f" ({shown['reason']})" if shown.get("reason") else ""
    print(f"{seconds:.0f} s: {phase}{reason}", file=sys.stderr)


def _exit_code(shown: Mapping[str, Any]) -> ExitCode:
    if shown["phase"] in {JobPhase.SUCCEEDED.value, *OPEN_PHASES}:
        return ExitCode.DONE
    print(f"{shown['job']}: {shown['phase']}: {shown['reason']}", file=sys.stderr)
    unknown = shown["phase"] == JobPhase.UNKNOWN.value
    return ExitCode.UNKNOWN if unknown else ExitCode.REFUSED
