"""HARM: one order on pace gets no answer and is carried out eight seconds later."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

from standins import Minion, Record, Run, World, main, route

SERVING = "c0ffee0000001001"
FILLING = "c0ffee0000001002"
TARGET_MS = 100
HARM_S = 4.0
CONTACT_S = 3.0
# The dose of `applied_late` in the site file: x 0.055 of the orders to the minions for
# 5.5 s, which are some 20 here, so one order. It is carried out 2 to 12 s later.
DISRUPTION_S = 5.5
LATE_S = 8.0
LATE_PERCENT = 60
# A task's own tail and what tasks that fill at full pace add, in ms, under high load
# and under low load. The load is low for some seconds.
HIGH = 70.0, 100.0
LOW = 40.0, 15.0
LOW_FOR_S = 5.0
WATCH_S = 28.0


def case(world: World, record: Record, trouble: bool) -> int:
    """Let tasks fill beside tasks that serve, and watch the tails."""
    low_from = low_until = 0.0
    late: list[str] = []
    calm_from = 0.0

    def load(now: float) -> tuple[float, float]:
        return LOW if low_from <= now < low_until else HIGH

    def paces(minion: Minion) -> float:
        runs = minion.runs.values()
        return sum(r.pace for r in runs if r.task.startswith(FILLING))

    def measure(minion: Minion, run: Run, now: float) -> float:
        if run.task.startswith(SERVING):
            own, added = load(now)
            return round(own + added * paces(minion) / 100)
        return 10.0 * run.pace

    def fate(name: str, document: dict[str, Any]) -> float | None:
        if name != "pace" or late or time.monotonic() > low_from + DISRUPTION_S:
            return None
        if document["percent"] != LATE_PERCENT:
            return None
        late.append(document["task"])
        return LATE_S

    def late_done(*_: object) -> None:
        nonlocal calm_from
        calm_from = time.monotonic() + CONTACT_S

    world.late_done = late_done
    world.configure([route("sorting")], ["sorting"])
    for number in range(2):
        minion = world.add_minion(f"i-{number}", "sorting", f"r1-{number}")
        minion.measure = lambda run, now, minion=minion: measure(minion, run, now)
    for name in ("edge-1", "edge-2"):
        world.start_node(name)
    if not world.wait_until_ready():
        return 2
    time.sleep(2)
    spec = json.dumps({"steps": [{"lasts": True, "startup_s": 0.5}]})
    phase = {"count": 2, "cpu": 1000, "mem_mb": 1000, "long_running": True}
    serving = {**phase, "anti_affinity": 1, "image": "front", "target_ms": TARGET_MS}
    filling = {**phase, "anti_affinity": 1, "image": "scan", "fills": True}
    for job_id, each in ((SERVING, serving), (FILLING, filling)):
        document = {"spec": spec, "phases": [each]}
        if world.submit("edge-1", job_id, document) != 200:
            return 2
    time.sleep(6)
    low_from = time.monotonic()
    low_until = low_from + LOW_FOR_S
    record.add(f"the load is low for {LOW_FOR_S} s")
    if trouble:
        for minion in world.minions.values():
            minion.fate = fate
    over_since: dict[str, float] = {}
    longest: dict[str, float] = {}
    shown: dict[str, tuple[float, float]] = {}
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        time.sleep(0.02)
        now = time.monotonic()
        calm = calm_from and now >= calm_from if trouble else True
        with world.lock:
            for minion in world.minions.values():
                for run in minion.runs.values():
                    if not run.task.startswith(SERVING) or not run.at_work(now):
                        continue
                    tail, pace = measure(minion, run, now), paces(minion)
                    if shown.get(run.task) != (tail, pace):
                        shown[run.task] = tail, pace
                        text = f"{run.task} has a tail of {tail:.0f} ms of {TARGET_MS}"
                        record.add(f"{text}, {pace:.0f} % fill beside it")
                    harmed = tail > TARGET_MS >= load(now)[0] and pace > 0
                    if not (harmed and calm):
                        over_since.pop(run.task, None)
                        continue
                    span = now - over_since.setdefault(run.task, now)
                    longest[run.task] = max(longest.get(run.task, 0.0), span)
    if trouble and not calm_from:
        record.add("no order was carried out late")
        return 2
    for task, span in longest.items():
        record.add(f"{task} was over its target for {span:.1f} s on end, all calm")
    return 1 if any(span > HARM_S for span in longest.values()) else 0


if __name__ == "__main__":
    sys.exit(main(case, str(Path(__file__).parent)))
