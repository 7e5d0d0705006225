"""Decisions on evacuated data centres, without a network."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from typing import cast
from unittest import mock

import pytest

from geraniumshore_scheduler import (
    EVACUATIONS_KEY,
    CompletedRun,
    Evacuation,
    EvacuationLog,
    InvalidInputError,
    MachineListing,
    PoolLoad,
    PoolMachines,
    PoolPolicy,
    Resources,
    StartPermission,
    Step,
    decode_evacuations,
)
from geraniumshore_scheduler.internal import evacuation
from geraniumshore_scheduler.internal.maintenance import may_interrupt
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshored.node.ports import NewestPage, Page, Record, Stream
from geraniumshored.node.views import OperatorsView
from geraniumshored.platform.adapter import HttpPlatform
from tests.common.schedule_parts import (
    CAPACITY,
    POOL_THRESHOLDS,
    SMALL,
    Fleet,
    LoggedFleet,
    configuration,
    job,
    listing,
)
from tests.cover.test_machine_controller import Bench

DATA_CENTRES = ("a", "b", "c")
HALF = Resources(8_000, 1_000, 0)


class Site:
    """A fleet over data centres, whose minions carry out every order at once."""

    def __init__(self, minions: int, data_centres: tuple[str, ...] = DATA_CENTRES):
        self.fleet = Fleet(0)
        self.scheduler = self.fleet.scheduler
        self.listing_by_id = {
            f"i-{n}": listing(
                n, f"r{n % 2}", data_centre=data_centres[n % len(data_centres)]
            )
            for n in range(minions)
        }
        self.completions: Counter[str] = Counter()
        self.starts_by_data_centre: Counter[str] = Counter()
        self.read_list()
        for minion_id in self.listing_by_id:
            self.fleet.report(minion_id)

    def read_list(self) -> None:
        self.scheduler.set_listings(dict(self.listing_by_id), self.fleet.now)

    def evacuate(self, *data_centres: str) -> None:
        self.starts_by_data_centre.clear()
        self.scheduler.set_evacuated(frozenset(data_centres), self.fleet.now)

    def data_centre_of(self, minion_id: str) -> str:
        return self.listing_by_id[minion_id].data_centre

    def step(self) -> None:
        """Pass 0.3 s: decide, start, and report after each stop has taken effect."""
        self.fleet.now += 0.3
        self.scheduler.authority.confirm(self.fleet.now)
        for order in self.fleet.plan():
            data_centre = self.data_centre_of(order.run.minion_id)
            self.starts_by_data_centre[data_centre] += 1
        ended = defaultdict(list)
        for stop in self.scheduler.take_stops():
            self.completions[stop.minion_id] += 1
            number = self.completions[stop.minion_id]
            ended[stop.minion_id].append(
                CompletedRun(number, stop.task, stop.run, "stopped", "")
            )
        for minion_id in self.listing_by_id:
            gone = {completion.task for completion in ended[minion_id]}
            rows = self.fleet.running(minion_id)
            running = tuple(row for row in rows if row.task not in gone)
            self.fleet.report(minion_id, running, tuple(ended[minion_id]))

    def tasks_by_data_centre(self, lasting: bool) -> Counter[str]:
        return Counter(
            self.data_centre_of(view.minion_id)
            for view in self.scheduler.view_by_id.values()
            for run in view.runs.values()
            if run.step.lasting is lasting
        )

    def missing(self, job_id: str) -> int:
        """Return how many long-running tasks of a job's only step are unavailable."""
        opened = self.scheduler.job_by_id[job_id]
        available = sum(r.at_work and not r.stop_wanted for r in opened.runs.values())
        return opened.job.steps[0].count - available


@pytest.mark.parametrize("may_miss", [None, 1, 3])
def test_long_running_tasks_move_out_within_the_budget_of_their_step(may_miss):
    """Load: 150 minions in 3 data centres, 5 jobs of 24 long-running tasks, batch work.

    Guards against stops beyond ``may_miss``, and of tasks that end by themselves.
    """
    site = Site(150)
    services = [f"{n:016x}" for n in range(5)]
    for job_id in services:
        step = Step(24, SMALL, lasting=True, may_miss=may_miss, most_per_minion=1)
        site.fleet.add(job(job_id, step))
    site.fleet.add(job("f" * 16, Step(100, HALF, 500)))
    for _ in range(3):
        site.step()
    assert site.tasks_by_data_centre(lasting=True)["b"] > 0
    batch_before = site.tasks_by_data_centre(lasting=False)
    site.evacuate("b")
    for _ in range(200):
        site.step()
        assert all(site.missing(name) <= max(1, may_miss or 0) for name in services)
    assert site.tasks_by_data_centre(lasting=True)["b"] == 0
    assert sum(site.tasks_by_data_centre(lasting=True).values()) == 120
    assert site.tasks_by_data_centre(lasting=False) == batch_before
    assert site.starts_by_data_centre["b"] == 0


