"""Process harness for tests and the demo.

Starts the platform, minions, fault proxy and entry hosts as processes on loopback and
kills all of them on exit.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from pathlib import Path
from typing import Any, Self

from geraniumshore import GeneratedKey, make_key
from geraniumshore_standins.internal.hop import Hop
from geraniumshore_standins.internal.operator_client import (
    HttpReply,
    OperatorClient,
    http_call,
)

__all__ = ["EntryProcess", "Fleet", "free_port", "wait_for"]

OPERATOR = make_key("ops", "operators", "0" * 32, "0" * 32)
START_TIMEOUT_SECONDS = 30.0
MIN_PORT = 10_000
PORT_LIMIT = 32_000
# Seeded by the system, so concurrent test runs on one machine draw different ports.
_RANDOM = random.SystemRandom()
_ALLOCATED_PORTS: set[int] = set()


def free_port() -> int:
    """Return a free loopback port that this process has not returned before.

    Ports are below the ephemeral range. An outgoing connection could otherwise take
    the port before the process that it is meant for binds it.
    """
    while True:
        port = _RANDOM.randrange(MIN_PORT, PORT_LIMIT)
        if port not in _ALLOCATED_PORTS and _can_bind(port):
            _ALLOCATED_PORTS.add(port)
            return port


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_for(
    condition: Callable[[], bool], what: str, seconds: float = START_TIMEOUT_SECONDS
) -> float:
    """Wait until ``condition`` returns true and return the seconds that took.

    An OSError, such as a refused connection, counts as false. Raises TimeoutError.
    """
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        with contextlib.suppress(OSError):
            if condition():
                return time.monotonic() - began
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {seconds} s waiting for {what}")


@dataclass(slots=True)
class EntryProcess:
    """Process of one entry host and its addresses."""

    name: str
    address: str
    peer_address: str
    process: subprocess.Popen[bytes]
    settings_path: Path

    @property
    def operator(self) -> OperatorClient:
        """Operator client for this entry host."""
        return OperatorClient(self.address, OPERATOR.bearer)

    def ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        try:
            return http_call(self.address, "GET", "/readyz", timeout=1).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def status(self) -> dict[str, Any]:
        """Return the status that this entry host reports to operators."""
        document: dict[str, Any] = self.operator.get("status")
        return document

    def call(
        self,
        queue: str,
        bearer: str | None,
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Send a request to a queue as a caller."""
        all_headers = dict(headers or {})
        if bearer is not None:
            all_headers["Authorization"] = f"Bearer {bearer}"
        return http_call(self.address, "POST", f"/queues/{queue}", body, all_headers)

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


