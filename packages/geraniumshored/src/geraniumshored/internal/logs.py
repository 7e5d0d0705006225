"""Log lines: JSON, one for each change of state; what is frequent is counted."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs"]


def configure_logs(host: str, member: str) -> None:
    """Write log lines to standard error, each with this process's names."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"host": host, "member": member},
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
    logging.getLogger("waitress").setLevel(logging.ERROR)
