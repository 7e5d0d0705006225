"""A small deployment on loopback: a platform, minions, callers and the project's nodes.

The platform and the minions are served by a thread of this process. The nodes are
processes of their own, started with the command and the template of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.minion import Minion
from standins.store import Store
from standins.web import Call, Reply, Server, json_reply

__all__ = ["Answer", "Event", "Node", "World", "main"]

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "queues.example"
RESTART_DELAY_S = 1.0
START_TRIES, START_CHECK_S = 5, 1.0

# The bounds and limits of DEPLOY.md that the template uses.
SETTINGS: dict[str, Any] = {
    "platform": {"ttl_min_ms": 1000},
    "bounds": {
        "hold_max_ms": 6000,
        "stop_ms": 900,
        "grace_s": 6,
        "lease_ms": 3000,
        "status_s": 120,
    },
    "limits": {"cpu_share": 0.537, "cores": 2},
}


@dataclass(frozen=True)
class Event:
    """What a minion, a caller or the operator saw, in seconds from the start."""

    at: float
    kind: str
    fields: dict[str, Any]

    def __getattr__(self, name: str) -> Any:
        return self.fields.get(name)


@dataclass(frozen=True)
class Answer:
    """A node's answer. Status 0 means that there was none."""

    status: int
    document: dict[str, Any]

    @property
    def state(self) -> str | None:
        """The state of a job, if the answer has one."""
        return self.document.get("state")


