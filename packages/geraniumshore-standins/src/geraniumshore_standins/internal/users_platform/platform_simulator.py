"""A simulated platform that serves on loopback addresses.

The store, the machines and each minion have an HTTP server of their own.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from geraniumshore_standins.internal.users_platform.log_model import LogModel, Reply
from geraniumshore_standins.internal.users_platform.minion_model import MinionModel
from geraniumshore_standins.internal.wsgi import Answer, Call, serve_in_thread

__all__ = ["PlatformSimulator", "SimulatedMinion"]

POLL_INTERVAL_S = 0.01
HEARTBEAT_INTERVAL_S = 0.5
# Longer than ``POLL_INTERVAL_S``, so that waiting calls notice the end before servers
# are closed.
CLOSE_DELAY_S = 0.1
STORE_THREADS = 64
MINION_THREADS = 8
MAINTENANCE_S = 0.5
# From a truncated response, a caller cannot tell whether the call was applied.
TRUNCATED_ANSWER = Answer(200, b"lost", cut=True)
MACHINE_MOVE_S = 0.5
DATA_CENTRE = "a"


@dataclass(slots=True)
class SimulatedMinion:
    """A minion with its machine and the port that its entry names."""

    model: MinionModel
    service: str
    machine: str
    rack: str
    port: int
    data_centre: str = DATA_CENTRE
    # It is slow until then.
    cold_until: float = 0.0
    state: str = "ready"
    # How often it has written its entry.
    reports: int = 0


@dataclass(slots=True)
class _Machine:
    name: str
    pool: str
    rack: str
    data_centre: str = DATA_CENTRE
    state: str = "up"
    minion: SimulatedMinion | None = None
    wave: int | None = None


class PlatformSimulator:
    """Serves the models of the store, the machines and the minions.

    ``lock`` guards the models. Faults are injected by replacing these callables:

    - ``store_faults`` is called before each store call. It returns None, a status to
      refuse the call with, or ``"lost"`` for a call that is applied but not answered.
    - ``order_delay`` is called before each call to a minion. It returns None, or the
      delay in seconds after which the call is applied without being answered.
    - ``advertised_port`` maps a minion's port to the one that its entry names.
    - ``clock_rate`` returns the speed of a new minion's clock.
    """

    def __init__(
        self,
        allocate_port: Callable[[], int],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.log = LogModel()
        self.lock = threading.RLock()
        self.now = now
        self.store_faults: Callable[[Call], int | str | None] = lambda _: None
        self.order_delay: Callable[[str], float | None] = lambda _: None
        self.advertised_port: Callable[[int], int] = lambda port: port
        self.clock_rate: Callable[[], float] = lambda: 1.0
        self.events: list[tuple[float, str, str, int, str, str]] = []
        # Orders to known machines: time, machine, lease holder, fencing token.
        self.machine_orders: list[tuple[float, str, str, int]] = []
        # Starts of maintenance: time, wave, number of the wave's machines then down.
        self.maintenance_starts: list[tuple[float, int, int]] = []
        self.maintenance_s = MAINTENANCE_S
        self.machine_by_name: dict[str, _Machine] = {}
        self.data_centre_by_minion: dict[str, str] = {}
        # Tasks and runs whose start was applied late, without an answer.
        self.late_starts: set[tuple[str, int]] = set()
        self.cpu_by_job: dict[str, int] = {}
        self._allocate_port = allocate_port
        self._minions_started = 0
        self.store_port = allocate_port()
        self.machines_port = allocate_port()
        self._servers = [
            serve_in_thread(self._serve_store, self.store_port, STORE_THREADS),
            serve_in_thread(self._serve_machines, self.machines_port, 4),
        ]
        self._closed = threading.Event()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def close(self) -> None:
        """Close all servers after the waiting calls have returned."""
        self._closed.set()
        time.sleep(CLOSE_DELAY_S)
        for server in self._servers:
            server.close()

    # Actions of operators and of the platform.

    def configure(self, document: dict[str, Any]) -> None:
        """Write the operators' configuration to the store."""
        with self.lock:
            self.log.put("keyed.op", "config", json.dumps(document).encode())

    def announce_wave(self, document: dict[str, Any]) -> None:
        """Write a maintenance wave to the store."""
        key = f"wave/{document['wave']}"
        with self.lock:
            self.log.put("keyed.op", key, json.dumps(document).encode())

    def evacuate(self, data_centre: str) -> None:
        """Request that nothing starts in a data centre any more."""
        with self.lock:
            self.log.put("keyed.op", f"evacuate/{data_centre}", b"{}")

    def end_evacuation(self, data_centre: str) -> None:
        """Withdraw the request to evacuate a data centre."""
        with self.lock:
            self.log.put("keyed.op", f"evacuate/{data_centre}", b"")

    def add_machine(
        self,
        name: str,
        pool: str,
        rack: str,
        off: bool = False,
        data_centre: str = DATA_CENTRE,
    ) -> None:
        """Add a machine and start a minion on it unless the machine is off."""
        with self.lock:
            self.machine_by_name[name] = _Machine(name, pool, rack, data_centre)
            if not off:
                self._start_minion(self.machine_by_name[name])

    def crash(self, name: str) -> None:
        """Crash a machine's minion."""
        with self.lock:
            self._end_minion(self.machine_by_name[name])

    def restart(self, name: str) -> None:
        """Start a new minion on a machine."""
        with self.lock:
            self._start_minion(self.machine_by_name[name])

    def running(self) -> dict[str, list[str]]:
        """Return the running tasks by machine."""
        with self.lock:
            return {
                machine.name: list(machine.minion.model.running_tasks())
                for machine in self.machine_by_name.values()
                if machine.minion is not None
            }

    def _start_minion(self, machine: _Machine) -> None:
        self._minions_started += 1
        minion_id = f"i-{self._minions_started:04d}"

        def observe(kind: str, task: str, run: int, details: str) -> None:
            self.events.append((self.now(), kind, task, run, minion_id, details))

        model = MinionModel(
            minion_id,
            born=int(time.time() * 1000) + self._minions_started,
            started_at=self.now(),
            rate=self.clock_rate(),
            observe=observe,
            cpu_of=lambda task: self.cpu_by_job.get(task.partition(".")[0], 1000),
        )
        port = self._allocate_port()
        minion = SimulatedMinion(
            model,
            machine.pool,
            machine.name,
            machine.rack,
            self.advertised_port(port),
            machine.data_centre,
        )
        self._servers.append(
            serve_in_thread(
                lambda call: self._serve_minion(minion, call), port, MINION_THREADS
            )
        )
        machine.minion = minion
        self.data_centre_by_minion[minion_id] = machine.data_centre
        machine.state = "up"
        self._write_entry(minion)

    def _end_minion(self, machine: _Machine) -> None:
        minion = machine.minion
        if minion is None:
            return
        machine.minion = None
        for task, run in minion.model.runs.items():
            self.events.append(
                (self.now(), "end", task, run.number, minion.model.minion_id, "gone")
            )
        minion.model.runs.clear()
        minion.state = "gone"
        self.log.put("keyed.servers", minion.model.minion_id, b"")

    def _write_entry(self, minion: SimulatedMinion) -> None:
        model = minion.model
        minion.reports += 1
        entry = {
            "service": minion.service,
            "addr": f"127.0.0.1:{minion.port}",
            "zone": minion.data_centre,
            "version": "v1",
            "slots": 8,
            "state": minion.state,
            "cold_left_ms": int(max(0.0, minion.cold_until - self.now()) * 1000),
            "seq": minion.reports,
            "capacity": {"cpu": model.cpu_capacity, "mem_mb": 32768, "gpu": 0},
            "labels": [minion.data_centre, minion.rack],
            "clock_ms": int(model.clock_ms(self.now())),
            "born": model.born,
        }
        self.log.put("keyed.servers", model.minion_id, json.dumps(entry).encode())

    def _heartbeat(self) -> None:
        while not self._closed.wait(HEARTBEAT_INTERVAL_S):
            with self.lock:
                for machine in self.machine_by_name.values():
                    if machine.minion is not None:
                        machine.minion.model.tick(self.now())
                        self._write_entry(machine.minion)

    # Request handlers.

    def _serve_minion(self, minion: SimulatedMinion, call: Call) -> Answer:
        document = call.document()
        name = call.path[-1]
        expected = call.headers.get("geraniumshore-expect-instance")
        if expected not in (None, minion.model.minion_id):
            return Answer.json({}, 421)
        delay = self.order_delay(name)
        if delay is not None:
            late_call = threading.Timer(
                delay, self._apply_late, [minion, name, document]
            )
            late_call.daemon = True
            late_call.start()
            return TRUNCATED_ANSWER
        with self.lock:
            if minion.state == "gone":
                return TRUNCATED_ANSWER
            reply = minion.model.call(name, document, self.now())
        deadline = self.now() + float(document.get("wait_ms", 0)) / 1000
        while name == "hold" and reply.status == 200 and self.now() < deadline:
            if self._closed.is_set() or minion.state == "gone":
                return TRUNCATED_ANSWER
            if reply.document["ended"]:
                break
            time.sleep(POLL_INTERVAL_S)
            with self.lock:
                reply = minion.model.hold({"fence": document["fence"]}, self.now())
        return _answer(reply)

    def _apply_late(
        self, minion: SimulatedMinion, name: str, document: dict[str, Any]
    ) -> None:
        with self.lock:
            if name == "run-start":
                self.late_starts.add((str(document["task"]), int(document["run"])))
            if minion.state != "gone" and not self._closed.is_set():
                minion.model.call(name, document, self.now())

    def _serve_store(self, call: Call) -> Answer:
        fault = self.store_faults(call)
        if isinstance(fault, int):
            return Answer(fault)
        reply = self._store_reply(call)
        wait_ms = int(call.query.get("wait_ms", 0))
        deadline = self.now() + wait_ms / 1000
        while (
            call.path[-1] == "log-read"
            and reply.status == 200
            and len(reply.raw or b"") <= 16
            and self.now() < deadline
            and not self._closed.is_set()
        ):
            time.sleep(POLL_INTERVAL_S)
            reply = self._store_reply(call)
        if fault == "lost":
            return TRUNCATED_ANSWER
        return _answer(reply)

    def _store_reply(self, call: Call) -> Reply:
        query, name = call.query, call.path[-1]
        topic, part = query.get("topic", ""), int(query.get("part", 0))
        with self.lock:
            if name == "log-append":
                return self.log.append(
                    topic,
                    part,
                    call.body,
                    query.get("producer"),
                    int(query.get("epoch", 0)),
                    int(query.get("seq", 0)),
                )
            if name == "log-read":
                max_kb = int(query["max_kb"])
                return self.log.read(topic, part, int(query["from"]), max_kb)
            if name == "log-newest":
                return self.log.newest(topic, part, query.get("depends_on"))
            if name == "log-owners":
                return self.log.owners(query["group"], self.now())
            document = call.document()
            if name == "log-leave":
                return self.log.leave(document["group"], document["member"])
            return self.log.join(
                document["group"],
                document["member"],
                document["ttl_ms"] / 1000,
                document["generation"],
                self.now(),
            )

    def _serve_machines(self, call: Call) -> Answer:
        if call.method == "GET":
            with self.lock:
                rows = [
                    _machine_row(machine) for machine in self.machine_by_name.values()
                ]
            return Answer.json({"machines": rows, "next_token": None})
        document = call.document()
        with self.lock:
            machine = self.machine_by_name.get(document["machine"])
            if machine is None:
                return Answer.json({}, 400)
            holder = call.headers.get("geraniumshore-lease-holder", "")
            token = int(call.headers.get("geraniumshore-fencing-token", 0))
            self.machine_orders.append((self.now(), machine.name, holder, token))
            if call.path[-1] == "machine-move":
                return self._move(machine, document["pool"])
            return self._maintain(machine, document["wave"])

    def _move(self, machine: _Machine, pool: str) -> Answer:
        if machine.pool == pool:
            return Answer.json({})
        if machine.state != "up":
            return Answer.json({"reason": "busy"}, 409)
        self._end_minion(machine)
        machine.pool, machine.state = pool, "moving"
        self._schedule_return(machine, MACHINE_MOVE_S)
        return Answer.json({})

    def _maintain(self, machine: _Machine, wave: int) -> Answer:
        if machine.wave == wave:
            return Answer.json({})
        if machine.state != "up":
            return Answer.json({"reason": "busy"}, 409)
        self._end_minion(machine)
        machine.wave, machine.state = wave, "upkeep"
        down = [m for m in self.machine_by_name.values() if m.state == "upkeep"]
        count = sum(other.wave == wave for other in down)
        self.maintenance_starts.append((self.now(), wave, count))
        self._schedule_return(machine, self.maintenance_s)
        return Answer.json({})

    def _schedule_return(self, machine: _Machine, after_s: float) -> None:
        timer = threading.Timer(after_s, self._return_to_service, [machine])
        timer.daemon = True
        timer.start()

    def _return_to_service(self, machine: _Machine) -> None:
        if self._closed.is_set():
            return
        with self.lock:
            machine.state = "up"
            if machine.pool != "spare":
                self._start_minion(machine)


def _machine_row(machine: _Machine) -> dict[str, Any]:
    minion = machine.minion
    return {
        "machine": machine.name,
        "pool": machine.pool,
        "state": machine.state,
        "zone": machine.data_centre,
        "labels": [machine.data_centre, machine.rack],
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
        "id": "" if minion is None else minion.model.minion_id,
    }


def _answer(reply: Reply) -> Answer:
    if reply.raw is not None:
        return Answer(reply.status, reply.raw)
    return Answer.json(reply.document, reply.status)
