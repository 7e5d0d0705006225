"""The soak test: ``python -m geraniumshore_standins.platform_soak FIRST [LAST]``.

Each seed starts real nodes with a simulated platform, injects random faults from
outside and checks invariants on what callers and minions observe. The same seed injects
the same faults again. Exits with status 1 if an invariant was violated.
"""

from __future__ import annotations

import logging
import sys
import tempfile
from pathlib import Path

from cyclopts import App

from geraniumshore_standins.internal.users_platform.soak import SoakSize, run_soak

__all__ = ["main"]

app = App(
    help="Inject random faults into real nodes and check invariants from outside."
)


@app.default
def main(
    first: int,
    last: int | None = None,
    *,
    seconds: float = 20.0,
    nodes: int = 3,
    minions: int = 5,
    clients: int = 4,
    logs: Path | None = None,
) -> int:
    """Run the seeds from ``first`` to ``last`` in sequence."""
    # Waitress would log each response that is truncated on purpose.
    logging.getLogger("waitress").setLevel(logging.CRITICAL)
    size = SoakSize(seconds, nodes, minions, clients)
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for seed in range(first, (first if last is None else last) + 1):
        report = run_soak(seed, size, folder)
        verdict = "FAILED" if report.findings else "passed"
        print(
            f"seed {seed}: {verdict}; {len(report.faults)} faults, "
            f"{report.accepted} of {report.jobs} jobs accepted, {report.starts} starts",
            flush=True,
        )
        for finding in report.findings[:20]:
            print(f"  {finding}")
        if report.findings:
            failed += 1
            print(f"  logs in {report.logs}; faults:")
            print("".join(f"    {fault}\n" for fault in report.faults), flush=True)
    return int(failed > 0)


if __name__ == "__main__":
    sys.exit(app())
