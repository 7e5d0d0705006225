"""``geraniumshore fleet ...``: hosts, pools and maintenance waves."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

from cyclopts import App
from pydantic import TypeAdapter
from result import Err

from geraniumshore import (
    Configuration,
    InvalidInputError,
    Preview,
    ReleaseNote,
    apply_release,
    parse_release,
    preview,
)
from geraniumshore_cli.internal.client import Client
from geraniumshore_cli.internal.output import AsJson, ExitCode, show, show_table

__all__ = ["app", "preview_of", "show_preview"]

app = App(name="fleet", help="Hosts, pools and maintenance waves.")

_CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration)


@app.command
def status(*, as_json: AsJson = False) -> int:
    """List the pools and the hosts that are not serving or not live, with reasons."""
    fleet = Client.from_environment().get("/operator/fleet")
    if as_json:
        show(fleet)
        return ExitCode.DONE
    _show_rows(
        ("pool", "hosts", "serving", "away", "max_away", "spare"), fleet["pools"]
    )
    abnormal = [
        h for h in fleet["hosts"] if h["phase"] != "serving" or h["seen"] != "live"
    ]
    if abnormal:
        _show_rows(("host", "pool", "rack", "phase", "seen", "reason"), abnormal)
    return ExitCode.DONE


@app.command
def waves(*, as_json: AsJson = False) -> int:
    """List the maintenance waves and their progress."""
    listed = Client.from_environment().get("/operator/fleet")["waves"]
    if as_json:
        show(listed)
        return ExitCode.DONE
    _show_rows(
        (
            "wave",
            "purpose",
            "state",
            "done",
            "hosts",
            "by",
            "late",
            "under_way",
            "failed",
        ),
        listed,
    )
    return ExitCode.DONE


@app.command
def plan(note: Path | None = None, *, as_json: AsJson = False) -> int:
    """Show the moves still to be made, or preview the effect of a release note."""
    client = Client.from_environment()
    if note is not None:
        return show_preview(preview_of(client, note), as_json)
    fleet = client.get("/operator/fleet")
    moving = [h for h in fleet["hosts"] if h["pool"] != h["noted_pool"]]
    if as_json:
        show({"moves": moving, "waves": fleet["waves"]})
        return ExitCode.DONE
    _show_rows(("host", "pool", "noted_pool", "phase", "reason"), moving)
    _show_rows(("wave", "state", "done", "hosts"), fleet["waves"])
    return ExitCode.DONE


@app.command
def history(*, as_json: AsJson = False) -> int:
    """List the release notes with the changes that each made, oldest first."""
    releases = Client.from_environment().get("/operator/releases")["releases"]
    if as_json:
        show(releases)
        return ExitCode.DONE
    show_table(
        ("version", "author", "note", "changes"),
        [
            (r["version"], r["author"], r["note"], ", ".join(r["changes"]))
            for r in releases
        ],
    )
    return ExitCode.DONE


def preview_of(client: Client, note: Path) -> Preview:
    """Return a release note's effect. Raises InvalidInputError with every finding."""
    parsed = parse_release(note.read_text(), note.name)
    if isinstance(parsed, Err):
        raise InvalidInputError(parsed.err_value)
    before = _CONFIGURATION.validate_python(client.get("/operator/configuration"))
    return _preview(before, parsed.ok_value)


def _preview(before: Configuration, note: ReleaseNote) -> Preview:
    applied = apply_release(before, note)
    if isinstance(applied, Err):
        raise InvalidInputError(applied.err_value)
    return preview(before, applied.ok_value)


def show_preview(preview_result: Preview, as_json: bool) -> ExitCode:
    """Print the effect of a release note as text or JSON."""
    if as_json:
        show(asdict(preview_result))
        return ExitCode.DONE
    minutes = preview_result.roll_out_seconds / 60
    print(f"version {preview_result.version}, not applied")
    for move in preview_result.moves:
        print(f"move {move.host} from {move.from_pool} to {move.to_pool}")
    print(f"drains: {len(preview_result.drains)}")
    print(f"roll-out: at least {minutes:.0f} min")
    print(
        f"spare hosts to keep budgets when a rack fails: {preview_result.buffer_hosts}"
    )
    return ExitCode.DONE


def _show_rows(columns: tuple[str, ...], rows: list[dict[str, Any]]) -> None:
    show_table(columns, [[_format_cell(row[c]) for c in columns] for row in rows])


def _format_cell(value: object) -> object:
    if value is None:
        return ""
    return " ".join(value) if isinstance(value, list) else value
