"""MIXED: jobs that wait for room, of which none has begun, are missing in `pending`."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

from standins import Record, World, main, route

MINIONS = 7
# A share of 0.14 of the minions is lost for good: one of seven.
SHARE = 0.14
WAITING = 3
VISIBLE_S = 3.0
WATCH_S = 8.0


def document(cpu: int, work_s: float) -> dict[str, object]:
    """Return a job of one task."""
    spec = json.dumps({"steps": [{"work_s": work_s}]})
    phase = {"count": 1, "cpu": cpu, "mem_mb": 100, "estimate_ms": int(work_s * 1000)}
    return {"spec": spec, "phases": [phase]}


def case(world: World, record: Record, trouble: bool) -> int:
    """Lose the minion that has the only room as jobs come, and ask for `pending`."""
    world.configure([route("sorting")], ["sorting"])
    for number in range(MINIONS):
        world.add_minion(f"i-{number}", "sorting", f"r1-{number // 4}")
    for name in ("edge-1", "edge-2"):
        world.start_node(name)
    if not world.wait_until_ready():
        return 2
    time.sleep(2)
    for number in range(MINIONS - 1):
        if world.submit("edge-1", f"c0ffee0000001a{number:02x}", document(16_000, 90)):
            time.sleep(0.1)
    time.sleep(1)
    full = {runs[0][0] for runs in world.running.values() if runs}
    roomy = [m for m in world.minions.values() if m.name not in full]
    if len(roomy) != round(SHARE * MINIONS):
        return 2
    # Short jobs, as they come all the time.
    for number in range(6):
        world.submit("edge-1", f"c0ffee0000001b{number:02x}", document(1_000, 0.5))
    time.sleep(1.2)
    ids = [f"c0ffee0000001c{number:02x}" for number in range(WAITING)]
    if trouble:
        record.add(f"{roomy[0].name} loses power for good")
        roomy[0].crash_dark()
    for job_id in ids:
        if world.submit("edge-1", job_id, document(1_000, 0.5)) != 200:
            return 2
    accepted_at = time.monotonic()
    wrong = 0
    while time.monotonic() < accepted_at + VISIBLE_S + 2 + WATCH_S:
        time.sleep(0.5)
        late = time.monotonic() - accepted_at > VISIBLE_S + 2
        waiting = sum(f"{job_id}.0.0.0" not in world.running for job_id in ids)
        status, pending = world.pending(
            "edge-2",
        )
        record.add(f"{waiting} jobs have not begun; GET /jobs/: {status} {pending}")
        if late and status == 200 and pending is not None and 2 * pending < waiting:
            wrong += 1
    states = [world.state("edge-2", job_id) for job_id in ids]
    record.add(f"their states: {states}")
    if wrong:
        record.add(f"MIXED: {wrong} times `pending` was under half of them")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(case, str(Path(__file__).parent)))
