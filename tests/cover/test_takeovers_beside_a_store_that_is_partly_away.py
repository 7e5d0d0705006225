"""Real nodes: the owner dies while the stream of accepted jobs cannot be read.

The successor knows the owner's records of a job before it knows the job.
"""

from __future__ import annotations

import json
import signal
import time
from collections import Counter

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import PlatformFleet

STREAM_AWAY_S = 4.5
# Followers that have just read records pause before they read again.
PAUSES_S = 1.0
TASKS = 12


@pytest.fixture
def fleet():
    with PlatformFleet() as started:
        started.start()
        yield started


def job_id(number: int) -> str:
    return f"{number:016x}"


def document(tasks: int, work_ms: int):
    spec = json.dumps({"work_ms": work_ms})
    step = {"count": tasks, "cpu": 500, "mem_mb": 10, "estimate_ms": work_ms}
    return {"spec": spec, "phases": [step]}


def is_accepted_stream(call) -> bool:
    return (call.query.get("topic"), call.query.get("part")) == ("keyed.jobs", "0")


class AcceptedStream:
    """Refuses all calls on the stream of accepted jobs while it is away."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.away_until = 0.0
        fleet.simulator.store_faults = self.fault

    def fault(self, call) -> int | None:
        away = time.monotonic() < self.away_until
        return 503 if away and is_accepted_stream(call) else None


def submit_unread(fleet: PlatformFleet, owner: str, other: str) -> str:
    """Submit a job that only the owner reads before the stream goes away."""
    stream = AcceptedStream(fleet)
    for number in range(20):
        end = time.monotonic() + PAUSES_S
        while time.monotonic() < end:
            small = job_id(int(time.monotonic() * 1000))
            assert fleet.submit(owner, small, document(1, 50)).status == 200
        assert fleet.submit(owner, job_id(number), document(TASKS, 1000)).status == 200
        stream.away_until = time.monotonic() + STREAM_AWAY_S
        if fleet.call(other, "GET", job_id(number)).status != 200:
            return job_id(number)
        stream.away_until = 0.0
    pytest.fail("the other node always read the job first")


def count_starts(fleet: PlatformFleet, job: str) -> int:
    """Return how many starts of the job's tasks the minions have carried out."""
    events = list(fleet.simulator.events)
    return sum(event[1] == "start" and event[2].startswith(job) for event in events)


def test_ends_of_a_job_that_is_not_read_yet_are_kept_for_it(fleet):
    """A new owner acknowledged them, and started the tasks again later (review 1)."""
    owner = fleet.owner().name
    other = next(name for name in fleet.node_by_name if name != owner)
    job = submit_unread(fleet, owner, other)
    wait_for(lambda: count_starts(fleet, job) == TASKS, "all of its tasks run")
    fleet.signal(owner, signal.SIGKILL)
    fleet.wait_for_state(other, job, "done")
    events = [event for event in fleet.simulator.events if event[2].startswith(job)]
    ends = Counter(event[5] for event in events if event[1] == "end")
    assert ends == {"done": TASKS}
    assert count_starts(fleet, job) == TASKS
    (taken,) = [
        event
        for event in fleet.node_by_name[other].events()
        if event["event"] == "ownership taken"
    ]
    assert taken["unread_jobs"] >= 1
