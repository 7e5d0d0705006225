"""Soak test: injects random faults into real nodes and checks invariants.

Faults are injected and invariants are checked from outside the node processes.
"""

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

from geraniumshore_standins.internal.users_platform.nodes import API_KEY, QUEUE_HOST
from geraniumshore_standins.internal.users_platform.soak_faults import (
    Fault,
    SoakFleet,
    draw_faults,
    evacuate_repeatedly,
)
from geraniumshore_standins.internal.users_platform.soak_invariants import (
    CallerView,
    Evacuated,
    invariant_violations,
    late_starts_in,
    running_on,
)

__all__ = ["SoakReport", "SoakSize", "run_soak"]

# Clients with a short timeout give up while a node is frozen that wakes soon after.
CALL_TIMEOUTS_S = (3.0, 0.7)
RETRY_INTERVAL_S = 0.2
# Every accepted job must be done this long after the last fault. Covers two whole
# leases with late orders, a takeover and the work itself.
COMPLETION_TIMEOUT_S = 40.0
JOB_INTERVAL_S = (0.05, 0.5)
CANCELLED_FRACTION = 0.1
# The part of the jobs that are long-running; their callers cancel them in the end.
LONG_RUNNING_FRACTION = 0.2
# The part of the submissions without an answer after which a client cancels the job.
GIVE_UP_FRACTION = 0.5
POLL_INTERVAL_S = 0.5
NOT_RUN = (429, 503)
CANCELLED = (200, 410)
# Clients give up submitting a job after this time.
SUBMIT_TIMEOUT_S = 20.0
# How long a machine is down for maintenance, and how many of a wave may be at once.
MAINTENANCE_S = 2.0
MAX_MACHINES_DOWN = 2
WAVE_INTERVAL_S = 8
FINAL_STATES = ("done", "failed", "cancelled")


@dataclass(frozen=True, slots=True)
class SoakSize:
    """The size of a soak run and for how long faults are injected."""

    seconds: float = 20.0
    nodes: int = 3
    minions: int = 5
    clients: int = 4


@dataclass(slots=True)
class SoakReport:
    """The results of one seed."""

    seed: int
    faults: list[str] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    findings: list[str] = field(default_factory=list)
    jobs: int = 0
    accepted: int = 0
    starts: int = 0
    logs: Path | None = None


