"""A soak of real nodes: random faults from outside, promises checked from outside."""

from __future__ import annotations

import http.client
import json
import random
import shutil
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from geraniumshore_standins.internal.users_platform.nodes import HOST, KEY
from geraniumshore_standins.internal.users_platform.soak_faults import (
    Fault,
    SoakFleet,
    draw_faults,
)
from geraniumshore_standins.internal.users_platform.soak_invariants import (
    CallerView,
    broken_promises,
)

__all__ = ["SoakReport", "SoakSize", "run_soak"]

CALL_SECONDS = 3.0
RETRY_S = 0.2
# So long after the last fault every accepted job is done: two whole leases with late
# orders, a takeover, and the work itself.
SETTLE_S = 40.0
JOB_PAUSE_S = (0.05, 0.5)
CANCELLED_SHARE = 0.1
POLL_S = 0.5
NOT_RUN = (429, 503)
# A caller does not hand a job in for longer than this.
SUBMIT_S = 20.0
# Machines are away so long for their upkeep, and so many of a wave at once.
UPKEEP_S = 2.0
WAVE_CAP = 2
WAVE_S = 8
FINAL = ("done", "failed", "cancelled")


@dataclass(frozen=True, slots=True)
class SoakSize:
    """How much runs, and for how long faults come."""

    seconds: float = 20.0
    nodes: int = 3
    minions: int = 5
    clients: int = 4


@dataclass(slots=True)
class SoakReport:
    """One seed's run."""

    seed: int
    faults: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    jobs: int = 0
    accepted: int = 0
    starts: int = 0
    logs: Path | None = None


class _Client(threading.Thread):
    """Hands jobs in, asks for them and cancels some, over connections it keeps open."""

    def __init__(
        self, number: int, fleet: SoakFleet, report: SoakReport, stop: threading.Event
    ) -> None:
        super().__init__(name=f"client-{number}", daemon=True)
        self._rng = random.Random(report.seed * 1000 + number)
        self._number = number
        self._fleet = fleet
        self._report = report
        self._stopping = stop
        self._connection_by_node: dict[str, http.client.HTTPConnection] = {}
        self.view_by_job: dict[str, CallerView] = {}

    def run(self) -> None:
        while not self._stopping.wait(self._rng.uniform(*JOB_PAUSE_S)):
            job_id = f"{self._number:04x}{len(self.view_by_job):012x}"
            self._hand_in(job_id)
            if self._rng.random() < CANCELLED_SHARE:
                self._cancel(job_id)
            for asked in self._rng.sample(
                list(self.view_by_job), min(2, len(self.view_by_job))
            ):
                self.ask(self._any_node(), asked)

    def ask(self, node: str, job_id: str) -> str | None:
        """Ask one node for a job's state, and note it."""
        status, document = self._call(node, "GET", job_id)
        view = self.view_by_job[job_id]
        state = {200: document.get("state"), 410: "unknown"}.get(status)
        if state is not None:
            view.states.append((time.monotonic(), state))
        return state

    def _hand_in(self, job_id: str) -> None:
        steps = tuple(self._rng.randint(1, 4) for _ in range(self._rng.randint(1, 3)))
        work_ms = self._rng.choice([50, 200, 800, 2000])
        phases = [
            {
                "count": count,
                "cpu": 1000,
                "mem_mb": 10,
                "estimate_ms": work_ms,
                **({"depends_on": [number - 1]} if number else {}),
            }
            for number, count in enumerate(steps)
        ]
        document = {"spec": json.dumps({"work_ms": work_ms}), "phases": phases}
        view = self.view_by_job[job_id] = CallerView(steps)
        deadline = time.monotonic() + SUBMIT_S
        maybe_run = False
        while time.monotonic() < deadline:
            status, _ = self._call(self._any_node(), "POST", job_id, document)
            if status == 200:
                view.accepted_at = time.monotonic()
                return
            if status in NOT_RUN:
                # Refused for good, unless an earlier try may have been taken.
                view.refused = not maybe_run
                return
            maybe_run = True
            time.sleep(RETRY_S)

    def _cancel(self, job_id: str) -> None:
        view = self.view_by_job[job_id]
        if view.accepted_at is not None:
            view.cancelled = True
            self._call(self._any_node(), "DELETE", job_id)

    def _any_node(self) -> str:
        return self._rng.choice(list(self._fleet.node_by_name))

    def _call(
        self, node: str, method: str, job_id: str, document: object = None
    ) -> tuple[int, dict[str, str]]:
        """Call over the open connection to a node; status 0 without an answer."""
        connection = self._connection_by_node.get(node)
        if connection is None:
            address = self._fleet.node_by_name[node].front
            connection = http.client.HTTPConnection(address, timeout=CALL_SECONDS)
            self._connection_by_node[node] = connection
        body = None if document is None else json.dumps(document)
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
        try:
            connection.request(method, f"/jobs/{job_id}", body, headers)
            response = connection.getresponse()
            data = response.read()
            status = response.status
            if response.will_close:
                del self._connection_by_node[node]
        except (OSError, http.client.HTTPException):
            connection.close()
            del self._connection_by_node[node]
            status, data = 0, b""
        self._report.answers[f"{method} {status}"] += 1
        if status in NOT_RUN and not response.getheader("Retry-After"):
            self._report.findings.append(f"{method} {status} without Retry-After")
        return status, json.loads(data) if status == 200 and data else {}


