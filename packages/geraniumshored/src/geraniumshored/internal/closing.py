"""Ends callers' connections with their next answer while a process stops."""

from __future__ import annotations

import threading

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

__all__ = ["closing_channel"]


def closing_channel(stopping: threading.Event) -> type[HTTPChannel]:
    """Return a channel whose answers end the connection once ``stopping`` is set.

    A caller that keeps its connection would otherwise send its next request into the
    end of the process.
    """

    class ClosingTask(WSGITask):
        def build_response_header(self) -> bytes:
            if stopping.is_set():
                self.set_close_on_finish()
            header: bytes = super().build_response_header()
            return header

    class ClosingChannel(HTTPChannel):
        task_class = ClosingTask

    return ClosingChannel
