"""A process that has just started reads the jobs of the last minutes all at once.

Counted as accepted at that moment they look like a burst of all pools, so machines move
for work that is long done, and all teams seem to exceed their shares.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    Authority,
    JobRegistry,
    Reading,
    RecordKind,
    Scheduler,
    Step,
    encode_job,
    job_key,
)
from tests.common.schedule_parts import CAPACITY, TIMES, configuration, job, listing

NOW_S = 1000.0
WALL_MS = 50_000_000
JOB = job("a" * 16, Step(4, CAPACITY, 1000), team="team")


def read(registry: JobRegistry, job_id: str, age_s: float, reading: Reading) -> None:
    accepted = replace(JOB, job_id=job_id, accepted_ms=int(WALL_MS - 1000 * age_s))
    key = job_key(RecordKind.ACCEPTED, job_id)
    registry.fold(key, encode_job(accepted), 0, NOW_S, reading)


def offered_load(registry: JobRegistry) -> float:
    """Return the offered load of a new owner's only pool, in machines."""
    scheduler = Scheduler(Authority(1, NOW_S, NOW_S), TIMES)
    scheduler.set_configuration(configuration())
    scheduler.set_listings({"i-0": listing(0)}, NOW_S)
    for registered in registry.job_by_id.values():
        scheduler.add_job(registered, NOW_S)
    (load,) = scheduler.pool_loads(NOW_S)
    return load.offered_load


def test_jobs_of_the_last_minute_are_no_burst():
    registry = JobRegistry()
    started = Reading(float("-inf"), WALL_MS)
    for number in range(20):
        read(registry, f"{number:016x}", 3.0 + 2 * number, started)
    assert offered_load(registry) == 0


def test_jobs_that_arrive_now_are_a_burst():
    registry = JobRegistry()
    followed = Reading(NOW_S - 0.3, WALL_MS)
    for number in range(20):
        read(registry, f"{number:016x}", 0.1, followed)
    assert offered_load(registry) > 1


@pytest.mark.parametrize("jump_s", [-5.0, 5.0])
def test_a_clock_that_jumps_moves_a_job_no_further_than_the_reads_allow(jump_s):
    registry = JobRegistry()
    read(registry, "a" * 16, 0.1 + jump_s, Reading(NOW_S - 0.3, WALL_MS))
    accepted_at = registry.job_by_id["a" * 16].accepted_at
    assert NOW_S - 0.3 <= accepted_at <= NOW_S
