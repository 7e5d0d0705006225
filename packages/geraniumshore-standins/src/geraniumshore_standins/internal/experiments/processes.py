"""Fleets of real processes on loopback, their load and their resource usage."""

from __future__ import annotations

import os
import re
import threading
import time
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from geraniumshore import GeneratedKey, Items, Minion, Queue, ReleaseNote, Service, Team
from geraniumshore_standins.internal.fleet import EntryProcess, Fleet, wait_for
from geraniumshore_standins.internal.operator_client import http_call

__all__ = [
    "FleetSize",
    "LoadGenerator",
    "ResourceUsage",
    "read_resource_usage",
    "start_fleet",
]

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
TEAM_SHARES = {"a": 3.0, "b": 2.0, "c": 1.0, "d": 1.0, "e": 1.0, "f": 1.0}


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Entry hosts, services, minions per service and slots per minion of a fleet.

    One stand-in process serves all minions of a service.
    """

    entries: int
    services: int
    minions: int
    slots: int


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resources that a process has used since it started, and its memory now."""

    at: float
    cpu_seconds: float
    memory_kb: int
    peer_bytes: float
    peer_messages: float


def start_fleet(fleet: Fleet, size: FleetSize) -> dict[str, GeneratedKey]:
    """Start all processes, apply a first release note and return the teams' keys."""
    fleet.start_platform()
    for service in range(size.services):
        fleet.start_minion(f"s{service}", size.minions * size.slots)
    for number in range(size.entries):
        fleet.start_entry(f"e{number}")
    fleet.wait_for_minions()
    fleet.wait_until_ready()
    entries = list(fleet.entry_by_name.values())
    wait_for(
        lambda: all(len(e.status()["members"]) == size.entries for e in entries),
        "every entry host in the view",
    )
    keys = {team: fleet.make_key(team) for team in TEAM_SHARES}
    note = _build_note(fleet, size, keys)
    reply = entries[0].operator.post("releases", note.model_dump(mode="json"))
    if reply.status != 200:
        raise RuntimeError(
            f"first release note: got status {reply.status}: {reply.body!r}"
        )
    wait_for(lambda: all(e.status()["version"] == 1 for e in entries), "version 1")
    return keys


def _build_note(
    fleet: Fleet, size: FleetSize, keys: dict[str, GeneratedKey]
) -> ReleaseNote:
    services = [f"s{number}" for number in range(size.services)]
    limit = size.services * size.minions * size.slots
    return ReleaseNote(
        base=0,
        note="experiment",
        added=Items(
            services={name: Service() for name in services},
            minions={
                f"{name}-{i}": Minion(
                    name, fleet.address_by_minion[name], slots=size.slots
                )
                for name in services
                for i in range(size.minions)
            },
            teams={name: Team(share, limit) for name, share in TEAM_SHARES.items()},
            keys={f"{name}-1": made.key for name, made in keys.items()},
            queues={n: Queue(service=n, idempotent=True) for n in services},
        ),
    )


def read_resource_usage(entry: EntryProcess) -> ResourceUsage:
    """Read the resource usage of an entry host from /proc and its metrics."""
    proc_directory = Path(f"/proc/{entry.process.pid}")
    fields = (proc_directory / "stat").read_text().rpartition(")")[2].split()
    status = (proc_directory / "status").read_text()
    memory = re.search(r"^VmRSS:\s+(\d+)", status, re.MULTILINE)
    metrics = http_call(entry.address, "GET", "/metrics").body.decode()
    return ResourceUsage(
        at=time.monotonic(),
        cpu_seconds=(int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND,
        memory_kb=int(memory.group(1)) if memory else 0,
        peer_bytes=_sum_metric(metrics, "geraniumshore_peer_bytes_total"),
        peer_messages=_sum_metric(metrics, "geraniumshore_peer_messages_total"),
    )


def _sum_metric(metrics: str, name: str) -> float:
    lines = (line for line in metrics.splitlines() if line.startswith(name + "{"))
    return sum(float(line.rpartition(" ")[2]) for line in lines)


class LoadGenerator:
    """Calls queues, entry hosts and keys round-robin at a constant rate."""

    def __init__(
        self,
        entries: list[EntryProcess],
        queues: list[str],
        keys: dict[str, GeneratedKey],
    ) -> None:
        self._entries = entries
        self._queues = queues
        self._bearers = [made.bearer for made in keys.values()]
        self.count_by_status: Counter[int] = Counter()

    def run(self, per_second: float, seconds: float) -> None:
        """Make the calls, wait for all answers and count them by status."""
        began = time.monotonic()
        calls: list[Future[int]] = []
        with ThreadPoolExecutor(32) as pool:
            for number in range(int(per_second * seconds)):
                due = began + number / per_second
                threading.Event().wait(max(0.0, due - time.monotonic()))
                calls.append(pool.submit(self._call, number))
        self.count_by_status.update(call.result() for call in calls)

    def _call(self, number: int) -> int:
        entry = self._entries[number % len(self._entries)]
        queue = self._queues[number % len(self._queues)]
        bearer = self._bearers[number % len(self._bearers)]
        return entry.call(queue, bearer).status
