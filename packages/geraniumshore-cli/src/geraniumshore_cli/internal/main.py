"""Entry point of the ``geraniumshore`` command."""

from __future__ import annotations

import os
import sys

from cyclopts import App

from geraniumshore import InvalidInputError, UnknownOutcomeError, make_key
from geraniumshore_cli.internal import (
    fleet_commands,
    jobs_commands,
    member_commands,
    release_commands,
    report_commands,
    schedule_commands,
)
from geraniumshore_cli.internal.call_command import call
from geraniumshore_cli.internal.client import Client
from geraniumshore_cli.internal.member_commands import fetch_member_status
from geraniumshore_cli.internal.output import AsJson, ExitCode, show, show_table

__all__ = ["main"]

SECRET_BYTES = 16

app = App(
    name="geraniumshore",
    help="""Manage a fleet with release notes and inspect its state.

    GERANIUMSHORE_ENTRIES lists the entry hosts (address:port, separated by spaces) and
    GERANIUMSHORE_KEY holds the API key. Exit codes: 0 done, 1 refused or failed,
    2 bad input, 3 outcome unknown.
    """,
)
app.command(release_commands.app)
app.command(jobs_commands.app)
app.command(call)
app.command(member_commands.app)
app.command(fleet_commands.app)
app.command(report_commands.app)
app.command(schedule_commands.app)
keys_app = App(name="keys", help="Keys of teams and operators.")
app.command(keys_app)


@keys_app.command
def make(key_id: str, *, team: str) -> int:
    """Generate a key: a bearer token for the caller and a digest for a release note.

    For an operator's key, the digest goes into the daemon's settings as well.
    """
    made = make_key(
        key_id, team, os.urandom(SECRET_BYTES).hex(), os.urandom(SECRET_BYTES).hex()
    )
    digest = {"team": team, "salt": made.key.salt, "digest": made.key.digest}
    show({"bearer": made.bearer, "keys": {key_id: digest}})
    return ExitCode.DONE


@app.command
def teams(*, as_json: AsJson = False) -> int:
    """List the teams with their share, their limit and how much they have running."""
    client = Client.from_environment()
    configuration = client.get("/operator/configuration")
    running: dict[str, int] = {}
    for info in client.get("/operator/status")["members"]:
        status = fetch_member_status(client, info)
        running.update(status.get("running_by_team", {}))
    rows = [
        {
            "team": name,
            "share": team["share"],
            "limit": team["limit"],
            "running": running.get(name),
        }
        for name, team in configuration["teams"].items()
    ]
    if as_json:
        show(rows)
        return ExitCode.DONE
    show_table(("team", "share", "limit", "running"), [list(r.values()) for r in rows])
    return ExitCode.DONE


@app.command
def queues(*, as_json: AsJson = False) -> int:
    """List the queues."""
    listed = Client.from_environment().get("/operator/configuration")["queues"]
    if as_json:
        show(listed)
        return ExitCode.DONE
    columns = ("kind", "service", "pool", "urgent", "idempotent", "max_waiting")
    show_table(
        ("queue", *columns),
        [(name, *(queue[c] for c in columns)) for name, queue in listed.items()],
    )
    return ExitCode.DONE


def main() -> None:
    """Run the command line and exit with its exit code."""
    try:
        sys.exit(app())
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.BAD_INPUT)
    except UnknownOutcomeError as error:
        print(f"unknown: {error}", file=sys.stderr)
        sys.exit(ExitCode.UNKNOWN)
