"""Output of results and refusals, and the exit codes of the commands."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence
from enum import IntEnum
from typing import Annotated, Any

from cyclopts import Parameter
from rich.console import Console
from rich.table import Table

from geraniumshore_cli.internal.client import Reply

__all__ = ["AsJson", "ExitCode", "report_refusal", "show", "show_table"]

AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON.")]


class ExitCode(IntEnum):
    """Exit codes shared by all commands."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3


def show(document: Any) -> None:
    """Print a document as JSON."""
    print(json.dumps(document, indent=2))


def show_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows as a table with aligned columns."""
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console(width=None if sys.stdout.isatty() else 160).print(table)


def report_refusal(reply: Reply) -> ExitCode:
    """Print why a call was refused, with every finding, and return the exit code."""
    try:
        problem = reply.json()
    except ValueError:
        problem = {"title": f"status {reply.status}"}
    detail = problem.get("detail", "")
    print(f"{problem.get('title')}: {detail}", file=sys.stderr)
    for finding in problem.get("findings", ()):
        print(f"{finding['place']}: {finding['problem']}", file=sys.stderr)
    for release in problem.get("since", ()):
        changes = ", ".join(release["changes"])
        print(
            f"version {release['version']} by {release['author']}: {changes}",
            file=sys.stderr,
        )
    if problem.get("outcome") == "unknown":
        return ExitCode.UNKNOWN
    return ExitCode.BAD_INPUT if reply.status in {400, 413} else ExitCode.REFUSED
