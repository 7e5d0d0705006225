"""Stand-ins of the platform, its minions and its consumers, for the cases 6 to 10.

They follow the users' pages and use the standard library only. Every address is a
loopback address.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

# Figures of the small site breekhal-noord.
HOLD_MAX_MS = 6_000
STOP_MS = 900
GANG_S = 3.0
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
PARTITIONS = 32
TICK_S = 0.005
LOST = "lost"

HOST = "queues.example"
KEY = "key-of-team"

Answer = tuple[int, dict[str, Any] | bytes] | str


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []
        self._lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        with self._lock:
            path.write_text("\n".join(self.lines) + "\n")


class Server:
    """An HTTP/1.1 server on a free loopback port; a handler may lose its answer."""

    def __init__(
        self, handle: Callable[[str, str, dict[str, str], bytes, Any], Answer]
    ) -> None:
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: object) -> None:
                pass

            def _serve(self) -> None:
                size = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(size)
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                answer = handle(self.command, parts.path, query, body, self.headers)
                if isinstance(answer, str):
                    # Nothing further comes on this channel.
                    self.close_connection = True
                    self.connection.settimeout(30)
                    try:
                        while self.connection.recv(65_536):
                            pass
                    except OSError:
                        pass
                    return
                status, content = answer
                data = (
                    content
                    if isinstance(content, bytes)
                    else json.dumps(content).encode()
                )
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = _serve

        class Quiet(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_: object) -> None:
                pass

        self._server = Quiet(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()


class Store:
    """The platform's log. It loses nothing that it has acknowledged."""

    def __init__(self) -> None:
        self._lock = threading.Condition()
        self._records: dict[tuple[str, int], list[bytes]] = {}
        self._newest: dict[tuple[str, int], dict[str, tuple[int, bytes]]] = {}
        self._producers: dict[tuple[str, int, str], dict[str, Any]] = {}
        self._members: dict[str, float] = {}
        self._ttl_s = 1.0
        self._generation = 0
        self._target: dict[int, str] = {}
        self._held: dict[int, str] = {}
        self._server = Server(self._handle)
        self.address = self._server.address

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write as the operator, a minion or another writer does."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        with self._lock:
            self._append((topic, 0), [content])

    def newest(self, topic: str, part: int, key: str) -> bytes | None:
        """Return the newest value of a key."""
        with self._lock:
            found = self._newest.get((topic, part), {}).get(key)
            return None if found is None else found[1]

    def _append(self, place: tuple[str, int], contents: list[bytes]) -> None:
        records = self._records.setdefault(place, [])
        for content in contents:
            if place[0].startswith("keyed."):
                size = content[0]
                key, value = content[1 : 1 + size].decode(), content[1 + size :]
                newest = self._newest.setdefault(place, {})
                if value:
                    newest[key] = len(records), value
                else:
                    newest.pop(key, None)
            records.append(content)
        self._lock.notify_all()

    def _handle(
        self, _: str, path: str, query: dict[str, str], body: bytes, __: Any
    ) -> Answer:
        time.sleep(STORE_ANSWER_S)
        place = query.get("topic", ""), int(query.get("part", 0))
        if path == "/v1/log-append":
            return self._log_append(place, query, body)
        if path == "/v1/log-read":
            return self._log_read(place, query)
        if path == "/v1/log-newest":
            return self._log_newest(place, query.get("depends_on"))
        if path == "/v1/log-owners":
            with self._lock:
                self._expire(None)
                rows = [["members", p, m, 0] for p, m in sorted(self._held.items())]
            return 200, {"parts": rows}
        document = json.loads(body or b"{}")
        if path == "/v1/log-join":
            return self._join(document)
        if path == "/v1/log-leave":
            with self._lock:
                if self._members.pop(document["member"], None) is not None:
                    self._deal()
            return 200, {}
        return 404, {}

    def _log_append(
        self, place: tuple[str, int], query: dict[str, str], body: bytes
    ) -> Answer:
        contents, position = [], 0
        while position + 4 <= len(body):
            (size,) = struct.unpack_from(">I", body, position)
            contents.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        with self._lock:
            state = None
            if "producer" in query:
                epoch, number = int(query.get("epoch", 0)), int(query.get("seq", 0))
                key = (*place, query["producer"])
                state = self._producers.get(key)
                if state is not None and epoch < state["epoch"]:
                    return 409, {"reason": "fenced"}
                if state is None or epoch > state["epoch"]:
                    state = {"epoch": epoch, "next": number, "answers": {}}
                    self._producers[key] = state
                if number in state["answers"]:
                    return 200, state["answers"][number]
                if contents and number != state["next"]:
                    return 409, {"reason": "seq", "expected": state["next"]}
            offset = len(self._records.get(place, ()))
            self._append(place, contents)
            answer = {"offset": offset, "end": offset + len(contents)}
            if state is not None and contents:
                state["next"] += 1
                state["answers"][state["next"] - 1] = answer
                state["answers"].pop(state["next"] - 6, None)
        return 200, answer

    def _log_read(self, place: tuple[str, int], query: dict[str, str]) -> Answer:
        start, wait_s = int(query["from"]), int(query.get("wait_ms", 0)) / 1000
        until = time.monotonic() + wait_s
        with self._lock:
            while (
                len(self._records.get(place, ())) <= start
                and (left := until - time.monotonic()) > 0
            ):
                self._lock.wait(left)
            records = self._records.get(place, [])
            head = struct.pack(">QQ", len(records), 0)
            body, size = [head], 0
            for record in records[start:]:
                size += len(record) + 4
                if size > int(query.get("max_kb", 1024)) * 1024 and len(body) > 1:
                    break
                body.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(body)

    def _log_newest(self, place: tuple[str, int], after: str | None) -> Answer:
        with self._lock:
            newest = self._newest.get(place, {})
            keys = sorted(key for key in newest if after is None or key > after)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(newest[key][1]).decode(),
                    "offset": newest[key][0],
                }
                for key in keys[:500]
            ]
            end = len(self._records.get(place, ()))
        return 200, {"items": items, "has_more": len(keys) > 500, "end": end}

    def _join(self, document: dict[str, Any]) -> Answer:
        member = document["member"]
        with self._lock:
            self._ttl_s = document["ttl_ms"] / 1000
            self._expire(member)
            new = member not in self._members
            self._members[member] = time.monotonic()
            if new:
                self._deal()
            if document["generation"] >= self._generation or new:
                for part, holder in list(self._held.items()):
                    if holder == member and self._target[part] != member:
                        del self._held[part]
            for part, holder in self._target.items():
                if holder == member and part not in self._held:
                    self._held[part] = member
            rows = [
                ["members", part, 0]
                for part, holder in sorted(self._held.items())
                if holder == member and self._target[part] == member
            ]
            return 200, {"generation": self._generation, "parts": rows}

    def _expire(self, joining: str | None) -> None:
        now = time.monotonic()
        gone = [
            m
            for m, at in self._members.items()
            if m != joining and now - at > self._ttl_s
        ]
        for member in gone:
            del self._members[member]
        if gone:
            self._deal()

    def _deal(self) -> None:
        self._generation += 1
        members = sorted(self._members)
        self._target = {
            part: members[(part + self._generation) % len(members)]
            for part in range(PARTITIONS)
            if members
        }
        for part, holder in list(self._held.items()):
            if holder not in self._members:
                del self._held[part]


