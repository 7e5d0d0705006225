"""How long a node takes to start, by its link to the store and the jobs in the log.

A real process reads the simulated store through a hop of limited rate. There are no
minions, so the jobs wait and nothing but the start passes the link.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, ClassVar

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.fleet import free_port
from geraniumshore_standins.internal.proxy import FaultProxy, HopFaults
from geraniumshore_standins.internal.users_platform import (
    NodeProcess,
    PlatformFleet,
    configuration_document,
)

__all__ = ["SlowStartExperiment", "StartTimes", "measure_start"]

BACKLOGS = (10, 100, 1_000, 10_000)
LINKS_MBIT = (2, 5, 10, 100)
KB_PER_MBIT = 125
NODE = "n0"
SPEC_BYTES = 1_000
STREAMS = frozenset({"operators", "minions", "accepted", "progress"})
# Three times what 10,000 jobs of 1.2 KB, in base64, take over 2 Mbit/s.
START_TIMEOUT_S = 200.0
# A call every so often until the first one is served.
CALL_INTERVAL_S = 0.05
STEP = {"count": 8, "size": [1_000, 1_000, 0], "estimate_ms": 500}


@dataclass(frozen=True, slots=True)
class StartTimes:
    """Seconds from a process's start; None for what it did not reach."""

    operators_read_s: float | None
    served_s: float | None
    caught_up_s: float | None
    pages: int
    lost: int


class _LimitedFleet(PlatformFleet):
    """A fleet whose nodes share one link of limited rate to the store."""

    def __init__(self, kb_per_s: float) -> None:
        super().__init__()
        self._hop = free_port()
        proxy = FaultProxy()
        proxy.open_hop(self._hop, super().store_address(NODE))
        proxy.set_faults(self._hop, HopFaults(kb_per_s=kb_per_s))

    def store_address(self, name: str) -> str:
        """Return the address of the limited hop."""
        return f"127.0.0.1:{self._hop}"


def measure_start(
    jobs: int, kb_per_s: float, timeout_s: float = START_TIMEOUT_S
) -> StartTimes:
    """Start a node with so many jobs in the log behind a link of that rate."""
    with _LimitedFleet(kb_per_s) as fleet:
        log = fleet.simulator.log
        fleet.simulator.configure(configuration_document(fleet.service))
        for number in range(jobs):
            job = _job(f"{number:016x}", fleet.service)
            log.put("keyed.jobs", f"j/{job['job_id']}", json.dumps(job).encode())
            progress = {"state": "running", "done": {"0.0": 255}}
            key = f"s/{job['job_id']}"
            log.put("keyed.jobs", key, json.dumps(progress).encode(), part=1)
        began = time.monotonic()
        node = fleet.start_node(NODE)

        def seconds_until(done: Callable[[], bool]) -> float | None:
            while not done():
                if time.monotonic() > began + timeout_s:
                    return None
                time.sleep(CALL_INTERVAL_S)
            return time.monotonic() - began

        operators_s = seconds_until(lambda: "operators" in _caught_up(node))
        served_s = seconds_until(
            lambda: fleet.call(NODE, "GET", f"{0:016x}").status == 200
        )
        caught_up_s = seconds_until(lambda: _caught_up(node).keys() >= STREAMS)
        pages = sum(event["pages"] for event in _caught_up(node).values())
        lost = sum(event["event"] == "stream lost" for event in node.events())
        return StartTimes(operators_s, served_s, caught_up_s, pages, lost)


def _job(job_id: str, service: str) -> dict[str, Any]:
    """Return the log's record of an accepted job with two steps."""
    return {
        "job_id": job_id,
        "queue": "q",
        "service": service,
        "team": "team",
        "spec": "x" * SPEC_BYTES,
        "steps": [STEP, {**STEP, "depends_on": [0]}],
        "accepted_ms": int(time.time() * 1000),
    }


def _caught_up(node: NodeProcess) -> dict[str, dict[str, Any]]:
    """Return the events of the streams that the node has read to their ends."""
    return {
        event["stream"]: event
        for event in node.events()
        if event["event"] == "stream caught up"
    }


@register
class SlowStartExperiment(Experiment):
    """Measures starts over links of several rates, with backlogs of several sizes."""

    name: ClassVar[str] = "slow_start"
    purpose: ClassVar[str] = (
        "time from a node's start until it serves and has caught up"
    )

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the times for each link and backlog. The seed changes nothing."""
        for mbit in reversed(LINKS_MBIT):
            for jobs in BACKLOGS:
                times = measure_start(jobs, mbit * KB_PER_MBIT)
                subject = f"{mbit} Mbit/s"
                for name, value in (
                    ("operators read", times.operators_read_s),
                    ("first call served", times.served_s),
                    ("caught up", times.caught_up_s),
                ):
                    if value is not None:
                        yield Measurement(subject, f"{name}, {jobs} jobs", value, "s")
                counts = (("pages", times.pages), ("reads lost", times.lost))
                for name, count in counts:
                    yield Measurement(subject, f"{name}, {jobs} jobs", count, "count")
