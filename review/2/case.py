"""A new owner reads the first 500 ends of a minion that lists more of them."""

from __future__ import annotations

import time
from pathlib import Path

from standins.documents import configuration, job, job_id, step
from standins.rules import twice_breaks
from standins.world import World, main

# The widest step that the site file has is one of 32 tasks.
WIDTH = 32
JOBS = 30
TASKS = WIDTH * JOBS
# Small tasks, so that one worker of 64 cores has room for all of them.
CPU, MEM_MB = 60, 250
# From the first job to the first end, and from there to the last one.
LENGTH_S, ENDS_S = 10.0, 0.8


def play(world: World) -> list[str]:
    """Kill the owner shortly before many small tasks end."""
    world.configure(configuration(1, {"jobs": "planner"}))
    world.add_minions("planner", 3, cpu=64_000, mem_mb=262_144)
    world.start_nodes("edge-1", "edge-2", "edge-3")
    time.sleep(2.0)
    owner = world.owner()
    assert owner is not None
    other = next(name for name in world.node_by_name if name != owner)
    ids = [job_id(number) for number in range(JOBS)]
    end_at = time.monotonic() + LENGTH_S
    for number, name in enumerate(ids):
        ends_at = end_at + ENDS_S * number / JOBS
        work_ms = int((ends_at - time.monotonic()) * 1000)
        narrow = job({"work_ms": work_ms}, step(WIDTH, CPU, MEM_MB, work_ms))
        assert world.submit(other, f"/jobs/{name}", narrow)
        time.sleep(0.1)
    world.wait(lambda: len(world.of_kind("start")) == TASKS, "all tasks run", 8)
    time.sleep(max(0.0, end_at - 0.1 - time.monotonic()))
    if world.trouble:
        world.kill(owner)
    end = time.monotonic() + 30
    open_jobs = list(ids)
    while open_jobs and time.monotonic() < end:
        time.sleep(0.5)
        if world.request(other, "GET", f"/jobs/{open_jobs[0]}").state == "done":
            open_jobs.pop(0)
    time.sleep(1.0)
    return list(twice_breaks(world.events))


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
