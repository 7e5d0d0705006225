"""Platform stand-in: log service, host list, host actions, tasks and faults."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from geraniumshore_standins.internal.platform_hosts import (
    PlatformHosts,
    answer_host_call,
)
from geraniumshore_standins.internal.platform_tasks import (
    TaskBoard,
    TaskHost,
    handle_tasks,
    sync_tasks_and_hosts,
)
from geraniumshore_standins.internal.wsgi import Answer, Call, wsgi_application

__all__ = ["Faults", "PlatformState", "StoredRecord", "platform_application"]

MAX_RECORDS_PER_READ = 500


@dataclass(slots=True)
class Faults:
    """Faults injected into the platform's services.

    The next ``lost_replies`` appends and the next ``lost_task_replies`` task calls take
    effect but get no complete answer.
    """

    outage: bool = False
    delay_ms: int = 0
    lost_replies: int = 0
    lost_task_replies: int = 0


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One stored append."""

    offset: int
    at_ms: int
    document: str


@dataclass(slots=True)
class LogState:
    """Log records from offset ``first`` on, trimmed by age."""

    records: list[StoredRecord] = field(default_factory=list)
    first: int = 0
    retention_ms: int = 3_600_000
    appends: int = 0
    changed: threading.Condition = field(default_factory=threading.Condition)

    @property
    def tail(self) -> int:
        """Offset of the next append."""
        return self.first + len(self.records)

    def append(self, document: str) -> int:
        """Store a document and return its offset."""
        with self.changed:
            offset = self.tail
            now_ms = int(time.time() * 1000)
            self.records.append(StoredRecord(offset, now_ms, document))
            self.appends += 1
            self._trim(now_ms)
            self.changed.notify_all()
            return offset

    def read(
        self, offset: int, wait_seconds: float, max_records: int
    ) -> dict[str, Any]:
        """Return records from ``offset`` on.

        Waits up to ``wait_seconds`` for the first one.
        """
        with self.changed:
            self.changed.wait_for(lambda: self.tail > offset, wait_seconds)
            self._trim(int(time.time() * 1000))
            start = max(0, offset - self.first)
            records = self.records[start : start + max_records]
            return {
                "first": self.first,
                "tail": self.tail,
                "records": [asdict(record) for record in records],
            }

    def _trim(self, now_ms: int) -> None:
        expired = 0
        while (
            expired < len(self.records)
            and self.records[expired].at_ms + self.retention_ms < now_ms
        ):
            expired += 1
        del self.records[:expired]
        self.first += expired


@dataclass(slots=True)
class PlatformState:
    """State of the platform stand-in and handler of its calls."""

    log: LogState = field(default_factory=LogState)
    faults: Faults = field(default_factory=Faults)
    hosts: list[dict[str, Any]] = field(default_factory=list)
    board: TaskBoard = field(default_factory=TaskBoard)
    tasks_lock: threading.Lock = field(default_factory=threading.Lock)
    fleet: PlatformHosts = field(default_factory=PlatformHosts)
    fleet_lock: threading.Lock = field(default_factory=threading.Lock)

    def handle(self, call: Call) -> Answer:
        """Handle one HTTP call."""
        if call.path[:1] in {("tasks",), ("host-actions",)}:
            self._sync_tasks_and_hosts()
        with self.fleet_lock:
            answer = answer_host_call(self.fleet, call, time.monotonic())
        if answer is not None:
            return answer
        if call.path[:1] == ("test",):
            return self._handle_test(call)
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            return Answer.json({"error": "outage"}, 503)
        match (call.method, call.path):
            case ("POST", ("log", "records")):
                return self._append(call)
            case ("GET", ("log", "records")):
                return self._read(call)
            case ("GET", ("hosts",)):
                return Answer.json({"hosts": self._listed_hosts()})
            case ("POST", ("tasks", action)):
                return self._handle_tasks(action, call)
            case _:
                return Answer.json({"error": "no such path"}, 404)

    def _listed_hosts(self) -> list[dict[str, Any]]:
        with self.fleet_lock:
            now = time.monotonic()
            self.fleet.advance(now)
            return [*self.hosts, *self.fleet.listed(now)]

    def _append(self, call: Call) -> Answer:
        offset = self.log.append(call.document()["document"])
        if self.faults.lost_replies > 0:
            self.faults.lost_replies -= 1
            return Answer(200, b"{ }", cut=True)
        return Answer.json({"offset": offset})

    def _sync_tasks_and_hosts(self) -> None:
        with self.tasks_lock, self.fleet_lock:
            self.fleet.advance(time.monotonic())
            self.board.advance(int(time.time() * 1000))
            sync_tasks_and_hosts(self.board, self.fleet)

    def _handle_tasks(self, action: str, call: Call) -> Answer:
        with self.tasks_lock:
            now_ms = int(time.time() * 1000)
            document = handle_tasks(self.board, now_ms, action, call.document())
            if self.faults.lost_task_replies > 0:
                self.faults.lost_task_replies -= 1
                return Answer(200, b"{ }", cut=True)
        return Answer.json(document)

    def _handle_tasks_test(self, call: Call) -> Answer:
        """Set up or kill task hosts, and return the counts of what ran."""
        with self.tasks_lock:
            self.board.advance(int(time.time() * 1000))
            match (call.method, call.path[2:]):
                case ("PUT", ("hosts",)):
                    hosts = call.document()
                    self.board.hosts = {n: TaskHost(**h) for n, h in hosts.items()}
                case ("POST", ("hosts", name, "kill")):
                    self.board.kill_host(name)
            return Answer.json(self.board.counts())

    def _read(self, call: Call) -> Answer:
        max_records = min(int(call.query.get("max", "100")), MAX_RECORDS_PER_READ)
        wait_seconds = int(call.query.get("wait_ms", "0")) / 1000
        document = self.log.read(int(call.query["from"]), wait_seconds, max_records)
        if self.faults.outage:
            return Answer.json({"error": "outage"}, 503)
        return Answer.json(document)

    def _handle_test(self, call: Call) -> Answer:
        """Handle the test interface: set faults and return counts."""
        match (call.method, call.path[1:]):
            case (_, ("tasks", *_)):
                return self._handle_tasks_test(call)
            case ("PUT", ("faults",)):
                self.faults = Faults(**call.document())
                return Answer.json(asdict(self.faults))
            case ("PUT", ("hosts",)):
                self.hosts = call.document()["hosts"]
                return Answer.json({})
            case ("PUT", ("retention",)):
                self.log.retention_ms = int(call.document()["retention_ms"])
                return Answer.json({})
            case ("GET", ("counts",)):
                return Answer.json({"appends": self.log.appends, "tail": self.log.tail})
            case _:
                return Answer.json({"error": "no such path"}, 404)


def platform_application(state: PlatformState) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of a platform stand-in."""
    return wsgi_application(state.handle)
