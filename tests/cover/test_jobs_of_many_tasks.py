"""A job of thousands of tasks is recorded, finished and taken over like any other.

The store bounds a record and an append. A job whose progress outgrew a record stopped
all starts, as its append was refused and repeated for ever.
"""

from __future__ import annotations

import random
import tracemalloc
from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    CompletedRun,
    JobRegistry,
    JobState,
    Placement,
    Progress,
    RecordKind,
    Resources,
    Step,
    TaskKey,
    decode_progress,
    encode_job,
    encode_progress,
    job_key,
)
from geraniumshore_scheduler.internal.progress_parts import (
    TASKS_PER_RECORD,
    ProgressParts,
)
from geraniumshore_scheduler.internal.runs import OpenJob, Run, RunState
from geraniumshored.node.ports import Record, split_appends
from tests.common.schedule_parts import CAPACITY, Fleet, configuration, job, listing

JOB = "a" * 16
TINY = Resources(1, 1, 0)
RECORD_BYTES = 262_144
TASKS = 5_000


class LoggedFleet(Fleet):
    """A fleet whose owner's records are folded into a registry."""

    def __init__(self, *steps: Step, times: int = 0) -> None:
        super().__init__(minions=1)
        accepted = replace(job(JOB, *steps), occurrences=times, interval_ms=1000)
        self.registry = JobRegistry()
        self.offset = 0
        self.largest = 0
        self.fold(job_key(RecordKind.ACCEPTED, JOB), encode_job(accepted))
        self.scheduler.add_job(self.registry.job_by_id[JOB], 0.0)
        self.ends = 0

    def fold(self, key: str, value: bytes) -> None:
        self.offset += 1
        self.registry.fold(key, value, self.offset, self.now)

    def step(self) -> int:
        """Plan and record; return the number of tasks that start."""
        batch = self.scheduler.plan(self.now, self.now * 1000)
        if batch is None:
            return 0
        for key, value in batch.value_by_key.items():
            self.largest = max(self.largest, len(value))
            self.fold(key, value)
        self.scheduler.on_durable(batch)
        for order in batch.starts:
            self.scheduler.prepare_start(order.run, self.now)
            self.scheduler.on_start_answer(order.run, "started", self.now)
        return len(batch.starts)

    def end_some(self, how: str = "done", part: float = 0.5) -> None:
        """Report the ends of some of the runs."""
        rows = self.running("i-0")
        ended = rows[: int(len(rows) * part) or 1]
        completions = []
        for row in ended:
            self.ends += 1
            completions.append(
                CompletedRun(self.ends, row.task, row.run, how, "c" * 16)
            )
        self.report("i-0", rows[len(ended) :], tuple(completions))

    def take_over(self, epoch: int) -> None:
        """Replace the owner by one that knows the log and the minions alone."""
        rows = self.running("i-0")
        self.scheduler = Fleet(0, configuration(), epoch).scheduler
        self.scheduler.set_listings({"i-0": listing(0)}, self.now)
        for registered in self.registry.job_by_id.values():
            self.scheduler.add_job(registered, self.now)
        self.report("i-0", rows)

    def state(self) -> JobState:
        return self.registry.job_by_id[JOB].state


def test_a_job_of_many_tasks_is_done_and_its_records_stay_small():
    fleet = LoggedFleet(Step(TASKS, TINY, 500, checkpointing=True))
    started = fleet.step()
    assert started == TASKS
    assert fleet.largest < RECORD_BYTES / 2
    epoch = 6
    while fleet.state() is not JobState.DONE:
        fleet.now += 1.0
        fleet.end_some()
        assert fleet.step() == 0
        if fleet.state() is not JobState.DONE:
            fleet.take_over(epoch)
            epoch += 1
    assert fleet.largest < RECORD_BYTES / 2


def test_a_takeover_in_the_middle_starts_only_what_is_missing():
    fleet = LoggedFleet(Step(TASKS, TINY, 500))
    fleet.step()
    fleet.end_some(part=0.3)
    fleet.step()
    lost = fleet.running("i-0")[-700:]
    fleet.take_over(6)
    assert fleet.step() == 0
    rows = fleet.running("i-0")
    gone = {row.task for row in lost}
    fleet.now += 1.0
    fleet.report("i-0", tuple(row for row in rows if row.task not in gone))
    fleet.now += 1.0
    assert fleet.step() == len(lost)


def test_a_change_of_few_tasks_writes_few_records():
    fleet = LoggedFleet(Step(TASKS, TINY, 500))
    fleet.step()
    fleet.end_some(part=0.001)
    batch = fleet.scheduler.plan(fleet.now, 0.0)
    assert batch is not None
    assert len(batch.value_by_key) == 1