class Gangs:
    """The members of each gang's runs, on whatever minions they are."""

    def __init__(self) -> None:
        self._present: dict[tuple[str, int], set[str]] = {}
        self._complete_at: dict[tuple[str, int], float] = {}
        self._over: dict[tuple[str, int], tuple[str, float]] = {}

    @staticmethod
    def _key(run: Run) -> tuple[str, int]:
        return run.task.rpartition(".")[0], run.number

    def join(self, run: Run, size: int, now: float) -> None:
        """Add a member of a gang of this size."""
        present = self._present.setdefault(self._key(run), set())
        present.add(run.task)
        if len(present) == size:
            self._complete_at[self._key(run)] = now

    def complete_at(self, run: Run) -> float | None:
        """Return when all members were present, None before that."""
        return self._complete_at.get(self._key(run))

    def end(self, run: Run, how: str, now: float) -> None:
        """Note how the first member ended."""
        self._over.setdefault(self._key(run), (how, now))

    def over(self, run: Run) -> tuple[str, float] | None:
        """Return how and when the first member ended."""
        return self._over.get(self._key(run))


class Run:
    """One run of a task. What it does stands in the job's spec."""

    def __init__(self, task: str, number: int, spec: str, now: float) -> None:
        self.task, self.number, self.began = task, number, now
        step = int(task.split(".")[2])
        self.plan: dict[str, Any] = json.loads(spec)["steps"][step]
        self.pace = 100
        self.stop_at: float | None = None

    def percent(self, now: float) -> int:
        """Return the progress of the work, or of the startup of a task that lasts."""
        span = self.plan.get("startup_s") or self.plan["work_s"]
        return min(100, int(100 * (now - self.began) / span))

    def at_work(self, now: float) -> bool:
        """Return whether a task that lasts is at work."""
        return self.percent(now) >= 100


