"""Node processes that run against a simulated platform."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from geraniumshore_standins.internal.fleet import free_port, wait_for
from geraniumshore_standins.internal.users_platform.platform_simulator import (
    PlatformSimulator,
)

__all__ = ["JobReply", "NodeProcess", "PlatformFleet", "configuration_document"]

API_KEY = "key-of-team"
QUEUE_HOST = "queues.example"
CALL_TIMEOUT_SECONDS = 5.0
JOB_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class JobReply:
    """A node's response. Status 0 means that there was none."""

    status: int
    document: dict[str, Any]
    retry_after: str | None = None


@dataclass(slots=True)
class NodeProcess:
    """A node process and its addresses."""

    name: str
    front: str
    ready: str
    metrics: str
    process: subprocess.Popen[bytes]
    log: Path

    def events(self) -> list[dict[str, Any]]:
        """Return the events logged so far."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        return _call(self.ready, "GET", "/v1/readyz").status == 200


class PlatformFleet:
    """A simulated platform with some nodes. Ends every process that it started."""

    def __init__(self, service: str = "s", **settings: Any) -> None:
        self.simulator = PlatformSimulator(free_port)
        self.service = service
        self._settings = settings
        self.node_by_name: dict[str, NodeProcess] = {}
        self._folder = tempfile.TemporaryDirectory()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def folder(self) -> Path:
        """Directory of settings and logs, deleted when the fleet is closed."""
        return Path(self._folder.name)

    def close(self) -> None:
        """Kill all nodes and close the simulated platform."""
        for node in self.node_by_name.values():
            with contextlib.suppress(ProcessLookupError):
                node.process.kill()
            node.process.wait()
        self.simulator.close()
        self._folder.cleanup()

    def start_node(self, name: str) -> NodeProcess:
        """Start a node.

        It replaces an earlier node of that name, whose process is no longer tracked.
        """
        addresses = {
            part: f"127.0.0.1:{free_port()}" for part in ("front", "ready", "metrics")
        }
        settings = {
            "node": name,
            "data_centre": "a",
            "store": self.store_address(name),
            "machines": f"127.0.0.1:{self.simulator.machines_port}",
            "leaving_s": 2,
            "peers": f"127.0.0.1:{free_port()}",
            **addresses,
            **self._settings,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = self.folder / f"{name}-{time.monotonic_ns()}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "geraniumshored.entry"],
                env={**os.environ, "GERANIUMSHORE_NODE_FILE": str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        node = NodeProcess(name, process=process, log=log, **addresses)
        self.node_by_name[name] = node
        return node

    def store_address(self, name: str) -> str:
        """Return the address at which a node reaches the store."""
        return f"127.0.0.1:{self.simulator.store_port}"

    def start(self, nodes: int = 2, minions: int = 3) -> None:
        """Start minions and nodes and wait until a node owns the schedule."""
        self.simulator.configure(configuration_document(self.service))
        for number in range(minions):
            self.simulator.add_machine(
                f"m-{number}",
                self.service,
                f"r{number % 2}",
                data_centre=self.data_centre_of(number),
            )
        for number in range(nodes):
            self.start_node(f"n{number}")
        for node in self.node_by_name.values():
            wait_for(node.is_ready, f"{node.name} is ready")
        wait_for(lambda: self.owner() is not None, "an owner")

    def data_centre_of(self, machine: int) -> str:
        """Return the data centre of a machine that ``start`` adds."""
        return "a"

    def owner(self) -> NodeProcess | None:
        """Return the node that owns the schedule."""
        takeovers = [
            (event["epoch"], node)
            for node in self.node_by_name.values()
            for event in node.events()
            if event["event"] == "ownership taken"
        ]
        return max(takeovers, key=lambda pair: int(pair[0]))[1] if takeovers else None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node of this fleet."""
        self.node_by_name[name].process.send_signal(number)

    def submit(
        self,
        node: str,
        job_id: str,
        document: dict[str, Any],
        key: str | None = API_KEY,
    ) -> JobReply:
        """Submit a job."""
        return self.call(node, "POST", job_id, document, key)

    def call(
        self,
        node: str,
        method: str,
        job_id: str,
        document: dict[str, Any] | None = None,
        key: str | None = API_KEY,
    ) -> JobReply:
        """Call a node's job API."""
        headers = {"Host": QUEUE_HOST}
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        address = self.node_by_name[node].front
        return _call(address, method, f"/jobs/{job_id}", document, headers)

    def state(self, node: str, job_id: str) -> str | None:
        """Return a job's state according to a node."""
        return self.call(node, "GET", job_id).document.get("state")

    def wait_for_state(self, node: str, job_id: str, state: str) -> None:
        """Wait until a node reports the state."""
        wait_for(
            lambda: self.state(node, job_id) == state,
            f"job {job_id} {state}",
            JOB_TIMEOUT_SECONDS,
        )


def configuration_document(
    service: str, version: int = 1, keys: tuple[str, ...] = (API_KEY,), cpu_cap: int = 0
) -> dict[str, Any]:
    """Return a configuration with one queue and one team."""
    return {
        "version": version,
        "routes": [
            {
                "name": "q",
                "host": QUEUE_HOST,
                "path_prefix": "/jobs/",
                "service": service,
                "priority": 0,
                "max_attempts": 3,
                "stretch": 2.0,
                "target_latency_ms": 500,
            }
        ],
        "services": [
            {"name": service, "enforces_capacity": False, "standby": False},
            {"name": "spare", "enforces_capacity": False, "standby": True},
        ],
        "tenants": [
            {
                "name": "team",
                "api_keys": list(keys),
                "weight": 1,
                "cap": {"cpu": cpu_cap, "mem_mb": 0, "gpu": 0},
            }
        ],
        "limits": {"max_body_bytes": 100_000},
    }


def _call(
    address: str,
    method: str,
    path: str,
    document: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
) -> JobReply:
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_SECONDS)
    try:
        body = None if document is None else json.dumps(document).encode()
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        return JobReply(0, {})
    finally:
        connection.close()
    try:
        answer = json.loads(data) if data else {}
    except ValueError:
        answer = {"text": data.decode(errors="replace")}
    return JobReply(response.status, answer, response.getheader("Retry-After"))