def test_all_records_of_a_deleted_job_are_found():
    fleet = LoggedFleet(Step(TASKS, TINY, 500))
    fleet.step()
    keys = fleet.registry.progress_keys(JOB)
    assert len(keys) == TASKS // TASKS_PER_RECORD
    fleet.fold(job_key(RecordKind.ACCEPTED, JOB), b"")
    assert fleet.registry.progress_keys(JOB) == keys
    assert list(fleet.registry.unread_placed_jobs()) == [JOB]
    for key in keys:
        assert fleet.registry.expired_orphans(99.0, 10) == [JOB]
        fleet.fold(key, b"")
    assert fleet.registry.expired_orphans(99.0, 10) == []


def test_parts_that_are_read_before_their_job_are_applied_with_it():
    fleet = LoggedFleet(Step(TASKS, TINY, 500))
    fleet.step()
    expected = fleet.registry.job_by_id[JOB].whole_progress()
    assert len(expected.placed) == TASKS
    late = JobRegistry()
    accepted = encode_job(fleet.registry.job_by_id[JOB].job)
    records = fleet.scheduler.job_by_id[JOB]
    records.changed_parts.update(range(TASKS // TASKS_PER_RECORD))
    for offset, (key, value) in enumerate(records.take_records().items()):
        late.fold(key, value, offset, 0.0)
    assert list(late.unread_placed_jobs()) == [JOB]
    late.fold(job_key(RecordKind.ACCEPTED, JOB), accepted, 0, 0.0)
    assert late.job_by_id[JOB].whole_progress() == expected


def test_an_older_record_of_a_part_does_not_replace_a_newer_one():
    fleet = LoggedFleet(Step(TASKS, TINY, 500))
    fleet.step()
    registered = fleet.registry.job_by_id[JOB]
    before = registered.whole_progress()
    key = f"{job_key(RecordKind.PROGRESS, JOB)}/3"
    fleet.registry.fold(key, encode_progress(Progress()), 1, 0.0)
    assert registered.whole_progress() == before


def test_records_of_completed_occurrences_are_deleted():
    fleet = LoggedFleet(Step(TASKS_PER_RECORD - 1, TINY, 500), times=50)
    for second in range(40):
        fleet.now = float(second)
        assert fleet.step() == TASKS_PER_RECORD - 1
        fleet.end_some(part=1.0)
        fleet.step()
        assert len(fleet.registry.job_by_id[JOB].part_by_number) <= 1
    progress = fleet.registry.job_by_id[JOB].whole_progress()
    assert progress.completed_occurrences == 40
    assert progress.done == {}


def test_one_record_of_a_former_release_is_divided_by_the_next_owner():
    step = Step(TASKS, TINY, 500)
    fleet = LoggedFleet(step)
    former = Progress(JobState.RUNNING, done={"0.0": (1 << TASKS) - 1 - 0b1011})
    former.placed["0.0.1"] = [Placement("i-0", 7, 4)]
    fleet.fold(job_key(RecordKind.PROGRESS, JOB), encode_progress(former))
    fleet.take_over(6)
    assert fleet.step() == 3
    assert len(fleet.registry.progress_keys(JOB)) == TASKS // TASKS_PER_RECORD
    whole = fleet.registry.job_by_id[JOB].whole_progress()
    assert whole.done == former.done


@pytest.mark.parametrize("seed", range(20))
def test_parts_hold_exactly_the_progress(seed):
    rng = random.Random(seed)
    counts = [
        rng.choice([1, 3, 499, 500, 501, 2_300]) for _ in range(rng.randint(1, 6))
    ]
    times = rng.choice([0, 7])
    accepted = replace(job(JOB, *(Step(n, TINY) for n in counts)), occurrences=times)
    progress = Progress(
        JobState.RUNNING, completed_occurrences=rng.randint(0, 3) if times else 0
    )
    for _ in range(rng.randint(0, 400)):
        occurrence = rng.randint(progress.completed_occurrences, max(1, times) - 1)
        step = rng.randrange(len(counts))
        task = TaskKey(JOB, occurrence, step, rng.randrange(counts[step]))
        rng.choice(
            [
                lambda task: progress.mark_done(task),
                lambda task: progress.failures.update({task.within_job: 2}),
                lambda task: progress.failed_runs.update({task.within_job: 7}),
                lambda task: progress.checkpoints.update({task.within_job: "c"}),
                lambda task: progress.placed.update({task.within_job: []}),
            ]
        )(task)
    parts = ProgressParts(accepted)
    divided = parts.split(progress)
    main = divided.pop(0)
    assert parts.merge(main, divided) == progress


def test_appends_are_divided_in_order_and_below_the_limit():
    records = [Record(f"k{n}", b"x" * (37 * n % 900)) for n in range(200)]
    pieces = list(split_appends(records, 2_000))
    assert [record for piece in pieces for record in piece] == records
    assert all(sum(record.size for record in piece) <= 2_000 for piece in pieces)
    assert len(pieces) < 100
    large = Record("large", b"x" * 5_000)
    assert list(split_appends([records[0], large, records[1]], 2_000)) == [
        [records[0]],
        [large],
        [records[1]],
    ]


def test_records_of_a_very_wide_step_can_be_read():
    """Its single bit set had more digits than readers of JSON accept."""
    count = 100_000
    parts = ProgressParts(job(JOB, Step(count, TINY)))
    progress = Progress(JobState.RUNNING, done={"0.0": (1 << count) - 1})
    divided = {
        number: decode_progress(encode_progress(part))
        for number, part in parts.split(progress).items()
    }
    assert parts.merge(divided.pop(0), divided) == progress


def placement_cost(*steps: Step) -> int:
    """Return the peak memory in bytes of accepting, placing and metering a job."""
    fleet = Fleet(minions=4)
    tracemalloc.start()
    try:
        fleet.add(job(JOB, *steps))
        fleet.plan()
        fleet.scheduler.pool_loads(fleet.now)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("gang", [False, True])
def test_what_a_job_costs_does_not_grow_with_its_tasks_that_find_no_room(gang):
    """Guards against an owner that is replaced over one job of millions of tasks."""
    too_large = CAPACITY.plus(TINY)
    few, many = (
        placement_cost(*[Step(count, too_large, 500, gang=gang)] * 40)
        for count in (10, 100_000)
    )
    assert many < 2 * few


def test_a_job_beside_one_of_millions_of_tasks_starts_at_once():
    fleet = Fleet(minions=2)
    fleet.add(job("b" * 16, *[Step(100_000, CAPACITY.plus(TINY), 500)] * 40))
    assert len(fleet.plan()) == 0
    fleet.add(job(JOB, Step(3, TINY, 500)))
    assert len(fleet.plan()) == 3


def test_tasks_of_a_wide_step_each_run_once_until_they_are_done():
    count = 300
    fleet = LoggedFleet(Step(count, Resources(1_000, 1, 0), 500), Step(1, TINY, 500))
    begun = 0
    rounds = 0
    while fleet.state() is not JobState.DONE:
        begun += fleet.step()
        fleet.now += 1.0
        fleet.end_some(how="stopped" if rounds % 3 == 0 else "done")
        rounds += 1
        waiting = fleet.scheduler.job_by_id.get(JOB)
        if waiting is not None:
            tasks = list(waiting.waiting)
            assert len(tasks) == len(set(tasks)) == len(waiting.waiting)
            assert not set(tasks) & set(waiting.runs)
            assert all(task in waiting.waiting for task in tasks)
        assert rounds < 200
    whole = fleet.registry.job_by_id[JOB].whole_progress()
    assert whole.completed_occurrences == 1


@pytest.mark.parametrize("seed", range(30))
def test_waiting_tasks_are_those_that_neither_run_nor_are_done(seed):
    rng = random.Random(seed)
    counts = [rng.choice([1, 5, 70]) for _ in range(3)]
    open_job = OpenJob(
        job(JOB, *(Step(n, TINY) for n in counts)), Progress(), 0.0, "s", 0, 1.0, 1
    )
    tasks = [TaskKey(JOB, 0, s, p) for s, n in enumerate(counts) for p in range(n)]
    ready: set[TaskKey] = set()
    for task in rng.sample(tasks, len(tasks) // 4):
        if rng.random() < 0.5:
            open_job.progress.mark_done(task)
        else:
            open_job.runs[task] = run_of(task)
    for number in range(len(counts)):
        open_job.waiting.open_step(0, number)
        ready |= {task for task in tasks if task.step == number}
        for _ in range(rng.randrange(120)):
            task = rng.choice(tasks)
            if task in open_job.runs:
                del open_job.runs[task]
                if rng.random() < 0.5 or open_job.progress.is_done(task):
                    open_job.progress.mark_done(task)
                elif task in ready:
                    open_job.waiting.add(task)
            elif task in open_job.waiting:
                open_job.runs[task] = run_of(task)
                open_job.waiting.discard(task)
            expected = {
                task
                for task in ready
                if task not in open_job.runs and not open_job.progress.is_done(task)
            }
            assert set(open_job.waiting) == expected
            assert len(open_job.waiting) == len(expected)
            assert bool(open_job.waiting) is bool(expected)
            assert all((t in open_job.waiting) is (t in expected) for t in tasks)


def run_of(task: TaskKey) -> Run:
    """Return a run of a task on some minion."""
    return Run(task, 1, "i-0", Step(1, TINY), None, RunState.RUNNING, 0.0)
