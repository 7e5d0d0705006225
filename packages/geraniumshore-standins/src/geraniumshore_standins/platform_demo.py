"""Demo of the schedule on the users' platform, run by ``make demo``.

Submits jobs, kills the owner, runs a maintenance wave and withdraws a key. Prints each
result, exits with status 0 only if all are as expected, and ends every process that it
started.
"""

from __future__ import annotations

import json
import signal
import sys
import time

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import (
    PlatformFleet,
    configuration_document,
)

__all__ = ["main"]

NODES = 3
MINIONS = 4
JOBS = 20


def main() -> int:
    """Run the demo and return the exit status."""
    with PlatformFleet() as fleet:
        fleet.start(NODES, MINIONS)
        owner = fleet.owner()
        assert owner is not None
        print(f"{NODES} nodes, {MINIONS} minions; {owner.name} owns the schedule")
        names = list(fleet.node_by_name)
        survivors = [name for name in names if name != owner.name]
        for number in range(JOBS):
            reply = fleet.submit(names[number % NODES], _job_id(number), _job(600))
            assert reply.status == 200, reply
        print(f"{JOBS} jobs accepted on all nodes")
        fleet.signal(owner.name, signal.SIGKILL)
        killed_at = time.monotonic()
        for number in range(JOBS):
            fleet.wait_for_state(survivors[0], _job_id(number), "done")
        took = time.monotonic() - killed_at
        print(f"{owner.name} killed; all jobs done {took:.1f} s later")
        _check_each_task_ran_once(fleet)
        machines = list(fleet.simulator.machine_by_name)
        wave = {"wave": 1, "machines": machines, "finish_by_s": 20, "cap": 2}
        fleet.simulator.announce_wave(wave)
        wait_for(
            lambda: all(m.wave == 1 for m in fleet.simulator.machine_by_name.values()),
            "the wave",
        )
        print(f"wave over {len(machines)} machines done, at most 2 at once")
        fleet.simulator.configure(configuration_document(fleet.service, 2, keys=()))
        withdrawn_at = time.monotonic()
        for name in survivors:
            wait_for(
                lambda name=name: fleet.call(name, "GET", "").status == 401,  # type: ignore[misc]
                f"{name} refuses the key",
            )
        took = time.monotonic() - withdrawn_at
        print(f"withdrawn key refused everywhere after {took:.2f} s")
    return 0


def _job_id(number: int) -> str:
    return f"{number:016x}"


def _job(work_ms: int) -> dict[str, object]:
    step = {"count": 3, "cpu": 500, "mem_mb": 10, "estimate_ms": work_ms}
    spec = json.dumps({"work_ms": work_ms})
    return {"spec": spec, "phases": [step, {**step, "depends_on": [0]}]}


def _check_each_task_ran_once(fleet: PlatformFleet) -> None:
    done = [e[2] for e in fleet.simulator.events if e[1] == "end" and e[5] == "done"]
    assert len(done) == len(set(done)), "a task was completed twice"
    print(f"{len(done)} tasks, each completed once")


if __name__ == "__main__":
    sys.exit(main())
