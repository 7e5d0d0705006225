"""``geraniumshore release ...``: check, apply and list release notes."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Annotated
from uuid import uuid4

from cyclopts import App, Parameter
from result import Err

from geraniumshore import Configuration, ReleaseNote, apply_release, parse_release
from geraniumshore_cli.internal.client import Client
from geraniumshore_cli.internal.fleet_commands import preview_of, show_preview
from geraniumshore_cli.internal.output import (
    AsJson,
    ExitCode,
    report_refusal,
    show,
    show_table,
)

__all__ = ["app"]

IN_FORCE_SECONDS = 30.0
POLL_SECONDS = 0.1

app = App(name="release", help="Release notes: what is added, changed, withdrawn.")

NotePath = Annotated[Path, Parameter(help="Release note, in JSON.")]


@app.command
def check(note: NotePath) -> int:
    """Check a note by itself, without a running system.

    A note with base 0 is checked whole; another one is checked as far as it can be
    without the configuration that it builds on.
    """
    parsed = _read(note)
    if isinstance(parsed, ExitCode):
        return parsed
    if parsed.base == 0:
        applied = apply_release(Configuration(), parsed)
        if isinstance(applied, Err):
            for finding in applied.err_value:
                print(f"{note.name}: {finding}", file=sys.stderr)
            return ExitCode.BAD_INPUT
    print(f"{note.name}: no faults")
    return ExitCode.DONE


@app.command
def apply(
    note: NotePath,
    *,
    wait: Annotated[bool, Parameter(negative="")] = False,
    dry_run: Annotated[bool, Parameter(negative="")] = False,
    as_json: AsJson = False,
) -> int:
    """Put a note in force; of two notes on the same base, one wins.

    With ``--wait``, return only when every member has it in force. With ``--dry-run``,
    print what the note would lead to, and apply nothing.
    """
    if dry_run:
        client = Client.from_environment()
        return show_preview(preview_of(client, note), as_json)
    parsed = _read(note)
    if isinstance(parsed, ExitCode):
        return parsed
    client = Client.from_environment()
    reply = client.call(
        "POST",
        "/operator/releases",
        note.read_bytes(),
        {"Idempotency-Key": uuid4().hex, "Content-Type": "application/json"},
    )
    if not reply.ok:
        return report_refusal(reply)
    answer = reply.json()
    if wait and not _await_in_force(client, answer["version"]):
        print(f"version {answer['version']}: not in force everywhere", file=sys.stderr)
        return ExitCode.UNKNOWN
    if as_json:
        show(answer)
    else:
        print(f"version {answer['version']} {'in force' if wait else 'accepted'}")
    return ExitCode.DONE


@app.command(name="show")
def show_configuration() -> int:
    """Print the configuration in force, as JSON."""
    show(Client.from_environment().get("/operator/configuration"))
    return ExitCode.DONE


@app.command
def history(*, as_json: AsJson = False) -> int:
    """List the notes that were accepted, oldest first."""
    releases = Client.from_environment().get("/operator/releases")["releases"]
    if as_json:
        show(releases)
        return ExitCode.DONE
    show_table(
        ("version", "offset", "author", "note"),
        [(r["version"], r["offset"], r["author"], r["note"]) for r in releases],
    )
    return ExitCode.DONE


def _read(path: Path) -> ReleaseNote | ExitCode:
    try:
        text = path.read_text()
    except OSError as error:
        print(f"{path.name}: cannot be read: {error.strerror}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    parsed = parse_release(text, path.name)
    if isinstance(parsed, Err):
        for finding in parsed.err_value:
            print(finding, file=sys.stderr)
        return ExitCode.BAD_INPUT
    return parsed.ok_value


def _await_in_force(client: Client, version: int) -> bool:
    """Wait until each member of the view either has the version or may not act."""
    deadline = time.monotonic() + IN_FORCE_SECONDS
    while time.monotonic() < deadline:
        members = client.get("/operator/status")["members"]
        statuses = [
            client.call("GET", "/operator/status", entries=(m["http_address"],)).json()
            for m in members
        ]
        if all(s["version"] >= version or not s["authority"] for s in statuses):
            return True
        time.sleep(POLL_SECONDS)
    return False
