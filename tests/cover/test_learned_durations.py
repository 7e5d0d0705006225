"""Durations that an owner learns from completed runs.

Load: jobs whose declared durations are off by up to 90 %, while 3 % of the tasks take
seven times as long as the others of their step. Guards against an order and a pool load
that follow wrong declarations, against corrections of queues that declare well, and
against records that stop a new owner.
"""

from __future__ import annotations

import logging
import random
import time
from dataclasses import replace
from itertools import combinations, pairwise
from threading import RLock
from types import SimpleNamespace

import pytest

from geraniumshore_scheduler import (
    DURATIONS_KEY,
    ByObjective,
    CompletedRun,
    DeclaredDurations,
    DurationKey,
    InvalidInputError,
    JobRegistry,
    LearnedDurations,
    OpenJob,
    Progress,
    Step,
    decode_durations,
    encode_durations,
)
from geraniumshore_scheduler.internal.duration_learning import DurationLearning
from geraniumshore_scheduler.internal.durations import MAX_CORRECTION, MAX_ENTRIES
from geraniumshore_scheduler.internal.pool_meter import Arrivals
from geraniumshore_scheduler.internal.records import MAX_LEARNED_BYTES
from geraniumshore_scheduler.internal.stragglers import is_straggler
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.owner import Owner
from geraniumshored.node.ports import Appended
from geraniumshored.node.settings import NodeSettings
from tests.common.operators import no_requests
from tests.common.schedule_parts import SMALL, TIMES, Fleet, LoggedFleet, job

TASKS = 8
# Declared durations relative to the true ones, by queue.
BIAS_BY_QUEUE = {"low": 0.1, "half": 0.5, "right": 1.0, "high": 1.9}
DECLARED = DeclaredDurations()
SECOND = Step(1, SMALL, 1000)


def measure(durations, queue, bias, seed, jobs=40, noise=0.0, image="", now=0.0):
    """Let the tasks of some jobs complete, one in ten of them on another rack."""
    rng = random.Random(seed)
    for _ in range(jobs):
        declared = 1000 * bias * (1 + rng.uniform(-noise, noise))
        step = Step(TASKS, SMALL, int(declared), image=image)
        for _ in range(TASKS):
            (slow,) = rng.choices((1.0, 7.0, 2.5), (87, 3, 10))
            took_s = slow * rng.uniform(0.9, 1.1)
            durations.observe(queue, 0, step, took_s, now)
    durations.refresh(now)


def learned(seed: int) -> LearnedDurations:
    durations = LearnedDurations()
    for queue, bias in BIAS_BY_QUEUE.items():
        measure(durations, queue, bias, seed)
    durations.refresh(1.0)
    return durations


@pytest.mark.parametrize("seed", range(5))
def test_the_order_comes_closer_to_the_truth(seed):
    rng, queues = random.Random(seed), list(BIAS_BY_QUEUE)
    jobs = [(rng.choice(queues), rng.randrange(500, 2500), n / 30) for n in range(60)]
    ranks: list[list[float]] = []
    for durations, biased in (DECLARED, 0), (DECLARED, 1), (learned(seed), 1):
        ranks.append([])
        for queue, ms, at in jobs:
            step = replace(SECOND, estimate_ms=int(ms * BIAS_BY_QUEUE[queue] ** biased))
            opened = OpenJob(job("a", step, queue=queue), Progress(), at, "s", 0, 10, 1)
            opened.durations = durations
            ranks[-1].append(ByObjective().rank(opened, 0.0)[2])
    truth, *others = ranks
    declared, corrected = (
        sum((a < b) != (c < d) for (a, c), (b, d) in combinations(pairs, 2))
        for pairs in (list(zip(truth, other, strict=True)) for other in others)
    )
    assert corrected < 0.7 * declared


@pytest.mark.parametrize(("queue", "bias"), BIAS_BY_QUEUE.items())
def test_the_offered_load_comes_closer_to_the_truth(queue, bias):
    loads = []
    cases = (DECLARED, 1000), (DECLARED, 1000 * bias), (learned(1), 1000 * bias)
    for durations, ms in cases:
        arrivals = Arrivals()
        for number in range(60):
            added = job(f"{number:016x}", Step(TASKS, SMALL, int(ms)), queue=queue)
            arrivals.insert(added, number * 0.05, durations)
        loads.append(arrivals.offered_resources("s", {}, 3.0).cpu_milli)
    truth, declared, corrected = loads
    worse = 1.0 if queue == "right" else 0.8
    assert abs(corrected - truth) <= worse * abs(declared - truth)


