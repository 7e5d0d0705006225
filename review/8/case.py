"""LOST: a gang that failed once, and may fail four times, is shown as failed."""

from __future__ import annotations

import json
import sys
import time
from collections import defaultdict
from pathlib import Path

from standins import Minion, Record, Run, World, main, route

MINIONS = 12
JOBS = 12
MEMBERS = 4
MAX_ATTEMPTS = 4
# The dose of `srv_grey` with `errors` in the site file: a share of 0.085 of the
# minions, x 1.0, for 6.5 s.
SHARE = 0.085
GREY_S = 6.5
FINISH_S = 14.0


def case(world: World, record: Record, trouble: bool) -> int:
    """Hand in gangs while one minion fails all that it starts; ask for their states."""
    failed_runs: dict[str, set[int]] = defaultdict(set)

    def ended(minion: Minion, run: Run, how: str, now: float) -> None:
        if how == "failed":
            failed_runs[run.task.partition(".")[0]].add(run.number)

    world.ended = ended
    world.configure([route("sorting", MAX_ATTEMPTS)], ["sorting"])
    for number in range(MINIONS):
        world.add_minion(f"i-{number:02}", "sorting", f"r1-{number // 4}")
    for name in ("edge-1", "edge-2"):
        world.start_node(name)
    if not world.wait_until_ready():
        return 2
    time.sleep(2)
    harmed = list(world.minions.values())[: round(SHARE * MINIONS)]
    if trouble:
        for minion in harmed:
            record.add(f"{minion.name} fails all that it starts, for {GREY_S} s")
            minion.fails_all = True
    grey_until = time.monotonic() + GREY_S
    steps = [{"work_s": 1.0, "gang": MEMBERS}]
    phase = {"count": MEMBERS, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 1000}
    document = {
        "spec": json.dumps({"steps": steps}),
        "phases": [{**phase, "gang": True}],
    }
    ids = [f"c0ffee00000008{number:02x}" for number in range(JOBS)]
    for job_id in ids:
        if world.submit("edge-1", job_id, document) != 200:
            return 2
        time.sleep(0.1)
    time.sleep(max(0.0, grey_until - time.monotonic()))
    for minion in harmed:
        minion.fails_all = False
    record.add("all minions are sound again")
    time.sleep(FINISH_S)
    broken = False
    for job_id in ids:
        status, state = world.state("edge-2", job_id)
        runs = sorted(failed_runs[job_id])
        text = (
            f"consumer GET {job_id}: {status} {state}; failed runs of its gang: {runs}"
        )
        record.add(text)
        if state == "failed" and len(runs) < MAX_ATTEMPTS:
            broken = True
            times = f"{len(runs)} of {MAX_ATTEMPTS} times"
            record.add(f"LOST: {job_id} is shown as failed; its gang failed {times}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(case, str(Path(__file__).parent)))
