"""A team that exceeds its share while all minions are full must not delay others.

Served first come, first served, the jobs of the team that submits most would get nearly
all capacity.
"""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import ByObjective, Resources, Step
from geraniumshore_scheduler.internal.team_shares import BURST_ALLOWANCE_S, TeamShares
from tests.common.schedule_parts import CAPACITY, SMALL, Fleet, configuration, job

WEIGHTS = {"hot": 5.0, "calm": 5.0}


def count_beyond(shares: TeamShares, team: str, count: int, at: float) -> int:
    return sum(shares.exceeds_share(team, WEIGHTS[team], at) for _ in range(count))


def test_jobs_beyond_the_weight_of_a_team_exceed_its_share():
    shares = TeamShares()
    within = int(WEIGHTS["hot"] * BURST_ALLOWANCE_S)
    assert count_beyond(shares, "hot", within, 0.0) == 0
    assert count_beyond(shares, "hot", 20, 0.0) == 20
    assert count_beyond(shares, "calm", within, 0.0) == 0
    assert count_beyond(shares, "hot", 6, 1.0) == 1


@pytest.mark.parametrize("team", [None, "new"])
def test_jobs_without_a_known_team_exceed_no_share(team):
    fleet = Fleet(minions=1, config=configuration())
    for number in range(99):
        fleet.add(job(f"{number:016x}", Step(1, SMALL, 500), team=team))
    jobs = fleet.scheduler.job_by_id.values()
    assert not any(open_job.beyond_share for open_job in jobs)


def test_jobs_of_a_team_without_a_weight_exceed_no_share():
    shares = TeamShares()
    assert not any(shares.exceeds_share("idle", 0.0, 0.0) for _ in range(99))


def test_jobs_beyond_the_share_wait_behind_those_within():
    fleet = Fleet(minions=1, config=configuration())
    within = int(BURST_ALLOWANCE_S)  # The team's weight is one job a second.
    fleet.add(job("f" * 16, Step(1, CAPACITY, 500)))
    fleet.plan()
    for number in range(within + 3):
        fleet.now += 0.001
        fleet.add(job(f"{number:016x}", Step(1, SMALL, 500), team="team"))
    fleet.now += 0.001
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    order = ByObjective()
    jobs = [j for j in fleet.scheduler.job_by_id.values() if j.waiting]
    jobs.sort(key=lambda j: order.rank(j, fleet.now))
    assert [j.job.job_id[0] for j in jobs].index("b") == within


def test_no_job_waits_while_there_is_room():
    fleet = Fleet(minions=2, config=configuration(cap=Resources()))
    for number in range(8):
        fleet.add(job(f"{number:016x}", Step(1, SMALL, 500), team="team"))
    assert len(fleet.plan()) == 8
