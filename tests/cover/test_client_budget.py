"""Which connections are closed when clients hold more than their share.

The load is that of docs/design/README.md: 2,000 connections to a process of 200 MB.
"""

from __future__ import annotations

import random

import pytest

from geraniumshored.internal.client_budget import (
    BudgetLimits,
    ClientBudget,
    ClientTimeouts,
    CloseReason,
    Holder,
    Phase,
)

LIMITS = BudgetLimits.from_machine(200_000_000, 4_100)
MIB = 1024 * 1024
BODY = 262_144


def opened(budget: ClientBudget, now: float) -> Holder:
    holder = Holder.opened(now)
    assert holder not in budget.admit(holder, now)
    return holder


def test_the_smallest_machine_keeps_its_connections_and_four_fifths_of_its_memory():
    assert BudgetLimits(held_bytes=40_000_000, connections=2_000) == LIMITS


def test_a_crowd_of_stalled_bodies_never_displaces_an_ordinary_request():
    """2,000 bodies of 4 MiB that stop short would hold 8 GB."""
    budget = ClientBudget(LIMITS)
    crowd = [opened(budget, 0.0) for _ in range(1_900)]
    ordinary = opened(budget, 1.0)
    budget.update(ordinary, Phase.BODY, 4_000, 1.0)
    for turn, holder in enumerate(crowd):
        now = 1.0 + turn / 1_000
        assert ordinary not in budget.update(holder, Phase.BODY, 4 * MIB, now)
        assert budget.held_bytes <= LIMITS.held_bytes
    assert ordinary in budget


def test_the_bytes_held_longest_go_first():
    budget = ClientBudget(LIMITS)
    old, new = opened(budget, 0.0), opened(budget, 0.0)
    budget.update(old, Phase.BODY, BODY, 0.0)
    budget.update(new, Phase.BODY, BODY, 9.0)
    greedy = opened(budget, 9.9)
    assert budget.update(greedy, Phase.BODY, 39_600_000, 10.0) == [greedy]
    others = [opened(budget, 10.0) for _ in range(38)]
    closed = [
        victim
        for holder in others
        for victim in budget.update(holder, Phase.BODY, MIB, 10.0)
    ]
    assert closed[:2] == [old, new]
    assert others[-1] in budget


def test_a_request_that_is_served_is_never_closed_and_a_queued_one_goes_last():
    """The outcome of a served request would be unknown; a queued one did not run."""
    budget = ClientBudget(LIMITS)
    served, queued, stalled = (opened(budget, 0.0) for _ in range(3))
    assert not budget.begin_serving(served, 10 * MIB, 0.0)
    budget.update(queued, Phase.QUEUED, 10 * MIB, 0.0)
    budget.update(stalled, Phase.BODY, MIB, 5.0)
    late = opened(budget, 5.0)
    victims = budget.update(late, Phase.QUEUED, 20 * MIB, 5.0)
    assert victims[0] is stalled
    assert served not in victims
    assert budget.begin_serving(late, 60 * MIB, 5.0) == [late] or late in victims
    assert served in budget


def test_a_full_table_closes_the_oldest_connection_that_was_never_answered():
    """Callers that keep their connection open were locked out by idle ones."""
    budget = ClientBudget(LIMITS)
    caller = opened(budget, 0.0)
    budget.begin_serving(caller, 200, 0.1)
    budget.update(caller, Phase.IDLE, 0, 0.2)
    idle = [opened(budget, 1.0 + n) for n in range(LIMITS.connections - 1)]
    assert budget.admit(Holder.opened(9.0), 9.0) == [idle[0]]
    assert caller in budget


def test_a_new_connection_is_refused_when_all_others_are_served():
    budget = ClientBudget(BudgetLimits(MIB, 1))
    budget.begin_serving(opened(budget, 0.0), 100, 0.0)
    late = Holder.opened(1.0)
    assert budget.admit(late, 1.0) == [late]
    assert late not in budget


@pytest.mark.parametrize("seed", range(5))
def test_any_order_of_events_stays_within_the_limits_and_ends_empty(seed):
    """A release that was counted twice would let the sum drift."""
    rng = random.Random(seed)
    limits = BudgetLimits(8 * MIB, 50)
    budget = ClientBudget(limits)
    holders: list[Holder] = []
    for turn in range(3_000):
        now = turn / 100
        if not holders or rng.random() < 0.2:
            holders.append(Holder.opened(now))
            budget.admit(holders[-1], now)
        holder = rng.choice(holders)
        size = rng.choice([0, 100, BODY, 2 * MIB])
        if rng.random() < 0.1:
            budget.release(holder)
        elif rng.random() < 0.2 and holder in budget:
            budget.begin_serving(holder, size, now)
        else:
            served = holder.phase is Phase.SERVED
            next_phases = [Phase.IDLE] if served else list(Phase)[:4]
            budget.update(holder, rng.choice(next_phases), size, now)
        assert budget.held_bytes <= limits.held_bytes
        assert budget.connections <= limits.connections
    for holder in holders:
        budget.release(holder)
    assert (budget.held_bytes, budget.connections) == (0, 0)


def test_a_kept_connection_is_as_old_as_its_present_request():
    """A caller's second request counted from the time of its connection."""
    budget = ClientBudget(LIMITS)
    holder = opened(budget, 0.0)
    for now, phase in ((50.0, Phase.BODY), (51.0, Phase.QUEUED), (52.0, Phase.ANSWER)):
        budget.update(holder, phase, 100, now)
    assert holder.since == 52.0
    budget.update(holder, Phase.HEAD, 100, 53.0)
    budget.update(holder, Phase.BODY, 100, 54.0)
    assert holder.since == 53.0


@pytest.mark.parametrize(
    ("phase", "moved_at", "at", "reason"),
    [
        (Phase.IDLE, 0.0, 59.0, None),
        (Phase.IDLE, 0.0, 61.0, CloseReason.IDLE),
        (Phase.HEAD, 0.0, 19.0, None),
        (Phase.HEAD, 20.0, 21.0, CloseReason.SLOW_HEAD),
        (Phase.BODY, 100.0, 119.0, None),
        (Phase.BODY, 0.0, 21.0, CloseReason.SILENT),
        (Phase.BODY, 120.0, 121.0, CloseReason.SLOW_BODY),
        (Phase.QUEUED, 0.0, 1_000.0, None),
        (Phase.SERVED, 0.0, 1_000.0, None),
        (Phase.ANSWER, 0.0, 21.0, CloseReason.SLOW_READER),
        (Phase.ANSWER, 120.0, 121.0, CloseReason.SLOW_READER),
    ],
)
def test_time_limits_apply_to_what_the_client_does(phase, moved_at, at, reason):
    """A client that sent a byte now and then held its connection for ever."""
    holder = Holder(since=0.0, moved_at=moved_at, phase=phase)
    assert ClientTimeouts().exceeded(holder, at) is reason
