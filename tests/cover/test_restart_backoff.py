"""Tasks that keep ending soon after their start are restarted with growing pauses."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    CompletedRun,
    JobState,
    Resources,
    StartOutcome,
    Step,
    TaskKey,
)
from geraniumshore_scheduler.internal.placer import FULL_PASS_INTERVAL_S
from geraniumshore_scheduler.internal.restart_backoff import (
    MAX_REFUSAL_PAUSE_S,
    MAX_RESTART_PAUSE_S,
    RESTART_ROUND_S,
    RESTARTS_PER_ROUND,
    SETTLED_RUN_S,
    RestartBackoff,
)
from geraniumshore_scheduler.internal.runs import Run, RunState
from tests.common.schedule_parts import SMALL, LoggedFleet, configuration, job, listing

JOB = "a" * 16
ONE = Step(1, SMALL, lasting=True)
# A long-running task that runs nowhere counts as lost 3 s after the 6 s that it has.
LOST_AFTER_S = 9.0
TICK_S = 0.05
TAKEOVER_S = 4.0


class CrashingFleet(LoggedFleet):
    """Minions on which the tasks of one job end at once, or as the test says."""

    def __init__(self, step: Step = ONE, minions: int = 2) -> None:
        super().__init__(minions)
        self.now = 100.0
        self.add(job(JOB, step))
        self.ends_by_minion: dict[str, int] = {}

    def start(self, within_s: float = LOST_AFTER_S):
        """Return the next starts and how long they took."""
        began = self.now
        while not (starts := self.plan()):
            self.now = round(self.now + TICK_S, 3)
            assert self.now - began < within_s, "nothing starts"
        return starts, round(self.now - began, 3)

    def end(self, run, how: str = "failed") -> None:
        number = self.ends_by_minion.get(run.minion_id, 0) + 1
        self.ends_by_minion[run.minion_id] = number
        others = tuple(
            row for row in self.running(run.minion_id) if row.run != run.number
        )
        end = CompletedRun(number, str(run.task), run.number, how, "")
        self.report(run.minion_id, others, (end,))

    def crash(self, times: int, how: str = "failed") -> list[float]:
        """Let a task end right after its start so often; return what starts took."""
        pauses = []
        for _ in range(times):
            starts, took_s = self.start()
            pauses.append(took_s)
            self.end(starts[0].run, how)
        return pauses

    def events(self) -> list[tuple[str, object]]:
        return [
            (decision.event, decision.details.get("why"))
            for decision in self.scheduler.take_decisions()
        ]


@pytest.mark.parametrize("how", ["done", "failed"])
def test_a_task_that_ends_at_once_is_paused_longer_each_time(how):
    """One with a broken image was started 27,000 times in 28 s."""
    pauses = CrashingFleet().crash(10, how)
    assert pauses[:2] == [0.0, 0.0]
    assert 0.0 < pauses[2] <= 0.6
    longest = MAX_RESTART_PAUSE_S + RESTART_ROUND_S + FULL_PASS_INTERVAL_S
    assert all(1.0 <= pause <= longest for pause in pauses[6:])
    assert sum(pauses[:5]) < sum(pauses[5:])


def test_a_task_that_was_at_work_is_restarted_at_once_after_pauses():
    fleet = CrashingFleet()
    fleet.crash(8)
    (order,), _ = fleet.start()
    fleet.now += SETTLED_RUN_S
    fleet.end(order.run)
    assert fleet.crash(3)[:2] == [0.0, 0.0]


def test_a_task_that_is_at_work_recovers_without_an_end():
    fleet = CrashingFleet()
    fleet.crash(8)
    (order,), _ = fleet.start()
    fleet.now += SETTLED_RUN_S
    fleet.report(order.run.minion_id, fleet.running(order.run.minion_id))
    assert fleet.scheduler.job_by_id[JOB].backoff_by_task == {}


@pytest.mark.parametrize("how", ["stopped", "lapsed", "broken", "alone"])
def test_ends_that_the_task_did_not_cause_do_not_pause_it(how):
    assert CrashingFleet().crash(8, how) == [0.0] * 8


def test_ends_on_a_minion_at_fault_do_not_pause_a_task():
    """Many images fail on it and not elsewhere, so it is avoided."""
    fleet = CrashingFleet()
    for number in range(4):
        fleet.add(job(f"{number:016x}", ONE))
    starts, _ = fleet.start()
    assert len(starts) == 5
    at_fault = starts[0].run.minion_id
    for order in starts:
        if order.run.minion_id == at_fault:
            fleet.end(order.run)
    assert fleet.scheduler.view_by_id[at_fault].avoid_until > fleet.now
    again, _ = fleet.start()
    assert {order.run.minion_id for order in again}.isdisjoint({at_fault})
    ends = [
        backoff.ends.total()
        for open_job in fleet.scheduler.job_by_id.values()
        for backoff in open_job.backoff_by_task.values()
    ]
    assert max(ends, default=0) <= 1


def test_a_failed_run_is_restarted_on_another_minion():
    fleet = CrashingFleet()
    (first,), _ = fleet.start()
    fleet.end(first.run)
    (second,), _ = fleet.start()
    assert first.run.minion_id != second.run.minion_id


def test_the_members_of_a_gang_share_one_pause():
    fleet = CrashingFleet(Step(3, SMALL, lasting=True, gang=True))
    pauses = []
    for _ in range(4):
        starts, took_s = fleet.start()
        assert len(starts) == 3
        pauses.append(took_s)
        for order in starts:
            fleet.end(order.run, "done")
    assert pauses[:2] == [0.0, 0.0]
    assert 0.0 < pauses[2] <= 0.6


def test_many_tasks_that_crash_share_their_records():
    """Else each restart costs the log an append, which leases and takeovers need."""
    fleet = CrashingFleet(Step(16, SMALL, lasting=True))
    for _ in range(6):
        for order in fleet.start()[0]:
            fleet.end(order.run)
    starts = appends = 0
    began = fleet.now
    while fleet.now < began + 20.0:
        fleet.now = round(fleet.now + TICK_S, 3)
        orders = fleet.plan()
        appends += bool(orders)
        for order in orders:
            starts += 1
            fleet.end(order.run)
    assert starts == 16 * 20.0 / MAX_RESTART_PAUSE_S
    assert appends == 20.0 / MAX_RESTART_PAUSE_S


def test_a_task_is_not_lost_when_a_takeover_a_refusal_and_a_full_pool_come_on_top():
    fleet = CrashingFleet(minions=1)
    fleet.crash(10)
    last_run_at = fleet.now
    # A refused start, right at the end of the longest pause.
    while not (starts := fleet.record()):
        fleet.now = round(fleet.now + TICK_S, 3)
    fleet.scheduler.prepare_start(starts[0].run, fleet.now)
    fleet.scheduler.on_start_answer(starts[0].run, StartOutcome.UNHEALTHY, fleet.now)
    successor = fleet.successor()
    successor.now = fleet.now + TAKEOVER_S
    successor.report("i-0")
    full = Step(1, Resources(16_000, 1_000, 0))
    successor.scheduler.view_by_id["i-0"].used = full.size
    assert successor.plan() == ()
    successor.scheduler.view_by_id["i-0"].used = Resources()
    while not successor.plan():
        successor.now = round(successor.now + TICK_S, 3)
    assert successor.now - last_run_at < LOST_AFTER_S
    assert (
        MAX_RESTART_PAUSE_S + MAX_REFUSAL_PAUSE_S + 3 * RESTART_ROUND_S < LOST_AFTER_S
    )


def test_a_cancelled_job_ends_in_its_pause():
    fleet = CrashingFleet()
    fleet.crash(8)
    fleet.scheduler.cancel_job(JOB)
    fleet.now += LOST_AFTER_S
    assert fleet.plan() == ()


def test_a_new_configuration_acts_at_once_on_a_paused_task():
    fleet = CrashingFleet()
    fleet.crash(8)
    assert fleet.plan() == ()
    fleet.scheduler.set_configuration(configuration(version=2))
    (order,) = fleet.plan()
    fleet.end(order.run)
    assert fleet.crash(1)[0] >= 1.0


@pytest.mark.parametrize("minion_id", ["i-1", "i-2"])
def test_a_new_minion_acts_at_once_on_a_paused_task(minion_id):
    """It has joined the pool, or was restarted."""
    fleet = CrashingFleet()
    fleet.crash(8)
    assert fleet.plan() == ()
    listings = {f"i-{n}": listing(n) for n in range(3)}
    listings["i-1"] = replace(listing(1), incarnation=2)
    fleet.scheduler.set_listings(listings, fleet.now)
    fleet.report(minion_id, incarnation=listings[minion_id].incarnation)
    assert len(fleet.plan()) == 1


def test_a_job_in_its_pause_is_running_and_not_pending():
    fleet = CrashingFleet()
    fleet.crash(8)
    fleet.record()
    assert fleet.registry.job_by_id[JOB].state is JobState.RUNNING
    assert fleet.registry.pending("q") == 0


def test_a_short_task_that_fails_keeps_its_attempts():
    """It is paused between its second and third attempt, and then fails."""
    fleet = CrashingFleet(Step(1, SMALL, 500))
    pauses = fleet.crash(3)
    assert pauses[:2] == [0.0, 0.0]
    assert 0.0 < pauses[2] <= 0.6
    fleet.now += LOST_AFTER_S
    assert fleet.plan() == ()
    assert fleet.registry.job_by_id[JOB].state is JobState.FAILED


def test_starts_that_minions_refuse_again_and_again_are_paused_longer():
    fleet = CrashingFleet(Step(1, SMALL, 500))
    times = []
    while fleet.now < 110.0:
        if fleet.plan(StartOutcome.REFUSED):
            times.append(fleet.now)
            fleet.scheduler.view_by_id["i-0"].avoid_until = 0.0
            fleet.scheduler.view_by_id["i-1"].avoid_until = 0.0
        fleet.now = round(fleet.now + TICK_S, 3)
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert gaps[0] <= 0.3
    assert max(gaps) <= MAX_REFUSAL_PAUSE_S + RESTART_ROUND_S + FULL_PASS_INTERVAL_S
    assert len(times) <= 16


def test_a_start_that_is_accepted_ends_the_count_of_refusals():
    fleet = CrashingFleet()
    for _ in range(4):
        while not fleet.plan(StartOutcome.REFUSED):
            fleet.now += TICK_S
        fleet.scheduler.view_by_id["i-0"].avoid_until = 0.0
        fleet.scheduler.view_by_id["i-1"].avoid_until = 0.0
    fleet.start()
    backoff = fleet.scheduler.job_by_id[JOB].find_backoff(TaskKey(JOB, 0, 0, 0))
    assert backoff is None or backoff.refusals == 0


def test_one_line_tells_that_a_pause_grows_and_one_that_it_is_over():
    fleet = CrashingFleet()
    fleet.crash(8)
    growing = fleet.events()
    assert growing.count(("restarts paused", "2 failed")) == 1
    assert [event for event, _ in growing].count("start") == 2
    assert [event for event, _ in growing].count("run ended") == 2
    (order,), _ = fleet.start()
    fleet.now += SETTLED_RUN_S
    fleet.report(order.run.minion_id, fleet.running(order.run.minion_id))
    assert fleet.events() == [("restarts recovered", "8 failed")]


def test_restarts_are_counted_by_cause():
    fleet = CrashingFleet()
    fleet.crash(2, "failed")
    fleet.crash(1, "done")
    starts, _ = fleet.start()
    fleet.scheduler.on_minion_replaced(starts[0].run.minion_id, fleet.now)
    assert fleet.scheduler.take_restart_causes() == {
        "failed": 2,
        "done": 1,
        "minion replaced": 1,
    }
    assert fleet.scheduler.take_restart_causes() == {}


def phases(epoch: int, teams: int, tasks: int) -> list[float]:
    """Return when the restart rounds of some teams' tasks begin."""
    scheduler = LoggedFleet(epoch=epoch).scheduler
    step = Step(tasks, SMALL, lasting=True)
    return [
        scheduler._restart_phase_s(
            Run(
                TaskKey(JOB, 0, 0, position),
                1,
                "i-0",
                step,
                f"team-{team}",
                RunState.RUNNING,
                0.0,
            )
        )
        for team in range(teams)
        for position in range(tasks)
    ]


