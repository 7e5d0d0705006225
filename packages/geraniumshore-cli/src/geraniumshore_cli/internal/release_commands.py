"""``geraniumshore release ...``: checks, applies and lists release notes."""

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

IN_FORCE_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.1

app = App(name="release", help="Release notes: items to add, change or withdraw.")

NotePath = Annotated[Path, Parameter(help="Release note as a JSON file.")]


@app.command
def check(note: NotePath) -> int:
    """Validate a release note offline, without a running system.

    A note with base 0 is validated fully. With another base, only what does not depend
    on the base configuration is validated.
    """
    parsed = _read_note(note)
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
    """Apply a release note; of two notes with the same base, only one is accepted.

    With ``--wait``, return only when the note is in force on every member. With
    ``--dry-run``, print the effect of the note without applying it.
    """
    if dry_run:
        client = Client.from_environment()
        return show_preview(preview_of(client, note), as_json)
    parsed = _read_note(note)
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
    if wait and not _wait_until_in_force(client, answer["version"]):
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
    """List the accepted release notes, oldest first."""
    releases = Client.from_environment().get("/operator/releases")["releases"]
    if as_json:
        show(releases)
        return ExitCode.DONE
    show_table(
        ("version", "offset", "author", "note"),
        [(r["version"], r["offset"], r["author"], r["note"]) for r in releases],
    )
    return ExitCode.DONE


def _read_note(path: Path) -> ReleaseNote | ExitCode:
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


def _wait_until_in_force(client: Client, version: int) -> bool:
    """Wait until every member with authority has the version; False on a timeout."""
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        members = client.get("/operator/status")["members"]
        statuses = [
            client.call("GET", "/operator/status", entries=(m["http_address"],)).json()
            for m in members
        ]
        if all(s["version"] >= version or not s["authority"] for s in statuses):
            return True
        time.sleep(POLL_INTERVAL_SECONDS)
    return False
