"""An entry of another writer under a live minion's ID does not end the minion's work.

Entries whose service no configuration names belong to nobody; the minion's own entry
holds, and is written again with its next status report.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import RunningTask, Step
from tests.common.schedule_parts import (
    SMALL,
    TIMES,
    Fleet,
    LoggedFleet,
    configuration,
    job,
    listing,
)

JOB = "a" * 16
OWN = listing(0)
FOREIGN = replace(OWN, service="of nobody", incarnation=99, address="10.9.9.9:1")


class LiveMinion(Fleet):
    """A minion on which a task runs, beside one without work."""

    def __init__(self) -> None:
        super().__init__(minions=2)
        self.add(job(JOB, Step(1, SMALL, 500)))
        (order,) = self.plan()
        assert order.run.minion_id == "i-0"
        self.row = RunningTask(str(order.run.task), order.run.number, "", 10)
        self.report("i-0", (self.row,))

    def list_first(self, entry) -> None:
        """Read an entry of the first minion."""
        self.now += 0.5
        listings = {"i-0": entry, "i-1": listing(1)}
        self.scheduler.set_listings(listings, self.now)


def test_an_entry_with_an_unnamed_service_restarts_nothing():
    """Its later start was believed, and the task ran twice."""
    fleet = LiveMinion()
    fleet.list_first(FOREIGN)
    assert fleet.plan() == ()
    assert fleet.poll("i-0").address == OWN.address
    fleet.report("i-0", (fleet.row,))
    fleet.list_first(OWN)
    assert fleet.plan() == ()


@pytest.mark.parametrize("draining", [False, True])
def test_a_minion_whose_service_was_withdrawn_is_still_listened_to(draining):
    fleet = LiveMinion()
    config = configuration(version=2)
    fleet.scheduler.set_configuration(
        replace(config, service_by_name={}, queue_by_name={}, team_by_key={})
    )
    fleet.list_first(replace(OWN, draining=draining, address="10.0.0.5:80"))
    assert fleet.poll("i-0").address == "10.0.0.5:80"
    assert fleet.scheduler.view_by_id["i-0"].draining is draining


def test_a_minion_that_starts_again_in_another_pool_is_believed():
    fleet = LiveMinion()
    fleet.list_first(replace(OWN, service="spare", incarnation=2))
    assert [order.run.minion_id for order in fleet.plan()] == ["i-1"]


def test_an_unknown_minion_of_an_unnamed_service_is_polled():
    """Its service may have been withdrawn, and its tasks are to be stopped."""
    fleet = LiveMinion()
    fleet.scheduler.set_listings({"i-7": replace(FOREIGN, minion_id="i-7")}, 1.0)
    assert fleet.poll("i-7").address == FOREIGN.address


class TakenOver(LoggedFleet):
    """A minion on which a task runs, with a new owner who first reads FOREIGN."""

    row: RunningTask

    @classmethod
    def from_former_owner(cls) -> TakenOver:
        former = LoggedFleet(minions=2)
        former.add(job(JOB, Step(1, SMALL, 500)))
        (order,) = former.plan()
        assert order.run.minion_id == "i-0"
        fleet = cls(0, 6, former.registry)
        fleet.offset = former.offset
        fleet.row = RunningTask(str(order.run.task), order.run.number, "", 10)
        fleet.list_first(FOREIGN)
        fleet.report("i-1")
        return fleet

    def list_first(self, entry) -> None:
        """Read an entry of the first minion."""
        self.now += 0.5
        listings = {"i-0": entry, "i-1": listing(1)}
        self.scheduler.set_listings(listings, self.now)


def test_an_entry_that_a_new_owner_reads_first_restarts_nothing():
    """It knew no other one, believed the later start, and the task ran twice."""
    fleet = TakenOver.from_former_owner()
    fleet.report("i-0", (fleet.row,))
    fleet.list_first(FOREIGN)
    assert fleet.plan() == ()
    fleet.list_first(OWN)
    fleet.report("i-0", (fleet.row,))
    assert fleet.plan() == ()
    assert fleet.poll("i-0").address == OWN.address
    assert fleet.scheduler.view_by_id["i-0"].accepts(fleet.now)


def test_another_minion_at_a_foreign_entrys_address_ends_nothing():
    """The address was never the minion's, so it shows nothing about its tasks."""
    fleet = TakenOver.from_former_owner()
    assert fleet.poll("i-0").address == FOREIGN.address
    fleet.scheduler.on_minion_replaced("i-0", fleet.now)
    assert fleet.plan() == ()
    fleet.list_first(OWN)
    fleet.report("i-0", (fleet.row,))
    assert fleet.plan() == ()


def test_tasks_of_a_minion_that_is_only_known_from_a_foreign_entry_lapse():
    fleet = TakenOver.from_former_owner()
    fleet.scheduler.on_minion_replaced("i-0", fleet.now)
    fleet.now += TIMES.former_owner_overlap + TIMES.longest_lease + 5.0
    fleet.scheduler.authority.confirm(fleet.now)
    fleet.report("i-1")
    fleet.now += 0.5
    assert [order.run.minion_id for order in fleet.plan()] == ["i-1"]


def test_a_restart_in_a_withdrawn_pool_is_seen_in_the_minions_report():
    fleet = LiveMinion()
    config = configuration(version=2)
    fleet.scheduler.set_configuration(
        replace(config, service_by_name={}, queue_by_name={}, team_by_key={})
    )
    fleet.list_first(replace(OWN, incarnation=2))
    assert fleet.scheduler.view_by_id["i-0"].runs
    fleet.report("i-0", incarnation=2)
    assert not fleet.scheduler.view_by_id["i-0"].runs
