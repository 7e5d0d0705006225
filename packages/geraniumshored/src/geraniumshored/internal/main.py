"""Command line of ``geraniumshored``."""

from __future__ import annotations

import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from result import Err

from geraniumshored.internal.allocator import return_large_blocks
from geraniumshored.internal.daemon import Daemon
from geraniumshored.internal.logs import configure_logs
from geraniumshored.internal.settings import Settings, load_settings

__all__ = ["main"]

EXIT_BAD_INPUT = 2

app = App(
    name="geraniumshored",
    help="Entry-host daemon of the fleet capacity and maintenance manager.",
)

ConfigPath = Annotated[Path, Parameter(help="Settings file, in JSON.")]


@app.command
def check(config: ConfigPath) -> int:
    """Check a settings file and report every fault with its place."""
    _load(config)
    print(f"{config.name}: no faults")
    return 0


@app.command
def run(config: ConfigPath) -> int:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Exit status 75 means that the other members have evicted this process: start it
    again.
    """
    settings = _load(config)
    return_large_blocks()
    daemon = Daemon.from_settings(settings)
    configure_logs(settings.host, daemon.member_id)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    return daemon.run(stop_requested)


def _load(config: Path) -> Settings:
    loaded = load_settings(config)
    if isinstance(loaded, Err):
        for finding in loaded.err_value:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    return loaded.ok_value


def main() -> None:
    """Run the command line."""
    sys.exit(app())