def test_long_running_tasks_stay_until_there_is_room_and_the_pool_asks_for_it():
    """Guards against a task that is stopped although no other minion can take it."""
    site = Site(2, ("a", "b"))
    lasting = Step(2, HALF, lasting=True, may_miss=1, most_per_minion=1)
    site.fleet.add(job("a" * 16, lasting))
    site.step()
    site.evacuate("b")
    for _ in range(4):
        site.step()
    assert site.tasks_by_data_centre(lasting=True) == {"a": 1, "b": 1}
    (load,) = site.scheduler.pool_loads(site.fleet.now)
    assert load.long_running_machines == 1
    site.listing_by_id["i-2"] = listing(2, data_centre="c")
    site.read_list()
    for _ in range(4):
        site.step()
    assert site.tasks_by_data_centre(lasting=True) == {"a": 1, "c": 1}
    (load,) = site.scheduler.pool_loads(site.fleet.now)
    assert load.long_running_machines == 0


def test_tasks_of_a_team_beyond_its_cap_stay():
    """Guards against a stop of a task that its team's cap keeps from starting again.

    Operators may lower a cap while more than that runs.
    """
    site = Site(4, ("a", "b"))
    cap = Resources(4_000, 100_000, 0)
    site.scheduler.set_configuration(configuration(cap))
    step = Step(4, SMALL, lasting=True, may_miss=1)
    site.fleet.add(job("a" * 16, step, team="team"))
    for _ in range(2):
        site.step()
    assert site.tasks_by_data_centre(lasting=True) == {"a": 2, "b": 2}
    lowered = configuration(cap._replace(cpu_milli=2_000), version=2)
    site.scheduler.set_configuration(lowered)
    site.evacuate("b")
    for _ in range(4):
        site.step()
    assert site.missing("a" * 16) == 0
    site.scheduler.set_configuration(configuration(cap, version=3))
    for _ in range(20):
        site.step()
    assert site.tasks_by_data_centre(lasting=True) == {"a": 4}


def test_a_search_for_room_in_a_full_fleet_does_not_grow_with_its_jobs():
    """Load: 300 long-running jobs, an evacuation, and no room elsewhere.

    Guards against a look at each minion for each job, four times per second.
    """
    site = Site(300)
    whole = Step(1, CAPACITY, lasting=True)
    for number in range(300):
        site.fleet.add(job(f"{number:016x}", whole))
    site.fleet.plan()
    for minion_id in site.listing_by_id:
        site.fleet.report(minion_id, site.fleet.running(minion_id))
    site.evacuate("b")
    with mock.patch.object(
        MinionView, "has_room", autospec=True, side_effect=MinionView.has_room
    ) as looks:
        site.scheduler._move_long_running_tasks(0.0)
    assert len(site.scheduler.steps_without_room["s"]) == 100
    assert looks.call_count < 1_000


def test_tasks_that_are_starting_are_compared_once_with_the_others_of_their_step():
    """Guards against a decision that takes a time quadratic in the tasks of a step."""
    site = Site(300)
    site.fleet.add(job("a" * 16, Step(300, SMALL, lasting=True, may_miss=10)))
    site.fleet.plan()
    for minion_id in site.listing_by_id:
        site.fleet.report(minion_id, site.fleet.running(minion_id, percent=50))
    data_centres = set(site.tasks_by_data_centre(lasting=True))
    site.evacuate(min(data_centres))
    with mock.patch.object(
        evacuation, "may_interrupt", side_effect=may_interrupt
    ) as compared:
        site.scheduler._move_long_running_tasks(0.0)
    assert compared.call_count == 1


