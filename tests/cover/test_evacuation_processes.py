"""Real nodes and an operator's requests to evacuate a data centre."""

from __future__ import annotations

import json
import signal
import time
from contextlib import suppress

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import PlatformFleet

# No connected node starts a task later than this after the operator's request.
EVACUATE_S = 5.0
# Longer than a node's read waits at the end of a stream.
READ_WAIT_S = 1.5
# An owner sends no orders any more so long after its last read of the log.
AUTHORITY_S = 3.0
WORK_MS = 300
# More than the minions of one data centre run at once.
STEP = {"count": 12, "cpu": 4000, "mem_mb": 10, "estimate_ms": WORK_MS}
JOB = {"spec": json.dumps({"work_ms": WORK_MS}), "phases": [STEP]}


@pytest.fixture
def fleet():
    with PlatformFleet() as started:
        for number, data_centre in enumerate("aab"):
            started.simulator.add_machine(
                f"m-{number}", started.service, f"r{number}", data_centre=data_centre
            )
        started.start(minions=0)
        yield started


def minions_of(fleet: PlatformFleet, data_centre: str) -> set[str]:
    machines = fleet.simulator.machine_by_name.values()
    return {
        machine.minion.model.minion_id
        for machine in machines
        if machine.minion is not None and machine.data_centre == data_centre
    }


def starts_in(fleet: PlatformFleet, data_centre: str, job_id: str) -> int:
    minions = minions_of(fleet, data_centre)
    return sum(
        kind == "start" and minion in minions and task.startswith(job_id)
        for _, kind, task, _, minion, _ in list(fleet.simulator.events)
    )


def logged(fleet: PlatformFleet, event: str) -> int:
    """Return how many nodes have logged an event."""
    nodes = fleet.node_by_name.values()
    return sum(any(line["event"] == event for line in n.events()) for n in nodes)


def await_rule(fleet: PlatformFleet, event: str) -> None:
    """Wait until all nodes know of a request, or until the rule must hold."""
    with suppress(TimeoutError):
        wait_for(lambda: logged(fleet, event) == len(fleet.node_by_name), event)
        return
    time.sleep(EVACUATE_S)


def run_job(fleet: PlatformFleet, job_id: str) -> None:
    node = next(iter(fleet.node_by_name))
    wait_for(lambda: fleet.submit(node, job_id, JOB).status == 200, "accepted", 20)
    fleet.wait_for_state(node, job_id, "done")


def restart(fleet: PlatformFleet, names: list[str]) -> None:
    for name in names:
        fleet.signal(name, signal.SIGKILL)
        fleet.node_by_name[name].process.wait()
    for name in names:
        fleet.start_node(name)


def test_nothing_starts_in_an_evacuated_data_centre_whoever_owns_the_schedule(fleet):
    """Guards against starts there by the owner, a successor and after a power loss."""
    run_job(fleet, "a" * 16)
    assert starts_in(fleet, "b", "a" * 16)
    fleet.simulator.evacuate("b")
    await_rule(fleet, "evacuation in force")
    run_job(fleet, "b" * 16)
    assert starts_in(fleet, "b", "b" * 16) == 0
    owner = fleet.owner()
    assert owner is not None
    restart(fleet, [owner.name])
    run_job(fleet, "c" * 16)
    assert starts_in(fleet, "b", "c" * 16) == 0
    restart(fleet, list(fleet.node_by_name))
    run_job(fleet, "d" * 16)
    assert starts_in(fleet, "b", "d" * 16) == 0


def test_a_removal_that_was_trimmed_lets_the_data_centre_work_again(fleet):
    """Guards against an evacuation that stays in force at a node that was away."""
    fleet.simulator.evacuate("b")
    await_rule(fleet, "evacuation in force")
    for name in fleet.node_by_name:
        fleet.signal(name, signal.SIGSTOP)
    # Their open reads end at the store, so that none returns the removal.
    time.sleep(READ_WAIT_S)
    fleet.simulator.end_evacuation("b")
    with fleet.simulator.lock:
        fleet.simulator.log.compact("keyed.op")
    for name in fleet.node_by_name:
        fleet.signal(name, signal.SIGCONT)
    await_rule(fleet, "evacuation ended")
    assert logged(fleet, "stream trimmed") == len(fleet.node_by_name)
    run_job(fleet, "a" * 16)
    assert starts_in(fleet, "b", "a" * 16)


class Outage:
    """Refuses all calls to the store, or those on the operators' stream only."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.all_away = self.operators_away = False
        fleet.simulator.store_faults = self._fault

    def _fault(self, call) -> int | None:
        operators = call.query.get("topic") == "keyed.op"
        return 503 if self.all_away or (operators and self.operators_away) else None


def expect_held_starts(fleet: PlatformFleet, outage: Outage) -> None:
    """Expect that a job starts only once its owner has read the operators' stream."""
    job_id = "e" * 16
    owner = fleet.owner()
    assert owner is not None
    wait_for(lambda: fleet.submit(owner.name, job_id, JOB).status == 200, "accepted")
    wait_for(lambda: logged(fleet, "starts held") > 0, "starts held")
    assert not any(job_id in event[2] for event in list(fleet.simulator.events))
    outage.operators_away = False
    fleet.wait_for_state(owner.name, job_id, "done")
    assert starts_in(fleet, "b", job_id) == 0


def test_a_successor_starts_nothing_before_it_has_read_the_operators_stream(fleet):
    """Guards against a request that only the former owner could have read."""
    outage = Outage(fleet)
    former = fleet.owner()
    assert former is not None
    outage.operators_away = True
    fleet.simulator.evacuate("b")
    fleet.signal(former.name, signal.SIGKILL)
    wait_for(lambda: fleet.owner() is not former, "a successor")
    expect_held_starts(fleet, outage)


def test_an_owner_that_was_cut_off_reads_the_operators_stream_before_it_starts(fleet):
    """Guards against a request that was made while the owner had no store."""
    outage = Outage(fleet)
    outage.all_away = outage.operators_away = True
    fleet.simulator.evacuate("b")
    # Its authority to send orders has ended by then.
    time.sleep(AUTHORITY_S + 1)
    outage.all_away = False
    expect_held_starts(fleet, outage)


def test_with_all_data_centres_evacuated_jobs_wait_and_callers_are_told(fleet):
    """Guards against a caller who cannot tell why an accepted job does not start."""
    for data_centre in "ab":
        fleet.simulator.evacuate(data_centre)
    await_rule(fleet, "evacuation in force")
    job_ids = iter(f"{number:016x}" for number in range(1, 10_000))
    told: list[str] = []

    def is_told() -> bool:
        job_id = next(job_ids)
        reply = fleet.submit("n0", job_id, JOB)
        assert reply.status == 200
        told.append(job_id)
        return "evacuated" in reply.document.get("detail", "")

    wait_for(is_told, "a detail in the answer")
    assert fleet.state("n0", told[-1]) == "queued"
    assert all(starts_in(fleet, d, told[-1]) == 0 for d in "ab")
    fleet.simulator.end_evacuation("a")
    fleet.wait_for_state("n0", told[-1], "done")
    assert starts_in(fleet, "b", told[-1]) == 0
