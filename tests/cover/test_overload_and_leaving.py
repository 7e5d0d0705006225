"""Overload, leaving minions and shutdown with real processes.

Under overload calls must be refused quickly and must not have run; minions on leaving
hosts must get no new work; and an entry host that exits must not cut a call.
"""

import http.client
import json
import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from geraniumshore import Items, Minion, ReleaseNote, Withdrawn
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.balancer import Balancer
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.operator_client import http_call
from tests.common.faulty import problem
from tests.common.notes import bearer, first_note
from tests.common.processes import apply_note

THREADS = 16
QUICK_SECONDS = 1.0
LEAVING_SECONDS = 3.0
EXIT_SECONDS = 15.0


def start(fleet):
    fleet.start_platform()
    for number in range(3):
        fleet.start_minion(f"m{number}")
    for number in range(3):
        fleet.start_entry(f"e{number}", threads=THREADS, notice_ms=300)
    fleet.wait_for_minions()
    fleet.wait_until_ready()
    apply_note(fleet, first_note({"acme": 40}, fleet.address_by_minion))
    return fleet


@pytest.fixture(scope="module")
def shared_fleet():
    with Fleet() as fleet:
        yield start(fleet)


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        yield start(fleet)


def call(entry, queue="count", body=b"x"):
    began = time.monotonic()
    reply = entry.call(queue, bearer("acme"), body)
    return reply, time.monotonic() - began


def test_overload_is_refused_quickly_and_does_not_block_probes_or_operators(
    shared_fleet,
):
    for minion in shared_fleet.address_by_minion:
        shared_fleet.set_minion_modes(minion, work_ms=2_000)
    entry = shared_fleet.entry_by_name["e0"]
    with ThreadPoolExecutor(60) as pool:
        calls = [pool.submit(call, entry) for _ in range(60)]
        time.sleep(0.5)
        for _ in range(5):
            began = time.monotonic()
            assert entry.ready()
            assert entry.status()["authority"]
            assert time.monotonic() - began < QUICK_SECONDS
        results = [each.result() for each in calls]
    refused = [(r, s) for r, s in results if r.status != 200]
    assert refused
    for reply, seconds in refused:
        assert problem(reply) == (503, "overloaded", "not-run")
        assert 1 <= int(reply.headers["retry-after"]) <= 3
        assert seconds < QUICK_SECONDS
    assert sum(runs_by_minion(shared_fleet).values()) == len(results) - len(refused)


def runs_by_minion(fleet):
    return Counter(
        {m: len(fleet.minion_counts(m)["runs"]) for m in fleet.address_by_minion}
    )


def test_other_methods_on_a_queue_are_refused(shared_fleet):
    entry = shared_fleet.entry_by_name["e0"]
    before = runs_by_minion(shared_fleet)
    headers = {"Authorization": f"Bearer {bearer('acme')}"}
    for method in ("GET", "HEAD", "PUT", "DELETE"):
        reply = http_call(entry.address, method, "/queues/count", None, headers)
        assert reply.status == 405
        assert reply.headers["allow"] == "POST"
    assert runs_by_minion(shared_fleet) == before


def test_an_answer_to_head_does_not_corrupt_the_next_answer(shared_fleet):
    connection = http.client.HTTPConnection(shared_fleet.entry_by_name["e0"].address)
    headers = {"Authorization": f"Bearer {bearer('acme')}"}
    connection.request("HEAD", "/queues/count", None, headers)
    assert connection.getresponse().read() == b""
    connection.request("POST", "/queues/count", b"after-head", headers)
    answer = connection.getresponse()
    assert json.loads(answer.read())["body"] == "after-head"
    connection.close()


def test_a_leaving_minion_gets_no_new_work(fleet):
    address = fleet.address_by_minion["m1"]
    hosts = {"h1": {"pool": "p", "data_centre": "dc1", "rack": "r1"}}
    note = ReleaseNote(
        base=1,
        added=Items.model_validate({"pools": {"p": {}}, "hosts": hosts}),
        changed=Items(minions={"m1": Minion("sorting", address, host="h1")}),
        withdrawn=Withdrawn(minions=["m2"]),
    )
    apply_note(fleet, note)
    leaving = {"host": "h1", "data_centre": "dc1", "rack": "r1", "boot": "1"}
    body = {"hosts": [{**leaving, "state": "leaving"}]}
    listed = time.monotonic()
    fleet_put(fleet, "/test/hosts", body)
    time.sleep(LEAVING_SECONDS - (time.monotonic() - listed))
    before = runs_by_minion(fleet)
    for turn in range(30):
        assert call(fleet.entry_by_name[f"e{turn % 3}"])[0].status == 200
    after = runs_by_minion(fleet)
    assert after - before == Counter(m0=30)


def fleet_put(fleet, path, document):
    http_call(fleet.platform_address, "PUT", path, json.dumps(document).encode())


def test_replacing_every_entry_host_in_turn_cuts_no_request(fleet):
    stop = threading.Event()
    results: Counter[str] = Counter()
    lock = threading.Lock()

    def load(balancer, number):
        turn = 0
        while not stop.is_set():
            turn += 1
            try:
                body = f"{number}-{turn}".encode()
                reply = balancer.next().call("billing", bearer("acme"), body)
                kind = str(reply.status)
            except (OSError, http.client.HTTPException) as error:
                kind = f"cut: {error!r}"
            with lock:
                results[kind] += 1

    entries = list(fleet.entry_by_name.values())
    with Balancer(fleet.entry_by_name) as balancer, ThreadPoolExecutor(6) as pool:
        for number in range(6):
            pool.submit(load, balancer, number)
        try:
            for entry in entries:
                entry.kill(signal.SIGTERM)
                assert entry.process.wait(EXIT_SECONDS) == 0
                fleet.restart_entry(entry.name)
                wait_for(entry.ready, f"ready {entry.name}")
        finally:
            stop.set()
    assert set(results) == {"200"}
    bodies = Counter(
        run["body"]
        for minion in fleet.address_by_minion
        for run in fleet.minion_counts(minion)["runs"]
    )
    assert set(bodies.values()) == {1}
    assert sum(bodies.values()) == results["200"]


def test_an_entry_host_that_cannot_append_its_leave_record_exits_and_cuts_no_call(
    fleet,
):
    for minion in fleet.address_by_minion:
        fleet.set_minion_modes(minion, work_ms=1_000)
    entry = fleet.entry_by_name["e0"]
    with ThreadPoolExecutor(4) as pool:
        calls = [pool.submit(call, entry) for _ in range(4)]
        time.sleep(0.3)
        fleet.set_faults(outage=True)
        entry.kill(signal.SIGTERM)
        assert {each.result()[0].status for each in calls} == {200}
    assert entry.process.wait(EXIT_SECONDS) == 0
