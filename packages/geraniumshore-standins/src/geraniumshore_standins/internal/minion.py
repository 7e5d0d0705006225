"""Minion stand-in that sleeps in place of work and counts what it ran.

Tests take its counts as ground truth: how often each request ran, and when. From the
times they compute a team's concurrent runs over all minions.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass, field

from pydantic import TypeAdapter

from geraniumshore_standins.internal.wsgi import Answer, Call

__all__ = ["MinionState"]


BODY_PREFIX_BYTES = 64


@dataclass(slots=True)
class Modes:
    """How this minion runs and answers requests; most modes are faults.

    ``silent`` delays answers by the run limit, ``cut`` truncates them, and ``crossed``
    gives the answer to another request.
    """

    work_ms: int = 20
    fail_status: int | None = None
    silent: bool = False
    cut: bool = False
    crossed: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One completed run. Times are from the machine's monotonic clock.

    ``body`` is a prefix of the request's body. Tests that send unique bodies match runs
    to their calls by it.
    """

    request: str
    body: str
    team: str
    queue: str
    began: float
    ended: float


@dataclass(slots=True)
class Counts:
    """Counts of the requests that this minion ran or refused."""

    runs_by_request: Counter[str] = field(default_factory=Counter)
    runs_by_team: Counter[str] = field(default_factory=Counter)
    running_by_team: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    runs: list[Run] = field(default_factory=list)


def _body_prefix(call: Call) -> str:
    return call.body[:BODY_PREFIX_BYTES].decode("latin-1")


_COUNTS: TypeAdapter[Counts] = TypeAdapter(Counts)


@dataclass(slots=True)
class MinionState:
    """State of one minion and handler of its calls."""

    name: str
    slots: int = 8
    modes: Modes = field(default_factory=Modes)
    counts: Counts = field(default_factory=Counts)
    lock: threading.Lock = field(default_factory=threading.Lock)
    state_by_request: dict[str, str] = field(default_factory=dict)
    started_at: float = field(default_factory=time.monotonic)

    def handle(self, call: Call) -> Answer:
        """Handle one HTTP call."""
        match (call.method, call.path):
            case ("POST", ("work", queue)):
                return self._handle_work(call, queue)
            case ("POST", ("work-state",)):
                return self._report_state(call)
            case ("GET", ("test", "counts")):
                with self.lock:
                    return Answer.json(_COUNTS.dump_python(self.counts, mode="json"))
            case ("PUT", ("test", "modes")):
                self.modes = Modes(**call.document())
                return Answer.json(asdict(self.modes))
            case _:
                return Answer.json({"error": "no such path"}, 404)

    def _handle_work(self, call: Call, queue: str) -> Answer:
        request_id = call.headers.get("request-id", "")
        team = call.headers.get("team", "")
        if not self._begin(request_id, team):
            headers = {"Request-Id": request_id, "Outcome": "not-run"}
            return Answer(503, b"", headers)
        began = time.monotonic()
        try:
            return self._run(call, queue, request_id)
        finally:
            with self.lock:
                self.counts.running_by_team[team] -= 1
                self.state_by_request[request_id] = "ended"
                ended = time.monotonic()
                run = Run(request_id, _body_prefix(call), team, queue, began, ended)
                self.counts.runs.append(run)

    def _report_state(self, call: Call) -> Answer:
        """Report the state of a run.

        A run reported as never started is refused if its request arrives later. If this
        minion started after the request was sent, an unknown run is reported as lost.
        """
        request_id = call.headers.get("request-id", "")
        age = int(call.headers.get("age-ms", "0")) / 1000
        with self.lock:
            state = self.state_by_request.get(request_id)
            if state is None and time.monotonic() - self.started_at <= age:
                state = "lost"
            elif state is None:
                state = "never"
                self.state_by_request[request_id] = state
        headers = {"Request-Id": request_id, "Run-State": state}
        return Answer(200, b"", headers)

    def _begin(self, request_id: str, team: str) -> bool:
        with self.lock:
            if self.state_by_request.get(request_id) == "never":
                return False
            running = self.counts.running_by_team
            if sum(running.values()) >= self.slots:
                self.counts.refused += 1
                return False
            running[team] += 1
            self.state_by_request[request_id] = "running"
            self.counts.runs_by_request[request_id] += 1
            self.counts.runs_by_team[team] += 1
            return True

    def _run(self, call: Call, queue: str, request_id: str) -> Answer:
        modes = self.modes
        work_ms = int(call.headers.get("work-ms", modes.work_ms))
        limit_ms = int(call.headers.get("run-limit-ms", "3600000"))
        time.sleep(min(work_ms, limit_ms) / 1000)
        if modes.silent:
            time.sleep(limit_ms / 1000)
        echoed = "another-request" if modes.crossed else request_id
        document = {
            "minion": self.name,
            "queue": queue,
            "request": request_id,
            "bytes": len(call.body),
            "body": "another" if modes.crossed else _body_prefix(call),
        }
        return Answer(
            modes.fail_status or 200,
            json.dumps(document).encode(),
            {"Content-Type": "application/json", "Request-Id": echoed},
            cut=modes.cut,
        )
