"""``geraniumshore members ...``: list the entry hosts, and take one out by hand."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

from cyclopts import App, Parameter

from geraniumshore import UnknownOutcomeError
from geraniumshore_cli.internal.client import Client
from geraniumshore_cli.internal.output import (
    AsJson,
    ExitCode,
    report_refusal,
    show,
    show_table,
)

__all__ = ["app", "status_of"]

COLUMNS = (
    "member",
    "host",
    "data_centre",
    "http_address",
    "standing",
    "authority",
    "version",
)

app = App(name="members", help="The entry hosts in the view.")


@app.default
def list_members(*, as_json: AsJson = False) -> int:
    """List the entry hosts in the view, each with its own word on itself."""
    client = Client.from_environment()
    listed = client.get("/operator/status")["members"]
    rows = [_member_row(client, info) for info in listed]
    if as_json:
        show(rows)
        return ExitCode.DONE
    show_table(COLUMNS, [[row[column] for column in COLUMNS] for row in rows])
    return ExitCode.DONE


@app.command
def evict(
    member: str,
    *,
    force: Annotated[bool, Parameter(negative="")] = False,
    as_json: AsJson = False,
) -> int:
    """Take a member out of the view by hand, by its id or its host's name.

    Members evict a silent one by themselves while most of them are there. Force it
    only when the process has certainly ended: the others are not asked.
    """
    if not force:
        print("evict: want --force; members are not asked to agree", file=sys.stderr)
        return ExitCode.BAD_INPUT
    body = json.dumps({"member": member}).encode()
    client = Client.from_environment()
    reply = client.call("POST", "/operator/evictions", body)
    if not reply.ok:
        return report_refusal(reply)
    if as_json:
        show(reply.json())
    else:
        print(f"evicted {reply.json()['evicted']}")
    return ExitCode.DONE


def status_of(client: Client, info: dict[str, str]) -> dict[str, Any]:
    """Return a member's status, or nothing where the member is silent."""
    try:
        reply = client.call("GET", "/operator/status", entries=(info["http_address"],))
    except UnknownOutcomeError:
        return {}
    document: dict[str, Any] = reply.json() if reply.ok else {}
    return document


def _member_row(client: Client, info: dict[str, str]) -> dict[str, object]:
    status = status_of(client, info)
    own = ("standing", "authority", "version")
    return {**info, **{column: status.get(column, "silent") for column in own}}
