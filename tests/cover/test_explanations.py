"""Explaining where a job would be placed, while hundreds of jobs wait for a full pool.

Guards against explanations that differ from what then happens, or that change it.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from geraniumshore_cli.internal.output import ExitCode
from geraniumshore_scheduler import InvalidInputError, Resources, Step, WaitCause
from geraniumshore_scheduler.internal.explanation import MAX_TASKS_TRIED
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import (
    PlatformFleet,
    configuration_document,
)
from tests.common.schedule_parts import (
    CAPACITY,
    SMALL,
    Fleet,
    configuration,
    job,
    listing,
)

NEW = "f" * 16
BIG = Resources(9_000, 9_000)
CAP = Resources(20_000, 0)
LARGE_GANG = Step(MAX_TASKS_TRIED + 1, SMALL, gang=True)
MAIN_PROGRAM = "from geraniumshore_cli.internal.main import main; main()"


def explain(fleet: Fleet, *steps: Step, **changes):
    explained = replace(job(NEW, *steps, team="team"), **changes)
    return fleet.scheduler.explain(explained, fleet.now, fleet.now * 1000)


def reasons(explanation, number: int = 0) -> dict[str, str]:
    candidates = explanation.steps[number].candidates
    return {c.minion_id: c.reason for c in (*candidates, *explanation.unavailable)}


def full_pool(jobs: int = 300) -> Fleet:
    """Return ten minions for which hundreds of jobs wait."""
    fleet = Fleet(10)
    for number in range(jobs):
        fleet.add(job(f"{number:016x}", Step(8, SMALL, 640)))
    fleet.plan()
    return fleet


@pytest.mark.parametrize(
    "steps",
    [
        (Step(8, SMALL, 640),),
        (Step(3, BIG), Step(2, SMALL, depends_on=(0,))),
        (Step(3, SMALL, gang=True), Step(2, SMALL, most_per_minion=1)),
        (Step(3, SMALL, gang=True, same_rack=True), Step(9, BIG)),
        (Step(1, SMALL, data_rack="r9"), Step(4, SMALL, lasting=True, may_miss=1)),
        (Step(9, Resources(4_000, 1_000)),),
    ],
)
@pytest.mark.parametrize("cap", [Resources(), CAP])
def test_the_job_then_starts_where_the_explanation_said(steps, cap):
    """Guards against a second implementation of placing that differs."""
    fleet = Fleet(3, configuration(cap))
    fleet.add(job("a" * 16, Step(5, Resources(3_000, 2_000)), team="team"))
    fleet.plan()
    explanation = explain(fleet, *steps)
    expected = {
        (step.number, candidate.minion_id): candidate.starts
        for step in explanation.steps
        for candidate in step.candidates
        if candidate.starts
    }
    fleet.add(job(NEW, *steps, team="team"))
    starts: dict[tuple[int, str], int] = {}
    for order in fleet.plan():
        place = order.run.task.step, order.run.minion_id
        starts[place] = starts.get(place, 0) + 1
    assert starts == expected


def test_explaining_changes_neither_the_schedule_nor_a_share():
    """Guards against an explanation that uses up capacity, a cap or a share."""
    fleet, untouched = full_pool(), full_pool()
    for _ in range(5):
        explanation = explain(fleet, Step(4, SMALL, 640))
        assert not explanation.team.beyond_share
    scheduler, other = fleet.scheduler, untouched.scheduler
    assert scheduler.view_by_id == other.view_by_id
    assert list(scheduler.job_by_id) == list(other.job_by_id)
    assert scheduler._team_use == other._team_use
    assert scheduler._shares == other._shares
    assert not (scheduler._starts or scheduler._dirty or scheduler._records)
    for each in (fleet, untouched):
        each.now += 1
        each.add(job(NEW, Step(4, SMALL, 640), team="team"))
    rows = [[str(o.run) for o in each.plan()] for each in (fleet, untouched)]
    assert rows[0] == rows[1]


def test_in_a_full_pool_the_jobs_before_it_are_counted():
    """Guards against rooms that earlier jobs would get, and against named jobs."""
    fleet = full_pool()
    waiting = sum(1 for each in fleet.scheduler.job_by_id.values() if each.waiting)
    explanation = explain(fleet, Step(2, SMALL, 640))
    assert explanation.jobs_before == waiting > 200
    assert explanation.steps[0].waits_for is WaitCause.ROOM
    assert set(reasons(explanation).values()) == {"no room for cpu"}
    # Room that was freed since the last round is for the jobs that wait already.
    view = fleet.scheduler.view_by_id["i-0"]
    view.detach(next(iter(view.runs.values())))
    explanation = explain(fleet, Step(2, SMALL, 640))
    assert explanation.steps[0].starting == 0
    assert (
        reasons(explanation)["i-0"] == "has room, which jobs before this one would get"
    )
    assert "0" * 16 not in str(explanation)


def test_each_minion_has_its_reason():
    """Guards against a minion that is passed over for a reason that is not shown."""
    fleet = Fleet(9)
    views = list(fleet.scheduler.view_by_id.values())
    views[0].responsive = False
    views[1].remaining_ms = 5_000
    views[2].cordoned = True
    views[3].evacuated = True
    views[4].avoid_until = fleet.now + 1
    views[5].listing = replace(listing(5), service="spare")
    views[6].listing = replace(listing(6), labels=("a", "r9"))
    views[7].listing = replace(listing(7), capacity=Resources(500, 500))
    explanation = explain(fleet, Step(2, SMALL, label="r1", most_per_minion=1))
    assert reasons(explanation) == {
        "i-0": "not responsive",
        "i-1": "draining",
        "i-2": "cordoned",
        "i-3": "evacuated",
        "i-4": "avoided after faults",
        "i-5": "other pool",
        "i-6": "missing label r1",
        "i-7": "no room for cpu, memory",
        "i-8": "chosen, then anti_affinity of 1",
    }
    assert explanation.steps[0].chosen == "i-8"
    assert explanation.steps[0].waits_for is WaitCause.EVACUATION


def test_what_the_job_would_wait_for():
    """Guards against a cause that sends operators to the wrong place."""
    fleet = Fleet(2, configuration(Resources(2_000, 0)))
    capped, later = explain(fleet, Step(3, SMALL), Step(1, SMALL, 0, (0,))).steps
    assert (capped.starting, capped.waits_for) == (2, WaitCause.CAP)
    assert (later.waits_for, later.after_steps) == (WaitCause.EARLIER_STEP, (0,))
    gang = explain(fleet, Step(3, SMALL, gang=True)).steps[0]
    assert (gang.starting, gang.waits_for) == (3, None)
    gang = explain(fleet, Step(4, SMALL, gang=True)).steps[0]
    assert (gang.starting, gang.waits_for) == (0, WaitCause.CAP)
    huge, other = explain(fleet, Step(1, CAPACITY.plus(SMALL), 0), Step(1, SMALL)).steps
    assert (huge.waits_for, other.starting) == (WaitCause.ROOM, 1)
    half, huge = explain(fleet, Step(1, SMALL), Step(1, CAPACITY.plus(SMALL))).steps
    assert (half.starting, huge.waits_for) == (1, WaitCause.CAP)
    timed = explain(fleet, Step(1, SMALL), occurrences=2, first_ms=9_000)
    assert timed.steps[0].waits_for is WaitCause.FIRST_TIME
    fleet.scheduler.hold_starts(True)
    held = explain(fleet, Step(1, SMALL)).steps[0]
    assert held.waits_for is WaitCause.OPERATORS_REQUESTS
    advised = Fleet(1)
    queue = replace(configuration().queues[0], needs_advice=True)
    advised.scheduler.set_configuration(replace(configuration(), queues=(queue,)))
    assert explain(advised, Step(1, SMALL)).steps[0].waits_for is WaitCause.ADVICE
    assert explain(Fleet(1), Step(1, CAPACITY.plus(SMALL))).steps[0].waits_for is (
        WaitCause.ROOM
    )


def test_a_job_beyond_its_teams_share_is_said_to_be():
    """Guards against operators who do not see why others go first."""
    fleet = Fleet(1)
    for number in range(2):
        fleet.add(job(f"{number:016x}", Step(1, SMALL), team="team"))
    assert explain(fleet, Step(1, SMALL)).team.beyond_share


def test_a_job_of_any_size_takes_bounded_time():
    """Guards against an owner that decides nothing while it explains a huge job."""
    fleet = Fleet(0)
    fleet.scheduler.set_listings({"i-0": listing(0)}, fleet.now)
    fleet.report("i-0")
    step = explain(fleet, Step(100_000, Resources())).steps[0]
    assert (step.tasks, step.tried, step.starting) == (100_000, *[MAX_TASKS_TRIED] * 2)
    many = explain(fleet, *[Step(1, SMALL)] * 30)
    assert (len(many.steps), many.steps_omitted) == (10, 20)
    with pytest.raises(InvalidInputError):
        explain(fleet, LARGE_GANG)


# Real processes.

MINIONS = 3
STEP = {"count": 4, "cpu": 4_000, "mem_mb": 10, "estimate_ms": 300, "anti_affinity": 2}
DOCUMENT = {"spec": json.dumps({"work_ms": 300}), "phases": [STEP]}


@pytest.fixture(scope="module")
def fleet():
    with PlatformFleet() as started:
        started.start(nodes=3, minions=MINIONS)
        # Without a standby pool no idle machine is moved while the test compares.
        document = configuration_document(started.service, version=2)
        document["services"] = [s for s in document["services"] if not s["standby"]]
        started.simulator.configure(document)
        yield started


def run_command(
    fleet: PlatformFleet,
    node: str,
    document: object,
    key: str | None = "key-of-team",
    queue: str = "queues.example/jobs/",
) -> subprocess.CompletedProcess[str]:
    path = Path(fleet.folder) / "job.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-c", MAIN_PROGRAM, "schedule", "explain", str(path)]
    settings = str(fleet.folder / f"{node}.json")
    environment = {k: v for k, v in os.environ.items() if k != "GERANIUMSHORE_KEY"}
    if key is not None:
        environment["GERANIUMSHORE_KEY"] = key
    return subprocess.run(
        [*command, "--queue", queue, "--settings", settings, "--json"],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )


def recorded_keys(fleet: PlatformFleet) -> set[str]:
    """Return the keys of the job log's records."""
    with fleet.simulator.lock:
        pages = [
            fleet.simulator.log.newest("keyed.jobs", part, None) for part in (0, 1)
        ]
    return {item["key"] for page in pages for item in page.document["items"]}


