"""``geraniumshore report ...``: prints reports as tables, JSON or HTML."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from geraniumshore_cli.internal.burn_report import gather_burn_report
from geraniumshore_cli.internal.client import Client
from geraniumshore_cli.internal.output import AsJson, ExitCode, show

__all__ = ["app"]

app = App(name="report", help="Reports on service levels and on the fleet.")

HtmlPath = Annotated[
    Path | None, Parameter(help="Write the report to this file as one HTML page.")
]


@app.command
def burn(*, as_json: AsJson = False, html: HtmlPath = None) -> int:
    """Show how fast each queue consumes its error budget, and which alerts fire."""
    report = gather_burn_report(Client.from_environment())
    if html is not None:
        html.write_text(report.html())
    if as_json:
        show(report.document())
    elif html is None:
        report.show()
    return ExitCode.DONE
