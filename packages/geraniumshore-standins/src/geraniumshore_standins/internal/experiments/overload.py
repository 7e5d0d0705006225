"""Goodput at one, two and five times capacity, with and without admission control.

Goodput counts the answers within the caller's deadline. Without admission control, the
queue is effectively unbounded, callers send no deadline, and there is a thread for
every caller. The same run compares throughput and latency with direct calls to minions.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from geraniumshore_standins.internal.experiments.faulty_fleet import TEAM, first_note
from geraniumshore_standins.internal.fleet import Fleet, wait_for
from geraniumshore_standins.internal.operator_client import http_call

__all__ = ["OverloadReport", "run_overload"]

ENTRIES = 3
MINIONS = 2
SLOTS = 4
WORK_MS = 80
CAPACITY_PER_SECOND = MINIONS * SLOTS * 1000 / WORK_MS
DEADLINE_SECONDS = 1.0
LOAD_SECONDS = 8.0
# Excluded from the results, as queues fill and rates are learned.
WARM_UP_SECONDS = 2.0
CALLERS = 600
LOAD_FACTORS = (1.0, 2.0, 5.0)
DIRECT_CALLS = 600
DIRECT_CALLERS = 6
MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Call:
    """One call; ``seconds`` is the time from when it was due to its answer."""

    sent_at: float
    status: int
    seconds: float

    @property
    def good(self) -> bool:
        """Return whether the call succeeded within its deadline."""
        return self.status == 200 and self.seconds <= DEADLINE_SECONDS


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Results of one load. ``good``, ``refused`` and ``late`` are calls per second."""

    admission: bool
    times_capacity: float
    good: float
    refused: float
    late: float
    refusal_p50_ms: float
    refusal_p99_ms: float

    def line(self) -> str:
        """Return the result as a line of a table."""
        return (
            f"{'with' if self.admission else 'without':8}{self.times_capacity:4.0f}x"
            f"{self.good:8.0f}{self.refused:9.0f}{self.late:7.0f}"
            f"{self.refusal_p50_ms:10.1f}{self.refusal_p99_ms:10.1f}"
        )


@dataclass(frozen=True, slots=True)
class Comparison:
    """Throughput and latency of sequential callers of one target."""

    target: str
    per_second: float
    p50_ms: float
    p99_ms: float

    def line(self) -> str:
        """Return the result as a line of a table."""
        return (
            f"{self.target:14}{self.per_second:8.0f}"
            f"{self.p50_ms:9.2f}{self.p99_ms:9.2f}"
        )


@dataclass(slots=True)
class OverloadReport:
    """Results of all loads, and the comparison with direct calls to minions."""

    loads: list[LoadResult] = field(default_factory=list)
    comparisons: list[Comparison] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        return [
            f"capacity {CAPACITY_PER_SECOND:.0f}/s, deadline {DEADLINE_SECONDS} s",
            "admission load  good/s refused/s late/s   p50 ms    p99 ms (refusals)",
            *(load.line() for load in self.loads),
            "target         calls/s   p50 ms   p99 ms",
            *(comparison.line() for comparison in self.comparisons),
        ]


def run_overload() -> OverloadReport:
    """Start fleets of processes and run the experiment on them."""
    report = OverloadReport()
    for admission in (True, False):
        with Fleet() as fleet:
            bearer = _start(fleet, admission)
            if admission:
                report.comparisons.extend(_compare(fleet, bearer))
            _set_work_duration(fleet, WORK_MS)
            for load_factor in LOAD_FACTORS:
                calls = _send_load(fleet, bearer, load_factor, admission)
                report.loads.append(_summarize(admission, load_factor, calls))
                time.sleep(DEADLINE_SECONDS)
    return report


def _start(fleet: Fleet, admission: bool) -> str:
    """Start the processes and return a caller's bearer key."""
    settings: dict[str, Any] = {} if admission else {"threads": CALLERS}
    queue = (
        {"max_waiting": 30}
        if admission
        else {"max_waiting": 1_000_000, "wait_limit_ms": 600_000}
    )
    fleet.start_platform()
    for number in range(MINIONS):
        fleet.start_minion(f"m{number}", SLOTS)
    for number in range(ENTRIES):
        fleet.start_entry(f"e{number}", **settings)
    fleet.wait_for_minions()
    fleet.wait_until_ready()
    key = fleet.make_key(TEAM)
    note = first_note(fleet.address_by_minion, key, SLOTS, **queue)
    fleet.entry_by_name["e0"].operator.post("releases", note)
    wait_for(
        lambda: all(e.status()["version"] == 1 for e in fleet.entry_by_name.values()),
        "first note everywhere",
    )
    return key.bearer