class _Client(threading.Thread):
    """Submits, queries and cancels jobs over keep-alive connections."""

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
        while not self._stopping.wait(self._rng.uniform(*JOB_INTERVAL_S)):
            job_id = f"{self._number:04x}{len(self.view_by_job):012x}"
            lasting = self._rng.random() < LONG_RUNNING_FRACTION
            gave_up = self._submit(job_id, lasting)
            accepted = self.view_by_job[job_id].accepted_at is not None
            fraction = 1.0 if lasting else CANCELLED_FRACTION
            if gave_up or (accepted and self._rng.random() < fraction):
                self._cancel(job_id)
            for queried_id in self._rng.sample(
                list(self.view_by_job), min(2, len(self.view_by_job))
            ):
                self.ask(self._any_node(), queried_id)

    def ask(self, node: str, job_id: str) -> str | None:
        """Query a job's state at a node and record it."""
        status, document = self._call(node, "GET", job_id)
        view = self.view_by_job[job_id]
        state = {200: document.get("state"), 410: "unknown"}.get(status)
        if state is not None:
            view.states.append((time.monotonic(), state))
        return state

    def _submit(self, job_id: str, lasting: bool) -> bool:
        """Submit a job; return whether the client gave up without an answer."""
        steps = tuple(self._rng.randint(1, 4) for _ in range(self._rng.randint(1, 3)))
        work_ms = self._rng.choice([50, 200, 800, 2000])
        phases = [
            {
                "count": count,
                "cpu": 1000,
                "mem_mb": 10,
                "estimate_ms": work_ms,
                **({"depends_on": [number - 1]} if number else {}),
                **({"long_running": True} if lasting else {}),
            }
            for number, count in enumerate(steps)
        ]
        spec = {"work_ms": work_ms, "how": "lasts" if lasting else "done"}
        document = {"spec": json.dumps(spec), "phases": phases}
        view = self.view_by_job[job_id] = CallerView(steps)
        deadline = time.monotonic() + SUBMIT_TIMEOUT_S
        may_have_run = False
        while time.monotonic() < deadline:
            status, _ = self._call(self._any_node(), "POST", job_id, document)
            if status == 200:
                view.accepted_at = time.monotonic()
                return False
            if status in NOT_RUN:
                # The job must never run, unless an earlier attempt may have succeeded.
                view.refused = not may_have_run
                return may_have_run
            may_have_run = True
            if self._rng.random() < GIVE_UP_FRACTION:
                return True
            time.sleep(RETRY_INTERVAL_S)
        return may_have_run

    def _cancel(self, job_id: str) -> None:
        view = self.view_by_job[job_id]
        view.cancelled = True
        deadline = time.monotonic() + SUBMIT_TIMEOUT_S
        while time.monotonic() < deadline:
            status, _ = self._call(self._any_node(), "DELETE", job_id)
            if status in CANCELLED:
                view.cancellation_acknowledged = True
                return
            time.sleep(RETRY_INTERVAL_S)

    def _any_node(self) -> str:
        return self._rng.choice(list(self._fleet.node_by_name))

    def _call(
        self, node: str, method: str, job_id: str, document: object = None
    ) -> tuple[int, dict[str, str]]:
        """Call a node over its keep-alive connection. Status 0 means no response."""
        connection = self._connection_by_node.get(node)
        if connection is None:
            address = self._fleet.node_by_name[node].front
            timeout = CALL_TIMEOUTS_S[self._number % len(CALL_TIMEOUTS_S)]
            connection = http.client.HTTPConnection(address, timeout=timeout)
            self._connection_by_node[node] = connection
        body = None if document is None else json.dumps(document)
        headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"}
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
    """Run one seed. Keeps the nodes' logs if an invariant was violated."""
    report = SoakReport(seed)
    with SoakFleet(seed) as fleet:
        fleet.start(size.nodes, size.minions)
        stop = threading.Event()
        clients = [_Client(n, fleet, report, stop) for n in range(size.clients)]
        for client in clients:
            client.start()
        nodes, machines = (
            list(fleet.node_by_name),
            list(fleet.simulator.machine_by_name),
        )
        fleet.simulator.maintenance_s = MAINTENANCE_S
        waves = threading.Thread(
            target=_announce_waves, args=[fleet, machines, stop], daemon=True
        )
        waves.start()
        evacuated: list[Evacuated] = []
        evacuations = threading.Thread(
            target=evacuate_repeatedly, args=[fleet, seed, stop, evacuated], daemon=True
        )
        evacuations.start()
        _inject_faults(
            fleet, list(draw_faults(seed, size.seconds, nodes, machines)), report
        )
        stop.set()
        for client in clients:
            client.join()
        evacuations.join()
        _await_completion(fleet, clients, report)
        view_by_job = {
            k: v for client in clients for k, v in client.view_by_job.items()
        }
        _await_stops(fleet, view_by_job, report)
        report.jobs = len(view_by_job)
        report.accepted = sum(
            view.accepted_at is not None for view in view_by_job.values()
        )
        with fleet.simulator.lock:
            events = list(fleet.simulator.events)
            orders = list(fleet.simulator.machine_orders)
            maintenance_starts = list(fleet.simulator.maintenance_starts)
            delayed = set(fleet.simulator.late_starts)
            data_centres = dict(fleet.simulator.data_centre_by_minion)
        report.starts = sum(event[1] == "start" for event in events)
        report.findings.extend(invariant_violations(events, view_by_job, orders))
        report.findings.extend(late_starts_in(evacuated, events, data_centres, delayed))
        report.findings.extend(
            f"LIMIT {down} machines of wave {wave} in maintenance at {at:.2f}"
            for at, wave, down in maintenance_starts
            if down > MAX_MACHINES_DOWN
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
    """Announce one wave after the other, so that some span a change of owner."""
    wave = 0
    while not stop.is_set():
        wave += 1
        document = {"wave": wave, "machines": machines, "cap": MAX_MACHINES_DOWN}
        fleet.simulator.announce_wave({**document, "finish_by_s": WAVE_INTERVAL_S})
        stop.wait(WAVE_INTERVAL_S)


def _inject_faults(fleet: SoakFleet, faults: list[Fault], report: SoakReport) -> None:
    """Begin and end each fault at its scheduled time."""
    report.faults = [str(fault) for fault in faults]
    actions = [(fault.at, True, fault) for fault in faults]
    actions += [(fault.at + fault.lasts, False, fault) for fault in faults]
    began = time.monotonic()
    for at, begins, fault in sorted(actions, key=lambda action: action[0]):
        time.sleep(max(0.0, began + at - time.monotonic()))
        (fault.begin if begins else fault.end)(fleet)


def _await_completion(
    fleet: SoakFleet, clients: list[_Client], report: SoakReport
) -> None:
    """Wait until every node reports a final state of every accepted job."""
    open_jobs = {
        (node, job_id): client
        for client in clients
        for job_id, view in client.view_by_job.items()
        for node in fleet.node_by_name
        if view.accepted_at is not None
    }
    deadline = time.monotonic() + COMPLETION_TIMEOUT_S
    while open_jobs and time.monotonic() < deadline:
        for (node, job_id), client in list(open_jobs.items()):
            if client.ask(node, job_id) in FINAL_STATES:
                del open_jobs[node, job_id]
        time.sleep(POLL_INTERVAL_S)
    report.findings.extend(
        f"LOST {job_id} has no end on {node}" for node, job_id in list(open_jobs)[:20]
    )


def _await_stops(
    fleet: SoakFleet, view_by_job: dict[str, CallerView], report: SoakReport
) -> None:
    """Wait until no task of a cancelled job runs."""
    deadline = time.monotonic() + COMPLETION_TIMEOUT_S
    while True:
        tasks = [task for runs in fleet.simulator.running().values() for task in runs]
        left = running_on(tasks, view_by_job)
        if not left or time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    report.findings.extend(
        f"UNASKED {task} runs on after its cancellation" for task in left
    )