def test_queues_that_vary_without_bias_keep_their_declarations():
    estimates = []
    for seed in range(100):
        durations = LearnedDurations()
        measure(durations, "q", 1.0, seed, noise=0.9)
        estimates.append(durations.estimate_s("q", 0, SECOND))
    assert sum(estimate != 1 for estimate in estimates) <= 5
    assert 0.5 <= min(estimates) <= max(estimates) <= 1.5


@pytest.mark.parametrize(
    ("tasks", "count", "took_s", "factor"),
    [(1_000, 1_000, 9.0, 1), (1, 200, 99, MAX_CORRECTION), (1, 200, 0.01, 1 / 3)],
)
def test_corrections_need_evidence_and_are_clamped(tasks, count, took_s, factor):
    durations = LearnedDurations()
    for _ in range(count):
        durations.observe("q", 0, replace(SECOND, count=tasks), took_s, 0.0)
    durations.refresh(0.0)
    assert durations.estimate_s("q", 0, SECOND) == pytest.approx(factor)


def test_an_image_is_estimated_by_its_own_runs():
    durations = LearnedDurations()
    for now, (image, bias) in enumerate({"a": 0.5, "b": 1.0}.items()):
        measure(durations, "q", bias, 1, image=image, jobs=60, now=now)
        step = replace(SECOND, image=image)
        assert durations.estimate_s("q", 0, step) == pytest.approx(1 / bias, 0.15)


def test_a_long_image_name_takes_no_memory_and_hides_no_entry_from_a_successor():
    """Guards against a record that ends before the entry of a name of any length."""
    durations = LearnedDurations()
    long_name = Step(1, SMALL, 1000, image="x" * 40_000)
    for _ in range(5):
        durations.observe("known", 0, Step(1, SMALL, 1000), 3.0, 0.0)
    for _ in range(5):
        durations.observe("later", 0, long_name, 3.0, 1.0)
    recorded = decode_durations(encode_durations(durations.to_record(1.0)))
    assert {entry.key.queue for entry in recorded} == {"known", "later"}
    assert len(durations) == 2


def test_a_change_is_followed_and_old_evidence_expires():
    durations = LearnedDurations()
    for bias, jobs, now in ((0.5, 500, 0), (1.0, 80, 60), (0.5, 500, 120)):
        measure(durations, "q", bias, 1, jobs=jobs, now=now)
        assert durations.estimate_s("q", 0, SECOND) == pytest.approx(1 / bias, 0.15)
    durations.refresh(6 * 3600.0)
    assert durations.estimate_s("q", 0, SECOND) == 1.0


def test_ten_thousand_queues_and_images_take_bounded_state():
    durations = LearnedDurations()
    for number in range(10_000):
        step = replace(SECOND, image=f"registry/{'x' * 100}/{number}")
        for _ in range(4):
            durations.observe(f"queue-{'y' * 100}-{number}", number, step, 3.0, number)
    assert len(durations) == MAX_ENTRIES
    record = encode_durations(durations.to_record(10_000.0))
    assert len(record) <= MAX_LEARNED_BYTES
    assert len(decode_durations(record)) > 50
    assert len(encode_durations(durations.to_record(10_000.0), 999)) <= 999
    # One queue's jobs with any number of images evict no other queue.
    measure(durations, "q", 0.5, 1)
    for number in range(MAX_ENTRIES):
        durations.observe("r", number, replace(SECOND, image=f"{number}"), 1.0, 1.0)
    assert DurationKey.of_step("q", 0) in durations.correction_by_key


@pytest.mark.parametrize(
    "value",
    [
        b"\xff{",
        b'{"version":2,"entries":[]}',
        b'{"version":1,"entries":[{"q":"q","n":1.0,"b":[]}]}',
        b'{"version":1,"entries":[{"n":1e999,"b":[0,0,0,0,0,0,0,0,0,0]}]}',
        b'{"version":1,"entries":[{"n":1.0,"b":[99,0,0,0,0,0,0,0,0,0]}]}',
        encode_durations(learned(1).to_record(1.0)),
    ],
)
def test_a_new_owner_takes_over_whatever_the_record_holds(value, caplog):
    registry = JobRegistry()
    registry.fold(DURATIONS_KEY, value, 1, 0.0)
    with pytest.raises(InvalidInputError):
        registry.fold(DURATIONS_KEY, b"x" * (MAX_LEARNED_BYTES + 1), 2, 0.0)
    jobs = SimpleNamespace(registry=registry, lock=RLock(), progress_offset=9)
    minions = SimpleNamespace(listing_by_id={})
    views = no_requests(), minions, jobs
    store = SimpleNamespace(append=lambda *_: Appended(0, 1))
    settings = NodeSettings("n", "a", TIMES, 6, 3, 120, 1.0)
    platform, metrics = SimpleNamespace(store=store), NodeMetrics()
    owner = Owner(settings, platform, views, "h/1", 5, metrics, time.monotonic)  # type: ignore[arg-type]
    with caplog.at_level(logging.INFO):
        assert owner._take_over()
    valid = len(value) > 100
    ignored = [] if valid else ["record ignored"]
    events = [record.getMessage() for record in caplog.records]
    assert events == [*ignored, "ownership taken"]
    gauge = f"durations_corrected {3.0 if valid else 0.0}\n"
    assert gauge.encode() in metrics.exposition()
    owner.stop("test")
    assert b"durations_corrected 0.0\n" in metrics.exposition()


