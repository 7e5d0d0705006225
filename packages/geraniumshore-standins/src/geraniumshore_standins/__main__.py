"""Command line that runs one stand-in: ``python -m geraniumshore_standins``."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

from cyclopts import App
from result import Err

from geraniumshore_standins.internal.minion import MinionState
from geraniumshore_standins.internal.platform import PlatformState
from geraniumshore_standins.internal.proxy import FaultProxy
from geraniumshore_standins.internal.scenario import parse_scenario, run_scenario
from geraniumshore_standins.internal.wsgi import serve

app = App(name="geraniumshore_standins", help="Stand-ins for tests and the demo.")

SERVER_THREADS = 64
CONTROL_THREADS = 4


@app.command
def platform(*, port: int) -> None:
    """Run the platform's stand-in on loopback."""
    serve(PlatformState().handle, port, SERVER_THREADS)


@app.command
def minion(name: str, *, port: int, slots: int = 8) -> None:
    """Run a minion's stand-in on loopback."""
    serve(MinionState(name, slots).handle, port, SERVER_THREADS)


@app.command
def scenario(*files: Path) -> int:
    """Run scenario files; exit with 1 if a check failed, 2 if a file has errors."""
    worst = 0
    for path in files:
        parsed = parse_scenario(path.read_text(), path.name)
        if isinstance(parsed, Err):
            print(*parsed.err_value, sep="\n")
            worst = 2
            continue
        report = run_scenario(parsed.ok_value)
        verdict = "passed" if report.passed else "FAILED"
        print(f"{report.name}: {verdict} in {report.seconds:.1f} s")
        print(f"  answers {dict(report.answers)}")
        for finding in report.findings:
            print(f"  {finding}")
        worst = max(worst, int(not report.passed))
    return worst


@app.command
def proxy(*, port: int, seed: int = 0) -> None:
    """Run the fault proxy on loopback; ``port`` serves its control interface."""
    serve(FaultProxy(seed).handle, port, CONTROL_THREADS)


if __name__ == "__main__":
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    sys.exit(app())
