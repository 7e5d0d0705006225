"""The program that runs a node on a machine of the platform."""

from __future__ import annotations

import logging
import os
import signal
import sys
import threading

from geraniumshore_scheduler import InvalidInputError
from geraniumshored.internal.allocator import return_large_blocks
from geraniumshored.node.clock import steady_seconds
from geraniumshored.node.hedging import HedgingStore
from geraniumshored.node.logs import configure_node_logs, log_event
from geraniumshored.node.node import Node
from geraniumshored.platform import (
    HttpPlatform,
    JobApiServer,
    load_platform_settings,
    settings_path,
)
from geraniumshored.platform.job_api import JsonJobDecoder

__all__ = ["main"]

logger = logging.getLogger(__name__)

EXIT_BAD_INPUT = 2
# The longest that the exit waits for the last log lines to be written.
LAST_LINES_S = 0.1


def main() -> int:
    """Serve until SIGTERM, then stop gracefully."""
    try:
        path = settings_path()
        settings = load_platform_settings(path)
    except InvalidInputError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return EXIT_BAD_INPUT
    return_large_blocks()
    writer = configure_node_logs(settings.node)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    reload = threading.Event()
    signal.signal(signal.SIGHUP, lambda *_: reload.set())
    platform = HttpPlatform(settings)
    platform.store = HedgingStore(platform.store, steady_seconds)
    node = Node(settings.node_settings(), platform, JsonJobDecoder())
    front = JobApiServer(
        node.request_handler,
        node.metrics,
        node.ready,
        settings.client_limits(),
        node.make_explainer(platform.explanations),
    )
    node.metrics.gauge("log_lines_dropped", lambda: writer.dropped)
    node.metrics.gauge("errors_logged", lambda: writer.errors)
    front.start(settings.front, settings.ready, settings.metrics, settings.peers)
    node.start()
    log_event(logger, "started", front=settings.front, data_centre=settings.data_centre)
    while not stop.wait(0.2):
        if reload.is_set():
            reload.clear()
            _report_reload(settings)
    node.stop(front.announce_stop, front.answer_all)
    writer.wait_until_written(LAST_LINES_S)
    # The interpreter takes long to end on a small share of a core. Connections would
    # stay open meanwhile, and nobody would read what callers send.
    os._exit(0)


def _report_reload(current: object) -> None:
    """Check the changed settings. Addresses take effect only in a new process."""
    try:
        changed = load_platform_settings(settings_path())
    except InvalidInputError as error:
        log_event(logger, "settings refused", findings=str(error))
        return
    log_event(logger, "settings read again", changed=changed != current)


if __name__ == "__main__":
    sys.exit(main())
