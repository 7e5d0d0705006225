"""``geraniumshore members ...``: lists the entry hosts and evicts one by hand."""

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

__all__ = ["app", "fetch_member_status"]

COLUMNS = (
    "member",
    "host",
    "data_centre",
    "http_address",
    "standing",
    "authority",
    "version",
)

app = App(name="members", help="The entry hosts in the membership view.")


@app.default
def list_members(*, as_json: AsJson = False) -> int:
    """List the entry hosts in the membership view with their self-reported status."""
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
    """Remove a member from the membership view, by its id or its host's name.

    An unresponsive member is evicted automatically while a majority is available. Use
    --force only if the member's process has certainly ended: the other members are
    not asked to agree.
    """
    if not force:
        print(
            "evict: requires --force; members are not asked to agree", file=sys.stderr
        )
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


def fetch_member_status(client: Client, info: dict[str, str]) -> dict[str, Any]:
    """Return a member's status, or an empty dict if the member does not answer."""
    try:
        reply = client.call("GET", "/operator/status", entries=(info["http_address"],))
    except UnknownOutcomeError:
        return {}
    document: dict[str, Any] = reply.json() if reply.ok else {}
    return document


def _member_row(client: Client, info: dict[str, str]) -> dict[str, object]:
    status = fetch_member_status(client, info)
    self_reported = ("standing", "authority", "version")
    return {
        **info,
        **{column: status.get(column, "silent") for column in self_reported},
    }
