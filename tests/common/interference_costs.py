"""Measures the estimate of interference: ``python -m tests.common.interference_costs``.

Prints the size of the state and of the record by the number of images, and the CPU time
of placement rounds, samples and solutions. Times are the least of several repetitions.
"""

from __future__ import annotations

import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from geraniumshore_scheduler import InterferenceEstimator, Resources, Step
from tests.common.schedule_parts import Fleet, job

IMAGE_COUNTS = (2, 10, 100, 1_000, 10_000)
SAMPLES = 20_000
NEIGHBOURS = 5
REPEATS = 7
MINIONS = 60
IMAGES_IN_ROUND = 20
TASK = Resources(3_000, 2_000)


def learned(images: int) -> InterferenceEstimator:
    """Return an estimator after samples of random tasks, at 50 a second."""
    rng = random.Random(images)
    estimator = InterferenceEstimator()
    for number in range(SAMPLES):
        now = number / 50
        beside = (f"image-{rng.randrange(images)}" for _ in range(NEIGHBOURS))
        image = f"image-{rng.randrange(images)}"
        exposures = dict.fromkeys(beside, 1.0)
        estimator.observe(image, rng.uniform(0.2, 1.0), exposures, 0.25, now)
        estimator.solve(now)
    return estimator


def measure_state() -> None:
    """Print the sizes of the state and the record."""
    for images in IMAGE_COUNTS:
        tracemalloc.start()
        estimator = learned(images)
        state_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        record_bytes = len(estimator.to_record(SAMPLES / 50))
        print(f"{images} images: state {state_bytes} B, record {record_bytes} B")


def round_fleet(names: list[str], known: bool, jobs: int) -> Fleet:
    """Return a fleet with serving tasks, and jobs that wait."""
    fleet = Fleet(MINIONS)
    if known:
        rows = [
            {
                "image": index,
                "level": 0.4,
                "noise": 0.1,
                "weight": 50.0,
                "usual_s": 1.0,
                "effects": [[(index + n) % len(names), 0.3, 0.02] for n in (1, 2, 3)],
            }
            for index in range(len(names))
        ]
        record = {"version": 1, "images": names, "models": rows}
        fleet.scheduler.restore_interference(json.dumps(record).encode(), 0.0)
    for number in range(24):
        image = names[number % len(names)]
        size = Resources(500, 500)
        step = Step(2, size, lasting=True, image=image, tail_target_ms=100)
        fleet.add(job(f"{number + 10**6:016x}", step))
    fleet.plan()
    for number in range(jobs):
        image = names[number % len(names)]
        first = Step(8, TASK, 700, image=image)
        then = Step(8, TASK, 700, depends_on=(0,), image=image)
        fleet.add(job(f"{number:016x}", first, then))
    return fleet


def measure_rounds() -> None:
    """Print the CPU time of placement rounds with and without images."""
    names = [f"image-{n}" for n in range(IMAGES_IN_ROUND)]
    cases = {
        "no images": ([""], False),
        "images, nothing known": (names, False),
        "images, 60 pairs known": (names, True),
    }
    for jobs in (450, 20):
        for case, (images, known) in cases.items():
            first, further = [], []
            for _ in range(REPEATS):
                fleet = round_fleet(images, known, jobs)
                first.append(_cpu_s(partial(fleet.scheduler.plan, fleet.now, 0.0)))
                for _ in range(10):
                    fleet.now += 0.3
                    plan = partial(fleet.scheduler.plan, fleet.now, 0.0)
                    further.append(_cpu_s(plan))
            print(
                f"{jobs} jobs, {case}: first round {min(first) * 1e3:.2f} ms, "
                f"further ones {min(further) * 1e3:.2f} ms"
            )


def measure_learning() -> None:
    """Print the CPU time of a sample, a solution of eight models and a record."""
    estimator = learned(1_000)
    now = SAMPLES / 50
    exposures = {f"image-{n}": 1.0 for n in range(NEIGHBOURS)}
    sample = min(
        _cpu_s(lambda: estimator.observe("image-1", 0.5, exposures, 0.25, now))
        for _ in range(200)
    )
    times = (now + 2 * number for number in range(1, 20))
    solution = min(_cpu_s(partial(estimator.solve, at)) for at in times)
    record = min(_cpu_s(lambda: estimator.to_record(now + 60)) for _ in range(REPEATS))
    print(
        f"a sample {sample * 1e6:.0f} us, eight models {solution * 1e3:.2f} ms, "
        f"a record {record * 1e3:.2f} ms"
    )


def _cpu_s(call: Callable[[], object]) -> float:
    began = time.process_time()
    call()
    return time.process_time() - began


if __name__ == "__main__":
    # Earlier versions have no estimate, but rounds without images.
    if "--rounds" not in sys.argv:
        measure_state()
        measure_learning()
    measure_rounds()
