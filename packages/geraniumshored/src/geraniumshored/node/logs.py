"""Structured log lines on standard output, rate-limited and never blocking."""

from __future__ import annotations

import json
import logging
import queue
import sys
import threading
import time
from typing import Any

__all__ = ["LogWriter", "configure_node_logs", "log_event"]

# Lines queued for writing; further ones are dropped and counted.
MAX_QUEUED_LINES = 2_000
# Token bucket: sustained rate, and the number of lines that may come at once.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 1_000.0
WRITTEN_CHECK_INTERVAL_S = 0.005


class LogWriter(logging.Handler):
    """Passes lines to a writing thread, within a rate limit.

    ``dropped`` counts the lines that were not written; the next written line has the
    number dropped before it. ``errors`` counts the logged errors.
    """

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0
        self.errors = 0
        self._unreported_drops = 0
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
        if self._unreported_drops:
            document["dropped_before"] = self._unreported_drops
            self._unreported_drops = 0
        try:
            self._lines.put_nowait(json.dumps(document, default=str))
        except queue.Full:
            self._drop()

    def wait_until_written(self, timeout_s: float) -> None:
        """Wait until the queued lines are written, at most ``timeout_s``."""
        deadline = time.monotonic() + timeout_s
        while self._lines.unfinished_tasks and time.monotonic() < deadline:
            time.sleep(WRITTEN_CHECK_INTERVAL_S)

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported_drops += 1

    def _write(self) -> None:
        while True:
            lines = [self._lines.get()]
            while len(lines) < MAX_QUEUED_LINES:
                try:
                    lines.append(self._lines.get_nowait())
                except queue.Empty:
                    break
            try:
                sys.stdout.write("\n".join(lines) + "\n")
                sys.stdout.flush()
            except (OSError, ValueError):
                # Standard output is closed, so this cannot be logged either.
                self.dropped += len(lines)
                self._unreported_drops += len(lines)
            for _ in lines:
                self._lines.task_done()


def configure_node_logs(node: str) -> LogWriter:
    """Write all log lines of this process to standard output."""
    writer = LogWriter(node)
    logging.basicConfig(level=logging.INFO, handlers=[writer], force=True)
    logging.getLogger("waitress").setLevel(logging.ERROR)
    return writer


def log_event(logger: logging.Logger, event: str, /, **fields: Any) -> None:
    """Log an event with its fields."""
    logger.info(event, extra={"fields": fields})
