"""A lowered cap starves jobs whose tasks are over half of it."""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import World, config, run_case, wait_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CAPACITY = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
MINIONS = 6
CAP = 60_000
LOWERED_CAP = 8_000
QUOTA_OVERAGE = 0.1
CONFIG_APPLY_S = 2.0
FINISH_S = 14.0
IDLE_S = 3.0
# As `moisture-log`: tasks that last, on 1.6 cores.
LASTING = {
    "spec": json.dumps({"work_ms": 700}),
    "phases": [
        {
            "count": 2,
            "cpu": 1600,
            "mem_mb": 512,
            "estimate_ms": 700,
            "long_running": True,
        }
    ],
}
# As `kernel-sort`, whose tasks take up to 5.7 cores.
BATCH = {
    "spec": json.dumps({"work_ms": 2100}),
    "phases": [{"count": 2, "cpu": 5600, "mem_mb": 2700, "estimate_ms": 2100}],
}


def play(world: World) -> list[str]:
    """Play the case; return what broke the rule."""
    world.configure(config(["sorting"], cap_cpu=CAP))
    for number in range(MINIONS):
        world.add_machine(f"m{number}", "sorting", f"r{number % 2}", CAPACITY)
    for name in ("a", "b", "c"):
        world.start_node(name)
    for node in world.nodes.values():
        wait_for(node.ready, f"{node.name} is ready")
    wait_for(world.owner, "an owner")
    time.sleep(2)
    a, b, _ = world.nodes.values()
    if a.call("POST", f"{1:016x}", LASTING)[0] != 200:
        raise RuntimeError("the lasting job was not accepted")
    time.sleep(2)
    cap = CAP
    if TROUBLE:
        cap = LOWERED_CAP
        world.configure(config(["sorting"], version=3, cap_cpu=cap))
        world.calls.append(f"{world.now():8.3f} config 3: cap {cap}")
    time.sleep(CONFIG_APPLY_S + 1)
    accepted = []
    for number in range(2, 6):
        job_id = f"{number:016x}"
        if b.call("POST", job_id, BATCH)[0] == 200:
            accepted.append(job_id)
        time.sleep(0.5)
    time.sleep(FINISH_S)
    asked_at = world.now()
    used = sum(
        world.steps_by_job[event[2].split(".")[0]][0]["cpu"]
        * (1 if event[1] == "start" else -1)
        for event in world.events
        if event[1] in ("start", "end")
    )
    findings = []
    for job_id in accepted:
        status, answer = b.call("GET", job_id)
        own = [e for e in world.events if e[2].startswith(job_id)]
        idle_s = asked_at - max((e[0] for e in own), default=0.0)
        if answer.get("state") == "done" or idle_s <= IDLE_S:
            continue
        if used * 2 >= min(cap, MINIONS * CAPACITY["cpu"]):
            continue
        findings.append(
            f"LOST {job_id} is {answer.get('state')} ({status}) {FINISH_S:.0f} s after "
            f"the end of the traffic, and none of its tasks runs; its tenant has "
            f"{used} of {cap} milli-cores running, one task more would make "
            f"{used + 5600}, QUOTA lets it have {int(cap * (1 + QUOTA_OVERAGE))} and "
            f"one task more; the minions have {MINIONS * CAPACITY['cpu']}"
        )
    return findings


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