def changes_seen(fleet: PlatformFleet) -> int:
    """Return how often owners or machines changed or a minion fell silent."""
    nodes = fleet.node_by_name.values()
    events = (event["event"] for node in nodes for event in node.events())
    changes = ("minion silent", "machine moved", "ownership taken", "ownership lost")
    return sum(event in changes for event in events)


def explain_elsewhere(fleet: PlatformFleet) -> tuple[str, dict[str, Any]]:
    """Return a node that is not the owner, and its explanation with all minions."""
    results: list[tuple[str, dict[str, Any]]] = []

    def is_explained() -> bool:
        # Nodes that start together may replace the first owner at once.
        process = fleet.owner()
        assert process is not None
        owner = process.name
        other = next(name for name in fleet.node_by_name if name != owner)
        result = run_command(fleet, other, DOCUMENT)
        if result.returncode == ExitCode.REFUSED:
            return False
        assert result.returncode == ExitCode.DONE, result.stderr
        report = json.loads(result.stdout)
        results.append((other, report))
        (step,) = report["explanation"]["steps"]
        return report["owner"] == owner and len(step["candidates"]) == MINIONS

    wait_for(is_explained, "an explanation with all minions")
    return results[-1]


def starts_of(fleet: PlatformFleet, job_id: str) -> dict[str, int]:
    return dict(
        Counter(
            minion
            for _, kind, task, _, minion, _ in list(fleet.simulator.events)
            if kind == "start" and task.startswith(job_id)
        )
    )