def run_soak(seed: int, size: SoakSize, logs: Path | None = None) -> SoakReport:
    """Run one seed; keep the nodes' logs where something was found."""
    report = SoakReport(seed)
    with SoakFleet(seed) as fleet:
        fleet.start(size.nodes, size.minions)
        stop = threading.Event()
        clients = [_Client(n, fleet, report, stop) for n in range(size.clients)]
        for client in clients:
            client.start()
        nodes, machines = list(fleet.node_by_name), list(fleet.world.machine_by_name)
        fleet.world.upkeep_s = UPKEEP_S
        waves = threading.Thread(
            target=_announce_waves, args=[fleet, machines, stop], daemon=True
        )
        waves.start()
        _inject(fleet, list(draw_faults(seed, size.seconds, nodes, machines)), report)
        stop.set()
        for client in clients:
            client.join()
        _settle(fleet, clients, report)
        view_by_job = {
            k: v for client in clients for k, v in client.view_by_job.items()
        }
        report.jobs = len(view_by_job)
        report.accepted = sum(
            view.accepted_at is not None for view in view_by_job.values()
        )
        with fleet.world.lock:
            events = list(fleet.world.events)
            orders = list(fleet.world.machine_orders)
            upkeeps = list(fleet.world.upkeeps)
        report.starts = sum(event[1] == "start" for event in events)
        report.findings.extend(broken_promises(events, view_by_job, orders))
        report.findings.extend(
            f"LIMIT {down} machines of wave {wave} in upkeep at {at:.2f}"
            for at, wave, down in upkeeps
            if down > WAVE_CAP
        )
        if report.findings and logs is not None:
            report.logs = logs / f"seed-{seed}"
            shutil.copytree(fleet.folder, report.logs, dirs_exist_ok=True)
            lines = "".join(f"{event}\n" for event in events)
            (report.logs / "minions.txt").write_text(lines)
    return report


def _announce_waves(
    fleet: SoakFleet, machines: list[str], stop: threading.Event
) -> None:
    """Announce one wave after the other, so that owners change during them."""
    wave = 0
    while not stop.is_set():
        wave += 1
        document = {"wave": wave, "machines": machines, "cap": WAVE_CAP}
        fleet.world.announce_wave({**document, "finish_by_s": WAVE_S})
        stop.wait(WAVE_S)


def _inject(fleet: SoakFleet, faults: list[Fault], report: SoakReport) -> None:
    """Begin and end each fault at its time."""
    report.faults = [str(fault) for fault in faults]
    acts = [(fault.at, True, fault) for fault in faults]
    acts += [(fault.at + fault.lasts, False, fault) for fault in faults]
    began = time.monotonic()
    for at, begins, fault in sorted(acts, key=lambda act: act[0]):
        time.sleep(max(0.0, began + at - time.monotonic()))
        (fault.begin if begins else fault.end)(fleet)


def _settle(fleet: SoakFleet, clients: list[_Client], report: SoakReport) -> None:
    """Wait until every node tells the end of every accepted job."""
    open_jobs = {
        (node, job_id): client
        for client in clients
        for job_id, view in client.view_by_job.items()
        for node in fleet.node_by_name
        if view.accepted_at is not None
    }
    deadline = time.monotonic() + SETTLE_S
    while open_jobs and time.monotonic() < deadline:
        for (node, job_id), client in list(open_jobs.items()):
            if client.ask(node, job_id) in FINAL:
                del open_jobs[node, job_id]
        time.sleep(POLL_S)
    report.findings.extend(
        f"LOST {job_id} has no end on {node}" for node, job_id in list(open_jobs)[:20]
    )
