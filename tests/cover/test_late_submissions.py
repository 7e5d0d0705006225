"""Submissions that take effect after their caller has cancelled the job.

The caller got no answer, gave up and cancelled the job at another node, which did not
find it in the log. The submission still waited at a frozen node, or its append was
carried out late, and the job ran although its cancellation had been acknowledged.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import signal
import threading
from dataclasses import replace
from unittest import mock

import pytest

from geraniumshore_scheduler import (
    JobRegistry,
    JobState,
    RecordKind,
    Step,
    Tombstone,
    encode_job,
    encode_tombstone,
    job_key,
    tombstone_key,
)
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import PlatformFleet
from geraniumshore_standins.internal.users_platform.nodes import API_KEY, QUEUE_HOST
from geraniumshore_standins.internal.wsgi import Call
from geraniumshored.node import job_requests
from geraniumshored.node.appender import AppendOutcome
from geraniumshored.node.job_requests import Caller, Verdict
from geraniumshored.node.owner import CANCELLING_KINDS
from geraniumshored.node.ports import Record
from geraniumshored.platform.peers import CALLERS_HOST_HEADER
from tests.common.lagging_node import JOB, LaggingNode, caller
from tests.common.schedule_parts import SMALL, Fleet, job

TEAM = "team"
OTHER_TEAM = "other"
ACCEPTED = job_key(RecordKind.ACCEPTED, JOB)
BODY = json.dumps({"spec": "x", "phases": [{"count": 1, "cpu": 100}]}).encode()
OWN = Tombstone("q", TEAM)


def accepted_job(queue: str = "q", team: str | None = TEAM) -> bytes:
    return encode_job(replace(job(JOB, Step(1, SMALL, 500), queue=queue), team=team))


def read_all(node: LaggingNode) -> JobRegistry:
    """Read the log to its end; return the node's fold of it."""
    for _ in range(3):
        node.read()
    return node.jobs.registry


def cancel(node: LaggingNode) -> Verdict:
    return node.handler.cancel(caller()).verdict


def test_a_job_accepted_after_its_cancellation_is_cancelled():
    """It was left queued and ran to its end."""
    node = LaggingNode()
    assert cancel(node) is Verdict.UNKNOWN_JOB
    node.accept_elsewhere()
    registered = read_all(node).job_by_id[JOB]
    assert registered.state is JobState.CANCELLED
    assert node.jobs.pending("q") == 0


def test_a_job_accepted_while_its_cancellation_is_recorded_is_cancelled():
    """The node had read the log to its end, where the job was not yet."""
    node = LaggingNode()
    append = node.append

    def append_behind_the_job(record: Record, deadline: float) -> AppendOutcome:
        node.accept_elsewhere()
        return append(record, deadline)

    with mock.patch.object(node.handler._appender, "append", append_behind_the_job):
        assert cancel(node) is Verdict.UNKNOWN_JOB
    assert read_all(node).job_by_id[JOB].state is JobState.CANCELLED


def test_the_owner_starts_no_task_of_a_job_cancelled_before_its_acceptance():
    fleet = Fleet()
    registry = JobRegistry()
    registry.fold(tombstone_key(JOB, OWN), encode_tombstone(OWN), 0, 0.0)
    registered = registry.fold(ACCEPTED, accepted_job(), 1, 1.0)
    assert registered is not None
    fleet.scheduler.add_job(registered, fleet.now)
    assert fleet.plan() == ()


@pytest.mark.parametrize(
    ("queue", "team"), [("q", OTHER_TEAM), ("another", TEAM), ("another", None)]
)
def test_a_job_of_another_team_or_queue_with_the_same_id_is_not_cancelled(queue, team):
    registry = JobRegistry()
    registry.fold(tombstone_key(JOB, OWN), encode_tombstone(OWN), 0, 0.0)
    registry.fold(ACCEPTED, accepted_job(queue, team), 1, 1.0)
    assert registry.job_by_id[JOB].state is JobState.QUEUED


