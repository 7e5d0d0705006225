"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import json
import logging
import queue
import sys
import threading
import time
from typing import Any

__all__ = ["LogWriter", "configure_node_logs", "log_event"]

# Lines that wait to be written; what comes beyond is counted and dropped.
MOST_WAITING = 2_000
# Lines a second in the long run, and how many may come at once.
LINES_PER_S = 200.0
BURST_LINES = 1_000.0


class LogWriter(logging.Handler):
    """Hands lines to a thread that writes them, within a rate.

    ``dropped`` counts the lines that were not written; the next one that is says so.
    ``errors`` counts the faults that were logged.
    """

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node
        self._lines: queue.Queue[str] = queue.Queue(MOST_WAITING)
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0
        self.errors = 0
        self._untold = 0
        threading.Thread(target=self._write, name="log", daemon=True).start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        if record.levelno >= logging.ERROR:
            self.errors += 1
        if record.levelno < logging.WARNING and not self._take_token():
            self._drop()
            return
        document: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "node": self._node,
            "event": record.getMessage(),
        }
        fields = getattr(record, "fields", None)
        if fields:
            document.update(
                (name, value) for name, value in fields.items() if value is not None
            )
        if record.exc_info:
            formatter = self.formatter or logging.Formatter()
            document["exception"] = formatter.formatException(record.exc_info)
        if self._untold:
            document["dropped_before"] = self._untold
            self._untold = 0
        try:
            self._lines.put_nowait(json.dumps(document, default=str))
        except queue.Full:
            self._drop()

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1

    def _write(self) -> None:
        while True:
            lines = [self._lines.get()]
            while len(lines) < MOST_WAITING:
                try:
                    lines.append(self._lines.get_nowait())
                except queue.Empty:
                    break
            try:
                sys.stdout.write("\n".join(lines) + "\n")
                sys.stdout.flush()
            except (OSError, ValueError):
                # Nobody reads them any more; there is no other place to say so.
                self.dropped += len(lines)
                self._untold += len(lines)


def configure_node_logs(node: str) -> LogWriter:
    """Write all log lines of this process to standard output."""
    writer = LogWriter(node)
    logging.basicConfig(level=logging.INFO, handlers=[writer], force=True)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    return writer


def log_event(logger: logging.Logger, event: str, /, **fields: Any) -> None:
    """Log one decision or change with its inputs."""
    logger.info(event, extra={"fields": fields})