def test_through_another_node_it_agrees_with_where_the_job_then_starts(fleet):
    """Guards against a node that answers from its own, incomplete, knowledge."""
    compared = False
    for number in range(5):
        # A minion that misses a poll in between gets no tasks: that job says nothing.
        before = changes_seen(fleet)
        node, report = explain_elsewhere(fleet)
        if not number:
            assert not list(fleet.simulator.events)
            assert recorded_keys(fleet) == {"o/owner"}
            assert max(report["jobs_age_s"], report["minions_age_s"]) < 5
        (step,) = report["explanation"]["steps"]
        assert (step["starting"], step["waits_for"]) == (STEP["count"], None)
        candidates = step["candidates"]
        expected = {c["minion_id"]: c["starts"] for c in candidates if c["starts"]}
        job_id = f"{number:016x}"
        assert fleet.submit(node, job_id, DOCUMENT).status == 200
        fleet.wait_for_state(node, job_id, "done")
        if changes_seen(fleet) == before:
            assert starts_of(fleet, job_id) == expected
            compared = True
    assert compared


@pytest.mark.parametrize(
    ("changes", "code", "words"),
    [
        ({"key": "other"}, 1, "unknown key"),
        ({"key": None}, 1, "unknown key"),
        ({"queue": "queues.example/none/"}, 1, "unknown queue"),
        ({"document": {"phases": []}}, 2, "phases"),
        ({"queue": "queues.example"}, 2, "--queue"),
    ],
)
def test_what_a_submission_would_be_refused_for_is_refused(fleet, changes, code, words):
    """Guards against explanations without the team's key, or of impossible jobs."""
    result = run_command(fleet, "n0", **{"document": DOCUMENT, **changes})
    assert (result.returncode, result.stdout) == (code, "")
    assert words in result.stderr


def test_without_an_owner_the_answer_says_so(fleet):
    """Guards against an explanation of an owner that is gone."""
    for name in list(fleet.node_by_name):
        if name != "n0":
            fleet.node_by_name[name].process.kill()
    fleet.simulator.store_faults = lambda _: 503
    owner = fleet.owner()

    def is_refused() -> bool:
        result = run_command(fleet, "n0", DOCUMENT)
        return result.returncode == 1 and "no node owns the schedule" in result.stderr

    wait_for(is_refused, f"a refusal after the end of {owner.name}", 20)
