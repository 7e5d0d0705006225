"""Membership, releases and log outages with real processes."""

import signal
import threading
import time

import pytest

from geraniumshore import ReleaseNote, Withdrawn
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.operator_client import http_call
from tests.common.notes import bearer
from tests.common.processes import start_fleet

AUTHORITY_SECONDS = 3.0
IN_FORCE_SECONDS = 6.0
EVICTED_EXIT_STATUS = 75


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        start_fleet(fleet, entries=5, minions=2, limits={"acme": 3, "bolt": 8})
        yield fleet


class Load(threading.Thread):
    """Calls all entry hosts in turn for a number of seconds."""

    def __init__(self, fleet, seconds):
        super().__init__()
        self.fleet, self.seconds, self.statuses = fleet, seconds, []

    def run(self):
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            for entry in self.fleet.entry_by_name.values():
                self.statuses.append(entry.call("count", bearer("bolt")).status)
            time.sleep(0.02)


def withdraw_key(entry):
    note = ReleaseNote(base=1, withdrawn=Withdrawn(keys=["acme-1"]))
    return entry.operator.post("releases", note.model_dump(mode="json"))


def test_a_member_paused_for_longer_than_its_authority_exits_when_it_resumes(fleet):
    entry = fleet.entry_by_name["e4"]
    entry.kill(signal.SIGSTOP)
    wait_for(
        lambda: len(fleet.entry_by_name["e0"].status()["members"]) == 4, "eviction", 5
    )
    time.sleep(AUTHORITY_SECONDS)
    entry.kill(signal.SIGCONT)
    assert entry.process.wait(10) == EVICTED_EXIT_STATUS
    assert fleet.max_concurrent_runs("acme") <= 3


def test_a_fleet_killed_at_once_comes_back_with_its_version(fleet):
    for entry in fleet.entry_by_name.values():
        entry.kill()
    for name in fleet.entry_by_name:
        fleet.restart_entry(name)
    fleet.wait_until_ready(10)
    statuses = [entry.status() for entry in fleet.entry_by_name.values()]
    assert {status["version"] for status in statuses} == {1}
    wait_for(
        lambda: len(fleet.entry_by_name["e0"].status()["members"]) == 5, "members", 10
    )


def test_requests_are_served_through_a_log_outage_and_no_note_is_accepted(fleet):
    load = Load(fleet, 30.0)
    fleet.set_faults(outage=True)
    load.start()
    assert withdraw_key(fleet.entry_by_name["e0"]).status == 504
    load.join()
    fleet.set_faults()
    assert set(load.statuses) == {200}


def test_a_withdrawn_key_is_refused_in_time_though_a_member_is_killed(fleet):
    began = time.monotonic()
    fleet.entry_by_name["e4"].kill()
    assert withdraw_key(fleet.entry_by_name["e0"]).status == 200
    time.sleep(max(0.0, began + IN_FORCE_SECONDS - time.monotonic()))
    for name in ("e0", "e1", "e2", "e3"):
        assert fleet.entry_by_name[name].call("count", bearer("acme")).status in {
            401,
            503,
        }


def test_an_outage_longer_than_retention_loses_no_configuration(fleet):
    fleet.set_faults(outage=True)
    http_call(
        fleet.platform_address, "PUT", "/test/retention", b'{"retention_ms": 2000}'
    )
    time.sleep(5.0)
    http_call(
        fleet.platform_address, "PUT", "/test/retention", b'{"retention_ms": 60000}'
    )
    fleet.set_faults()
    newcomer = fleet.start_entry("e5")
    wait_for(newcomer.ready, "newcomer", 20)
    assert newcomer.status()["version"] == 1


def test_stalled_connections_to_the_platform_do_not_cost_authority():
    with Fleet() as fleet:
        fleet.start_proxy()
        fleet.start_platform()
        hop = fleet.open_hop(fleet.platform_address)
        for number in range(3):
            fleet.start_entry(f"e{number}", platform_address=hop.address)
        fleet.wait_until_ready()
        entry = fleet.entry_by_name["e0"]
        hop.silence()
        until = time.monotonic() + 8.0
        while time.monotonic() < until:
            assert entry.status()["authority"]
            time.sleep(0.1)


def test_stalled_connections_between_members_evict_no_member():
    with Fleet() as fleet:
        fleet.start_proxy()
        fleet.start_platform()
        for number in range(3):
            fleet.start_entry(f"e{number}", peer_proxied=True)
        fleet.wait_until_ready()
        wait_for(
            lambda: len(fleet.entry_by_name["e0"].status()["members"]) == 3, "members"
        )
        view = fleet.entry_by_name["e0"].status()["view"]
        for hop in fleet.peer_hop_by_entry.values():
            hop.silence()
        time.sleep(8.0)
        assert fleet.entry_by_name["e0"].status()["view"] == view
