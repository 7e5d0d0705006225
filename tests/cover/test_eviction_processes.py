"""Evictions of killed members with real processes."""

import pytest

from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import wait_for
from tests.common.processes import start_fleet

EVICTION_TIMEOUT_SECONDS = 5.0


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        start_fleet(fleet, entries=3, minions=1, limits={"acme": 3})
        yield fleet


def hosts(entry):
    return {member["host"] for member in entry.status()["members"]}


def test_a_killed_member_is_evicted_and_its_successor_joins(fleet):
    e0, e2 = fleet.entry_by_name["e0"], fleet.entry_by_name["e2"]
    e2.kill()
    e2.process.wait()
    wait_for(lambda: hosts(e0) == {"e0", "e1"}, "eviction", EVICTION_TIMEOUT_SECONDS)
    fleet.restart_entry("e2")
    wait_for(e2.ready, "successor", EVICTION_TIMEOUT_SECONDS)
    assert hosts(e0) == {"e0", "e1", "e2"}


def test_an_operator_evicts_by_force_where_most_members_are_lost(fleet):
    e0 = fleet.entry_by_name["e0"]
    for name in ("e1", "e2"):
        fleet.entry_by_name[name].kill()
    refused = e0.operator.post("evictions", {"member": "nobody"})
    assert refused.status == 404
    for name in ("e1", "e2"):
        assert e0.operator.post("evictions", {"member": name}).status == 200
    assert hosts(e0) == {"e0"}
