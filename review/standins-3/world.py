"""Stand-ins of the users' platform for the cases of the third review.

One process serves the log store, the machines and the minions on loopback
addresses, and starts the nodes with the command of the deploy file. It follows
PROTOCOL.md; where the page is silent it behaves like a sound platform.
"""

from __future__ import annotations

import asyncio
import base64
import http.client
import json
import os
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
QUEUE_HOST = "queues.example"
API_KEY = "key-of-team-a"
KEPT_REPLIES = 5
NEWEST_PAGE = 500
PARTITIONS = 32
CHECKPOINT_MS = 2000
# What the store accepts in an append and in a record.
CALL_BYTES = 2_097_152
RECORD_BYTES = 262_144
# The figures of breekhal-noord.
BOUNDS = {
    "hold_max_ms": 6000,
    "stop_ms": 900,
    "grace_s": 6,
    "lease_ms": 3000,
    "status_s": 120,
    "gang_ms": 3000,
}


def free_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Reply(Exception):
    """An answer: a status and a body, a document or raw bytes."""

    def __init__(self, status: int, body: Any = None) -> None:
        self.status = status
        raw = isinstance(body, bytes)
        self.body = body if raw else json.dumps(body or {}).encode()


class Call:
    """One HTTP request."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def document(self) -> dict[str, Any]:
        """Return the body as a JSON object."""
        return dict(json.loads(self.body or b"{}"))


class Drop(Exception):
    """The channel ends without an answer."""


async def serve(port: int, handle: Callable[[Call], Any]) -> asyncio.Server:
    """Serve HTTP/1.1 on a loopback port."""

    async def on_channel(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                pairs = (line.partition(":") for line in lines if line)
                headers = {n.strip().lower(): v.strip() for n, _, v in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                try:
                    reply = await handle(Call(method, target, headers, body))
                except Reply as raised:
                    reply = raised
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n"
                    % (reply.status, len(reply.body))
                    + reply.body
                )
                await writer.drain()
        except (Drop, asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_channel, "127.0.0.1", port, limit=8_000_000)


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()


class Store:
    """The platform's log store."""

    def __init__(self, answer_ms: float = 4.0, append_ms: float = 2.0) -> None:
        self.answer_ms = answer_ms
        self.append_ms = append_ms
        self.partitions: dict[tuple[str, int], _Partition] = {}
        self.generation = 0
        self.joined: dict[str, tuple[float, float]] = {}
        self.holders: dict[int, str] = {}
        # Called before each call; may sleep, raise Reply or Drop.
        self.fault: Callable[[Call], Any] | None = None

    def partition(self, topic: str, part: int) -> _Partition:
        """Return a partition, which is created on first use."""
        return self.partitions.setdefault((topic, part), _Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one record, as operators and minions do."""
        name = key.encode()
        self._append(
            self.partition(topic, 0), topic, [bytes([len(name)]) + name + value]
        )

    def _append(self, part: _Partition, topic: str, contents: list[bytes]) -> int:
        offset = len(part.records)
        for content in contents:
            if topic.startswith("keyed."):
                length = content[0]
                key, value = content[1 : 1 + length].decode(), content[1 + length :]
                if value:
                    part.newest[key] = len(part.records), value
                else:
                    part.newest.pop(key, None)
            part.records.append(content)
        part.changed.set()
        part.changed = asyncio.Event()
        return offset

    async def handle(self, call: Call) -> Reply:
        """Answer one call."""
        if self.fault is not None:
            await self.fault(call)
        await asyncio.sleep(self.answer_ms / 1000)
        name = call.path.rpartition("/")[2].replace("-", "_")
        return await getattr(self, f"_{name}")(call)

    async def _log_append(self, call: Call) -> Reply:
        query = call.query
        topic, number = query["topic"], int(query.get("part", 0))
        if topic in ("keyed.op", "keyed.servers"):
            return Reply(403)
        part = self.partition(topic, number)
        async with part.turn:
            await asyncio.sleep(self.append_ms / 1000)
            state = None
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                new = {"epoch": epoch, "next": None, "replies": {}}
                state = part.producers.setdefault(query["producer"], new)
                if epoch < state["epoch"]:
                    return Reply(409, {"reason": "fenced"})
                if epoch > state["epoch"]:
                    state = part.producers[query["producer"]] = new
                if seq in state["replies"]:
                    return state["replies"][seq]
                if call.body and state["next"] not in (None, seq):
                    return Reply(409, {"reason": "seq", "expected": state["next"]})
            contents, at = [], 0
            if len(call.body) > CALL_BYTES:
                return Reply(413)
            while at < len(call.body):
                (length,) = struct.unpack_from(">I", call.body, at)
                if length > RECORD_BYTES:
                    return Reply(413)
                contents.append(call.body[at + 4 : at + 4 + length])
                at += 4 + length
            offset = self._append(part, topic, contents)
            reply = Reply(200, {"offset": offset, "end": len(part.records)})
            if state is not None and contents:
                state["next"] = seq + 1
                state["replies"][seq] = reply
                state["replies"].pop(seq - KEPT_REPLIES, None)
            return reply

    async def _log_read(self, call: Call) -> Reply:
        query = call.query
        part = self.partition(query["topic"], int(query.get("part", 0)))
        begin = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(part.records) <= begin and (left := until - time.monotonic()) > 0:
            changed = part.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        body, most = b"", int(query.get("max_kb", 1024)) * 1024
        for record in part.records[begin:]:
            if body and len(body) + len(record) + 4 > most:
                break
            body += struct.pack(">I", len(record)) + record
        return Reply(200, struct.pack(">QQ", len(part.records), 0) + body)

    async def _log_newest(self, call: Call) -> Reply:
        part = self.partition(call.query["topic"], int(call.query.get("part", 0)))
        after = call.query.get("depends_on")
        keys = sorted(key for key in part.newest if after is None or key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(part.newest[key][1]).decode(),
                "offset": part.newest[key][0],
            }
            for key in keys[:NEWEST_PAGE]
        ]
        more = len(keys) > NEWEST_PAGE
        return Reply(200, {"items": items, "has_more": more, "end": len(part.records)})

    def _expire(self, now: float) -> None:
        for member, (at, ttl) in list(self.joined.items()):
            if now > at + ttl:
                del self.joined[member]
                self._deal()

    def _deal(self) -> None:
        self.generation += 1
        members = sorted(self.joined)
        turn = self.generation
        self.holders = {
            p: members[(p + turn) % len(members)] for p in range(PARTITIONS) if members
        }

    async def _log_join(self, call: Call) -> Reply:
        document, now = call.document(), time.monotonic()
        self._expire(now)
        member = document["member"]
        new = member not in self.joined
        self.joined[member] = now, document["ttl_ms"] / 1000
        if new:
            self._deal()
        topic = document["topics"][0]
        rows = [[topic, p, 0] for p, m in self.holders.items() if m == member]
        return Reply(200, {"generation": self.generation, "parts": rows})

    async def _log_leave(self, call: Call) -> Reply:
        if self.joined.pop(call.document()["member"], None) is not None:
            self._deal()
        return Reply(200)

    async def _log_owners(self, call: Call) -> Reply:
        self._expire(time.monotonic())
        rows = [["members", p, m, 0] for p, m in self.holders.items()]
        return Reply(200, {"parts": rows})


class _Run:
    def __init__(
        self, number: int, began: float, step: dict[str, Any], how: Any
    ) -> None:
        self.number = number
        self.began = began
        self.step = step
        self.how = how
        self.stop_at: float | None = None


class Minion:
    """One lifetime of a minion. Times are seconds on its own steady clock."""

    def __init__(
        self,
        world: World,
        minion_id: str,
        service: str,
        machine: str,
        rack: str,
        capacity: dict[str, int],
        labels: tuple[str, ...] = ("a",),
    ) -> None:
        self.world = world
        self.id = minion_id
        self.service = service
        self.machine = machine
        self.labels = [*labels[:1], rack, *labels[1:]]
        self.capacity = capacity
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease_until = 0.0
        self.runs: dict[str, _Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.ends = 0
        self.state = "ready"
        self.seq = 0
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        # Called before each call; may sleep, raise Reply or Drop.
        self.fault: Callable[[Minion, str, Call], Any] | None = None

    def clock_ms(self) -> int:
        """Return the time of the minion's steady clock."""
        return int((time.monotonic() - self.started) * 1000)

    def entry(self) -> bytes:
        """Return what the minion writes of itself."""
        self.seq += 1
        return json.dumps(
            {
                "service": self.service,
                "addr": f"127.0.0.1:{self.port}",
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.seq,
                "capacity": self.capacity,
                "labels": self.labels,
                "machine": self.machine,
                "born": self.born,
            }
        ).encode()

    async def handle(self, call: Call) -> Reply:
        """Answer one call."""
        expected = call.headers.get("geraniumshore-expect-instance")
        if expected not in (None, self.id):
            return Reply(421)
        name = call.path.rpartition("/")[2]
        if self.fault is not None:
            await self.fault(self, name, call)
        if self.state == "gone":
            raise Drop
        document = call.document()
        self.tick()
        if int(document.get("fence", 0)) < self.fence:
            return self._refuse("fence")
        self.fence = int(document.get("fence", 0))
        if name == "hold":
            return await self._hold(document)
        if name == "run-start":
            return self._start(document)
        if name == "run-stop":
            return self._stop(document)
        return Reply(200, {"clock_ms": self.clock_ms()})

    def _refuse(self, reason: str) -> Reply:
        return Reply(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def _extend(self, until_ms: Any) -> None:
        if until_ms is not None:
            longest = self.clock_ms() + BOUNDS["hold_max_ms"]
            self.lease_until = max(self.lease_until, min(until_ms, longest))

    async def _hold(self, document: dict[str, Any]) -> Reply:
        self._extend(document.get("until_ms"))
        acked = int(document.get("acked_upto", 0))
        for number, task, run, how, _ in self.ended:
            if number <= acked:
                self.world.note("noted", task, run, self.id, how)
        self.ended = [end for end in self.ended if end[0] > acked]
        until = time.monotonic() + int(document.get("wait_ms", 0)) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        if self.state == "gone":
            raise Drop
        self.tick()
        clock = self.clock_ms()
        running = [
            [
                task,
                run.number,
                self._saved(task, run, clock),
                self._percent(run, clock),
                run.step.get("cpu", 0),
            ]
            for task, run in self.runs.items()
        ]
        return Reply(
            200,
            {
                "clock_ms": clock,
                "born": self.born,
                "running": running,
                "ended": self.ended[:500],
            },
        )

    def _saved(self, task: str, run: _Run, clock: float) -> str:
        """Return the checkpoint of the work so far."""
        if not run.step.get("checkpointing") or clock < run.began + CHECKPOINT_MS:
            return ""
        return f"{task}/{run.number}/{int(clock)}/".ljust(
            self.world.checkpoint_chars, "c"
        )

    @staticmethod
    def _percent(run: _Run, clock: float) -> int:
        work_ms = 300 if run.step.get("long_running") else run.how[1]
        return max(0, min(100, int(100 * (clock - run.began) / max(1, work_ms))))

    def _start(self, document: dict[str, Any]) -> Reply:
        task, number = document["task"], int(document["run"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return Reply(200, {"clock_ms": self.clock_ms()})
        if document["until_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(document["until_ms"])
        if present is not None or number <= self.highest.get(task, 0):
            return self._refuse("old")
        job_id, _, step_number, _ = task.split(".")
        step = self.world.steps_by_job[job_id][int(step_number)]
        how = self.world.behaviour(document["spec"], task, number)
        self.runs[task] = _Run(number, self.clock_ms(), step, how)
        self.world.note("start", task, number, self.id, str(self.fence))
        if step.get("gang"):
            self.world.join_gang(task, number, step["count"])
        self.world.loop.call_later(how[1] / 1000 + 0.001, self.tick)
        return Reply(200, {"clock_ms": self.clock_ms()})

    def _stop(self, document: dict[str, Any]) -> Reply:
        task, number = document["task"], int(document["run"])
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = self.clock_ms() + 50
            self.world.loop.call_later(0.051, self.tick)
        self.highest[task] = max(number, self.highest.get(task, 0))
        return Reply(200, {"clock_ms": self.clock_ms()})

    def tick(self) -> None:
        """End the runs whose lease, stop or work is over."""
        if self.state == "gone":
            return
        clock = self.clock_ms()
        for task, run in list(self.runs.items()):
            how, work_ms = run.how
            if clock >= self.lease_until:
                self._end(task, "lapsed")
            elif run.stop_at is not None and clock >= run.stop_at:
                self._end(task, "stopped")
            elif run.step.get("gang"):
                end = self.world.end_of_gang(task, run.number, how, work_ms)
                if end is not None:
                    self._end(task, end)
            elif not run.step.get("long_running") and clock >= run.began + work_ms:
                self._end(task, how)

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        if run.step.get("gang"):
            self.world.leave_gang(task, run.number, how)
        self.ends += 1
        saved = self._saved(task, run, self.clock_ms())
        self.ended.append([self.ends, task, run.number, how, saved])
        self.highest[task] = max(run.number, self.highest.get(task, 0))
        self.world.note("end", task, run.number, self.id, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def crash(self) -> None:
        """End this lifetime without a word."""
        for task, run in self.runs.items():
            if run.step.get("gang"):
                self.world.leave_gang(task, run.number, "crash")
            self.world.note("end", task, run.number, self.id, "crash")
        self.runs.clear()
        self.state = "gone"
        self.changed.set()
        if self.server is not None:
            self.server.close()


class World:
    """The platform, its minions and the nodes of one case.

    All stand-ins run in one event loop, in a thread of its own.
    """

    def __init__(self, heartbeat_ms: int = 1500, **store: float) -> None:
        self.began = time.monotonic()
        self.heartbeat_ms = heartbeat_ms
        self.events: list[tuple[float, str, str, int, str, str]] = []
        self.calls: list[str] = []
        self.orders: list[tuple[float, str, str, str, int, int]] = []
        self.steps_by_job: dict[str, list[dict[str, Any]]] = {}
        self.minions: dict[str, Minion] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.gangs: dict[tuple[str, int], dict[str, Any]] = {}
        self.nodes: dict[str, Node] = {}
        self.numbers = iter(range(1, 100_000))
        self.folder = tempfile.TemporaryDirectory()
        self.loop = asyncio.new_event_loop()
        self.move_s, self.upkeep_s = 1.5, 2.0
        self.checkpoint_chars = 16
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.store_port, self.cloud_port = free_port(), free_port()

        async def begin() -> Store:
            made = Store(**store)
            await serve(self.store_port, made.handle)
            await serve(self.cloud_port, self._cloud)
            self.loop.create_task(self._beat())
            return made

        self.store: Store = self.run(begin())

    def run(self, coroutine: Any) -> Any:
        """Run a coroutine in the stand-ins' loop."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(20)

    def do(self, call: Callable[[], Any]) -> Any:
        """Run a function in the stand-ins' loop."""

        async def wrapped() -> Any:
            return call()

        return self.run(wrapped())

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, kind: str, task: str, run: int, where: str, how: str = "") -> None:
        """Record what a minion saw."""
        self.events.append((self.now(), kind, task, run, where, how))

    def behaviour(self, spec: str, task: str, number: int) -> tuple[str, float]:
        """Return how a run ends, and after how much work in ms."""
        document = json.loads(spec)
        return document.get("how", "done"), float(document.get("work_ms", 200))

    # Gangs: the members of one run work from when all are present.

    def _gang(self, task: str, number: int) -> dict[str, Any]:
        key = task.rpartition(".")[0], number
        new = {"since": {}, "full": None, "over": None}
        return self.gangs.setdefault(key, new)

    def join_gang(self, task: str, number: int, count: int) -> None:
        """Record that a member is present."""
        gang = self._gang(task, number)
        gang["since"][task] = time.monotonic()
        if len(gang["since"]) == count and gang["over"] is None:
            gang["full"] = time.monotonic()
            self.loop.call_later(0.0, self._tick_all)

    def leave_gang(self, task: str, number: int, how: str) -> None:
        """Record that a member has ended, which ends the others."""
        gang = self._gang(task, number)
        if gang["over"] is None:
            gang["over"] = "done" if how == "done" else "broken"
            self.loop.call_later(0.0, self._tick_all)

    def end_of_gang(
        self, task: str, number: int, how: str, work_ms: float
    ) -> str | None:
        """Return how a member's run ends now, None if it goes on."""
        gang = self._gang(task, number)
        if gang["over"] is not None:
            return str(gang["over"])
        now = time.monotonic()
        if gang["full"] is None:
            waited = now - gang["since"][task]
            return "alone" if waited > BOUNDS["gang_ms"] / 1000 else None
        return how if now >= gang["full"] + work_ms / 1000 else None

    def _tick_all(self) -> None:
        for minion in list(self.minions.values()):
            minion.tick()

    async def _beat(self) -> None:
        beats = 0
        while True:
            await asyncio.sleep(0.05)
            self._tick_all()
            beats += 1
            if beats * 50 >= self.heartbeat_ms:
                beats = 0
                for minion in self.minions.values():
                    if minion.state != "gone":
                        self.store.put("keyed.servers", minion.id, minion.entry())

    # Machines and minions.

    def add_machine(
        self,
        name: str,
        pool: str,
        rack: str,
        capacity: dict[str, int],
        off: bool = False,
        labels: tuple[str, ...] = ("a",),
    ) -> None:
        """Add a machine, and a minion on it unless it is off."""

        def add() -> None:
            self.machines[name] = {
                "machine": name,
                "pool": pool,
                "state": "up",
                "zone": "a",
                "labels": [*labels[:1], rack, *labels[1:]],
                "capacity": capacity,
                "id": "",
                "wave": None,
                "rack": rack,
                "kind": labels,
            }

        self.do(add)
        if not off:
            self.run(self.start_minion(name))

    async def start_minion(self, name: str, minion_id: str | None = None) -> Minion:
        """Start a new lifetime on a machine."""
        row = self.machines[name]
        minion = Minion(
            self,
            minion_id or f"{next(self.numbers):016x}",
            row["pool"],
            name,
            row["rack"],
            row["capacity"],
            row["kind"],
        )
        minion.server = await serve(minion.port, minion.handle)
        self.minions[minion.id] = minion
        row["id"], row["state"] = minion.id, "up"
        self.store.put("keyed.servers", minion.id, minion.entry())
        return minion

    async def _cloud(self, call: Call) -> Reply:
        await asyncio.sleep(0.004)
        if call.method == "GET":
            names = ("rack", "kind", "wave")
            rows = [
                {k: v for k, v in row.items() if k not in names}
                for row in self.machines.values()
            ]
            return Reply(200, {"machines": rows, "next_token": ""})
        document = call.document()
        row = self.machines.get(document["machine"])
        if row is None:
            return Reply(400)
        upkeep = call.path.endswith("upkeep")
        holder = call.headers.get("geraniumshore-lease-holder", "")
        token = int(call.headers.get("geraniumshore-fencing-token", 0))
        if upkeep and row["wave"] == document["wave"]:
            return Reply(200)
        if not upkeep and row["pool"] == document["pool"]:
            return Reply(200)
        if row["state"] != "up":
            return Reply(409, {"reason": "busy"})
        down = sum(
            other["state"] == "upkeep" and other["wave"] == document.get("wave")
            for other in self.machines.values()
        )
        what = f"wave {document['wave']}" if upkeep else f"to {document['pool']}"
        self.orders.append((self.now(), row["machine"], what, holder, token, down))
        minion = self.minions.get(row["id"])
        if minion is not None:
            minion.crash()
            self.store.put("keyed.servers", minion.id, b"")
        row["id"] = ""
        if upkeep:
            row["wave"], row["state"] = document["wave"], "upkeep"
        else:
            row["pool"], row["state"] = document["pool"], "moving"

        def back() -> None:
            row["state"] = "up"
            if not row["pool"].startswith("spare"):
                self.loop.create_task(self.start_minion(row["machine"]))

        self.loop.call_later(self.upkeep_s if upkeep else self.move_s, back)
        return Reply(200)

    # Operators.

    def configure(self, document: dict[str, Any]) -> None:
        """Write a config."""
        data = json.dumps(document).encode()
        self.do(lambda: self.store.put("keyed.op", "config", data))

    # Nodes.

    def start_node(self, name: str, **settings: Any) -> Node:
        """Start a node with the command of the deploy file."""
        node = self.nodes.get(name) or Node(self, name)
        self.nodes[name] = node
        node.start(settings)
        return node

    def owner(self) -> str | None:
        """Return the node that says that it owns the schedule, by the newest epoch."""
        taken = [
            (event.get("epoch", 0), name)
            for name, node in self.nodes.items()
            for event in node.log()
            if event.get("event") == "ownership taken"
        ]
        return max(taken)[1] if taken else None

    def close(self) -> None:
        """End all processes that were started."""
        for node in self.nodes.values():
            node.end()
        self.folder.cleanup()

    def write_record(self, path: Path, findings: list[str]) -> None:
        """Write what was sent, answered and run."""
        lines = [f"{at:8.3f} {' '.join(map(str, rest))}" for at, *rest in self.events]
        lines += [f"{at:8.3f} order {rest}" for at, *rest in self.orders]
        lines += self.calls
        lines.sort()
        path.write_text("\n".join(["findings:", *findings, "", *lines, ""]))


class Node:
    """One node process."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self.logs: list[Path] = []
        self.exits: list[int] = []
        ports = ("front", "ready", "metrics", "peers")
        self.addresses = {part: f"127.0.0.1:{free_port()}" for part in ports}

    def start(self, settings: dict[str, Any]) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        document = {
            "node": self.name,
            "data_centre": "a",
            **self.addresses,
            "store": f"127.0.0.1:{self.world.store_port}",
            "machines": f"127.0.0.1:{self.world.cloud_port}",
            "append_bytes": CALL_BYTES,
            "record_bytes": RECORD_BYTES,
            "group_ttl_ms": 1000,
            "longest_lease_ms": BOUNDS["hold_max_ms"],
            "longest_stop_ms": BOUNDS["stop_ms"],
            "leaving_s": BOUNDS["grace_s"],
            "duty_lease_ms": BOUNDS["lease_ms"],
            "status_kept_s": BOUNDS["status_s"],
            "memory_mb": 300,
            "max_fds": 4100,
            "cpu_share": 0.537,
            "cpu_speed": 2,
            **settings,
        }
        folder = Path(self.world.folder.name)
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(document))
        log = folder / f"{self.name}-{len(self.logs)}.log"
        self.logs.append(log)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["GERANIUMSHORE_NODE_FILE"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with log.open("wb") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def log(self) -> list[dict[str, Any]]:
        """Return the events that the process has logged."""
        lines = [line for log in self.logs for line in log.read_text().splitlines()]
        return [json.loads(line) for line in lines if line.startswith("{")]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def ready(self) -> bool:
        """Return whether the process says that it is ready."""
        return request(self.addresses["ready"], "GET", "/v1/readyz")[0] == 200

    def call(
        self,
        method: str,
        job_id: str,
        document: Any = None,
        key: str = API_KEY,
        prefix: str = "/jobs/",
        timeout: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Send a consumer's call; the status is 0 without an answer."""
        if method == "POST":
            steps = document["phases"]
            self.world.steps_by_job[job_id] = steps
        headers = {
            "Host": QUEUE_HOST,
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            "Geraniumshore-Deadline-Ms": str(int(timeout * 1000)),
        }
        began = self.world.now()
        answer = request(
            self.addresses["front"], method, prefix + job_id, document, headers, timeout
        )
        self.world.calls.append(
            f"{began:8.3f} {self.name} {method} {prefix}{job_id} -> {answer[0]} "
            f"{json.dumps(answer[1])} at {self.world.now():.3f}"
        )
        return answer


def request(
    address: str,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Make one HTTP call; the status is 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        body = None if document is None else json.dumps(document).encode()
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


def wait_for(condition: Callable[[], Any], what: str, timeout: float = 20.0) -> None:
    """Wait until a condition holds. Raises TimeoutError."""
    until = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(f"{what} in {timeout} s")
        time.sleep(0.05)


def config(
    services: list[str],
    version: int = 1,
    cap_cpu: int = 0,
    spare: str = "spare",
    **route: Any,
) -> dict[str, Any]:
    """Return a config with one queue for each service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"q-{name}",
                "host": QUEUE_HOST,
                "path_prefix": "/jobs/" if n == 0 else f"/jobs-{name}/",
                "service": name,
                "priority": 0,
                "max_attempts": 3,
                "stretch": 1.6,
                "target_latency_ms": 600,
                **route,
            }
            for n, name in enumerate(services)
        ],
        "services": [
            *({"name": n, "enforces_capacity": False} for n in services),
            {"name": spare, "enforces_capacity": False, "standby": True},
        ],
        "tenants": [
            {
                "name": "team-a",
                "api_keys": [API_KEY],
                "weight": 1000,
                "cap": {"cpu": cap_cpu, "mem_mb": 0, "gpu": 0},
            }
        ],
        "limits": {"max_body_bytes": 262_144},
    }


def run_case(folder: Path, play: Callable[[World], list[str]], **settings: Any) -> int:
    """Play a case and write its record; return the exit status of ``run.sh``."""
    world = World(**settings)
    try:
        findings = play(world)
    except (TimeoutError, RuntimeError, ValueError, OSError) as error:
        print(f"the case could not run: {error}")
        world.write_record(folder / "record.txt", [f"could not run: {error}"])
        return 2
    finally:
        world.close()
    world.write_record(folder / "record.txt", findings)
    for finding in findings[:20]:
        print(finding)
    print("the rule was broken" if findings else "the rule held")
    return int(bool(findings))
