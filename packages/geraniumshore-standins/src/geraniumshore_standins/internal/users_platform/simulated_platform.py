"""The users' platform on loopback: one server for the store, one for each minion."""

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

__all__ = ["PlatformWorld", "StandInMinion"]

POLL_S = 0.01
BEAT_S = 0.5
# Calls that wait look for the end this often, with room to spare.
CLOSE_S = 0.1
STORE_THREADS = 64
MINION_THREADS = 8
UPKEEP_S = 0.5
# A caller cannot tell from an answer that ends half way whether it was carried out.
NO_ANSWER = Answer(200, b"lost", cut=True)
MOVE_S = 0.5


@dataclass(slots=True)
class StandInMinion:
    """A minion, its machine and where it answers."""

    model: MinionModel
    service: str
    machine: str
    rack: str
    port: int
    state: str = "ready"


@dataclass(slots=True)
class _Machine:
    name: str
    pool: str
    rack: str
    state: str = "up"
    minion: StandInMinion | None = None
    wave: int | None = None


class PlatformWorld:
    """Holds all stand-ins of one run. The lock guards the models.

    ``store_faults`` is asked before each store call: it returns None, a status to
    refuse with, or ``"lost"`` for a call that is carried out and not answered.
    ``order_delay`` is asked before each call to a minion: it returns None, or after how
    many seconds the call is carried out, without an answer. ``advertise`` turns a
    minion's port into the one that its entry names; ``clock_rate`` draws the speed of
    a new minion's clock.
    """

    def __init__(
        self,
        take_port: Callable[[], int],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.log = LogModel()
        self.lock = threading.RLock()
        self.now = now
        self.store_faults: Callable[[Call], int | str | None] = lambda _: None
        self.order_delay: Callable[[str], float | None] = lambda _: None
        self.advertise: Callable[[int], int] = lambda port: port
        self.clock_rate: Callable[[], float] = lambda: 1.0
        self.events: list[tuple[float, str, str, int, str, str]] = []
        # Orders to machines that were taken: when, which, by whom, with which token.
        self.machine_orders: list[tuple[float, str, str, int]] = []
        # Upkeeps that began: when, in which wave, how many of it were down with it.
        self.upkeeps: list[tuple[float, int, int]] = []
        self.upkeep_s = UPKEEP_S
        self.machine_by_name: dict[str, _Machine] = {}
        self.cpu_by_job: dict[str, int] = {}
        self._take_port = take_port
        self._lives = 0
        self.store_port = take_port()
        self.machines_port = take_port()
        self._servers = [
            serve_in_thread(self._serve_store, self.store_port, STORE_THREADS),
            serve_in_thread(self._serve_machines, self.machines_port, 4),
        ]
        self._closed = threading.Event()
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self) -> None:
        """End all servers, after the calls that still wait."""
        self._closed.set()
        time.sleep(CLOSE_S)
        for server in self._servers:
            server.close()

    # What operators and the platform do.

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration."""
        with self.lock:
            self.log.put("keyed.op", "config", json.dumps(document).encode())

    def announce_wave(self, document: dict[str, Any]) -> None:
        """Write a wave of upkeep."""
        key = f"wave/{document['wave']}"
        with self.lock:
            self.log.put("keyed.op", key, json.dumps(document).encode())

    def add_machine(self, name: str, pool: str, rack: str, off: bool = False) -> None:
        """Add a machine; unless it is off, a minion starts on it."""
        with self.lock:
            self.machine_by_name[name] = _Machine(name, pool, rack)
            if not off:
                self._start_minion(self.machine_by_name[name])

    def crash(self, name: str) -> None:
        """End a machine's minion without a word."""
        with self.lock:
            self._end_minion(self.machine_by_name[name])

    def restart(self, name: str) -> None:
        """Start a new minion on a machine."""
        with self.lock:
            self._start_minion(self.machine_by_name[name])

    def running(self) -> dict[str, list[str]]:
        """Return what runs, by machine."""
        with self.lock:
            return {
                machine.name: list(machine.minion.model.running_tasks())
                for machine in self.machine_by_name.values()
                if machine.minion is not None
            }

    def _start_minion(self, machine: _Machine) -> None:
        self._lives += 1
        minion_id = f"i-{self._lives:04d}"

        def observe(kind: str, task: str, run: int, details: str) -> None:
            self.events.append((self.now(), kind, task, run, minion_id, details))

        model = MinionModel(
            minion_id,
            born=int(time.time() * 1000) + self._lives,
            started_at=self.now(),
            rate=self.clock_rate(),
            observe=observe,
            cpu_of=lambda task: self.cpu_by_job.get(task.partition(".")[0], 1000),
        )
        port = self._take_port()
        minion = StandInMinion(
            model, machine.pool, machine.name, machine.rack, self.advertise(port)
        )
        self._servers.append(
            serve_in_thread(
                lambda call: self._serve_minion(minion, call), port, MINION_THREADS
            )
        )
        machine.minion = minion
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

    def _write_entry(self, minion: StandInMinion) -> None:
        model = minion.model
        entry = {
            "service": minion.service,
            "addr": f"127.0.0.1:{minion.port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": minion.state,
            "capacity": {"cpu": model.cpu_capacity, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", minion.rack],
            "clock_ms": int(model.clock_ms(self.now())),
            "born": model.born,
        }
        self.log.put("keyed.servers", model.minion_id, json.dumps(entry).encode())

    def _beat(self) -> None:
        while not self._closed.wait(BEAT_S):
            with self.lock:
                for machine in self.machine_by_name.values():
                    if machine.minion is not None:
                        machine.minion.model.tick(self.now())
                        self._write_entry(machine.minion)

    # What the servers answer.

    def _serve_minion(self, minion: StandInMinion, call: Call) -> Answer:
        document = call.document()
        name = call.path[-1]
        expected = call.headers.get("geraniumshore-expect-instance")
        if expected not in (None, minion.model.minion_id):
            return Answer.json({}, 421)
        delay = self.order_delay(name)
        if delay is not None:
            late = threading.Timer(delay, self._carry_out, [minion, name, document])
            late.daemon = True
            late.start()
            return NO_ANSWER
        with self.lock:
            if minion.state == "gone":
                return NO_ANSWER
            reply = minion.model.call(name, document, self.now())
        deadline = self.now() + float(document.get("wait_ms", 0)) / 1000
        while name == "hold" and reply.status == 200 and self.now() < deadline:
            if self._closed.is_set() or minion.state == "gone":
                return NO_ANSWER
            if reply.document["ended"]:
                break
            time.sleep(POLL_S)
            with self.lock:
                reply = minion.model.hold({"fence": document["fence"]}, self.now())
        return _answer(reply)

    def _carry_out(
        self, minion: StandInMinion, name: str, document: dict[str, Any]
    ) -> None:
        with self.lock:
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
            time.sleep(POLL_S)
            reply = self._store_reply(call)
        if fault == "lost":
            return NO_ANSWER
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
                return self.log.read(topic, part, int(query["from"]))
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
        self._come_back(machine, MOVE_S)
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
        self.upkeeps.append((self.now(), wave, count))
        self._come_back(machine, self.upkeep_s)
        return Answer.json({})

    def _come_back(self, machine: _Machine, after_s: float) -> None:
        timer = threading.Timer(after_s, self._arrive, [machine])
        timer.daemon = True
        timer.start()

    def _arrive(self, machine: _Machine) -> None:
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
        "zone": "a",
        "labels": ["a", machine.rack],
        "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
        "id": "" if minion is None else minion.model.minion_id,
    }


def _answer(reply: Reply) -> Answer:
    if reply.raw is not None:
        return Answer(reply.status, reply.raw)
    return Answer.json(reply.document, reply.status)
