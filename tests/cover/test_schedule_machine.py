"""Owners that overlap, late orders, frozen nodes, minions born again: no task twice."""

from __future__ import annotations

import pytest

from tests.common.schedule_simulation import LONG_CUTS, QUIET, World

SECONDS = 45.0
# 1154: a node that the group had dropped joined again, took that for a confirmation of
# its ownership, and renewed leases on a minion that the new owner did not reach.
FAILED_ONCE = (1154,)


@pytest.mark.parametrize("seed", [*range(24), *FAILED_ONCE])
def test_promises_hold_under_faults(seed):
    world = World(seed)
    world.run(SECONDS)
    assert world.events["start"] > 20


@pytest.mark.parametrize("seed", range(12))
def test_promises_hold_under_long_cuts(seed):
    world = World(seed, LONG_CUTS)
    world.run(SECONDS)
    assert world.events["start"] > 20


def test_all_jobs_end_without_faults():
    world = World(1, QUIET)
    world.run(SECONDS)
    assert world.events["takeover"] == 1
    unfinished = [
        job.job_id
        for job in world.job_by_id.values()
        if not job.lasting and not world.finished(job.job_id)
    ]
    assert unfinished == []
    assert len(world.job_by_id) == 14
