"""One team sends many times its usual while all is full: the others do not wait."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import ByObjective, Resources, Step
from geraniumshore_scheduler.internal.team_shares import BURST_S, TeamShares
from tests.common.schedule_parts import CAPACITY, SMALL, Fleet, configuration, job

WEIGHTS = {"hot": 5.0, "calm": 5.0}


def beyond(shares: TeamShares, team: str, count: int, at: float) -> int:
    return sum(shares.is_beyond(team, WEIGHTS[team], at) for _ in range(count))


def test_what_a_team_sends_beyond_its_weight_is_beyond_its_share():
    shares = TeamShares()
    within = int(WEIGHTS["hot"] * BURST_S)
    assert beyond(shares, "hot", within, 0.0) == 0
    assert beyond(shares, "hot", 20, 0.0) == 20
    assert beyond(shares, "calm", within, 0.0) == 0
    assert beyond(shares, "hot", 6, 1.0) == 1


@pytest.mark.parametrize("team", [None, "new"])
def test_without_a_known_team_nothing_is_beyond(team):
    fleet = Fleet(minions=1, config=configuration())
    for number in range(99):
        fleet.add(job(f"{number:016x}", Step(1, SMALL, 500), team=team))
    jobs = fleet.scheduler.job_by_id.values()
    assert not any(open_job.beyond_share for open_job in jobs)


def test_without_a_weight_nothing_is_beyond():
    shares = TeamShares()
    assert not any(shares.is_beyond("idle", 0.0, 0.0) for _ in range(99))


def test_jobs_beyond_their_team_s_share_wait_behind_those_within():
    fleet = Fleet(minions=1, config=configuration())
    burst = int(BURST_S)  # The team's weight is one job a second.
    fleet.add(job("f" * 16, Step(1, CAPACITY, 500)))
    fleet.plan()
    for number in range(burst + 3):
        fleet.now += 0.001
        fleet.add(job(f"{number:016x}", Step(1, SMALL, 500), team="team"))
    fleet.now += 0.001
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    order = ByObjective()
    jobs = [j for j in fleet.scheduler.job_by_id.values() if j.waiting]
    jobs.sort(key=lambda j: order.rank(j, fleet.now))
    assert [j.job.job_id[0] for j in jobs].index("b") == burst


def test_with_room_nobody_waits():
    fleet = Fleet(minions=2, config=configuration(cap=Resources()))
    for number in range(8):
        fleet.add(job(f"{number:016x}", Step(1, SMALL, 500), team="team"))
    assert len(fleet.plan()) == 8
