"""A node is terminated while callers use open and new connections until it is gone."""

from __future__ import annotations

import http.client
import json
import signal
import threading
import time
from dataclasses import dataclass

from geraniumshore_standins.internal.users_platform import PlatformFleet
from geraniumshore_standins.internal.users_platform.nodes import API_KEY, QUEUE_HOST

CALLS_PER_S = 200
CALLERS = 16
LEAVING_S = 3
# A call that was sent this long before the end is answered, or was never read.
LOSS_SLACK_S = 0.2


@dataclass(frozen=True)
class Call:
    """A call that was sent, and when and how it ended; status 0 means unanswered."""

    sent_at: float
    ended_at: float
    status: int
    partly_answered: bool


class Callers:
    """Calls one node at a steady rate; half of the callers keep their connection."""

    def __init__(self, address: str) -> None:
        self.calls: list[Call] = []
        self._address = address
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number % 2 == 0,), daemon=True)
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def end(self) -> None:
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, keeps_open: bool) -> None:
        connection: http.client.HTTPConnection | None = None
        while not self._ended.wait(CALLERS / CALLS_PER_S):
            if connection is None:
                connection = self._connect()
            if connection is not None and not (self._call(connection) and keeps_open):
                connection.close()
                connection = None

    def _connect(self) -> http.client.HTTPConnection | None:
        connection = http.client.HTTPConnection(self._address, timeout=5)
        try:
            connection.connect()
        except OSError:
            return None
        return connection

    def _call(self, connection: http.client.HTTPConnection) -> bool:
        """Send a call; return whether the connection can be used again."""
        sent_at = time.monotonic()
        status, partly, reusable = 0, False, False
        headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"}
        try:
            connection.request("GET", "/jobs/" + "0" * 16, headers=headers)
            response = connection.getresponse()
            partly = True
            response.read()
            status, reusable = response.status, not response.will_close
        except (OSError, http.client.HTTPException):
            pass
        ended_at = time.monotonic()
        self.calls.append(Call(sent_at, ended_at, status, partly and not status))
        return reusable


def test_no_call_waits_for_the_end_of_a_leaving_process():
    """Its interpreter took long to end, with open connections that nobody read."""
    with PlatformFleet(leaving_s=LEAVING_S) as fleet:
        fleet.start()
        owner = fleet.owner()
        assert owner is not None
        callers = Callers(owner.front)
        step = {"count": 8, "cpu": 500, "mem_mb": 10, "estimate_ms": 800}
        spec = json.dumps({"work_ms": 800})
        for number in range(1, 5):
            fleet.submit(owner.name, f"{number:016x}", {"spec": spec, "phases": [step]})
        time.sleep(1.0)
        fleet.signal(owner.name, signal.SIGTERM)
        owner.process.wait()
        gone_at = time.monotonic()
        callers.end()
        events = owner.events()
    unanswered = [call for call in callers.calls if not call.status]
    late = [call for call in unanswered if call.sent_at < gone_at - LOSS_SLACK_S]
    assert late == []
    assert not any(call.partly_answered for call in unanswered)
    answered = [call for call in callers.calls if call.status == 410]
    assert len(answered) > CALLS_PER_S
    (stopped,) = (event for event in events if event["event"] == "stopped")
    assert stopped["all_answered"]
