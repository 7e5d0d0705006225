"""A long-running task that ends ``done`` is never started again."""

from __future__ import annotations

import time
from pathlib import Path

from standins.documents import configuration, job, job_id, step
from standins.world import World, main

JOB = job_id(1)
TASKS = 3
# How long a task works before it ends by itself.
WORK_MS = 4_000
# The rule holds from 6 s after a task's last run, for 3 s and the 4 s before them.
BOUND_S = 6.0 + 3.0 + 4.0


def play(world: World) -> list[str]:
    """Let the tasks of a long-running job end: ``done``, or else ``failed``."""
    world.configure(configuration(1, {"jobs": "sorting"}))
    workers = world.add_minions("sorting", 6)
    world.start_nodes("edge-1", "edge-2", "edge-3")
    time.sleep(2.0)
    how = "done" if world.trouble else "failed"
    lasting = step(TASKS, 1_300, 3_400, 0, long_running=True, may_miss=1)
    plan = {"work_ms": WORK_MS, "how": how}
    assert world.submit("edge-1", f"/jobs/{JOB}", job(plan, lasting))
    time.sleep(WORK_MS / 1000 + BOUND_S + 5.0)
    state = world.request("edge-2", "GET", f"/jobs/{JOB}").state
    running = {task for worker in workers for task in worker.run_by_task}
    broken = []
    for number in range(TASKS):
        task = f"{JOB}.0.0.{number}"
        ends = [event for event in world.of_kind("end") if event.task == task]
        idle_s = world.now() - max(event.at for event in ends)
        if task not in running and idle_s > BOUND_S:
            broken.append(
                f"LOST {task} ended {ends[-1].how} {idle_s:.1f} s ago and was not "
                f"started again; its job, not cancelled, is shown as {state}"
            )
    return broken


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