def test_tasks_that_need_a_label_of_the_evacuated_data_centre_ask_for_no_machines():
    """Guards against a pool that draws machines which can never run the tasks."""
    site = Site(2, ("a", "b"))
    site.fleet.add(job("a" * 16, Step(1, SMALL, lasting=True, label="b")))
    site.step()
    site.evacuate("b")
    site.fleet.add(job("c" * 16, Step(3, SMALL, 500, label="b")))
    for _ in range(3):
        site.step()
    assert site.tasks_by_data_centre(lasting=True) == {"b": 1}
    (load,) = site.scheduler.pool_loads(site.fleet.now)
    assert (load.long_running_machines, load.backlog) == (0, 0)
    assert not load.has_unplaced_tasks


def test_a_start_that_is_planned_but_not_sent_is_placed_elsewhere():
    """Guards against starts that were recorded before the request was read."""
    site = Site(2, ("a", "b"))
    site.fleet.add(job("a" * 16, Step(4, HALF, 500)))
    batch = site.scheduler.plan(0.0, 0.0)
    assert batch is not None
    site.scheduler.on_durable(batch)
    site.evacuate("b")
    sent = [
        order.run.minion_id
        for order in batch.starts
        if site.scheduler.prepare_start(order.run, site.fleet.now) is not None
    ]
    assert sent == ["i-0", "i-0"]
    for _ in range(3):
        site.step()
    assert site.starts_by_data_centre["b"] == 0
    site.evacuate()
    site.step()
    assert site.starts_by_data_centre["b"] == 2


def test_a_minion_that_comes_up_in_an_evacuated_data_centre_gets_nothing():
    """Guards against starts on a machine that was moved just before the request."""
    site = Site(0)
    site.evacuate("b")
    site.listing_by_id["i-1"] = listing(1, data_centre="b")
    site.read_list()
    site.fleet.report("i-1")
    site.fleet.add(job("a" * 16, Step(1, SMALL, 500)))
    site.step()
    assert not site.starts_by_data_centre
    site.evacuate()
    site.step()
    assert site.starts_by_data_centre == {"b": 1}


def test_a_start_waits_while_starts_are_held():
    """Guards against a queued start that is sent before the requests are read."""
    site = Site(1, ("a",))
    site.fleet.add(job("a" * 16, Step(1, SMALL, 500)))
    batch = site.scheduler.plan(0.0, 0.0)
    assert batch is not None
    site.scheduler.on_durable(batch)
    assert site.scheduler.hold_starts(True)
    (order,) = batch.starts
    assert site.scheduler.prepare_start(order.run, 0.0) is None
    site.step()
    assert not site.starts_by_data_centre
    site.scheduler.hold_starts(False)
    site.step()
    assert site.starts_by_data_centre == {"a": 1}


def test_long_running_tasks_stay_while_starts_are_held():
    """Guards against a stop of a task that could not start again."""
    site = Site(2, ("a", "b"))
    site.fleet.add(job("a" * 16, Step(1, SMALL, lasting=True)))
    for _ in range(2):
        site.step()
    (data_centre,) = site.tasks_by_data_centre(lasting=True)
    site.scheduler.hold_starts(True)
    site.evacuate(data_centre)
    for _ in range(4):
        site.step()
    assert site.missing("a" * 16) == 0
    site.scheduler.hold_starts(False)
    for _ in range(4):
        site.step()
    assert site.tasks_by_data_centre(lasting=True)[data_centre] == 0
    assert site.missing("a" * 16) == 0


def test_a_successor_keeps_the_begin_of_an_evacuation():
    """Guards against an evacuation that seems to begin anew with each owner."""
    fleet = LoggedFleet(2)
    fleet.add(job("a" * 16, Step(1, SMALL, 500)))
    fleet.now = 7.0
    fleet.scheduler.set_evacuated({"a"}, fleet.now)
    assert fleet.plan() == ()
    recorded = fleet.registry.evacuations
    assert recorded.since_ms == {"a": 7000}
    assert recorded.everywhere
    successor = fleet.successor()
    successor.now = 9.0
    successor.scheduler.restore_evacuations(fleet.registry.evacuations)
    successor.scheduler.set_evacuated({"a", "b"}, successor.now)
    for minion_id in successor.scheduler.view_by_id:
        successor.report(minion_id)
    assert successor.plan() == ()
    assert fleet.registry.evacuations.since_ms == {"a": 7000, "b": 9000}
    successor.scheduler.set_evacuated((), successor.now)
    assert len(successor.plan()) == 1
    assert fleet.registry.evacuations.since_ms == {}