@pytest.mark.parametrize("cancelled_first", [True, False])
def test_cancelling_an_id_that_another_team_uses_does_not_cancel_its_job(
    cancelled_first,
):
    node = LaggingNode()
    if not cancelled_first:
        node.accept_elsewhere(team=OTHER_TEAM)
    assert cancel(node) is Verdict.UNKNOWN_JOB
    if cancelled_first:
        node.accept_elsewhere(team=OTHER_TEAM)
    assert read_all(node).job_by_id[JOB].state is JobState.QUEUED


@pytest.mark.parametrize("team", [TEAM, OTHER_TEAM, None])
def test_a_caller_without_a_key_cancels_jobs_of_an_open_queue_only(team):
    node = LaggingNode(open_to_all=True)
    assert node.handler.cancel(caller(None)).verdict is Verdict.UNKNOWN_JOB
    registry = read_all(node)
    registry.fold(ACCEPTED, accepted_job(team=team), 9, 1.0)
    assert registry.job_by_id[JOB].state is JobState.CANCELLED
    registry.fold(ACCEPTED, b"", 10, 1.0)
    registry.fold(ACCEPTED, accepted_job("another", team), 11, 1.0)
    assert registry.job_by_id[JOB].state is JobState.QUEUED


@pytest.mark.parametrize("outcome", [AppendOutcome.NOT_DONE, AppendOutcome.UNKNOWN])
def test_a_cancellation_that_was_not_recorded_is_not_acknowledged(outcome):
    node = LaggingNode()
    with mock.patch.object(node.handler._appender, "append", return_value=outcome):
        answer = node.handler.cancel(caller())
    expected = {
        AppendOutcome.NOT_DONE: Verdict.NOT_RUN,
        AppendOutcome.UNKNOWN: Verdict.UNCERTAIN,
    }
    assert answer.verdict is expected[outcome]


@pytest.mark.parametrize("job_id", ["", "a", "g" * 16, "a" * 17])
def test_an_id_that_no_job_can_have_leaves_no_record(job_id):
    node = LaggingNode()
    answer = node.handler.cancel(Caller("h", f"/q/{job_id}", "key", 3.0))
    assert answer.verdict is Verdict.UNKNOWN_JOB
    assert node.store.records == []


def test_a_cancelled_job_is_refused_until_its_tombstone_expires():
    node = LaggingNode()
    cancel(node)
    read_all(node)
    records = len(node.store.records)
    node.now = 20.0
    node.read()
    answer = node.handler.submit(caller(), BODY)
    assert answer.verdict is Verdict.NOT_RUN
    assert answer.retry_after_s == job_requests.DEFAULT_STATUS_KEPT_S - 20
    assert len(node.store.records) == records


def test_a_team_that_cancels_many_unknown_jobs_is_refused_more():
    node = LaggingNode()
    with mock.patch.object(job_requests, "MAX_TOMBSTONES", 1):
        assert cancel(node) is Verdict.UNKNOWN_JOB
        second = Caller("h", f"/q/{1:016x}", "key", 3.0)
        assert node.handler.cancel(second).verdict is Verdict.NOT_RUN


def test_a_tombstone_read_again_expires_with_its_first_reading():
    registry = JobRegistry()
    key, value = tombstone_key(JOB, OWN), encode_tombstone(OWN)
    registry.fold(key, value, 3, 5.0)
    registry.fold(key, value, 3, 90.0)
    assert list(registry.tombstones.expired(5.0)) == []
    assert list(registry.tombstones.expired(5.1)) == [key]
    registry.fold(key, value, 4, 95.0)
    assert list(registry.tombstones.expired(95.0)) == []
    registry.fold(key, b"", 5, 100.0)
    assert list(registry.tombstones.expired(999.0)) == []
    assert registry.tombstones.count(OWN) == 0
    registry.fold(ACCEPTED, accepted_job(), 6, 101.0)
    assert registry.job_by_id[JOB].state is JobState.QUEUED


