"""A consumer cancels a job that got no answer; the job runs to its end all the same."""

from __future__ import annotations

import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from world import BOUNDS, Node, World, config, run_case, wait_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The dose of breekhal-noord: one machine, for 4 s.
FREEZE_S = 4.0
TIME_BUDGET_S = 3.0
CANCEL_S = 3.0
STOP_S = BOUNDS["stop_ms"] / 1000
CONTACT_S = 3.0
CAPACITY = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
# As `kernel-sort`: 2 steps of 8 tasks of 2.1 s.
TWO_STEPS = {
    "spec": json.dumps({"work_ms": 2100}),
    "phases": [
        {"count": 8, "cpu": 1900, "mem_mb": 512, "estimate_ms": 2100},
        {
            "count": 8,
            "cpu": 1900,
            "mem_mb": 512,
            "estimate_ms": 2100,
            "depends_on": [0],
        },
    ],
}
# As `moisture-log`: 5 tasks that last.
LASTING = {
    "spec": json.dumps({"work_ms": 700}),
    "phases": [
        {
            "count": 5,
            "cpu": 1500,
            "mem_mb": 512,
            "estimate_ms": 700,
            "long_running": True,
        }
    ],
}


class Consumer(threading.Thread):
    """Hands a job in; without an answer it gives up, and cancels at another node."""

    def __init__(self, job_id: str, document: object, first: Node, other: Node) -> None:
        super().__init__(daemon=True)
        self.job_id, self.document = job_id, document
        self.first, self.other = first, other
        self.cancelled_at: float | None = None

    def run(self) -> None:
        """Hand the job in, wait for the time budget, then cancel."""
        self.first.call("POST", self.job_id, self.document, timeout=TIME_BUDGET_S)
        status, _ = self.other.call("DELETE", self.job_id)
        if status == 410 or 200 <= status < 300:
            self.cancelled_at = self.first.world.now()


def play(world: World) -> list[str]:
    """Play the case; return what broke the rule."""
    world.configure(config(["sorting"]))
    for number in range(6):
        world.add_machine(f"m{number}", "sorting", f"r{number % 2}", CAPACITY)
    for name in ("a", "b", "c"):
        world.start_node(name)
    for node in world.nodes.values():
        wait_for(node.ready, f"{node.name} is ready")
    wait_for(world.owner, "an owner")
    time.sleep(CONTACT_S + 1)
    first, other = (n for name, n in world.nodes.items() if name != world.owner())
    consumers = [
        Consumer(f"{number:016x}", document, first, other)
        for number, document in enumerate([TWO_STEPS, LASTING], 1)
    ]
    if TROUBLE:
        first.signal(signal.SIGSTOP)
        world.note("freeze", first.name, 0, "")
    frozen_at = world.now()
    for consumer in consumers:
        consumer.start()
    time.sleep(max(0.0, frozen_at + FREEZE_S - world.now()))
    if TROUBLE:
        first.signal(signal.SIGCONT)
        world.note("wake", first.name, 0, "")
    calm_from = world.now() + CONTACT_S
    for consumer in consumers:
        consumer.join()
    time.sleep(12)
    findings = []
    for consumer in consumers:
        at = consumer.cancelled_at
        if at is None:
            raise RuntimeError("a cancellation got no answer")
        own = [e for e in world.events if e[2].startswith(consumer.job_id)]
        late = [e for e in own if e[1] == "start" and e[0] > at + CANCEL_S]
        findings += [
            f"UNASKED {e[2]} run {e[3]} starts {e[0] - at:.2f} s after the cancelling "
            f"of its job was acknowledged"
            for e in late
        ]
        gone_by = max(at + CANCEL_S + STOP_S, calm_from)
        runs = {(e[2], e[3]): e[0] for e in own if e[1] == "start"}
        ends = {(e[2], e[3]): e[0] for e in own if e[1] == "end"}
        findings += [
            f"UNASKED {task} run {run} still runs {gone_by - at:.2f} s after the "
            f"cancelling of its job was acknowledged, "
            f"ends {ends.get((task, run), 'not at all')}"
            for (task, run), begun in runs.items()
            if begun < gone_by < ends.get((task, run), gone_by + 1)
        ]
        other.call("GET", consumer.job_id)
    return findings


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