def test_an_unreadable_record_of_an_owner_is_refused_and_unknown_fields_are_not():
    with pytest.raises(InvalidInputError):
        decode_evacuations(b'{"since_ms": 3}')
    fleet = LoggedFleet(0)
    with pytest.raises(InvalidInputError):
        fleet.fold(EVACUATIONS_KEY, b"[]")
    fleet.fold(EVACUATIONS_KEY, b'{"since_ms": {"a": 1}, "later": 2}')
    assert fleet.registry.evacuations.since_ms == {"a": 1}


def test_cold_minions_get_work_after_warm_ones_and_one_task_at_a_time():
    """Load: a burst of 60 tasks, just after an evacuation of half of the minions."""
    site = Site(4, ("a", "b"))
    site.evacuate("b")
    for number in (1, 3):
        cold = listing(number, data_centre="b", cold_left_ms=3_000)
        site.listing_by_id[f"i-{number}"] = cold
    site.read_list()
    site.evacuate()
    site.fleet.add(job("a" * 16, Step(60, SMALL, 500)))
    site.fleet.plan()
    tasks = {name: len(v.runs) for name, v in site.scheduler.view_by_id.items()}
    assert tasks == {"i-0": 16, "i-2": 16, "i-1": 1, "i-3": 1}
    for minion_id in ("i-1", "i-3"):
        site.fleet.report(minion_id, site.fleet.running(minion_id, percent=0))
    site.step()
    assert not site.starts_by_data_centre
    site.step()
    assert site.starts_by_data_centre == {"b": 2}
    site.fleet.now += 3
    site.step()
    assert site.starts_by_data_centre == {"b": 26}


def test_minions_that_were_never_evacuated_are_used_as_before_while_cold():
    site = Site(1, ("a",))
    site.listing_by_id["i-0"] = listing(0, cold_left_ms=3_000)
    site.read_list()
    site.fleet.add(job("a" * 16, Step(4, SMALL, 500)))
    assert len(site.fleet.plan()) == 4


# Pools.


def test_pools_count_only_capacity_outside():
    site = Site(6)
    (before,) = site.scheduler.pool_loads(0.0)
    site.evacuate("b")
    (after,) = site.scheduler.pool_loads(0.0)
    assert (before.batch_capacity, before.evacuated_capacity) == (6, 0)
    assert (after.batch_capacity, after.evacuated_capacity) == (4, 2)


def spare_machine(number: int) -> MachineListing:
    name = f"m-{number}"
    return MachineListing(name, "spare", True, "a", ("a", "r1"), CAPACITY, None)


def plan_replacements(load: PoolLoad, inbound: int, policy: PoolPolicy) -> list[str]:
    machines = PoolMachines(
        {"s": int(load.batch_capacity), "spare": 12},
        {"spare": [spare_machine(n) for n in range(12)]},
        inbound_by_pool={"s": inbound},
    )
    return [str(order) for order in policy.plan([load], machines, "spare", 10.0)]


def test_a_pool_replaces_what_it_lost_up_to_what_it_would_not_release():
    """Guards against waiting for a backlog, and against machines that move to and fro.

    With 12 spare machines and 2 outside the reserve of a pool is half of 14 / 2.
    """
    lost = PoolLoad("s", batch_capacity=2, evacuated_capacity=4)
    policy = PoolPolicy(POOL_THRESHOLDS)
    assert len(plan_replacements(lost, 0, policy)) == 2
    assert plan_replacements(lost, 2, policy) == []
    replaced = PoolLoad("s", batch_capacity=4, evacuated_capacity=4)
    assert plan_replacements(replaced, 0, policy) == []
    intact = PoolLoad("s", batch_capacity=2)
    assert plan_replacements(intact, 0, PoolPolicy(POOL_THRESHOLDS)) == []