@dataclass
class Node:
    """One of the project's processes."""

    name: str
    settings: Path
    front: str
    ready: str
    log: Path
    process: subprocess.Popen[bytes]

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the lines that the node wrote about an event; diagnosis only."""
        lines = (line for line in self.log.read_text().splitlines() if line[:1] == "{")
        return [row for row in map(json.loads, lines) if row.get("event") == event]


class World:
    """The whole deployment. Everything that it started ends with ``close``."""

    def __init__(self, folder: Path, stop_ms: int = 900) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.events: list[Event] = []
        self.node_by_name: dict[str, Node] = {}
        self.minion_by_id: dict[str, Minion] = {}
        self._record = folder / "record.txt"
        self._began = time.monotonic()
        self._stop_ms = stop_ms
        self._fails: dict[str, int] = {}
        self._temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self._lock = threading.Lock()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.store = self.call(self._make_store())
        self._cloud = Server("cloud", self._answer_cloud)
        self.call(self._cloud.open())
        self._next_run = 0
        self._restarts: list[threading.Timer] = []

    # Time and record.

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, kind: str, **fields: Any) -> None:
        """Add an event to the record."""
        with self._lock:
            self.events.append(Event(self.now(), kind, fields))

    def of_kind(self, kind: str) -> list[Event]:
        """Return the events of one kind so far."""
        with self._lock:
            return [event for event in self.events if event.kind == kind]

    def write_record(self, verdicts: list[str]) -> None:
        """Write the record, with the verdicts at its end."""
        lines = [
            f"{event.at:8.3f} {event.kind}"
            + "".join(f" {name}={value}" for name, value in event.fields.items())
            for event in sorted(self.events, key=lambda event: event.at)
        ]
        self._record.write_text("\n".join([*lines, *verdicts]) + "\n")

    # Platform and minions.

    def call(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the platform's thread."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _make_store(self) -> Store:
        return Store()

    def on_platform(self, function: Callable[[], None]) -> None:
        """Run a function on the platform's thread."""

        async def run() -> None:
            function()

        self.call(run())

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        value = json.dumps(document).encode()
        self.on_platform(lambda: self.store.put("keyed.op", "config", value))
        self.note("config", version=document["version"])

    def add_minions(
        self, service: str, count: int, cpu: int = 16_000, mem_mb: int = 32_768
    ) -> list[Minion]:
        """Start minions of a service, four to a rack."""
        added = []
        for _ in range(count):
            number = len(self.minion_by_id)
            minion = Minion(
                f"w-{number:02d}",
                service,
                f"r-{number // 4}",
                {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0},
                SETTINGS["bounds"]["hold_max_ms"],
                self._stop_ms,
                self.note,
                lambda key, value: self.store.put("keyed.servers", key, value),
                self._fails,
            )
            self.minion_by_id[minion.minion_id] = minion
            self.call(minion.start())
            added.append(minion)
        return added

    async def _answer_cloud(self, call: Call) -> Reply:
        rows = [
            {
                "machine": f"machine-{minion.minion_id}",
                "pool": minion.service,
                "state": "up" if minion.up else "down",
                "zone": "a",
                "labels": ["a", minion.rack],
                "capacity": minion.capacity,
                "id": minion.minion_id if minion.up else "",
            }
            for minion in self.minion_by_id.values()
        ]
        if call.method == "GET":
            return json_reply({"machines": rows, "next_token": None})
        # No case has a wave or a second pool to which a machine could move.
        return Reply(400)

    # Nodes.

    def start_nodes(self, *names: str) -> None:
        """Start nodes and wait until each is ready and one owns the schedule."""
        for name in names:
            self._start_node(name)
        for name in names:
            self._ensure_running(name)
            self.wait(lambda name=name: self.ready(name), f"{name} is ready", 30)
        self.wait(lambda: self.owner() is not None, "a node owns the schedule", 30)

    def _start_node(self, name: str) -> Node:
        former = self.node_by_name.get(name)
        if former is None:
            ports = [_free_port() for _ in range(3)]
            front, ready, metrics = (f"127.0.0.1:{port}" for port in ports)
            values = {
                **SETTINGS,
                "node": name,
                "zone": "a",
                "ip": "127.0.0.1",
                "port_range": [ports[2], ports[2]],
                "listen": {"front": front, "ready": ready},
                "cloud": {"addr": self._cloud.address},
            }
            values["platform"] = {
                **SETTINGS["platform"],
                "addr": self.call(self.store.serve_node(name)),
            }
            values["bounds"] = {**SETTINGS["bounds"], "stop_ms": self._stop_ms}
            template = (ROOT / _deploy_role()["template"]).read_text()
            settings = self._temporary / f"{name}.json"
            settings.write_text(_fill(template, values))
        else:
            front, ready, settings = former.front, former.ready, former.settings
        self._next_run += 1
        log = self._temporary / f"{name}-{self._next_run}.log"
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["GERANIUMSHORE_NODE_FILE"] = str(settings)
        with log.open("wb") as output:
            process = subprocess.Popen(
                _deploy_role()["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        node = Node(name, settings, front, ready, log, process)
        self.node_by_name[name] = node
        self.note("node started", node=name)
        return node

    def _ensure_running(self, name: str) -> None:
        """Start a node anew if another program took one of its ports meanwhile."""
        for _ in range(START_TRIES):
            process = self.node_by_name[name].process
            try:
                process.wait(START_CHECK_S)
            except subprocess.TimeoutExpired:
                return
            del self.node_by_name[name]
            self._start_node(name)

    def ready(self, name: str) -> bool:
        """Return whether a node's probe is answered with 200."""
        address = self.node_by_name[name].ready
        return _http(address, "GET", "/v1/readyz", {}, None, 2.0).status == 200

    def owner(self) -> str | None:
        """Return the node that owns the schedule, from the record in the store."""
        value = self.store.newest("keyed.jobs", 1, "o/owner")
        return None if value is None else json.loads(value)["member"].split("/")[0]

    def kill(self, name: str) -> None:
        """Kill a node's process; the platform starts it again after a short delay."""
        self.note("SIGKILL", node=name)
        self.node_by_name[name].process.kill()
        self.node_by_name[name].process.wait()
        self._restart_later(name)

    def _restart_later(self, name: str) -> None:
        timer = threading.Timer(RESTART_DELAY_S, self._start_node, [name])
        timer.daemon = True
        self._restarts.append(timer)
        timer.start()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a node, as for planned work."""
        self.note("SIGTERM", node=name)
        self.node_by_name[name].process.send_signal(signal.SIGTERM)

    # Callers.

    def request(
        self,
        node: str,
        method: str,
        path: str,
        key: str | None = "key-1",
        document: dict[str, Any] | None = None,
        timeout: float = 3.0,
    ) -> Answer:
        """Send a caller's request on a new channel to a node."""
        headers = {"Host": HOST, "Geraniumshore-Deadline-Ms": str(int(timeout * 1000))}
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        self.note("sent", node=node, call=method, path=path)
        front = self.node_by_name[node].front
        answer = _http(front, method, path, headers, document, timeout)
        self.note(
            "answered", node=node, call=method, path=path, status=answer.status,
            **answer.document,
        )  # fmt: skip
        return answer

    def submit(
        self, node: str, path: str, document: dict[str, Any], **more: Any
    ) -> bool:
        """Submit a job, with retries; return whether it was accepted."""
        for _ in range(5):
            answer = self.request(node, "POST", path, document=document, **more)
            if 200 <= answer.status < 300:
                return True
            time.sleep(0.3)
        return False

    # Waiting.

    def wait(self, condition: Callable[[], bool], what: str, seconds: float) -> None:
        """Wait for a condition. Raises TimeoutError."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"not in {seconds} s: {what}")
            time.sleep(0.01)

    def runs(self, job: str) -> list[Event]:
        """Return the starts of a job's tasks so far."""
        return [e for e in self.of_kind("start") if e.task.startswith(f"{job}.")]

    @staticmethod
    async def _cancel_tasks() -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def close(self) -> None:
        """End all processes and servers."""
        for timer in self._restarts:
            timer.cancel()
            timer.join()
        for node in self.node_by_name.values():
            node.process.kill()
            node.process.wait()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            shutil.copytree(self._temporary, logs, dirs_exist_ok=True)

        def close_servers() -> None:
            for minion in self.minion_by_id.values():
                minion.close()
            self.store.close()
            self._cloud.close()

        self.on_platform(close_servers)
        self.call(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        shutil.rmtree(self._temporary, ignore_errors=True)


def main(folder: str, play: Callable[[World], list[str]], stop_ms: int = 900) -> None:
    """Play a case and exit with its verdict: 1 broken, 0 held, 2 could not run."""
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the deploy file's build first")
        sys.exit(NOT_RUN)
    world = World(Path(folder), stop_ms)
    verdicts: list[str] = []
    code = NOT_RUN
    try:
        broken = play(world)
        verdicts = [f"BROKEN {line}" for line in broken] or ["HELD"]
        code = BROKEN if broken else HELD
    except Exception as error:
        verdicts = [f"NOT RUN {type(error).__name__}: {error}"]
    finally:
        world.close()
        world.write_record(verdicts)
    print("\n".join(verdicts[:20]))
    sys.exit(code)


def _deploy_role() -> dict[str, Any]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["entry"]


def _fill(template: str, values: dict[str, Any]) -> str:
    """Fill the placeholders of DEPLOY.md that the template uses."""

    def find(name: str) -> Any:
        value: Any = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if value is not None else None
        return value

    def section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) else ""

    def placeholder(match: re.Match[str]) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


def _ephemeral_ports() -> tuple[int, int]:
    """Return the range of ports that the kernel gives to outgoing connections."""
    try:
        text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
        first, last = map(int, text.split())
    except (OSError, ValueError):
        return 32_768, 60_999
    return first, last


def _free_port() -> int:
    """Return a free port that is not in the range of outgoing connections."""
    first, last = _ephemeral_ports()
    ports = [*range(2_000, first), *range(last + 1, 65_536)]
    while True:
        port = random.SystemRandom().choice(ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def _http(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    document: dict[str, Any] | None,
    timeout: float,
) -> Answer:
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        body = None if document is None else json.dumps(document).encode()
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        return Answer(0, {})
    finally:
        connection.close()
    try:
        parsed = json.loads(data) if data else {}
    except ValueError:
        parsed = {}
    return Answer(response.status, parsed if isinstance(parsed, dict) else {})
