"""What the scheduler learns of images whose tasks slow each other down.

The load is that of Part 6 of docs/design/README.md: serving tasks beside changing sets
of fillers, each reported once per second with 15 % of noise.
"""

from __future__ import annotations

import json
import math
import random

import pytest

from geraniumshore_scheduler import (
    INTERFERENCE_KEY,
    Effect,
    ImagePair,
    InterferenceEstimator,
    InvalidInputError,
    JobRegistry,
)
from geraniumshore_scheduler.internal.interference import (
    MAX_MODELS,
    MAX_NEIGHBOURS,
    MAX_RECORD_BYTES,
    PRIOR_DEVIATION,
)

WEB_SCAN = ImagePair("web", "scan")
NOISE = 0.15


class Learning:
    """An estimator with one sample of each serving image per second."""

    def __init__(self, seed: int = 1) -> None:
        self.estimator = InterferenceEstimator()
        self.effect_by_pair = {WEB_SCAN: 0.6}
        self.now = 0.0
        self.rng = random.Random(seed)

    def value(self, image: str, beside: list[str]) -> float:
        effects = (
            self.effect_by_pair.get(ImagePair(image, other), 0.0) for other in beside
        )
        return max(0.01, 0.4 + sum(effects) + self.rng.gauss(0.0, NOISE))

    def run(self, seconds: int, wrong_share: float = 0.0) -> None:
        for _ in range(seconds):
            self.now += 1.0
            for image in ("web", "api"):
                beside = [
                    i for i in ("scan", "build", "mail") if self.rng.random() < 0.5
                ]
                value = self.value(image, beside)
                if self.rng.random() < wrong_share:
                    value = self.rng.choice([math.nan, 0.0, -5.0, math.inf, 1e12])
                exposures = dict.fromkeys(beside, 1.0)
                self.estimator.observe(image, value, exposures, 0.25, self.now)
            self.estimator.solve(self.now)

    @property
    def detected(self) -> set[ImagePair]:
        return {pair for pair, _ in self.estimator.detected()}


@pytest.mark.parametrize("seed", range(5))
def test_the_image_that_slows_another_is_found_among_others(seed):
    """Guards against blame of images that only happen to be there as well."""
    learning = Learning(seed)
    learning.run(120)
    assert learning.detected == {WEB_SCAN}
    effect = learning.estimator.effect(WEB_SCAN)
    assert effect.size == pytest.approx(0.6, abs=0.2)
    assert 0.0 < effect.uncertainty < 0.15
    assert learning.estimator.losses("scan").keys() == {"web"}
    assert learning.estimator.losses("build") == {}


def test_without_evidence_no_interference_is_assumed():
    assert InterferenceEstimator().effect(WEB_SCAN) == Effect(0.0, PRIOR_DEVIATION)


def test_an_image_that_is_always_there_is_not_blamed():
    """Guards against certainty where nothing tells the image from its neighbour."""
    estimator = InterferenceEstimator()
    for second in range(300):
        estimator.observe("web", 1.5, {"scan": 1.0}, 0.25, float(second))
        estimator.solve(float(second))
    assert list(estimator.detected()) == []
    assert estimator.effect(WEB_SCAN).uncertainty > 0.4


def test_interference_that_moves_to_another_image_is_followed():
    """Guards against evidence that outlives a change of the images."""
    learning = Learning()
    learning.run(120)
    moved = ImagePair("web", "mail")
    learning.effect_by_pair = {moved: 0.6}
    learning.run(240)
    assert learning.detected == {moved}


def test_evidence_decays_without_new_reports():
    """Guards against old evidence that stays certain for good."""
    learning = Learning()
    learning.run(120)
    learning.now += 600.0
    learning.estimator.solve(learning.now)
    assert learning.detected == set()
    assert learning.estimator.effect(WEB_SCAN).uncertainty > 0.4


def test_wrong_and_missing_reports_blame_nobody():
    """Guards against single absurd figures that decide where tasks run."""
    learning = Learning()
    learning.run(240, wrong_share=0.1)
    assert learning.detected == {WEB_SCAN}
    learning.effect_by_pair = {}
    learning.run(600, wrong_share=0.1)
    assert learning.detected == set()


def test_ten_thousand_images_stay_within_the_bounds():
    """Guards against a state or a record that grows with the number of images."""
    learning = Learning()
    rng = random.Random(4)
    for second in range(400):
        learning.now = float(second)
        for _ in range(25):
            image, *beside = (f"image-{rng.randrange(10_000)}" for _ in range(6))
            exposures = dict.fromkeys(beside, 1.0)
            learning.estimator.observe(image, rng.random(), exposures, 1.0, second)
        others = [f"image-{rng.randrange(10_000)}" for _ in range(6)]
        beside = ["scan", *others] if rng.random() < 0.5 else others
        exposures = dict.fromkeys(beside, 1.0)
        value = learning.value("web", beside)
        learning.estimator.observe("web", value, exposures, 0.25, second)
        learning.estimator.solve(second)
    assert WEB_SCAN in learning.detected
    models = learning.estimator._model_by_image
    assert len(models) <= MAX_MODELS
    assert all(len(m.admitted_at_by_image) <= MAX_NEIGHBOURS for m in models.values())
    record = learning.estimator.to_record(learning.now)
    assert len(record) <= MAX_RECORD_BYTES
    restored = InterferenceEstimator.from_record(record, 0.0)
    assert WEB_SCAN in {pair for pair, _ in restored.detected()}


def test_a_record_carries_the_estimate_and_its_uncertainty():
    learning = Learning()
    learning.run(60)
    value = learning.estimator.to_record(learning.now)
    assert value == learning.estimator.to_record(learning.now)
    # Clocks of hosts differ, so the next owner counts from its own time.
    restored = InterferenceEstimator.from_record(value, 1e6)
    restored.solve(1e6)
    before, after = learning.estimator.effect(WEB_SCAN), restored.effect(WEB_SCAN)
    assert after.size == pytest.approx(before.size, abs=0.02)
    assert after.uncertainty == pytest.approx(before.uncertainty, rel=0.25)


def a_record(**changed: object) -> bytes:
    """Return a record of one model."""
    row: dict[str, object] = {"image": 0, "level": 1.0, "noise": 0.1, "weight": 1.0}
    row = {**row, "usual_s": 0.0, "effects": [], **changed}
    return json.dumps({"version": 1, "images": ["a"], "models": [row]}).encode()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff{",
        b"[]",
        b'{"version":2,"images":[],"models":[]}',
        b'{"images":[],"models":[]}',
        b'{"version":1,"images":["a"],"models":[[0,1]]}',
        a_record(image=7),
        a_record(noise=0.0),
        a_record(effects=[[1, 0.5, 0.1]]),
        a_record(effects=[[0, 0.5, -0.1]]),
    ],
)
def test_a_record_that_is_not_ours_is_rejected(value):
    InterferenceEstimator.from_record(a_record(), 0.0)
    with pytest.raises(InvalidInputError):
        InterferenceEstimator.from_record(value, 0.0)


def test_every_node_keeps_the_record_as_it_is():
    """Guards against nodes that cannot read the log for a record of a later version."""
    registry = JobRegistry()
    assert registry.fold(INTERFERENCE_KEY, b'{"version":9}', 1, 0.0) is None
    assert registry.learned_by_key == {INTERFERENCE_KEY: b'{"version":9}'}
