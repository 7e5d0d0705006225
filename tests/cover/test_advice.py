"""Queues with an external policy: no task starts without a valid ticket."""

from __future__ import annotations

from dataclasses import replace

from geraniumshore_scheduler import StartOutcome, Step
from tests.common.schedule_parts import SMALL, Fleet, configuration, job

JOB = "a" * 16


def fleet_that_needs_advice(minions: int = 3) -> Fleet:
    config = configuration()
    queue = replace(config.queues[0], needs_advice=True)
    config = replace(config, queues=(queue,), queue_by_name={}, team_by_key={})
    fleet = Fleet(minions, config)
    fleet.add(job(JOB, Step(2, SMALL, 500)))
    return fleet


def answer(fleet: Fleet, tickets: dict[str, str], valid_s: float = 3.0) -> None:
    request = fleet.scheduler.next_advice_request(fleet.now)
    assert request is not None
    assert str(request.step) == f"{JOB}.0.0"
    fleet.scheduler.on_advice(request, tickets, valid_s, fleet.now)


def test_nothing_starts_before_the_advice():
    fleet = fleet_that_needs_advice()
    assert fleet.plan() == ()
    answer(fleet, {"i-1": "t1"})
    starts = fleet.plan()
    assert [(s.run.minion_id, s.ticket) for s in starts] == [("i-1", "t1")] * 2
    assert fleet.scheduler.next_advice_request(fleet.now) is None


def test_an_expired_ticket_is_requested_again():
    fleet = fleet_that_needs_advice()
    answer(fleet, {"i-1": "t1"}, valid_s=1.0)
    fleet.now = 0.6
    fleet.report("i-1")
    assert fleet.plan() == ()
    answer(fleet, {"i-1": "t2"})
    assert {start.ticket for start in fleet.plan()} == {"t2"}


def test_a_new_incarnation_needs_a_new_ticket():
    fleet = fleet_that_needs_advice(minions=1)
    answer(fleet, {"i-0": "t1"})
    fleet.scheduler._begin_incarnation(fleet.scheduler.view_by_id["i-0"], 2, 0.0)
    assert fleet.plan() == ()


def test_a_rejected_ticket_is_removed():
    fleet = fleet_that_needs_advice(minions=1)
    answer(fleet, {"i-0": "t1"})
    batch = fleet.scheduler.plan(0.0, 0.0)
    assert batch is not None
    fleet.scheduler.on_durable(batch)
    for order in batch.starts:
        fleet.scheduler.prepare_start(order.run, 0.0)
        fleet.scheduler.on_start_answer(order.run, StartOutcome.NO_TICKET, 0.0)
    fleet.now = 1.0
    fleet.report("i-0")
    assert fleet.plan() == ()
    answer(fleet, {"i-0": "t2"})
    assert {start.ticket for start in fleet.plan()} == {"t2"}