class Minion:
    """One life of a minion, with its server."""

    def __init__(self, world: World, name: str, service: str, rack: str) -> None:
        self.world, self.name, self.service, self.rack = world, name, service, rack
        self.born = int(time.time() * 1000)
        self._started = time.monotonic()
        self.runs: dict[tuple[str, int], Run] = {}
        self._ended: list[list[Any]] = []
        self._ends = 0
        self._ended_run: dict[str, int] = {}
        self._fence = 0
        self._until = 0.0
        self.fails_all = False
        # Returns the fate of an order: None, LOST, or seconds until it is carried out.
        self.fate: Callable[[str, dict[str, Any]], str | float | None] = lambda *_: None
        self.measure: Callable[[Run, float], float] = lambda *_: 0.0
        self._lock = threading.Condition()
        self._server = Server(self._handle)
        self.address = self._server.address
        threading.Thread(target=self._run, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return what the minion says of itself."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": int((time.monotonic() - self._started) * 1000),
            "born": self.born,
            "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
            "labels": ["a", self.rack],
        }

    def report(self) -> None:
        """Write the entry to the store."""
        data = json.dumps(self.entry()).encode()
        self.world.store.put("keyed.servers", self.name, data)

    def _beat(self) -> None:
        while not self.world.closed.is_set():
            self.report()
            self.world.closed.wait(HEARTBEAT_S)

    def _clock(self) -> int:
        return int((time.monotonic() - self._started) * 1000) + 1

    def _run(self) -> None:
        while not self.world.closed.wait(TICK_S):
            with self.world.lock, self._lock:
                now = time.monotonic()
                for run in list(self.runs.values()):
                    how = self._end_of(run, now)
                    if how is not None:
                        self._end(run, how, now)

    def _end_of(self, run: Run, now: float) -> str | None:
        if self._clock() > self._until:
            return "lapsed"
        if run.stop_at is not None and now >= run.stop_at:
            return "stopped"
        gang, plan = run.plan.get("gang"), run.plan
        began: float | None = run.began
        if gang:
            gangs = self.world.gangs
            over = gangs.over(run)
            began = gangs.complete_at(run)
            if over is not None:
                how, at = over
                # Ends of one moment are of the same cause.
                if how == "failed" and self.fails_all and now - at < 0.1:
                    return "failed"
                return "done" if how == "done" else "broken"
            if began is None:
                return "alone" if now - run.began > GANG_S else None
        if self.fails_all and began is not None and now - began >= 0.1:
            return "failed"
        if plan.get("lasts"):
            return None
        return "done" if now - began >= plan["work_s"] else None

    def _end(self, run: Run, how: str, now: float) -> None:
        del self.runs[run.task, run.number]
        self._ended_run[run.task] = max(self._ended_run.get(run.task, 0), run.number)
        self._ends += 1
        self._ended.append([self._ends, run.task, run.number, how, ""])
        if run.plan.get("gang"):
            self.world.gangs.end(run, how, now)
        self.world.on_end(self, run, how, now)
        self._lock.notify_all()

    def _handle(
        self, _: str, path: str, __: dict[str, str], body: bytes, headers: Any
    ) -> Answer:
        expected = headers.get("Geraniumshore-Expect-Instance")
        if expected not in (None, self.name):
            return 421, {}
        name, document = path.rpartition("/")[2], json.loads(body or b"{}")
        fate = self.fate(name, document)
        if isinstance(fate, float):
            note = f"{self.name} leaves unanswered, carries out {fate:.1f} s later:"
            self.world.record.add(f"{note} {name} {_short(document)}")
            timer = threading.Timer(fate, self._carry_out_late, (name, document))
            timer.daemon = True
            timer.start()
            return LOST
        answer = self._call(name, document)
        if fate is not None:
            note = f"{self.name} carries out, its answer is lost:"
            self.world.record.add(f"{note} {name} {_short(document)}")
            return LOST
        return answer

    def _carry_out_late(self, name: str, document: dict[str, Any]) -> None:
        self._call(name, document)
        text = f"{self.name} has carried out late: {name} {_short(document)}"
        self.world.record.add(text)
        self.world.late_done(self, name, document)

    def _call(self, name: str, document: dict[str, Any]) -> Answer:
        wait_s = document.get("wait_ms", 0) / 1000
        with self.world.lock, self._lock:
            if document.get("fence", 0) < self._fence:
                return self._refuse("fence")
            self._fence = document.get("fence", 0)
            if "until_ms" in document:
                until = min(document["until_ms"], self._clock() + HOLD_MAX_MS)
                self._until = max(self._until, until)
            now = time.monotonic()
            if name == "run-start":
                return self._start(document, now)
            if name == "run-stop":
                return self._stop(document, now)
            if name == "pace":
                return self._pace(document)
            upto = document.get("acked_upto", 0)
            self._ended = [end for end in self._ended if end[0] > upto]
        until = time.monotonic() + wait_s
        with self._lock:
            while not self._ended and (left := until - time.monotonic()) > 0:
                self._lock.wait(left)
            now = time.monotonic()
            running = [
                [r.task, r.number, "", r.percent(now), self.measure(r, now)]
                for r in self.runs.values()
            ]
            return 200, {
                "clock_ms": self._clock(),
                "born": self.born,
                "running": running,
                "ended": self._ended[:500],
            }

    def _start(self, document: dict[str, Any], now: float) -> Answer:
        task, number = document["task"], document["run"]
        if (task, number) in self.runs:
            return 200, {"clock_ms": self._clock()}
        if number <= self._ended_run.get(task, 0):
            return self._refuse("old")
        if document["until_ms"] <= self._clock():
            return self._refuse("late")
        run = Run(task, number, document["spec"], now)
        self.runs[task, number] = run
        if run.plan.get("gang"):
            self.world.gangs.join(run, run.plan["gang"], now)
        self.world.on_start(self, run, now)
        return 200, {"clock_ms": self._clock()}

    def _stop(self, document: dict[str, Any], now: float) -> Answer:
        task, number = document["task"], document["run"]
        run = self.runs.get((task, number))
        if run is None:
            self._ended_run[task] = max(self._ended_run.get(task, 0), number)
        elif run.stop_at is None:
            run.stop_at = now + self.world.stop_s
            self.world.on_stop(self, run, now)
        return 200, {"clock_ms": self._clock()}

    def _pace(self, document: dict[str, Any]) -> Answer:
        run = self.runs.get((document["task"], document["run"]))
        if run is not None:
            run.pace = document["percent"]
            text = f"{self.name} paces {run.task} at {run.pace}"
            self.world.record.add(text)
        return 200, {"clock_ms": self._clock()}

    def _refuse(self, reason: str) -> Answer:
        return 409, {"clock_ms": self._clock(), "reason": reason}


