"""A run of a gang fails once, however many of its members end ``failed``.

Members on a faulty minion all fail in one run. Counting each of them showed jobs as
failed of which one run of several had failed.
"""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import CompletedRun, JobState, Step
from tests.common.schedule_parts import SMALL, LoggedFleet, configuration, job

JOB = "a" * 16
MEMBERS = 4
MAX_ATTEMPTS = 3


def gang_fleet(minions: int = 2, members: int = MEMBERS) -> LoggedFleet:
    """Return a fleet with a gang that may fail MAX_ATTEMPTS times."""
    fleet = LoggedFleet(minions)
    fleet.scheduler.set_configuration(configuration(max_attempts=MAX_ATTEMPTS))
    for minion_id in list(fleet.scheduler.view_by_id):
        fleet.report(minion_id)
    fleet.add(job(JOB, Step(members, SMALL, 500, gang=True)))
    return fleet


def end_run(fleet: LoggedFleet, how_by_member: dict[int, str]) -> None:
    """Let each minion list the ends of its members; the others work on."""
    for minion_id, view in list(fleet.scheduler.view_by_id.items()):
        number = view.last_seen_completion
        rows, ends = [], []
        for row in fleet.running(minion_id):
            how = how_by_member.get(int(row.task.rpartition(".")[2]))
            if how is None:
                rows.append(row)
                continue
            number += 1
            ends.append(CompletedRun(number, row.task, row.run, how, ""))
        fleet.report(minion_id, tuple(rows), tuple(ends))
    fleet.now += 10.0


@pytest.mark.parametrize("members", [MEMBERS, 600])
def test_a_job_fails_after_as_many_runs_of_its_gang_as_it_may(members):
    """Guards against a job shown as failed after one run of its gang (LOST)."""
    fleet = gang_fleet(minions=50 if members > MEMBERS else 2, members=members)
    failing = dict.fromkeys(range(members), "failed")
    for attempt in range(1, MAX_ATTEMPTS + 1):
        assert len(fleet.plan()) == members
        end_run(fleet, failing)
        progress = fleet.scheduler.job_by_id.get(JOB)
        if attempt < MAX_ATTEMPTS:
            assert progress is not None
            assert progress.progress.failures == {"0.0.0": attempt}
    fleet.record()
    assert fleet.registry.job_by_id[JOB].state is JobState.FAILED


def test_members_that_end_one_after_the_other_fail_one_run():
    fleet = gang_fleet()
    assert len(fleet.plan()) == MEMBERS
    for member in range(MEMBERS):
        end_run(fleet, {member: "failed" if member % 2 else "broken"})
        assert member == MEMBERS - 1 or not fleet.plan()
    assert fleet.scheduler.job_by_id[JOB].progress.failures == {"0.0.0": 1}
    assert len(fleet.plan()) == MEMBERS


def test_a_new_owner_does_not_count_a_run_again():
    fleet = gang_fleet(minions=1)
    assert len(fleet.plan()) == MEMBERS
    end_run(fleet, {0: "failed"})
    fleet.record()
    successor = fleet.successor()
    successor.scheduler.set_configuration(configuration(max_attempts=MAX_ATTEMPTS))
    end_run(successor, dict.fromkeys(range(1, MEMBERS), "failed"))
    assert successor.scheduler.job_by_id[JOB].progress.failures == {"0.0.0": 1}


def test_the_next_run_avoids_the_minions_of_failed_members():
    fleet = gang_fleet(minions=2)
    first = {order.run.minion_id for order in fleet.plan()}
    assert len(first) == 1
    end_run(fleet, dict.fromkeys(range(MEMBERS), "failed"))
    for minion_id in fleet.scheduler.view_by_id:
        fleet.report(minion_id)
    second = {order.run.minion_id for order in fleet.plan()}
    assert second
    assert not first & second


def test_a_gang_that_is_done_leaves_no_count_behind():
    fleet = gang_fleet()
    fleet.plan()
    end_run(fleet, dict.fromkeys(range(MEMBERS), "failed"))
    fleet.plan()
    end_run(fleet, dict.fromkeys(range(MEMBERS), "done"))
    fleet.record()
    whole = fleet.registry.job_by_id[JOB].whole_progress()
    assert whole.state is JobState.DONE
    assert not (whole.failures or whole.failed_runs)
