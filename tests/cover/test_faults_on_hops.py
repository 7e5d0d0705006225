"""Faults on each hop: outcomes are true, and non-idempotent work runs at most once."""

import http.client
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.operator_client import http_call
from tests.common.faulty import FaultyFleet, problem
from tests.common.notes import bearer

DETECTION_SECONDS = 5.0
RUN_SECONDS = 1.5


@pytest.fixture(scope="module")
def started():
    with FaultyFleet() as fleet:
        fleet.start_all(entries=2, minions=2)
        yield fleet


@pytest.fixture
def fleet(started):
    yield started
    started.clear_faults()
    wait_for(lambda: not running(started), "end of every run")
    # Minions suspected in one test must not be avoided in the next one.
    wait_for(
        lambda: all(
            b"suspect_minions{service=" not in metrics
            or b'suspect_minions{service="sorting"} 0.0' in metrics
            for metrics in (
                http_call(e.address, "GET", "/metrics").body
                for e in started.entry_by_name.values()
            )
        ),
        "end of every ejection",
    )


def running(fleet):
    return sum(
        sum(fleet.minion_counts(m)["running_by_team"].values())
        for m in fleet.address_by_minion
    )


def slow_minions(fleet, seconds=RUN_SECONDS):
    for minion in fleet.address_by_minion:
        fleet.set_minion_modes(minion, work_ms=int(seconds * 1000))


def silence_open_connections(fleet):
    for hop in fleet.hop_by_minion.values():
        hop.silence()


@pytest.mark.parametrize("faults", [{"cut_after": 0}, {"reset_after": 40}])
def test_a_lost_answer_to_non_idempotent_work_is_unknown_and_ran_once(fleet, faults):
    body = f"lost-{faults}"
    fleet.set_minion_hop_faults(**faults)
    assert problem(fleet.send("e0", "billing", body)) == (502, "unknown", "unknown")
    assert fleet.run_count(body) == 1


@pytest.mark.parametrize(
    "faults", [{"cut_after": 0}, {"reset_after": 40}, {"refuse": True}]
)
def test_idempotent_work_is_answered_by_another_minion(fleet, faults):
    fleet.hop_by_minion["m0"].set_faults(**faults)
    fleet.hop_by_minion["m0"].reset()
    for turn in range(6):
        assert fleet.send("e0", "count", f"{faults}-{turn}").status == 200


def test_work_that_a_minion_did_not_take_runs_once_on_another(fleet):
    fleet.hop_by_minion["m1"].set_faults(refuse=True)
    fleet.hop_by_minion["m1"].reset()
    for turn in range(6):
        body = f"not-taken-{turn}"
        reply = fleet.send("e0", "billing", body)
        assert reply.status == 200, reply.body
        assert fleet.run_count(body) == 1


def test_a_request_on_a_silent_connection_runs_once_on_another_minion(fleet):
    fleet.set_minion_hop_faults(silent_to_target=True)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(fleet.send, "e0", "billing", "went-silent")
        time.sleep(0.5)
        silence_open_connections(fleet)
        fleet.clear_faults()
        assert call.result(DETECTION_SECONDS).status == 200
    assert fleet.run_count("went-silent") == 1


def test_a_request_that_arrives_late_is_not_run_a_second_time(fleet):
    fleet.set_minion_hop_faults(silent_to_target=True)
    fleet.hop_by_minion["m1"].set_faults(silent_to_target=True, fraction=0.0)
    with ThreadPoolExecutor(1) as pool:
        calls = [pool.submit(fleet.send, "e0", "billing", f"late{n}") for n in range(2)]
        for call in calls:
            assert problem_or_status(call.result(2 * DETECTION_SECONDS)) in OUTCOMES
    fleet.clear_faults()
    time.sleep(0.5)
    assert max(fleet.run_count(f"late{n}") for n in range(2)) <= 1


OUTCOMES = {200, "unknown", "not-run"}


def problem_or_status(reply):
    return 200 if reply.status == 200 else problem(reply)[2]


def test_an_answer_on_a_silent_connection_is_detected_as_unknown(fleet):
    slow_minions(fleet)
    with ThreadPoolExecutor(1) as pool:
        began = time.monotonic()
        call = pool.submit(fleet.send, "e0", "billing", "silent-answer")
        wait_for(lambda: running(fleet) == 1, "run")
        silence_open_connections(fleet)
        assert problem(call.result())[2] == "unknown"
        assert time.monotonic() - began < RUN_SECONDS + DETECTION_SECONDS
    assert fleet.run_count("silent-answer") == 1


