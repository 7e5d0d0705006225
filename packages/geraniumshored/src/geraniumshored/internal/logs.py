"""Logging as JSON lines.

Log lines report changes of state; frequent events are counted in metrics instead.
"""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs"]


def configure_logs(host: str, member: str) -> None:
    """Log to standard error, with this process's host and member id on each line."""
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