@dataclass(slots=True)
class Fleet:
    """Platform, minions and entry hosts on loopback. Use it as a context manager."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    platform_address: str = ""
    proxy_address: str = ""
    peer_hop_by_entry: dict[str, Hop] = field(default_factory=dict)
    address_by_minion: dict[str, str] = field(default_factory=dict)
    entry_by_name: dict[str, EntryProcess] = field(default_factory=dict)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers."""
        port = free_port()
        self._start_module("platform", "--port", str(port))
        self.platform_address = f"127.0.0.1:{port}"
        wait_for(
            lambda: http_call(self.platform_address, "GET", "/hosts").status == 200,
            "platform",
        )

    def start_proxy(self, seed: int = 0) -> None:
        """Start the fault proxy, on which :meth:`open_hop` opens hops."""
        port = free_port()
        self._start_module("proxy", "--port", str(port), "--seed", str(seed))
        self.proxy_address = f"127.0.0.1:{port}"
        wait_for(
            lambda: http_call(self.proxy_address, "GET", "/hops").status == 200,
            "fault proxy",
        )

    def open_hop(self, target: str) -> Hop:
        """Open a hop of the fault proxy that forwards to ``target``."""
        port = free_port()
        body = json.dumps({"port": port, "target": target}).encode()
        reply = http_call(self.proxy_address, "POST", "/hops", body)
        if reply.status != 200:
            raise OSError(
                f"opening a hop failed: expected status 200, got {reply.status}"
            )
        return Hop(f"127.0.0.1:{port}", self.proxy_address)

    def start_minion(self, name: str, slots: int = 8) -> str:
        """Start a minion stand-in and return its address."""
        port = free_port()
        self._start_module("minion", name, "--port", str(port), "--slots", str(slots))
        address = f"127.0.0.1:{port}"
        self.address_by_minion[name] = address
        return address

    def wait_for_minions(self) -> None:
        """Wait until every minion answers."""
        for name, address in self.address_by_minion.items():
            wait_for(
                lambda a=address: http_call(a, "GET", "/test/counts").status == 200,  # type: ignore[misc]
                f"minion {name}",
            )

    def start_entry(
        self,
        name: str,
        data_centre: str = "dc1",
        platform_address: str | None = None,
        peer_proxied: bool = False,
        **settings: Any,
    ) -> EntryProcess:
        """Start an entry host's process without waiting until it has joined.

        If ``peer_proxied``, other members connect to it through the fault proxy hop
        ``peer_hop_by_entry[name]``.
        """
        http_port, peer_port = free_port(), free_port()
        if peer_proxied:
            hop = self.open_hop(f"127.0.0.1:{peer_port}")
            self.peer_hop_by_entry[name] = hop
            hop_address, _, hop_port = hop.address.partition(":")
            settings["peer_advertised"] = {
                "address": hop_address,
                "port": int(hop_port),
            }
        address, _, port = (platform_address or self.platform_address).partition(":")
        document = {
            "host": name,
            "data_centre": data_centre,
            "http": {"address": "127.0.0.1", "port": http_port},
            "peer": {"address": "127.0.0.1", "port": peer_port},
            "platform": {"address": address, "port": int(port)},
            "operators": {
                "ops": {"salt": OPERATOR.key.salt, "digest": OPERATOR.key.digest}
            },
            "notice_ms": 500,
            **settings,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(document))
        entry = EntryProcess(
            name=name,
            address=f"127.0.0.1:{http_port}",
            peer_address=f"127.0.0.1:{peer_port}",
            process=self._start_daemon(path),
            settings_path=path,
        )
        self.entry_by_name[name] = entry
        return entry

    def restart_entry(self, name: str) -> EntryProcess:
        """Wait for an entry host to exit and restart it with the same settings."""
        entry = self.entry_by_name[name]
        entry.process.wait(START_TIMEOUT_SECONDS)
        entry.process = self._start_daemon(entry.settings_path)
        return entry

    def wait_until_ready(self, seconds: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until every running entry host is ready."""
        for entry in self.entry_by_name.values():
            if entry.process.poll() is None:
                wait_for(entry.ready, f"ready {entry.name}", seconds)

    def set_faults(self, **faults: Any) -> None:
        """Set the platform's faults; faults not named are switched off."""
        body = json.dumps(faults).encode()
        http_call(self.platform_address, "PUT", "/test/faults", body)

    def set_minion_modes(self, name: str, **modes: Any) -> None:
        """Set a minion's modes; modes not named are reset to their defaults."""
        body = json.dumps(modes).encode()
        http_call(self.address_by_minion[name], "PUT", "/test/modes", body)

    def minion_counts(self, name: str) -> dict[str, Any]:
        """Return the runs and refusals that a minion has counted."""
        reply = http_call(self.address_by_minion[name], "GET", "/test/counts")
        document: dict[str, Any] = reply.json()
        return document

    def max_concurrent_runs(self, team: str) -> int:
        """Return the maximum number of a team's concurrent runs over all minions."""
        changes = sorted(
            change
            for minion in self.address_by_minion
            for run in self.minion_counts(minion)["runs"]
            if run["team"] == team
            for change in ((run["began"], 1), (run["ended"], -1))
        )
        return max(accumulate(step for _, step in changes), default=0)

    def stop(self) -> None:
        """Kill every process that this harness started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def make_key(self, team: str) -> GeneratedKey:
        """Create a key with a random salt and secret."""
        return make_key(f"{team}-1", team, os.urandom(16).hex(), os.urandom(16).hex())

    def _start_module(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "geraniumshore_standins", *arguments]
        self._start(command)

    def _start_daemon(self, settings_path: Path) -> subprocess.Popen[bytes]:
        binary = Path(sys.executable).parent / "geraniumshored"
        return self._start([str(binary), "run", str(settings_path)])

    def _start(self, command: list[str]) -> subprocess.Popen[bytes]:
        log_path = self.directory / "processes.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process
