"""Real nodes: the owner dies while the stream of accepted jobs cannot be read.

The successor knows the owner's records of a job before it knows the job.
"""

from __future__ import annotations

import contextlib
import json
import math
import signal
import time
from collections import Counter
from typing import Any

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import PlatformFleet

# How long the stream stays away after the successor has taken over.
STREAM_AWAY_S = 3.0
# An owner that has read a job starts its tasks well within this.
START_WITHIN_S = 1.0
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


def count_starts(fleet: PlatformFleet, job: str) -> int:
    """Return how many starts of the job's tasks the minions have carried out."""
    events = list(fleet.simulator.events)
    return sum(event[1] == "start" and event[2].startswith(job) for event in events)


def is_started(fleet: PlatformFleet, job: str) -> bool:
    """Wait for the starts of a job's tasks; return whether they came."""
    with contextlib.suppress(TimeoutError):
        wait_for(
            lambda: count_starts(fleet, job) == TASKS, "all tasks run", START_WITHIN_S
        )
        return True
    return False


def submit_small(fleet: PlatformFleet, owner: str) -> bool:
    """Submit a short job; return whether it was accepted."""
    small = job_id(int(time.monotonic() * 1000))
    return fleet.submit(owner, small, document(1, 50)).status == 200


def find_roles(fleet: PlatformFleet) -> tuple[str, str]:
    """Return the names of the owner and of the other node."""
    owner = fleet.owner()
    assert owner is not None
    (other,) = set(fleet.node_by_name) - {owner.name}
    return owner.name, other


def submit_unread(fleet: PlatformFleet, stream: AcceptedStream) -> tuple[str, str, str]:
    """Let the owner run a job that the other node has not read.

    The stream goes away meanwhile. Returns the job, the owner and the other node.
    """
    for number in range(20):
        # While nodes start, ownership passes from one to the next.
        owner, other = find_roles(fleet)
        wait_for(lambda o=owner: submit_small(fleet, o), "the stream is there")  # type: ignore[misc]
        end = time.monotonic() + PAUSES_S
        while time.monotonic() < end:
            assert submit_small(fleet, owner)
        job = job_id(number)
        assert fleet.submit(owner, job, document(TASKS, 1000)).status == 200
        stream.away_until = math.inf
        started = is_started(fleet, job)
        unread = fleet.call(other, "GET", job).status != 200
        if started and unread and find_roles(fleet) == (owner, other):
            return job, owner, other
        stream.away_until = 0.0
    pytest.fail("the owner was never the only node that had read the job")


def takeovers_by(fleet: PlatformFleet, name: str) -> list[dict[str, Any]]:
    """Return the log entries of the node's takeovers."""
    events = fleet.node_by_name[name].events()
    return [event for event in events if event["event"] == "ownership taken"]


def test_ends_of_a_job_that_is_not_read_yet_are_kept_for_it(fleet):
    """A new owner acknowledged them, and started the tasks again later (review 1)."""
    stream = AcceptedStream(fleet)
    job, owner, other = submit_unread(fleet, stream)
    earlier = len(takeovers_by(fleet, other))
    fleet.signal(owner, signal.SIGKILL)
    wait_for(lambda: len(takeovers_by(fleet, other)) > earlier, "a takeover")
    stream.away_until = time.monotonic() + STREAM_AWAY_S
    fleet.wait_for_state(other, job, "done")
    events = [event for event in fleet.simulator.events if event[2].startswith(job)]
    ends = Counter(event[5] for event in events if event[1] == "end")
    assert ends == {"done": TASKS}
    assert count_starts(fleet, job) == TASKS
    (taken,) = takeovers_by(fleet, other)[earlier:]
    assert taken["unread_jobs"] >= 1
