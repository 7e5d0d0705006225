"""A new owner acknowledges the ends of a job that it has not read yet."""

from __future__ import annotations

import time
from pathlib import Path

from standins.documents import configuration, job, job_id, step
from standins.rules import twice_breaks
from standins.web import Call
from standins.world import World, main

# One partition of a topic does not answer for this long.
DOWN_S = 4.5
# The tasks' durations: some end between the owner's death and the next one's polls.
WORK_MS = list(range(400, 1600, 40))
JOB = job_id(1)
SMALL_JOBS = 30


def is_accepted_jobs(call: Call) -> bool:
    """Return whether a call concerns the partition with the accepted jobs."""
    return (call.query.get("topic"), call.query.get("part")) == ("keyed.jobs", "0")


def play(world: World) -> list[str]:
    """Kill the owner while the store is partly down."""
    world.configure(configuration(1, {"jobs": "sorting"}))
    world.add_minions("sorting", 6)
    world.start_nodes("edge-1", "edge-2", "edge-3")
    time.sleep(2.0)
    owner = world.owner()
    assert owner is not None
    other = next(name for name in world.node_by_name if name != owner)
    small = job({"work_ms": 100}, step(1, 500, 200, 100))
    for number in range(SMALL_JOBS):
        assert world.submit(owner, f"/jobs/{job_id(2 + number)}", small)
        time.sleep(0.05)
    wide = job({"work_ms": WORK_MS}, step(len(WORK_MS), 500, 200, 800))
    assert world.submit(owner, f"/jobs/{JOB}", wide)
    if world.trouble:
        until = time.monotonic() + DOWN_S
        world.store.is_silent = lambda call: (
            is_accepted_jobs(call) and time.monotonic() < until
        )
        world.note("store partly down", partition="keyed.jobs 0", for_s=DOWN_S)
        time.sleep(0.1)
        world.kill(owner)
    end = time.monotonic() + 20
    while time.monotonic() < end:
        time.sleep(1.0)
        if world.request(other, "GET", f"/jobs/{JOB}").state == "done":
            break
    time.sleep(1.0)
    return list(twice_breaks(world.events))


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
