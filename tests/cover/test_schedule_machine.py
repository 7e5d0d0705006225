"""The schedule's invariants hold in simulations with random faults.

Owners overlap, orders arrive late, nodes are suspended and minions restart. No task may
run twice at the same time or again after its completion was acknowledged.
"""

from __future__ import annotations

import pytest

from tests.common.schedule_simulation import (
    LONG_PARTITIONS,
    NO_FAULTS,
    ScheduleSimulation,
)

DURATION_S = 45.0
# 1154: a node that had been removed from the group rejoined, treated the join as a
# confirmation of its ownership, and renewed leases on a minion that the new owner could
# not reach.
REGRESSION_SEEDS = (1154,)


@pytest.mark.parametrize("seed", [*range(24), *REGRESSION_SEEDS])
def test_invariants_hold_under_faults(seed):
    simulation = ScheduleSimulation(seed)
    simulation.run(DURATION_S)
    assert simulation.events["start"] > 20


@pytest.mark.parametrize("seed", range(12))
def test_invariants_hold_under_long_partitions(seed):
    simulation = ScheduleSimulation(seed, LONG_PARTITIONS)
    simulation.run(DURATION_S)
    assert simulation.events["start"] > 20


def test_all_jobs_complete_without_faults():
    simulation = ScheduleSimulation(1, NO_FAULTS)
    simulation.run(DURATION_S)
    assert simulation.events["takeover"] == 1
    unfinished = [
        job.job_id
        for job in simulation.job_by_id.values()
        if not job.lasting and not simulation.finished(job.job_id)
    ]
    assert unfinished == []
    assert len(simulation.job_by_id) == 14
