"""LOST: one job of very many tasks keeps everybody's jobs from starting."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

from standins import Record, World, main, route

STEPS = 40
COUNT = 100_000
MINIONS = 4
CAPACITY = 16_000
SMALL_CPU = 500
SMALL_JOBS = 12
# The bounds of the rule.
LYING_S = 3.0
FINISH_S = 14.0


def job(steps: int, count: int, cpu: int, work_s: float) -> dict[str, Any]:
    """Return a job of equal steps that don't depend on each other."""
    spec = json.dumps({"steps": [{"work_s": work_s}] * steps})
    phase = {"count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": 1000}
    return {"spec": spec, "phases": [phase] * steps}


def case(world: World, record: Record, trouble: bool) -> int:
    """Hand in the large job among small ones, and ask for these."""
    world.configure([route("sorting")], ["sorting"])
    for number in range(MINIONS):
        world.add_minion(f"i-{number}", "sorting", f"r1-{number // 2}")
    for name in ("edge-1", "edge-2", "edge-3"):
        world.start_node(name)
    if not world.wait_until_ready():
        return 2
    time.sleep(2)
    # No minion has room for its tasks: it takes none from the others.
    large = job(STEPS, COUNT if trouble else 10, 2 * CAPACITY, 1.0)
    text = (
        f"{len(json.dumps(large))} bytes, {STEPS} steps of {COUNT if trouble else 10}"
    )
    record.add(f"the large job: {text}")
    accepted_at: dict[str, float] = {}
    lying_since: dict[str, float] = {}
    longest: dict[str, float] = {}

    def watch(span_s: float) -> None:
        until = time.monotonic() + span_s
        while (now := time.monotonic()) < until:
            with world.lock:
                used = sum(SMALL_CPU * len(runs) for runs in world.running.values())
                for job_id in accepted_at:
                    begun = f"{job_id}.0.0.0" in world.running
                    if begun or 2 * used >= MINIONS * CAPACITY:
                        lying_since.pop(job_id, None)
                        continue
                    since = lying_since.setdefault(job_id, now)
                    longest[job_id] = max(longest.get(job_id, 0.0), now - since)
            time.sleep(0.05)

    for number in range(SMALL_JOBS):
        if number == 4:
            world.submit("edge-1", "c0ffee00000007ff", large)
        job_id = f"c0ffee00000007{number:02x}"
        node = f"edge-{1 + number % 3}"
        if world.submit(node, job_id, job(1, 1, SMALL_CPU, 0.3)) == 200:
            accepted_at[job_id] = time.monotonic()
        watch(0.5)
    record.add("the traffic ends")
    watch(FINISH_S)
    # What the rule asks for begins here.
    record.add("jobs are asked for")
    lying_since.clear()
    longest.clear()
    watch(LYING_S + 1)
    for job_id in accepted_at:
        status, state = world.state("edge-3", job_id)
        lying = longest.get(job_id, 0.0)
        text = f"nothing of it ran for {lying:.1f} s, with room for it"
        record.add(f"consumer GET {job_id}: {status} {state}; {text}")
    owners = [e for e in world.events() if e["event"] == "ownership taken"]
    record.add(f"nodes that took the schedule over: {[e['node'] for e in owners]}")
    for node, peak_mb in world.peaks_mb().items():
        record.add(f"peak memory of {node}: {peak_mb} MB")
    lost = [j for j, span in longest.items() if span > LYING_S]
    if lost:
        record.add(f"LOST: {len(lost)} of {len(accepted_at)} accepted jobs lay idle")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main(case, str(Path(__file__).parent)))
