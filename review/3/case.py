"""A new owner never runs an occurrence of a job that waited at the hand-over."""

from __future__ import annotations

import time
from pathlib import Path

from standins.documents import configuration, job, job_id, step
from standins.world import World, main

# Workers as the site has them; one task of either job fills a worker.
WORKERS, WORKER_CPU, TASK_CPU = 16, 16_000, 9_000
OTHER_WORK_MS, WORK_MS = 28_000, 16_000
INTERVAL_MS = 1_500
OCCURRENCES = 3
OTHER_JOB, JOB = job_id(1), job_id(2)
# The worker says that it leaves 3 s before. A new one comes 6 s after it has left.
NOTICE_S = 3.0
SIGTERM_AFTER_S = 5.0
NEXT_WORKER_AFTER_S = 6.0
# finish_s of the site, and the 3 s of the rule.
FINISH_S = 14.0
IDLE_S = 3.0


def play(world: World) -> list[str]:
    """Empty the worker of the first occurrence, then stop the owner gracefully."""
    world.configure(configuration(1, {"jobs": "sorting"}))
    workers = world.add_minions("sorting", WORKERS, cpu=WORKER_CPU)
    world.start_nodes("edge-1", "edge-2", "edge-3")
    time.sleep(2.0)
    owner = world.owner()
    assert owner is not None
    others = [name for name in world.node_by_name if name != owner]
    other_step = step(WORKERS - 2, TASK_CPU, 500, OTHER_WORK_MS)
    other_job = job({"work_ms": OTHER_WORK_MS}, other_step)
    assert world.submit(others[0], f"/jobs/{OTHER_JOB}", other_job)
    world.wait(lambda: len(world.runs(OTHER_JOB)) == WORKERS - 2, "other work", 10)
    timed = job(
        {"work_ms": WORK_MS},
        step(1, TASK_CPU, 500, WORK_MS),
        times=OCCURRENCES,
        first_ms=int(time.time() * 1000) + 500,
        interval_ms=INTERVAL_MS,
    )
    assert world.submit(others[0], f"/jobs/{JOB}", timed)
    world.wait(lambda: len(world.runs(JOB)) == 2, "two occurrences run", 10)
    if world.trouble:
        leaving = next(w for w in workers if f"{JOB}.0.0.0" in w.run_by_task)
        world.note("worker drains", minion=leaving.minion_id, for_s=NOTICE_S)
        world.on_platform(lambda: leaving.drain(NOTICE_S))
        time.sleep(NOTICE_S + SIGTERM_AFTER_S)
        world.terminate(owner)
        time.sleep(NEXT_WORKER_AFTER_S - SIGTERM_AFTER_S)
        added = world.add_minions("sorting", 1, cpu=WORKER_CPU)
        world.note("worker comes", minion=added[0].minion_id)
    # The traffic has ended: nothing more is sent but questions for the state.
    end = time.monotonic() + 2 * WORK_MS / 1000 + FINISH_S + IDLE_S
    while time.monotonic() < end:
        if world.request(others[0], "GET", f"/jobs/{JOB}").state == "done":
            return []
        time.sleep(1.0)
    ends = [e for e in world.of_kind("end") if e.how == "done"]
    idle_s = world.now() - max(e.at for e in ends)
    done = {e.task.split(".")[1] for e in ends if e.task.startswith(f"{JOB}.")}
    state = world.request(others[1], "GET", f"/jobs/{JOB}").state
    return [
        f"LOST {JOB}: occurrence {k} has been due since the first seconds, all "
        f"workers have been free for {idle_s:.1f} s; state {state}"
        for k in range(OCCURRENCES)
        if str(k) not in done and idle_s >= FINISH_S
    ]


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
