"""Command line for ``python -m geraniumshore_standins.experiment NAME --seed N``."""

from __future__ import annotations

import sys
from pathlib import Path

from cyclopts import App

from geraniumshore_standins.internal.experiments import EXPERIMENT_BY_NAME, Report

app = App(name="experiment", help="Measure policies beside their baselines.")


@app.default
def run(name: str = "all", *, seed: int = 1, directory: Path = Path("results")) -> None:
    """Run one experiment, or all, and write the figures into a directory."""
    if name != "all" and name not in EXPERIMENT_BY_NAME:
        known = ", ".join(sorted(EXPERIMENT_BY_NAME))
        sys.exit(f"unknown experiment {name!r}, expected all or one of: {known}")
    names = sorted(EXPERIMENT_BY_NAME) if name == "all" else [name]
    for chosen in names:
        report = Report.of(EXPERIMENT_BY_NAME[chosen](), seed)
        report.write(directory)
        print(report.table(), end="\n\n", flush=True)


if __name__ == "__main__":
    app()