def test_teams_restart_at_different_times_that_repeat_with_the_owners_seed():
    assert phases(5, 20, 1) == phases(5, 20, 1)
    assert len(set(phases(5, 20, 1))) > 1
    assert all(phase % RESTART_ROUND_S == 0.0 for phase in phases(5, 20, 1))


def test_the_tasks_of_a_large_step_take_turns():
    """All at once they would delay the starts of other jobs."""
    assert len(set(phases(5, 1, RESTARTS_PER_ROUND))) == 1
    counts = Counter(phases(5, 1, 1_000))
    assert len(counts) == MAX_RESTART_PAUSE_S / RESTART_ROUND_S
    assert max(counts.values()) <= 1_000 / len(counts) + RESTARTS_PER_ROUND


def test_one_job_whose_tasks_fail_everywhere_gets_no_minion_avoided():
    """Each recovery began the blame anew, so its pool took no work of other jobs."""
    fleet = CrashingFleet()
    for _ in range(6):
        fleet.crash(3)
        (order,), _ = fleet.start()
        fleet.now += SETTLED_RUN_S
        fleet.end(order.run)
    assert "minion avoided" not in [event for event, _ in fleet.events()]


def test_a_minion_on_which_a_later_task_is_at_work_is_not_at_fault():
    """Failures of long-running tasks days apart would add up, as none ends done."""
    fleet = CrashingFleet(minions=1)
    for number in range(6):
        fleet.add(job(f"{number:016x}", ONE))
        starts, _ = fleet.start()
        fleet.end(starts[-1].run)
        starts, _ = fleet.start()
        fleet.now += SETTLED_RUN_S
        fleet.report("i-0", fleet.running("i-0"))
        assert fleet.scheduler.view_by_id["i-0"].faults == 0
    assert "minion avoided" not in [event for event, _ in fleet.events()]


def test_earlier_tasks_at_work_do_not_clear_a_minion_that_fails_all_new_ones():
    fleet = CrashingFleet(minions=1)
    fleet.start()
    fleet.now += SETTLED_RUN_S
    for number in range(2):
        fleet.add(job(f"{number:016x}", ONE))
        starts, _ = fleet.start()
        fleet.end(starts[-1].run)
        fleet.report("i-0", fleet.running("i-0"))
    assert fleet.scheduler.view_by_id["i-0"].faults == 2


def test_a_pause_ends_within_its_limit():
    backoff = RestartBackoff()
    for run in range(1, 200):
        now = 1_000.0 + run * 0.37
        backoff.on_short_run("failed", run, now, 0.75)
        assert run == 1 or now < backoff.retry_at <= now + MAX_RESTART_PAUSE_S
