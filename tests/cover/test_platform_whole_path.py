"""End-to-end tests of the job API: real nodes with a simulated platform."""

from __future__ import annotations

import base64
import http.client
import json
import signal
import time
from collections import Counter
from functools import partial

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import (
    PlatformFleet,
    configuration_document,
)

# Longer than ttl plus grace, the time for which an owner sends orders without having
# read the log.
STORE_OUTAGE_S = 4.0
READ_OUTAGE_S = 1.0


@pytest.fixture
def fleet():
    with PlatformFleet() as started:
        started.start()
        yield started


def job_id(number: int) -> str:
    return f"{number:016x}"


def document(tasks: int = 3, work_ms: int = 100, how: str = "done", **step):
    spec = json.dumps({"work_ms": work_ms, "how": how})
    first = {"count": tasks, "cpu": 500, "mem_mb": 10, "estimate_ms": work_ms, **step}
    second = {**first, "count": 1, "depends_on": [0]}
    long_job = step.get("long_running")
    return {"spec": spec, "phases": [first] if long_job else [first, second]}


def runs(fleet: PlatformFleet, job: str) -> Counter[str]:
    return Counter(
        task
        for _, kind, task, _, _, how in fleet.simulator.events
        if kind == "end" and how == "done" and task.startswith(job)
    )


def refuses_old_key(fleet: PlatformFleet, node: str) -> bool:
    return fleet.call(node, "GET", "").status == 401


def wave_state(fleet: PlatformFleet) -> str | None:
    items = fleet.simulator.log.newest("keyed.status", 0, None).document["items"]
    values = [json.loads(base64.b64decode(item["value"])) for item in items]
    return next((value["state"] for value in values if value["wave"] == 1), None)


def check_no_task_ran_twice(fleet: PlatformFleet) -> None:
    running: dict[str, str] = {}
    for _, kind, task, _, minion, _ in fleet.simulator.events:
        if kind == "start":
            assert task not in running, f"{task} on {running[task]} and {minion}"
            running[task] = minion
        elif kind == "end":
            running.pop(task, None)


def test_job_submitted_twice_runs_once_and_all_nodes_report_it(fleet):
    assert fleet.submit("n0", job_id(1), document()).status == 200
    assert fleet.submit("n1", job_id(1), document()).status == 200
    for node in ("n0", "n1"):
        fleet.wait_for_state(node, job_id(1), "done")
    assert set(runs(fleet, job_id(1)).values()) == {1}
    assert len(runs(fleet, job_id(1))) == 4
    assert fleet.call("n0", "GET", "").document == {"pending": 0}


def test_keys_queues_and_bodies_are_validated(fleet):
    assert fleet.submit("n0", job_id(1), document(), key="wrong").status == 401
    assert fleet.submit("n0", job_id(1), {"phases": []}).status == 400
    assert fleet.call("n0", "GET", job_id(9)).status == 410
    headers = {"Host": "elsewhere.example"}
    connection = http.client.HTTPConnection(fleet.node_by_name["n0"].front, timeout=5)
    connection.request("GET", "/jobs/", headers=headers)
    assert connection.getresponse().status == 404
    connection.close()


def test_withdrawn_key_is_refused_by_all_nodes(fleet):
    fleet.simulator.configure(configuration_document("s", 2, keys=("new",)))
    for node in ("n0", "n1"):
        wait_for(
            partial(refuses_old_key, fleet, node),
            f"{node} refuses the old key",
            2.0,
        )
        assert fleet.call(node, "GET", "", key="new").status == 200


def test_cancelled_long_running_job_stops(fleet):
    long_job = document(2, how="lasts", long_running=True)
    assert fleet.submit("n0", job_id(1), long_job).status == 200
    wait_for(
        lambda: sum(map(len, fleet.simulator.running().values())) == 2, "two tasks run"
    )
    assert fleet.call("n1", "DELETE", job_id(1)).status == 200
    assert fleet.state("n1", job_id(1)) == "cancelled"
    wait_for(lambda: not any(fleet.simulator.running().values()), "nothing runs", 3.5)


def test_job_whose_task_always_fails_is_reported_as_failed(fleet):
    assert fleet.submit("n0", job_id(1), document(1, how="failed")).status == 200
    fleet.wait_for_state("n0", job_id(1), "failed")


def test_jobs_complete_after_the_owner_is_killed(fleet):
    owner = fleet.owner()
    other = next(name for name in fleet.node_by_name if name != owner.name)
    for number in range(6):
        reply = fleet.submit(other, job_id(number), document(work_ms=800))
        assert reply.status == 200
    wait_for(lambda: any(fleet.simulator.running().values()), "tasks run")
    fleet.signal(owner.name, signal.SIGKILL)
    for number in range(6):
        fleet.wait_for_state(other, job_id(number), "done")
    check_no_task_ran_twice(fleet)