def _short(document: dict[str, Any]) -> str:
    return " ".join(
        f"{k}={document[k]}" for k in ("task", "run", "percent") if k in document
    )


class World:
    """The platform, its minions and the project's nodes. Ends all that it started."""

    def __init__(self, record: Record, stop_s: float = 0.05) -> None:
        self.record = record
        self.stop_s = stop_s
        self.lock = threading.RLock()
        self.closed = threading.Event()
        self.gangs = Gangs()
        self.store = Store()
        self.minions: dict[str, Minion] = {}
        self.running: dict[str, list[tuple[str, Run]]] = {}
        self._pools: dict[str, str] = {}
        self._cloud = Server(self._machines)
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fronts: dict[str, str] = {}
        self._ready: dict[str, str] = {}
        # Hooks of a case.
        self.started: Callable[[Minion, Run, float], None] = lambda *_: None
        self.stopped: Callable[[Minion, Run, float], None] = lambda *_: None
        self.ended: Callable[[Minion, Run, str, float], None] = lambda *_: None
        self.late_done: Callable[[Minion, str, dict[str, Any]], None] = lambda *_: None

    # What the minions see.

    def on_start(self, minion: Minion, run: Run, now: float) -> None:
        """Note that a run has begun."""
        self.running.setdefault(run.task, []).append((minion.name, run))
        self.record.add(f"{minion.name} starts {run.task} run {run.number}")
        self.started(minion, run, now)

    def on_stop(self, minion: Minion, run: Run, now: float) -> None:
        """Note that a run is being stopped."""
        work = "at work" if run.at_work(now) else "not at work yet"
        self.record.add(f"{minion.name} stops {run.task} run {run.number}, {work}")
        self.stopped(minion, run, now)

    def on_end(self, minion: Minion, run: Run, how: str, now: float) -> None:
        """Note that a run has ended."""
        runs = self.running[run.task]
        self.running[run.task] = [r for r in runs if r[1] is not run]
        self.record.add(f"{minion.name} ends {run.task} run {run.number}: {how}")
        self.ended(minion, run, how, now)

    # The platform.

    def configure(self, routes: list[dict[str, Any]], services: list[str]) -> None:
        """Write the config."""
        document = {
            "version": 1,
            "routes": routes,
            "services": [
                {"name": name, "enforces_capacity": False, "standby": False}
                for name in services
            ],
            "tenants": [{"name": "team", "api_keys": [KEY], "weight": 1, "cap": {}}],
            "limits": {"max_body_bytes": 262_144},
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def add_minion(self, name: str, service: str, rack: str) -> Minion:
        """Start a minion on a machine of its own."""
        self._pools[f"machine-of-{name}"] = service
        self.minions[name] = Minion(self, name, service, rack)
        return self.minions[name]

    def _machines(
        self, method: str, path: str, _: dict[str, str], body: bytes, __: Any
    ) -> Answer:
        if method == "GET":
            rows = [
                {
                    "machine": machine,
                    "pool": pool,
                    "state": "up",
                    "zone": "zone-a",
                    "labels": ["a", self.minions[machine[11:]].rack],
                    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
                    "id": machine[11:],
                }
                for machine, pool in self._pools.items()
                if machine[11:] in self.minions
            ]
            return 200, {"machines": rows, "next_token": None}
        self.record.add(f"platform refuses {path} {body.decode()}")
        return 409, {"reason": "busy"}

    # The project's processes.

    def start_node(self, name: str) -> None:
        """Start an entry process with the command of the deploy file."""
        addresses = [f"127.0.0.1:{port}" for port in _free_ports(3)]
        settings = {
            "node": name,
            "data_centre": "zone-a",
            "front": addresses[0],
            "ready": addresses[1],
            "metrics": addresses[2],
            "store": self.store.address,
            "machines": self._cloud.address,
            "append_bytes": 2_097_152,
            "record_bytes": 262_144,
            "group_ttl_ms": 1_000,
            "longest_lease_ms": HOLD_MAX_MS,
            "longest_stop_ms": STOP_MS,
            "leaving_s": 6,
            "duty_lease_ms": 3_000,
            "status_kept_s": 120,
            "cpu_share": 0.537,
            "cpu_speed": 2,
        }
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = Path(self._folder.name) / f"{name}.log"
        with log.open("ab") as output:
            self._processes[name] = subprocess.Popen(
                ["python3", "-m", "geraniumshored.entry"],
                env={**os.environ, "GERANIUMSHORE_NODE_FILE": str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.fronts[name], self._ready[name] = addresses[0], addresses[1]

    def events(self) -> list[dict[str, Any]]:
        """Return what the nodes have logged, for the record's notes only."""
        found = []
        for path in sorted(Path(self._folder.name).glob("*.log")):
            for line in path.read_text().splitlines():
                if line.startswith("{"):
                    found.append(json.loads(line))
        return found

    def wait_until_ready(self, within_s: float = 20.0) -> bool:
        """Wait until all nodes are ready and one owns the schedule."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            for name, process in list(self._processes.items()):
                if process.poll() is not None:
                    # Another program has taken a port of it meanwhile.
                    self.start_node(name)
            if all(
                call(address, "GET", "/v1/readyz")[0] == 200
                for address in self._ready.values()
            ) and self.store.newest("keyed.jobs", 1, "o/owner"):
                return True
            time.sleep(0.1)
        return False

    def peaks_mb(self) -> dict[str, int]:
        """Return the most memory that each node has had so far."""
        peaks = {}
        for name, process in self._processes.items():
            lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
            peak = next(line for line in lines if line.startswith("VmHWM"))
            peaks[name] = int(peak.split()[1]) // 1024
        return peaks

    def kill(self, name: str) -> None:
        """Kill a node."""
        self._processes[name].send_signal(signal.SIGKILL)
        self._processes[name].wait()
        self.record.add(f"{name} is killed")

    def close(self) -> None:
        """End all processes that were started."""
        self.closed.set()
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()

    # Consumers.

    def submit(self, node: str, job_id: str, document: dict[str, Any]) -> int:
        """Hand a job in; return the status of the answer."""
        headers = _headers()
        status, _ = call(
            self.fronts[node], "POST", f"/jobs/{job_id}", document, headers
        )
        self.record.add(f"consumer POST {job_id} at {node}: {status}")
        return status

    def state(self, node: str, job_id: str) -> tuple[int, str | None]:
        """Ask for a job; return the status and its state."""
        status, answer = call(
            self.fronts[node], "GET", f"/jobs/{job_id}", None, _headers()
        )
        return status, answer.get("state")


def route(service: str, max_attempts: int = 3) -> dict[str, Any]:
    """Return the queue that consumers hand their jobs in to."""
    return {
        "name": "jobs",
        "host": HOST,
        "path_prefix": "/jobs/",
        "service": service,
        "priority": 0,
        "max_attempts": max_attempts,
        "stretch": 2.0,
        "target_latency_ms": 600,
    }


def call(
    address: str,
    method: str,
    path: str,
    document: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, Any]]:
    """Make one call; the status is 0 if no answer came."""
    connection = http.client.HTTPConnection(address, timeout=4)
    try:
        body = None if document is None else json.dumps(document)
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
    try:
        return response.status, json.loads(data) if data else {}
    except ValueError:
        return response.status, {}


def _headers() -> dict[str, str]:
    return {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "Geraniumshore-Deadline-Ms": "3000",
    }


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def main(case: Callable[[World, Record, bool], int], folder: str) -> int:
    """Run a case; return 1 if its rule was broken, 0 if not, 2 if it could not run."""
    record = Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("with the disruption" if trouble else "without the disruption")
    world = World(record)
    try:
        verdict = case(world, record, trouble)
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        verdict = 2
    finally:
        world.close()
    record.add(f"verdict {verdict}")
    record.write(Path(folder) / "record.txt")
    print("\n".join(record.lines[-8:]))
    return verdict
