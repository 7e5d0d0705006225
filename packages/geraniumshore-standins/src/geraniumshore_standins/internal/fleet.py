"""Starts real processes for tests and the demo, and ends every one of them."""

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

from geraniumshore import MadeKey, make_key
from geraniumshore_standins.internal.hop import Hop
from geraniumshore_standins.internal.operator_client import (
    HttpReply,
    OperatorClient,
    http_call,
)

__all__ = ["EntryProcess", "Fleet", "free_port", "wait_for"]

OPERATOR = make_key("ops", "operators", "0" * 32, "0" * 32)
START_SECONDS = 30.0
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
# Several test runs may share the machine, so each draws from a place of its own.
_RANDOM = random.SystemRandom()
_GIVEN_PORTS: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free just now, and is not given out again here.

    Ports lie below those that the system gives to outgoing connections: one of these
    could take a port between its choice and the bind of the process that it is for.
    """
    while True:
        port = _RANDOM.randrange(LOWEST_PORT, HIGHEST_PORT)
        if port not in _GIVEN_PORTS and _can_bind(port):
            _GIVEN_PORTS.add(port)
            return port


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_for(
    condition: Callable[[], bool], what: str, seconds: float = START_SECONDS
) -> float:
    """Wait until ``condition`` holds and return how long that took.

    A refused or cut connection counts as not holding. Raises TimeoutError.
    """
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        with contextlib.suppress(OSError):
            if condition():
                return time.monotonic() - began
        time.sleep(0.02)
    raise TimeoutError(f"got no {what} within {seconds} s")


@dataclass(slots=True)
class EntryProcess:
    """One entry host's process."""

    name: str
    address: str
    peer_address: str
    process: subprocess.Popen[bytes]
    settings_path: Path

    @property
    def operator(self) -> OperatorClient:
        """An operator's access to this host."""
        return OperatorClient(self.address, OPERATOR.bearer)

    def ready(self) -> bool:
        """Tell whether the balancer would send calls here."""
        try:
            return http_call(self.address, "GET", "/readyz", timeout=1).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def status(self) -> dict[str, Any]:
        """Return the host's own view of things."""
        document: dict[str, Any] = self.operator.get("status")
        return document

    def call(
        self,
        queue: str,
        bearer: str | None,
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Make a caller's request."""
        all_headers = dict(headers or {})
        if bearer is not None:
            all_headers["Authorization"] = f"Bearer {bearer}"
        return http_call(self.address, "POST", f"/queues/{queue}", body, all_headers)

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


@dataclass(slots=True)
class Fleet:
    """A platform, minions and entry hosts on loopback. Use it as a context."""

    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    platform_address: str = ""
    proxy_address: str = ""
    peer_hop_by_entry: dict[str, Hop] = field(default_factory=dict)
    address_by_minion: dict[str, str] = field(default_factory=dict)
    by_name: dict[str, EntryProcess] = field(default_factory=dict)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        port = free_port()
        self._start_module("platform", "--port", str(port))
        self.platform_address = f"127.0.0.1:{port}"
        wait_for(
            lambda: http_call(self.platform_address, "GET", "/hosts").status == 200,
            "platform",
        )

    def start_proxy(self, seed: int = 0) -> None:
        """Start the fault proxy; :meth:`open_hop` then puts it on any hop."""
        port = free_port()
        self._start_module("proxy", "--port", str(port), "--seed", str(seed))
        self.proxy_address = f"127.0.0.1:{port}"
        wait_for(
            lambda: http_call(self.proxy_address, "GET", "/hops").status == 200,
            "fault proxy",
        )

    def open_hop(self, target: str) -> Hop:
        """Open a hop of the fault proxy that leads to ``target``."""
        port = free_port()
        body = json.dumps({"port": port, "target": target}).encode()
        reply = http_call(self.proxy_address, "POST", "/hops", body)
        if reply.status != 200:
            raise OSError(f"opening a hop: got status {reply.status}, want 200")
        return Hop(f"127.0.0.1:{port}", self.proxy_address)

    def start_minion(self, name: str, slots: int = 8) -> str:
        """Start a minion's stand-in and return its address."""
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
        """Start an entry host's process; it may not be a member yet.

        Where it is ``peer_proxied``, other members reach it through
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
        self.by_name[name] = entry
        return entry

    def restart_entry(self, name: str) -> EntryProcess:
        """Start a process again with the settings of one that has ended."""
        entry = self.by_name[name]
        entry.process.wait(START_SECONDS)
        entry.process = self._start_daemon(entry.settings_path)
        return entry

    def wait_until_ready(self, seconds: float = START_SECONDS) -> None:
        """Wait until every running entry host would get calls."""
        for entry in self.by_name.values():
            if entry.process.poll() is None:
                wait_for(entry.ready, f"ready {entry.name}", seconds)

    def set_faults(self, **faults: Any) -> None:
        """Switch the platform's faults; those not named are off."""
        body = json.dumps(faults).encode()
        http_call(self.platform_address, "PUT", "/test/faults", body)

    def set_minion_modes(self, name: str, **modes: Any) -> None:
        """Set how a minion behaves; modes not named are off."""
        body = json.dumps(modes).encode()
        http_call(self.address_by_minion[name], "PUT", "/test/modes", body)

    def minion_counts(self, name: str) -> dict[str, Any]:
        """Return what has really run on a minion."""
        reply = http_call(self.address_by_minion[name], "GET", "/test/counts")
        document: dict[str, Any] = reply.json()
        return document

    def most_running(self, team: str) -> int:
        """Return the most of a team's work that ran at once, on all minions."""
        changes = sorted(
            change
            for minion in self.address_by_minion
            for run in self.minion_counts(minion)["runs"]
            if run["team"] == team
            for change in ((run["began"], 1), (run["ended"], -1))
        )
        return max(accumulate(step for _, step in changes), default=0)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def make_key(self, team: str) -> MadeKey:
        """Make a key with random parts."""
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