@pytest.mark.parametrize("kind", [RecordKind.CANCELLED, RecordKind.TOMBSTONE])
def test_the_owner_hears_of_both_kinds_of_cancellation(kind):
    """A tombstone may be recorded just after the job that it cancels."""
    node = LaggingNode()
    node.accept_elsewhere()
    read_all(node)
    heard = []
    node.jobs.on_job = lambda registered, kind: heard.append((registered.state, kind))
    key = (
        job_key(kind, JOB) if kind is RecordKind.CANCELLED else tombstone_key(JOB, OWN)
    )
    node.jobs.fold(Record(key, encode_tombstone(OWN), 1), 0.0)
    assert heard == [(JobState.CANCELLED, kind)]
    assert kind in CANCELLING_KINDS


def job_records(fleet: PlatformFleet) -> list[str]:
    items = fleet.simulator.log.newest("keyed.jobs", 0, None).document["items"]
    return [item["key"] for item in items]


def check_that_nothing_ran(fleet: PlatformFleet) -> None:
    """Let the owner run a later job, so that it has read the cancelled one."""
    later, document = "b" * 16, json.loads(BODY)
    assert fleet.submit("n0", later, document).status == 200
    fleet.wait_for_state("n0", later, "done")
    assert not [event for event in fleet.simulator.events if event[2].startswith(JOB)]
    # A node that had read the tombstone has refused the job, which then is unknown.
    for name in fleet.node_by_name:
        assert fleet.state(name, JOB) in ("cancelled", None)


def submit_at(address: str) -> None:
    """Submit the job directly or, at an address for other nodes, as a relayed call."""
    connection = http.client.HTTPConnection(address, timeout=5)
    headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"}
    headers[CALLERS_HOST_HEADER] = QUEUE_HOST
    with contextlib.suppress(OSError, http.client.HTTPException):
        connection.request("POST", f"/jobs/{JOB}", BODY, headers)
        connection.getresponse().read()
    connection.close()


@pytest.mark.parametrize("entry", ["front", "peers"])
def test_nothing_runs_of_a_job_that_a_frozen_node_accepts_after_its_cancellation(entry):
    with PlatformFleet() as fleet:
        fleet.start(nodes=3)
        owner = fleet.owner()
        assert owner is not None
        frozen, other = (name for name in fleet.node_by_name if name != owner.name)
        settings = json.loads((fleet.folder / f"{frozen}.json").read_text())
        fleet.signal(frozen, signal.SIGSTOP)
        caller = threading.Thread(target=submit_at, args=[settings[entry]])
        caller.start()
        assert fleet.call(other, "DELETE", JOB).status == 410
        fleet.signal(frozen, signal.SIGCONT)
        caller.join()
        check_that_nothing_ran(fleet)


def test_nothing_runs_of_a_job_whose_append_is_carried_out_after_its_cancellation():
    arrived, released = threading.Event(), threading.Event()

    def hold_append(call: Call) -> None:
        if ACCEPTED.encode() in call.body:
            arrived.set()
            released.wait(10)

    with PlatformFleet() as fleet:
        fleet.start(nodes=2)
        fleet.simulator.store_faults = hold_append
        caller = threading.Thread(
            target=fleet.submit, args=["n0", JOB, json.loads(BODY)]
        )
        caller.start()
        assert arrived.wait(5)
        assert fleet.call("n1", "DELETE", JOB).status == 410
        released.set()
        caller.join()
        wait_for(lambda: ACCEPTED in job_records(fleet), "the job is in the log")
        check_that_nothing_ran(fleet)


def test_tombstones_are_deleted_after_the_retention_time():
    with PlatformFleet(status_kept_s=1) as fleet:
        fleet.start(nodes=1)
        assert fleet.call("n0", "DELETE", JOB).status == 410
        assert job_records(fleet) == [tombstone_key(JOB, OWN)]
        wait_for(lambda: not job_records(fleet), "no record is left", 10)
