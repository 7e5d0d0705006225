"""The soak test's fault schedule, its invariant checks and a short run."""

from __future__ import annotations

import pytest

from geraniumshore_standins.internal.users_platform.soak import SoakSize, run_soak
from geraniumshore_standins.internal.users_platform.soak_faults import draw_faults
from geraniumshore_standins.internal.users_platform.soak_invariants import (
    EVACUATE_S,
    OWNERSHIP_LEASE_S,
    VISIBILITY_TIMEOUT_S,
    CallerView,
    Evacuated,
    invariant_violations,
    late_starts_in,
    running_on,
)

JOB = "a" * 16
NODES = ["n0", "n1", "n2"]
MACHINES = ["m-0", "m-1", "m-2", "m-3"]
SHORT = SoakSize(seconds=6.0, nodes=3, minions=4, clients=2)


def found(events, view=None, orders=()) -> list[str]:
    views = {JOB: view or CallerView((1, 1), accepted_at=0.0)}
    return [line.split()[0] for line in invariant_violations(events, views, orders)]


def start(at, task=f"{JOB}.0.0.0", run=1, minion="i-1"):
    return at, "start", task, run, minion, ""


def end(at, how="done", task=f"{JOB}.0.0.0", run=1, minion="i-1"):
    return at, "end", task, run, minion, how


def noted(at, task=f"{JOB}.0.0.0", run=1, minion="i-1"):
    return at, "noted", task, run, minion, "done"


SECOND = f"{JOB}.0.1.0"


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ([start(1), end(2), noted(3), start(4, SECOND)], []),
        ([start(1), start(2, minion="i-2", run=2)], ["TWICE"]),
        ([start(1), end(2, "lapsed"), start(3, minion="i-2", run=2)], []),
        ([start(1), end(2), noted(3), start(4, run=2)], ["TWICE"]),
        ([start(1), end(2), start(3, run=2), noted(4)], ["TWICE"]),
        ([start(1), end(2), start(3, run=2)], []),
        ([start(1), start(2, SECOND)], ["ORDER"]),
        ([start(1, "b" * 16 + ".0.0.0")], ["UNASKED"]),
        ([(1, "over capacity", f"{JOB}.0.0.0", 1, "i-1", "")], ["LIMIT"]),
    ],
)
def test_minion_events_are_checked_against_the_invariants(events, expected):
    assert found(events) == expected


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        ([(3.0, "done")], ["MIXED"]),
        ([(3.0, "failed")], ["MIXED"]),
        ([(3.0, "cancelled")], ["MIXED"]),
        ([(VISIBILITY_TIMEOUT_S - 0.1, "unknown")], []),
        ([(VISIBILITY_TIMEOUT_S + 0.1, "unknown")], ["LOST"]),
    ],
)
def test_reported_states_are_checked_against_what_ran(states, expected):
    view = CallerView((1, 1), accepted_at=0.0, states=states)
    assert found([start(1), end(2)], view) == expected


def test_refused_job_must_not_run():
    assert found([start(1)], CallerView((1, 1), refused=True)) == ["REFUSED"]


def test_orders_of_two_holders_to_one_machine_are_a_lease_apart():
    orders = [(1.0, "m", "h1", 2), (1.5, "m", "h1", 2), (2.0, "m", "h2", 4)]
    assert found([], orders=orders) == ["ONE"]
    late = 1.5 + OWNERSHIP_LEASE_S
    assert found([], orders=[*orders[:2], (late, "m", "h2", 4)]) == []
    assert found([], orders=[*orders[:2], (late, "m", "h2", 2)]) == ["ONE"]


def test_starts_in_an_evacuated_data_centre_are_found():
    """Guards against a soak that passes although the operators' request is ignored."""
    evacuated = [Evacuated("b", since=1.0, until=9.0)]
    times = (1.1, 0.9 + EVACUATE_S, 1.1 + EVACUATE_S, 9.1)
    events = [start(at, run=run) for run, at in enumerate(times)]
    late = late_starts_in(evacuated, events, {"i-1": "b"}, set())
    assert [line.split()[0] for line in late] == ["EVACUATED"]
    assert not list(late_starts_in(evacuated, events, {"i-1": "a"}, set()))
    delayed = {(f"{JOB}.0.0.0", 2)}
    assert not list(late_starts_in(evacuated, events, {"i-1": "b"}, delayed))


def test_tasks_that_run_on_after_an_acknowledged_cancellation_are_found():
    """Guards against a soak that passes although cancelled jobs run on."""
    told, untold, task = "b" * 16, "c" * 16, "{}.0.0.0".format
    views = {
        JOB: CallerView((1,), accepted_at=0.0),
        told: CallerView((1,), cancelled=True, cancellation_acknowledged=True),
        untold: CallerView((1,), cancelled=True),
    }
    assert running_on(map(task, views), views) == [task(told)]


def test_fault_schedule_is_deterministic_and_ends_in_time():
    drawn = [str(f) for f in draw_faults(7, 30.0, NODES, MACHINES)]
    assert drawn == [str(f) for f in draw_faults(7, 30.0, NODES, MACHINES)]
    assert drawn != [str(f) for f in draw_faults(8, 30.0, NODES, MACHINES)]
    faults = [f for s in range(40) for f in draw_faults(s, 30.0, NODES, MACHINES)]
    assert {type(f).__name__ for f in faults} == {
        "Signalled",
        "StoreLink",
        "MinionLinks",
        "StoreMisbehaves",
        "LateOrders",
        "MinionsCrash",
    }
    assert all(f.at > 0 and f.at + f.lasts <= 30.6 for f in faults)


@pytest.mark.parametrize("seed", [1])
def test_invariants_hold_for_real_nodes_under_random_faults(seed):
    report = run_soak(seed, SHORT)
    assert report.findings == []
    assert report.accepted > 0
    assert report.starts > 0
