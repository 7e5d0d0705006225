"""Correctness of requests under injected faults on every hop.

The outcomes reported to callers are compared with the runs that the minions counted, to
find lost, duplicated, cut or crossed requests. Callers of idempotent and keyed work
retry through other entry hosts, which the product guarantees to be safe.
"""

from __future__ import annotations

import http.client
import itertools
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from geraniumshore_standins.internal.experiments.faulty_fleet import (
    TEAM,
    FaultyFleet,
    first_note,
)
from geraniumshore_standins.internal.fleet import EntryProcess, wait_for
from geraniumshore_standins.internal.operator_client import HttpReply, http_call

__all__ = ["FaultsReport", "run_faults"]

REQUESTS = 20_000
CALLERS = 32
ENTRIES = 3
MINIONS = 4
FAULT_DURATION_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 20.0
MAX_ATTEMPTS = 6
RETRY_BACKOFF_SECONDS = 0.1
RUN_LIMIT_MS = 5_000


@dataclass(frozen=True, slots=True)
class ReportedOutcome:
    """Final outcome that was reported to the caller of one request."""

    body: str
    kind: str
    outcome: str
    whole: bool = True
    crossed: bool = False


@dataclass(slots=True)
class FaultsReport:
    """Counts of outcomes and faults, and the requests that violate a guarantee."""

    requests: int = 0
    seconds: float = 0.0
    outcomes: Counter[str] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    false_refusals: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    crossed: list[str] = field(default_factory=list)

    def add_outcome(self, reported: ReportedOutcome, runs: int) -> None:
        """Add a reported outcome and compare it with the number of runs."""
        self.requests += 1
        self.outcomes[f"{reported.kind} {reported.outcome}"] += 1
        if reported.outcome == "ran" and runs == 0:
            self.lost.append(reported.body)
        if reported.outcome == "not-run" and runs > 0:
            self.false_refusals.append(reported.body)
        if reported.kind != "idempotent" and runs > 1:
            self.doubled.append(reported.body)
        if not reported.whole:
            self.cut.append(reported.body)
        if reported.crossed:
            self.crossed.append(reported.body)

    @property
    def passed(self) -> bool:
        """Return whether no request violates a guarantee."""
        broken = (self.lost, self.false_refusals, self.doubled, self.cut, self.crossed)
        return not any(broken)

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        broken = {
            "lost": self.lost,
            "false refusals": self.false_refusals,
            "doubled": self.doubled,
            "cut": self.cut,
            "crossed": self.crossed,
        }
        return [
            f"{self.requests} requests in {self.seconds:.0f} s",
            f"faults: {dict(sorted(self.faults.items()))}",
            f"told: {dict(sorted(self.outcomes.items()))}",
            ", ".join(f"{name} {len(bodies)}" for name, bodies in broken.items()),
            *(f"{name}: {bodies[:5]}" for name, bodies in broken.items() if bodies),
        ]


class FaultSchedule(threading.Thread):
    """Thread that injects faults drawn from a seeded generator, two at a time."""

    def __init__(self, fleet: FaultyFleet, seed: int) -> None:
        super().__init__(name="faults", daemon=True)
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stop_requested = threading.Event()
        self.counts: Counter[str] = Counter()

    def run(self) -> None:
        """Inject faults, wait and remove them, until stopped."""
        while not self._stop_requested.is_set():
            for name, fault in self._random.sample(self._faults(), 2):
                self.counts[name] += 1
                fault()
            self._stop_requested.wait(FAULT_DURATION_SECONDS)
            self._fleet.clear_faults()

    def stop(self) -> None:
        """Stop the thread, which removes all faults first."""
        self._stop_requested.set()
        self.join()

    def _faults(self) -> list[tuple[str, Callable[[], object]]]:
        fleet, draw = self._fleet, self._random
        minion = draw.choice(list(fleet.hop_by_minion))
        to_minion = fleet.hop_by_minion[minion]
        to_entry = draw.choice(list(fleet.hop_by_entry.values()))
        to_peer = draw.choice(list(fleet.peer_hop_by_entry.values()))
        to_platform = draw.choice(list(fleet.platform_hop_by_entry.values()))
        entry = draw.choice(list(fleet.entry_by_name.values()))
        length = draw.randrange(300)
        return [
            ("minion cut", lambda: to_minion.set_faults(cut_after=length)),
            ("minion reset", lambda: to_minion.set_faults(reset_after=length)),
            ("minion refuse", lambda: to_minion.set_faults(refuse=True)),
            ("minion silence", to_minion.silence),
            (
                "minion mute",
                lambda: to_minion.set_faults(silent_to_caller=True, fraction=0.3),
            ),
            (
                "minion deaf",
                lambda: to_minion.set_faults(silent_to_target=True, fraction=0.3),
            ),
            ("minion delay", lambda: to_minion.set_faults(delay_ms=50)),
            ("crossed", lambda: fleet.set_minion_modes(minion, crossed=True)),
            ("truncated", lambda: fleet.set_minion_modes(minion, cut=True)),
            ("failing", lambda: fleet.set_minion_modes(minion, fail_status=500)),
            (
                "caller cut",
                lambda: to_entry.set_faults(cut_after=length, fraction=0.3),
            ),
            ("caller reset", to_entry.reset),
            ("caller delay", lambda: to_entry.set_faults(delay_ms=50)),
            ("peer reset", to_peer.reset),
            ("peer silence", to_peer.silence),
            ("peer delay", lambda: to_peer.set_faults(delay_ms=20)),
            ("platform silence", to_platform.silence),
            ("platform reset", to_platform.reset),
            ("log replies lost", lambda: fleet.set_faults(lost_replies=3)),
            ("log slow", lambda: fleet.set_faults(delay_ms=200)),
            ("log outage", lambda: fleet.set_faults(outage=True)),
            ("entry host killed", lambda: self._replace_entry(entry)),
        ]

    def _replace_entry(self, entry: EntryProcess) -> None:
        """Kill and restart an entry host if all entry hosts are ready."""
        if all(each.ready() for each in self._fleet.entry_by_name.values()):
            entry.kill()
            self._fleet.restart_entry(entry.name)