def test_leaving_owner_hands_over_at_once_without_dropping_calls(fleet):
    owner = fleet.owner()
    other = next(name for name in fleet.node_by_name if name != owner.name)
    connection = http.client.HTTPConnection(owner.front, timeout=5)
    headers = {"Host": "queues.example", "Authorization": "Bearer key-of-team"}
    connection.request("GET", "/jobs/", headers=headers)
    assert connection.getresponse().read()
    fleet.signal(owner.name, signal.SIGTERM)
    wait_for(lambda: not owner.is_ready(), "the readiness probe fails", 1.0)
    body = json.dumps(document()).encode()
    connection.request("POST", f"/jobs/{job_id(1)}", body, headers)
    reply = connection.getresponse()
    assert reply.status == 200
    assert reply.getheader("Connection") == "close"
    fleet.wait_for_state(other, job_id(1), "done")
    assert owner.process.wait(5) == 0


def test_append_is_retried_after_a_lost_response_of_the_store(fleet):
    lost = Counter[str]()

    def lose_first(call):
        name = call.path[-1]
        if name == "log-append" and not call.query.get("producer"):
            lost[name] += 1
            return "lost" if lost[name] == 1 else None
        return None

    fleet.simulator.store_faults = lose_first
    assert fleet.submit("n0", job_id(1), document()).status == 200
    # The lost append and its retry; more if a response is overdue on a busy machine.
    assert lost["log-append"] >= 2
    fleet.wait_for_state("n0", job_id(1), "done")
    assert set(runs(fleet, job_id(1)).values()) == {1}


def test_refusal_of_the_store_is_returned_at_once_with_retry_after(fleet):
    fleet.simulator.store_faults = lambda call: (
        503 if call.path[-1] == "log-append" else None
    )
    began = time.monotonic()
    reply = fleet.submit("n0", job_id(1), document())
    assert time.monotonic() - began < 1.0
    assert (reply.status, reply.retry_after) == (503, "1")
    fleet.simulator.store_faults = lambda _: None
    time.sleep(0.5)
    assert fleet.call("n0", "GET", job_id(1)).status == 410


def test_malformed_records_of_other_writers_are_ignored(fleet):
    with fleet.simulator.lock:
        for number, entry in enumerate(
            (b"\xff\xfe", b"[]", b'{"service":5}', b'{"state":"odd"}', b"")
        ):
            fleet.simulator.log.put("keyed.servers", f"i-bad-{number}", entry)
        fleet.simulator.log.put("keyed.op", "config", b'{"version":"x"}')
        fleet.simulator.log.put("keyed.op", "wave/odd", b"{}")
    assert fleet.submit("n0", job_id(1), document()).status == 200
    fleet.wait_for_state("n0", job_id(1), "done")


def test_maintenance_wave_interrupts_no_task(fleet):
    long_job = document(2, how="lasts", long_running=True, may_miss=1)
    fleet.submit("n0", job_id(0), long_job)
    for number in range(1, 9):
        fleet.submit("n0", job_id(number), document(work_ms=300))
    time.sleep(3.2)
    machines = list(fleet.simulator.machine_by_name)
    fleet.simulator.announce_wave(
        {"wave": 1, "machines": machines, "finish_by_s": 20, "cap": 1}
    )
    for number in range(9, 15):
        fleet.submit("n1", job_id(number), document(work_ms=300))
    wait_for(
        lambda: all(m.wave == 1 for m in fleet.simulator.machine_by_name.values()),
        "each machine was maintained",
        20,
    )
    gone = [e for e in fleet.simulator.events if e[1] == "end" and e[5] == "gone"]
    assert gone == []
    wait_for(lambda: wave_state(fleet) == "done", "the wave is reported as done", 5)


def job_keys(fleet: PlatformFleet, job: str) -> list[str]:
    pages = [fleet.simulator.log.newest("keyed.jobs", part, None) for part in (0, 1)]
    keys = [item["key"] for page in pages for item in page.document["items"]]
    return [key for key in keys if key.endswith(job)]


def test_completed_jobs_are_dropped_after_the_retention_time():
    with PlatformFleet(status_kept_s=1) as fleet:
        fleet.start(nodes=1)
        fleet.submit("n0", job_id(1), document(1))
        fleet.wait_for_state("n0", job_id(1), "done")
        wait_for(
            lambda: fleet.call("n0", "GET", job_id(1)).status == 410,
            "unknown again",
            10,
        )
        # The owner's record of the job is deleted with its next batch, after the record
        # of the job's acceptance.
        wait_for(lambda: not job_keys(fleet, job_id(1)), "no record is left", 10)


def test_start_that_is_due_without_authority_is_sent_later():
    # After an outage, the store accepts the batch that places the task before the owner
    # has read the log again. The owner must not send the start before it has.
    began = recorded_at = float("inf")

    def faults(call):
        nonlocal began, recorded_at
        now = time.monotonic()
        is_placement_append = (
            call.path[-1] == "log-append" and call.query.get("part") == "1"
        )
        if is_placement_append:
            began = min(began, now)
        if now < began:
            return None
        if now < began + STORE_OUTAGE_S:
            return 503
        if is_placement_append:
            recorded_at = min(recorded_at, now)
            return None
        return 503 if now < recorded_at + READ_OUTAGE_S else None

    with PlatformFleet() as fleet:
        fleet.start(nodes=1, minions=2)
        fleet.simulator.store_faults = faults
        assert fleet.submit("n0", job_id(1), document(tasks=1)).status == 200
        fleet.wait_for_state("n0", job_id(1), "done")
        assert recorded_at < float("inf")
    assert set(runs(fleet, job_id(1)).values()) == {1}
