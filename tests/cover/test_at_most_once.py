"""Keyed non-idempotent work runs at most once, whichever entry host gets a retry."""

import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from tests.common.faulty import FaultyFleet, problem


def is_served(fleet, entry, body, key):
    return fleet.send(entry, "billing", body, key=key).status == 200


@pytest.fixture(scope="module")
def started():
    with FaultyFleet() as fleet:
        fleet.start_all(entries=3, minions=2)
        yield fleet


@pytest.fixture
def fleet(started):
    yield started
    started.clear_faults()


def test_a_retry_through_another_host_gets_the_same_answer(fleet):
    first = fleet.send("e0", "billing", "once", key="k1")
    again = fleet.send("e1", "billing", "once", key="k1")
    assert (first.status, first.body) == (again.status, again.body)
    assert again.headers["outcome"] == "ran"
    assert fleet.run_count("once") == 1


def test_the_same_key_with_another_body_is_refused(fleet):
    fleet.send("e0", "billing", "mine", key="k2")
    other = fleet.send("e1", "billing", "other", key="k2")
    assert problem(other) == (422, "key-reused", "not-run")
    assert fleet.run_count("other") == 0


def test_concurrent_retries_run_once_and_get_the_same_answer(fleet):
    for minion in fleet.address_by_minion:
        fleet.set_minion_modes(minion, work_ms=300)
    with ThreadPoolExecutor(9) as pool:
        calls = [
            pool.submit(fleet.send, f"e{turn % 3}", "billing", "raced", "k3")
            for turn in range(9)
        ]
        replies = [call.result() for call in calls]
    assert {reply.status for reply in replies} == {200}
    assert len({reply.body for reply in replies}) == 1
    assert fleet.run_count("raced") == 1


def test_the_outcome_of_a_lost_answer_is_unknown_for_every_retry(fleet):
    fleet.set_minion_hop_faults(cut_after=20)
    first = fleet.send("e0", "billing", "lost", key="k4")
    fleet.clear_faults()
    again = fleet.send("e1", "billing", "lost", key="k4")
    assert problem(first) == (502, "unknown", "unknown")
    assert problem(again) == (502, "unknown", "unknown")
    assert fleet.run_count("lost") == 1


def test_a_retry_times_out_at_its_deadline_while_the_first_call_runs(fleet):
    for minion in fleet.address_by_minion:
        fleet.set_minion_modes(minion, work_ms=2_000)
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(fleet.send, "e0", "billing", "slow", "k5")
        time.sleep(0.5)
        headers = {"Deadline-Ms": "300"}
        again = fleet.send("e1", "billing", "slow", key="k5", **headers)
        assert problem(again) == (504, "still-unknown", "unknown")
        assert first.result().status == 200
    assert fleet.run_count("slow") == 1


def test_a_refusal_by_every_minion_releases_the_key(fleet):
    fleet.set_minion_hop_faults(refuse=True)
    first = fleet.send("e0", "billing", "later", key="k6", **{"Deadline-Ms": "700"})
    assert problem(first)[2] == "not-run"
    fleet.clear_faults()
    wait_for(
        partial(is_served, fleet, "e1", "later", "k6"),
        "answer to the retry",
        5.0,
    )
    assert fleet.run_count("later") == 1


def test_keyed_work_is_refused_at_once_as_not_run_during_a_log_outage(fleet):
    fleet.set_faults(outage=True)
    began = time.monotonic()
    reply = fleet.send("e0", "billing", "outage", key="k7")
    assert problem(reply) == (503, "no-claim", "not-run")
    assert time.monotonic() - began < 1.0
    assert int(reply.headers["retry-after"]) >= 1
    assert fleet.send("e0", "count", "idempotent", key="k7").status == 200
    fleet.clear_faults()
    for entry in ("e2", "e0"):
        served = partial(is_served, fleet, entry, "outage", "k7")
        wait_for(served, f"answer after the outage through {entry}", 5.0)
    assert fleet.run_count("outage") == 1


def test_a_lost_reply_of_the_log_causes_no_refusal_and_no_second_run(fleet):
    wait_for(
        partial(is_served, fleet, "e0", "before", "before"),
        "log that takes claims",
    )
    for turn in range(4):
        fleet.set_faults(lost_replies=1)
        body = f"reply-lost-{turn}"
        assert fleet.send(f"e{turn % 3}", "billing", body, key=body).status == 200
        assert fleet.run_count(body) == 1


def test_the_outcome_is_unknown_for_a_retry_after_its_entry_host_died(fleet):
    for minion in fleet.address_by_minion:
        fleet.set_minion_modes(minion, work_ms=1_000)
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(fleet.send, "e2", "billing", "orphan", "k8")
        wait_for(
            lambda: any(
                sum(fleet.minion_counts(m)["running_by_team"].values())
                for m in fleet.address_by_minion
            ),
            "run of the first call",
        )
        fleet.entry_by_name["e2"].kill()
        with pytest.raises(OSError):
            first.result()
    again = fleet.send("e0", "billing", "orphan", key="k8", **{"Deadline-Ms": "2500"})
    assert problem(again)[2] == "unknown"
    assert fleet.run_count("orphan") == 1


@pytest.mark.parametrize("key", ["", "a b", "x" * 201, "k1, k1"])
def test_a_malformed_key_is_refused(fleet, key):
    reply = fleet.send("e0", "billing", "bad-key", key=key)
    assert problem(reply) == (400, "bad-idempotency-key", "not-run")