class Caller:
    """Sends requests with unique bodies and returns their reported outcomes."""

    def __init__(self, fleet: FaultyFleet, bearer: str) -> None:
        self._bearer = bearer
        self._addresses = [hop.address for hop in fleet.hop_by_entry.values()]

    def call(self, number: int) -> ReportedOutcome:
        """Make request ``number``, with retries unless it is unkeyed."""
        kind = ("idempotent", "keyed", "unkeyed")[number % 3]
        body = f"{kind}-{number}"
        reported: set[str] = set()
        for turn in range(MAX_ATTEMPTS if kind != "unkeyed" else 1):
            if turn:
                time.sleep(RETRY_BACKOFF_SECONDS * turn)
            reply = self._send(number + turn, kind, body)
            if reply is not None and reply.headers.get("outcome") == "ran":
                return _outcome_of_run(kind, body, reply)
            reported.add("no answer" if reply is None else _outcome(reply))
        # A retry reported as not run says nothing about an earlier attempt whose
        # outcome is unknown.
        ambiguous = reported - {"not-run"}
        return ReportedOutcome(body, kind, "unknown" if ambiguous else "not-run")

    def _send(self, number: int, kind: str, body: str) -> HttpReply | None:
        headers = {"Authorization": f"Bearer {self._bearer}"}
        if kind == "keyed":
            headers["Idempotency-Key"] = body
        queue = "count" if kind == "idempotent" else "billing"
        address = self._addresses[number % len(self._addresses)]
        path = f"/queues/{queue}"
        try:
            reply = http_call(
                address, "POST", path, body.encode(), headers, CALL_TIMEOUT_SECONDS
            )
        except (OSError, http.client.HTTPException):
            return None
        # A response cut within its headers lacks Content-Length and looks complete.
        return reply if "content-length" in reply.headers else None


def _outcome(reply: HttpReply) -> str:
    outcome: str = reply.json()["outcome"]
    return outcome


def _outcome_of_run(kind: str, body: str, reply: HttpReply) -> ReportedOutcome:
    try:
        answered = json.loads(reply.body)["body"]
    except (ValueError, KeyError):
        return ReportedOutcome(body, kind, "ran", whole=False)
    return ReportedOutcome(body, kind, "ran", crossed=answered != body)


def run_faults(requests: int = REQUESTS, seed: int = 1) -> FaultsReport:
    """Start a fleet of processes and run the experiment on it."""
    with FaultyFleet() as fleet:
        fleet.start_behind_hops(ENTRIES, MINIONS, seed)
        key = fleet.make_key(TEAM)
        addresses = {name: hop.address for name, hop in fleet.hop_by_minion.items()}
        note = first_note(addresses, key, run_limit_ms=RUN_LIMIT_MS)
        fleet.entry_by_name["e0"].operator.post("releases", note)
        wait_for(
            lambda: all(
                e.status()["version"] == 1 for e in fleet.entry_by_name.values()
            ),
            "first note everywhere",
        )
        return _run_load(fleet, key.bearer, requests, seed)


def _run_load(
    fleet: FaultyFleet, bearer: str, requests: int, seed: int
) -> FaultsReport:
    report = FaultsReport()
    caller = Caller(fleet, bearer)
    schedule = FaultSchedule(fleet, seed)
    fleet.clear_faults()
    schedule.start()
    began = time.monotonic()
    with ThreadPoolExecutor(CALLERS) as pool:
        reported = list(pool.map(caller.call, range(requests)))
    report.seconds = time.monotonic() - began
    schedule.stop()
    report.faults = schedule.counts
    time.sleep(RUN_LIMIT_MS / 1000)
    runs = Counter(
        itertools.chain.from_iterable(
            (run["body"] for run in fleet.minion_counts(minion)["runs"])
            for minion in fleet.address_by_minion
        )
    )
    for each in reported:
        report.add_outcome(each, runs[each.body])
    return report