def _set_work_duration(fleet: Fleet, work_ms: int) -> None:
    for name in fleet.address_by_minion:
        fleet.set_minion_modes(name, work_ms=work_ms)


def _send_load(
    fleet: Fleet, bearer: str, load_factor: float, admission: bool
) -> list[Call]:
    """Send calls at a constant rate, without waiting for earlier answers."""
    headers = {"Authorization": f"Bearer {bearer}"}
    if admission:
        headers["Deadline-Ms"] = str(int(DEADLINE_SECONDS * MS_PER_SECOND))
    addresses = [entry.address for entry in fleet.entry_by_name.values()]
    interval = 1 / (CAPACITY_PER_SECOND * load_factor)
    began = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as pool:
        pending = []
        for number, due in enumerate(_send_times(began, interval)):
            time.sleep(max(0, due - time.monotonic()))
            address = addresses[number % len(addresses)]
            pending.append(pool.submit(_call, address, headers, due))
        calls = [each.result() for each in pending]
    return [call for call in calls if call.sent_at - began >= WARM_UP_SECONDS]


def _send_times(began: float, interval: float) -> Iterator[float]:
    for number in range(int(LOAD_SECONDS / interval)):
        yield began + number * interval


def _call(address: str, headers: dict[str, str], due: float) -> Call:
    """Make one call and measure its time from when it was due."""
    try:
        reply = http_call(address, "POST", "/queues/count", b"{}", headers, 120.0)
        status = reply.status
    except (OSError, http.client.HTTPException):
        status = 0
    return Call(due, status, time.monotonic() - due)


def _summarize(admission: bool, load_factor: float, calls: list[Call]) -> LoadResult:
    seconds = LOAD_SECONDS - WARM_UP_SECONDS
    refusals = sorted(call.seconds for call in calls if call.status != 200)
    late = sum(call.status == 200 and not call.good for call in calls)
    return LoadResult(
        admission=admission,
        times_capacity=load_factor,
        good=sum(call.good for call in calls) / seconds,
        refused=len(refusals) / seconds,
        late=late / seconds,
        refusal_p50_ms=_quantile(refusals, 0.5),
        refusal_p99_ms=_quantile(refusals, 0.99),
    )


def _compare(fleet: Fleet, bearer: str) -> Iterator[Comparison]:
    """Call minions directly and through entry hosts, with work of zero duration."""
    _set_work_duration(fleet, 0)
    minions = list(fleet.address_by_minion.values())
    entries = [entry.address for entry in fleet.entry_by_name.values()]
    direct = {"Request-Id": "direct", "Team": TEAM}
    keyed = {"Authorization": f"Bearer {bearer}"}
    for callers in (1, DIRECT_CALLERS):
        yield _sequential("minion", minions, "/work/count", direct, callers)
        yield _sequential("entry host", entries, "/queues/count", keyed, callers)


def _sequential(
    target: str, addresses: list[str], path: str, headers: dict[str, str], callers: int
) -> Comparison:
    def call_sequentially(number: int) -> list[float]:
        address = addresses[number % len(addresses)]
        connection = http.client.HTTPConnection(address)
        call_seconds = []
        for _ in range(DIRECT_CALLS // callers):
            sent_at = time.monotonic()
            connection.request("POST", path, b"{}", headers)
            connection.getresponse().read()
            call_seconds.append(time.monotonic() - sent_at)
        connection.close()
        return call_seconds

    began = time.monotonic()
    with ThreadPoolExecutor(callers) as pool:
        call_seconds = sorted(
            seconds
            for each in pool.map(call_sequentially, range(callers))
            for seconds in each
        )
    return Comparison(
        f"{target} x{callers}",
        len(call_seconds) / (time.monotonic() - began),
        _quantile(call_seconds, 0.5),
        _quantile(call_seconds, 0.99),
    )


def _quantile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(len(ordered) * fraction))
    return ordered[index] * MS_PER_SECOND