def test_machines_of_an_evacuated_data_centre_are_neither_moved_nor_cordoned():
    """Guards against help from machines on which nothing may start."""
    bench = Bench(4)
    spare = spare_machine(9)
    bench.machines.listed = {
        **bench.machines.listed,
        "m-9": replace(spare, data_centre="b"),
        "m-8": replace(spare, machine="m-8"),
    }
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.controller._cordoned["m-0"] = "i-0"
    bench.fleet.scheduler.set_cordoned("i-0", True)
    bench.fleet.scheduler.set_evacuated({"b"}, bench.fleet.now)
    machines = bench.controller._classify_machines("spare", bench.fleet.now)
    assert [m.machine for m in machines.idle_by_pool["spare"]] == ["m-8"]
    assert machines.size_by_pool["spare"] == 1
    bench.fleet.scheduler.set_evacuated({"a"}, bench.fleet.now)
    machines = bench.controller._classify_machines("spare", bench.fleet.now)
    assert machines.size_by_pool["s"] == 0
    assert not machines.idle_by_pool["s"]
    assert not machines.cordonable_by_pool["s"]
    assert not machines.cordoned_by_name
    assert not bench.fleet.scheduler.view_by_id["i-0"].cordoned


# Operators' records.


class FakeStore:
    """Newest records and a log, as the test sets them."""

    def __init__(self) -> None:
        self.newest_records: list[Record] = []
        self.log: list[Record] = []

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        return NewestPage(tuple(self.newest_records), len(self.log))

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        return Page(tuple(self.log[offset:]), len(self.log))

    def put(self, key: str, value: bytes) -> None:
        self.log.append(Record(key, value, len(self.log)))


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def view(store: FakeStore) -> OperatorsView:
    platform = SimpleNamespace(
        store=store,
        decode_operator_record=partial(
            HttpPlatform.decode_operator_record, cast(HttpPlatform, None)
        ),
    )
    return OperatorsView(platform, lambda: 0.0)  # type: ignore[arg-type]


def test_overlapping_evacuations_begin_and_end_by_themselves(view, store):
    view.read_once()
    store.put("evacuate/a", b"{}")
    store.put("evacuate/b", b'{"later": 1}')
    view.read_once()
    assert view.evacuated == {"a", "b"}
    store.put("evacuate/a", b"")
    view.read_once()
    assert view.evacuated == {"b"}


def test_a_record_in_another_format_changes_nothing(view, store):
    view.read_once()
    store.put("evacuate/a", b"{}")
    for value in (b"[]", b"no JSON", json.dumps("x").encode()):
        store.put("evacuate/a", value)
        store.put("evacuate/b", value)
    store.put("evacuate/", b"{}")
    view.read_once()
    assert view.evacuated == {"a"}


def test_an_evacuation_that_is_missing_among_the_newest_records_has_ended(view, store):
    """Guards against one that stays in force as its removal was trimmed."""
    store.newest_records = [Record("evacuate/a", b"{}", 3), Record("evacuate/b", b"{}")]
    view.read_once()
    assert view.evacuated == {"a", "b"}
    view._offset = None
    store.newest_records = [Record("evacuate/a", b"{}", 3), Record("config", b"", 9)]
    view.read_once()
    assert view.evacuated == {"a"}


def test_evacuations_stay_in_force_while_the_newest_records_are_read(view):
    """Guards against starts there between two pages, or after a fault on the way."""
    view._fold((Record("evacuate/a", b"{}", 3), Record("evacuate/b", b"{}", 4)))
    view._reset()
    assert view.evacuated == {"a", "b"}
    view._fold((Record("evacuate/b", b"{}", 4),))
    assert view.evacuated == {"a", "b"}
    view._on_newest_folded()
    assert view.evacuated == {"b"}
    # A record that nobody can read is no removal.
    view._reset()
    view._fold((Record("evacuate/b", b"?", 5),))
    view._on_newest_folded()
    assert view.evacuated == {"b"}


def test_a_record_that_is_read_again_does_not_undo_a_newer_one():
    """Guards against the owner's own read, which is ahead of the follower's."""
    log = EvacuationLog()
    for offset, active in ((1, True), (2, False), (3, True), (2, False)):
        log.fold("evacuate/a", Evacuation("a", active), offset)
    assert log.evacuated == {"a"}


def test_starts_need_a_recent_reading_of_the_requests():
    """Guards against starts by an owner that could not hear of a request."""
    permission = StartPermission()
    permission.require_reading(10.0)
    permission.record_reading(9.9)
    assert not permission.allows_starts(refused=True, now=10.0)
    permission.record_reading(10.0)
    assert permission.allows_starts(refused=False, now=13.9)
    assert not permission.allows_starts(refused=False, now=14.0)
    # A store that refuses reads accepts no request either.
    assert permission.allows_starts(refused=True, now=60.0)
    permission.record_reading(60.0)
    assert permission.allows_starts(refused=False, now=60.1)
