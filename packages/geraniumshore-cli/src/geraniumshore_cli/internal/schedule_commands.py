"""``geraniumshore schedule ...``: shows the schedule kept in the platform's store."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, fields, is_dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter

from geraniumshore_cli.internal.explain_command import explain_placement
from geraniumshore_cli.internal.output import AsJson, ExitCode, show, show_table
from geraniumshore_scheduler import (
    PlatformUnavailableError,
    UnknownOutcomeError,
)
from geraniumshored.node.schedule_status import (
    EvacuationRow,
    NodeRow,
    QueueRow,
    ScheduleStatus,
    WaveRow,
)
from geraniumshored.platform import (
    HttpPlatform,
    PlatformSettings,
    load_platform_settings,
    settings_path,
)

__all__ = ["app"]

app = App(
    name="schedule",
    help="""The schedule on the platform, read from its store without joining the group.

    Addresses are read from a node's settings file, which is given by --settings or
    GERANIUMSHORE_NODE_FILE.
    """,
)
settings_app = App(name="settings", help="A node's settings file.")
app.command(settings_app)
app.command(explain_placement, name="explain")

Settings = Annotated[Path | None, Parameter(help="A node's settings file.")]

MINION_COLUMNS = ("minion_id", "service", "rack", "draining", "address")
MACHINE_COLUMNS = ("machine", "pool", "up", "data_centre", "minion_id")


@app.command
def nodes(*, settings: Settings = None, as_json: AsJson = False) -> int:
    """List the nodes in the group, with the schedule's owner and the strong hosts."""
    return _with_status(
        settings, lambda s: _show_rows(_column_names(NodeRow), s.nodes(), as_json)
    )


@app.command
def queues(*, settings: Settings = None, as_json: AsJson = False) -> int:
    """List the queues with the number of jobs in each state."""
    return _with_status(
        settings, lambda s: _show_rows(_column_names(QueueRow), s.queues(), as_json)
    )


@app.command
def jobs(
    queue: str | None = None, *, settings: Settings = None, as_json: AsJson = False
) -> int:
    """List the jobs of one queue, or of all queues, with their number of failures."""

    def display(status: ScheduleStatus) -> None:
        rows = [
            {
                "job": registered.job.job_id,
                "queue": registered.job.queue,
                "team": registered.job.team,
                "state": registered.state.value,
                "placed": len(registered.progress.placed),
                "failures": sum(registered.progress.failures.values()),
            }
            for registered in status.jobs(queue)
        ]
        _show_rows(
            ("job", "queue", "team", "state", "placed", "failures"), rows, as_json
        )

    return _with_status(settings, display)


@app.command
def minions(*, settings: Settings = None, as_json: AsJson = False) -> int:
    """List the minions known to the platform."""
    return _with_status(
        settings, lambda s: _show_fields(MINION_COLUMNS, s.minions(), as_json)
    )


@app.command
def machines(*, settings: Settings = None, as_json: AsJson = False) -> int:
    """List the machines and their pools."""
    return _with_status(
        settings,
        lambda s: _show_fields(MACHINE_COLUMNS, s.machines, as_json),
        with_machines=True,
    )


@app.command
def waves(*, settings: Settings = None, as_json: AsJson = False) -> int:
    """List the maintenance waves and their progress."""
    return _with_status(
        settings, lambda s: _show_rows(_column_names(WaveRow), s.waves(), as_json)
    )


@app.command
def evacuations(*, settings: Settings = None, as_json: AsJson = False) -> int:
    """List the evacuated data centres, since when, and the jobs that run there."""
    return _with_status(
        settings,
        lambda s: _show_rows(_column_names(EvacuationRow), s.evacuations(), as_json),
    )


@app.command
def caps(*, settings: Settings = None, as_json: AsJson = False) -> int:
    """List the teams with their share, in jobs per second, and their cap."""

    def display(status: ScheduleStatus) -> None:
        teams = status.configuration.team_by_name if status.configuration else {}
        rows = [
            {"team": name, "weight": team.weight, **team.cap._asdict()}
            for name, team in sorted(teams.items())
        ]
        columns = ("team", "weight", "cpu_milli", "memory_mb", "accelerators")
        _show_rows(columns, rows, as_json)

    return _with_status(settings, display)


@settings_app.command
def check(path: Path) -> int:
    """Validate a settings file; print every finding with its location."""
    load_platform_settings(path)
    print(f"{path.name} is valid")
    return ExitCode.DONE


@settings_app.command
def explain(path: Path, *, as_json: AsJson = False) -> int:
    """Show each setting's value, and whether it comes from the file or is a default."""
    loaded = load_platform_settings(path)
    rows = [
        {
            "setting": name,
            "value": getattr(loaded, name),
            "from": "file" if name in loaded.model_fields_set else "default",
        }
        for name in PlatformSettings.model_fields
    ]
    _show_rows(("setting", "value", "from"), rows, as_json)
    return ExitCode.DONE


def _with_status(
    settings: Path | None,
    display: Callable[[ScheduleStatus], object],
    with_machines: bool = False,
) -> int:
    loaded = load_platform_settings(settings or settings_path())
    try:
        status = ScheduleStatus.from_platform(HttpPlatform(loaded), with_machines)
    except (PlatformUnavailableError, UnknownOutcomeError) as error:
        print(f"the store gave no answer: {error}", file=sys.stderr)
        return ExitCode.UNKNOWN
    display(status)
    for finding in status.findings:
        print(finding, file=sys.stderr)
    return ExitCode.REFUSED if status.findings else ExitCode.DONE


def _column_names(row: type[Any]) -> tuple[str, ...]:
    return tuple(column.name for column in fields(row))


def _show_fields(columns: Sequence[str], items: Iterable[Any], as_json: bool) -> None:
    rows = ({column: getattr(item, column) for column in columns} for item in items)
    _show_rows(columns, rows, as_json)


def _show_rows(columns: Sequence[str], rows: Iterable[Any], as_json: bool) -> None:
    documents = [asdict(row) if is_dataclass(row) else row for row in rows]  # type: ignore[arg-type]
    if as_json:
        show(documents)
        return
    show_table(columns, ([row[column] for column in columns] for row in documents))
