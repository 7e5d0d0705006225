"""One job with very many occurrences makes every node hang."""

from __future__ import annotations

import time
from pathlib import Path

from standins.documents import configuration, job, job_id, step
from standins.world import World, main

# Each second for ten years, against each second for a minute.
MANY, FEW = 10 * 365 * 24 * 3600, 60
INTERVAL_MS = 1_000
FINISH_S = 14.0
STATE_TRIES = 5


def play(world: World) -> list[str]:
    """Submit a job with many occurrences after some ordinary ones."""
    world.configure(configuration(1, {"jobs": "sorting"}))
    world.add_minions("sorting", 6)
    world.start_nodes("edge-1", "edge-2", "edge-3")
    time.sleep(2.0)
    ordinary = job({"work_ms": 500}, step(2, 500, 200, 500))
    ids = [job_id(number) for number in range(1, 5)]
    for name in ids:
        assert world.submit("edge-1", f"/jobs/{name}", ordinary)
    timed = job(
        {"work_ms": 300},
        step(1, 500, 200, 300),
        times=MANY if world.trouble else FEW,
        first_ms=int(time.time() * 1000) + 1_000,
        interval_ms=INTERVAL_MS,
    )
    ids.append(job_id(0))
    world.submit("edge-2", f"/jobs/{ids[-1]}", timed)
    # The traffic has ended. After finish_s the jobs are asked for, with retries at
    # other nodes.
    time.sleep(FINISH_S)
    broken = []
    nodes = list(world.node_by_name)
    for number, name in enumerate(ids):
        for attempt in range(STATE_TRIES):
            node = nodes[(number + attempt) % len(nodes)]
            if world.request(node, "GET", f"/jobs/{name}").status == 200:
                break
        else:
            broken.append(f"LOST {name} gets no answer in {STATE_TRIES} tries of 3 s")
    return broken


if __name__ == "__main__":
    main(str(Path(__file__).parent), play)