def run_jobs(fleet: Fleet, count: int) -> None:
    """Run jobs of one task that declares 1 s and takes 3 s, one after the other."""
    for number in range(count):
        fleet.add(job(f"{number:016x}", SECOND))
        (start,) = fleet.plan()
        fleet.now += 3.0
        name, run = str(start.run.task), start.run.number
        fleet.report("i-0", ended=(CompletedRun(number + 1, name, run, "done", ""),))
    fleet.plan()


def test_the_next_owner_starts_from_what_a_killed_one_recorded():
    fleet = LoggedFleet(1)
    run_jobs(fleet, 12)
    value = fleet.registry.learned_by_key[DURATIONS_KEY]
    # The owner is killed while a run is on its minion.
    fleet.add(job("f" * 16, SECOND))
    (start,) = fleet.plan()
    run = start.run
    successor = fleet.successor()
    successor.scheduler.restore_durations(decode_durations(value), successor.now)
    assert successor.scheduler.estimate_s(run) > 2.0
    successor.report("i-0", running=fleet.running("i-0", 50))
    successor.report("i-0", ended=(CompletedRun(99, run.name, run.number, "done", ""),))
    assert successor.scheduler.take_learning_counts() == {"left out": 1}
    successor.plan()
    assert successor.registry.learned_by_key[DURATIONS_KEY] == value


def test_a_waiting_job_follows_what_is_learned_but_its_objective_does_not():
    fleet = Fleet(1)
    fleet.add(job("f" * 16, replace(SECOND, label="nowhere")))
    opened = fleet.scheduler.job_by_id["f" * 16]
    assert opened.work_left_s() == 1.0
    run_jobs(fleet, 100)
    assert opened.work_left_s() == pytest.approx(3.0, 0.1)
    (load,) = fleet.scheduler.pool_loads(fleet.now)
    assert load.backlog == pytest.approx(3.0 * load.parallelism, 0.1)
    # A configuration computes the objective again.
    assert fleet.scheduler.configuration is not None
    fleet.scheduler.set_configuration(fleet.scheduler.configuration)
    assert opened.objective_s == pytest.approx(2.5)
    events = [decision.event for decision in fleet.scheduler.decisions]
    # With growing evidence the correction rises from 3/4 of 1.6 octaves to all of it,
    # in steps of 0.07.
    assert 1 <= events.count("durations learned") <= 7


def test_a_record_is_written_at_most_once_in_five_seconds():
    learning, written = DurationLearning(), []
    for now in range(100):
        learning.durations.observe("q", 0, SECOND, 1.1**now, now)
        written += [] if learning.take_record(now) is None else [now]
    assert len(written) > 3
    assert min(later - earlier for earlier, later in pairwise(written)) >= 5


@pytest.mark.parametrize(
    "changed", ["percent", "stop_wanted", "resumed", "unanswered_at", "pace"]
)
def test_runs_that_do_not_show_a_tasks_duration_are_left_out(changed):
    fleet = Fleet(1)
    fleet.add(job("a" * 16, SECOND))
    if changed == "resumed":
        progress = fleet.scheduler.job_by_id["a" * 16].progress
        progress.checkpoints["0.0.0"] = "c"
    (start,) = fleet.plan()
    run = start.run
    if changed != "resumed":
        setattr(run, changed, 1)
    fleet.now += 2.0
    fleet.report("i-0", ended=(CompletedRun(1, run.name, run.number, "done", ""),))
    use = "used" if changed == "percent" else "left out"
    assert fleet.scheduler.take_learning_counts() == {use: 1}


@pytest.mark.parametrize(("estimate_s", "limit_s"), [(400, 80), (100, 20), (25, 10)])
def test_the_stall_limit_is_at_most_halved(estimate_s, limit_s):
    fleet = Fleet(1)
    fleet.add(job("a" * 16, replace(SECOND, estimate_ms=100_000)))
    (start,) = fleet.plan()
    stalls = [
        is_straggler(start.run, lambda _: estimate_s, limit_s + n) for n in (0, 1)
    ]
    assert stalls == [False, True]