def test_idempotent_work_on_a_silent_connection_is_answered(fleet):
    slow_minions(fleet)
    with ThreadPoolExecutor(1) as pool:
        began = time.monotonic()
        call = pool.submit(fleet.send, "e0", "count", "silent-count")
        wait_for(lambda: running(fleet) == 1, "run")
        silence_open_connections(fleet)
        assert call.result().status == 200
        assert time.monotonic() - began < 2 * RUN_SECONDS + DETECTION_SECONDS


def test_a_long_run_is_not_taken_for_a_silent_connection(fleet):
    slow_minions(fleet, seconds=DETECTION_SECONDS + 1)
    reply = fleet.send("e0", "billing", "long-run")
    assert reply.status == 200
    assert fleet.run_count("long-run") == 1


@pytest.mark.parametrize("mode", ["crossed", "cut"])
def test_an_answer_that_is_crossed_or_truncated_reaches_no_caller(fleet, mode):
    for minion in fleet.address_by_minion:
        fleet.set_minion_modes(minion, **{mode: True})
    assert problem(fleet.send("e0", "billing", mode)) == (502, "unknown", "unknown")
    assert fleet.run_count(mode) == 1


def test_a_slot_is_free_again_soon_after_an_unknown_run_has_ended(fleet):
    fleet.set_minion_hop_faults(cut_after=0)
    with ThreadPoolExecutor(16) as pool:
        list(pool.map(lambda n: fleet.send("e0", "billing", f"u{n}"), range(16)))
    fleet.clear_faults()
    began = time.monotonic()
    with ThreadPoolExecutor(16) as pool:
        replies = pool.map(lambda n: fleet.send("e0", "count", f"v{n}"), range(16))
        assert {reply.status for reply in replies} == {200}
    assert time.monotonic() - began < DETECTION_SECONDS


def test_a_caller_whose_answer_was_cut_gets_it_on_retry(fleet):
    slow_minions(fleet, seconds=0.3)
    hop = fleet.hop_by_entry["e0"]
    hop.set_faults(cut_after=0)
    headers = {"Authorization": f"Bearer {bearer('acme')}", "Idempotency-Key": "cut"}
    with pytest.raises((OSError, http.client.HTTPException)):
        http_call(hop.address, "POST", "/queues/billing", b"cut-caller", headers)
    assert fleet.send("e1", "billing", "cut-caller", key="cut").status == 200
    assert fleet.run_count("cut-caller") == 1


def test_waiting_work_of_a_disconnected_caller_is_not_run(fleet):
    slow_minions(fleet, seconds=1.0)
    with ThreadPoolExecutor(16) as pool:
        calls = [pool.submit(fleet.send, "e0", "count", f"busy{n}") for n in range(16)]
        wait_for(lambda: running(fleet) == 16, "every slot taken")
        address, _, port = fleet.entry_by_name["e0"].address.partition(":")
        with socket.create_connection((address, int(port))) as caller:
            caller.sendall(
                b"POST /queues/count HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                b"Authorization: Bearer %s\r\n\r\ngone" % bearer("acme").encode()
            )
            time.sleep(0.2)
        assert {call.result().status for call in calls} == {200}
    assert fleet.send("e0", "count", "after").status == 200
    assert fleet.run_count("gone") == 0


def test_calls_succeed_while_connections_to_the_platform_are_silent(fleet):
    for hop in fleet.platform_hop_by_entry.values():
        hop.silence()
    until = time.monotonic() + DETECTION_SECONDS
    while time.monotonic() < until:
        for entry in fleet.entry_by_name:
            assert fleet.send(entry, "count", "platform-silent").status == 200
        time.sleep(0.1)
    assert fleet.send("e0", "billing", "claimed", key="claimed").status == 200


def test_silent_connections_between_members_are_detected(fleet):
    for hop in fleet.peer_hop_by_entry.values():
        hop.silence()
    time.sleep(0.1)
    began = time.monotonic()
    for entry in fleet.entry_by_name:
        assert fleet.send(entry, "count", "peers-silent").status == 200
    assert time.monotonic() - began < DETECTION_SECONDS
