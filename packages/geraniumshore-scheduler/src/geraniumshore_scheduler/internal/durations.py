"""Learns by how much the declared durations of tasks differ from the measured ones.

For each queue and step number, and for each image, the ratio of measured to declared
duration is kept as a histogram whose weights decay. Its median corrects declarations
where the evidence shows that they are biased.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from geraniumshore_scheduler.internal.model import Step

__all__ = [
    "MAX_BIN",
    "MAX_CORRECTION",
    "MAX_ENTRIES",
    "MAX_EVIDENCE",
    "RECORDED_QUANTILES",
    "DeclaredDurations",
    "DurationEstimates",
    "DurationKey",
    "LearnedDuration",
    "LearnedDurations",
]

MS_PER_S = 1000.0
# Entries for queues and steps, and as many for images: a job whose steps name many
# images must not evict the entries of queues.
MAX_ENTRIES = 256
# Callers choose the names of images. Longer ones would fill the record and the memory.
MAX_IMAGE_LENGTH = 200
# Steps of a job from this number on share an entry, as a job may have 1,000 steps.
LAST_STEP_NUMBER = 15
# Bins per octave of the ratio, and the range of bins: ratios from 1/32 to 32.
BINS_PER_OCTAVE = 8
MAX_BIN = 5 * BINS_PER_OCTAVE
# Idle queues keep most of their evidence from one burst to the next.
HALF_LIFE_S = 600.0
# Evidence is counted in steps of jobs. The limit lets a busy queue follow a change of
# its durations within some 45 steps.
MAX_EVIDENCE = 64.0
# Below this evidence the declaration holds.
MIN_EVIDENCE = 3.0
# Weights in the shrinkage: the evidence that is worth as much as the declaration if the
# ratios do not vary, and the deviation of a typical bias, in octaves.
BASE_PRIOR_EVIDENCE = 1.0
PRIOR_DEVIATION_OCTAVES = 1.0
# A median within this many standard errors of the declaration is no bias. With two,
# 7 % of the queues that varied without bias were corrected.
SIGNIFICANT_ERRORS = 3.0
# Of a normal distribution: quartile distance per deviation, and the standard error of
# the median per deviation of the values.
QUARTILES_PER_DEVIATION = 1.35
MEDIAN_ERROR_FACTOR = 1.25
# A job is useless to its caller after three times its objective, which is at least its
# declared work. With a larger correction a job could go last from its arrival on.
MAX_CORRECTION = 3.0
# Interval between updates of the biases in use, and between those of entries whose
# evidence only decays.
REFRESH_INTERVAL_S = 1.0
DECAY_INTERVAL_S = 30.0
# A smaller correction or change of one, in octaves, is not noticeable (5 %).
NOTICEABLE_OCTAVES = 0.07
# An entry is recorded as this many quantiles.
RECORDED_QUANTILES = 10
# Entries with less evidence are not worth their place in the record.
MIN_RECORDED_EVIDENCE = 0.5


class DurationKey(NamedTuple):
    """What an entry is kept for: a step of a queue, or an image.

    ``image`` is empty for a step of a queue; ``queue`` is empty for an image.
    """

    queue: str
    step: int
    image: str

    @classmethod
    def of_step(cls, queue: str, number: int) -> DurationKey:
        """Return the key of a step of the jobs of a queue."""
        return cls(queue, min(number, LAST_STEP_NUMBER), "")

    @classmethod
    def of_image(cls, image: str) -> DurationKey:
        """Return the key of an image."""
        return cls("", 0, image)


class LearnedDuration(NamedTuple):
    """An entry as it is recorded: its evidence and quantiles of its ratio, in bins."""

    key: DurationKey
    evidence: float
    bins: tuple[int, ...]


class DurationEstimates(ABC):
    """Estimates how long tasks take. Estimates change only with ``revision``."""

    revision: int = 0

    @abstractmethod
    def estimate_s(self, queue: str, number: int, step: Step) -> float:
        """Return the estimated duration of a task of a queue's step in seconds."""


class DeclaredDurations(DurationEstimates):
    """Takes the declared durations as they are; the baseline for comparisons."""

    def estimate_s(self, queue: str, number: int, step: Step) -> float:
        """Return the declared duration."""
        return step.estimate_ms / MS_PER_S


class _Bias(NamedTuple):
    """The median ratio in octaves, its standard error, and its weight."""

    median: float
    error: float
    trust: float

    def correct(self, prior: float) -> float:
        """Return a prior ratio in octaves, corrected as far as the evidence reaches."""
        distance = self.median - prior
        if abs(distance) <= SIGNIFICANT_ERRORS * self.error:
            return prior
        return prior + self.trust * distance

    def differs(self, other: _Bias | None) -> bool:
        """Return whether the change from another one is noticeable."""
        if other is None:
            return True
        changes = (self.correct(prior) - other.correct(prior) for prior in (-1, 0, 1))
        return max(map(abs, changes)) >= NOTICEABLE_OCTAVES


@dataclass(slots=True)
class _Histogram:
    """Weighted ratios of measured to declared durations, by logarithmic bin."""

    observed_at: float
    evidence: float = 0.0
    weight_by_bin: dict[int, float] = field(default_factory=dict)

    def add(self, bin_number: int, weight: float, now: float) -> None:
        scale = self._decay(now)
        kept = self.evidence * scale
        if kept + weight > MAX_EVIDENCE:
            scale *= (MAX_EVIDENCE - weight) / kept
        for number in self.weight_by_bin:
            self.weight_by_bin[number] *= scale
        old = self.weight_by_bin.get(bin_number, 0.0)
        self.weight_by_bin[bin_number] = old + weight
        self.evidence = self.evidence * scale + weight
        self.observed_at = now

    def evidence_at(self, now: float) -> float:
        return self.evidence * self._decay(now)

    def quantiles(self, shares: Iterable[float]) -> Iterator[float]:
        """Yield quantiles of the ratio in octaves; ``shares`` must ascend."""
        bins = iter(sorted(self.weight_by_bin.items()))
        number, weight = next(bins)
        below = 0.0
        for share in shares:
            wanted = share * self.evidence
            while below + weight < wanted:
                following = next(bins, None)
                if following is None:
                    break
                below += weight
                number, weight = following
            within = min(1.0, (wanted - below) / weight) if weight else 0.5
            yield (number - 0.5 + within) / BINS_PER_OCTAVE

    def summary(self, now: float) -> _Bias | None:
        """Return the bias that the ratios show, or None without enough evidence."""
        evidence = self.evidence_at(now)
        if evidence < MIN_EVIDENCE:
            return None
        low, median, high = self.quantiles((0.25, 0.5, 0.75))
        deviation = (high - low) / QUARTILES_PER_DEVIATION
        error = MEDIAN_ERROR_FACTOR * deviation / math.sqrt(evidence)
        noise = MEDIAN_ERROR_FACTOR * deviation / PRIOR_DEVIATION_OCTAVES
        trust = evidence / (evidence + BASE_PRIOR_EVIDENCE + noise * noise)
        return _Bias(median, error, trust)

    def _decay(self, now: float) -> float:
        return math.exp2(min(0.0, self.observed_at - now) / HALF_LIFE_S)


class LearnedDurations(DurationEstimates):
    """Corrects declared durations by what was measured. Not thread-safe."""

    def __init__(self) -> None:
        self.revision = 0
        # By step of a queue and by image, the least recently used first.
        self._steps: OrderedDict[DurationKey, _Histogram] = OrderedDict()
        self._images: OrderedDict[DurationKey, _Histogram] = OrderedDict()
        # The biases in use.
        self._bias_by_key: dict[DurationKey, _Bias] = {}
        self._changed: set[DurationKey] = set()
        self._refreshed_at = -math.inf
        self._decayed_at = -math.inf

    def __len__(self) -> int:
        return len(self._steps) + len(self._images)

    @property
    def correction_by_key(self) -> dict[DurationKey, float]:
        """The factors by which declarations are corrected, as far as they are not 1."""
        factor_by_key = {
            key: _factor(bias.correct(0.0)) for key, bias in self._bias_by_key.items()
        }
        return {key: factor for key, factor in factor_by_key.items() if factor != 1}

    def estimate_s(self, queue: str, number: int, step: Step) -> float:
        """Return the declared duration, corrected by the biases in use."""
        declared_s = step.estimate_ms / MS_PER_S
        if not self._bias_by_key:
            return declared_s
        octaves = 0.0
        bias = self._bias_by_key.get(DurationKey.of_step(queue, number))
        if bias is not None:
            octaves = bias.correct(0.0)
        if step.image:
            bias = self._bias_by_key.get(DurationKey.of_image(step.image))
            if bias is not None:
                octaves = bias.correct(octaves)
        return declared_s * _factor(octaves)

    def observe(
        self, queue: str, number: int, step: Step, measured_s: float, now: float
    ) -> bool:
        """Record how long a task took; return whether it could be compared."""
        declared_s = step.estimate_ms / MS_PER_S
        if declared_s <= 0 or measured_s <= 0 or step.lasting:
            return False
        octaves = math.log2(measured_s / declared_s)
        bin_number = max(-MAX_BIN, min(MAX_BIN, round(octaves * BINS_PER_OCTAVE)))
        # The tasks of a step share the error of its declaration.
        weight = 1.0 / step.count
        self._add(DurationKey.of_step(queue, number), bin_number, weight, now)
        if step.image:
            self._add(DurationKey.of_image(step.image), bin_number, weight, now)
        return True

    def refresh(self, now: float) -> None:
        """Put biases into use that have changed noticeably, at intervals."""
        if now < self._refreshed_at + REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        if now >= self._decayed_at + DECAY_INTERVAL_S:
            self._decayed_at = now
            self._changed.update(self._steps, self._images)
        changed, self._changed = self._changed, set()
        noticeable = [key for key in changed if self._update(key, now)]
        if noticeable:
            self.revision += 1

    def to_record(self, now: float) -> Iterator[LearnedDuration]:
        """Yield the entries, the most recently used ones first."""
        entries = [
            entry
            for entry in (*self._steps.items(), *self._images.items())
            if entry[1].evidence_at(now) >= MIN_RECORDED_EVIDENCE
        ]
        entries.sort(key=lambda entry: entry[1].observed_at, reverse=True)
        shares = [(n + 0.5) / RECORDED_QUANTILES for n in range(RECORDED_QUANTILES)]
        for key, histogram in entries:
            bins = (
                round(octaves * BINS_PER_OCTAVE)
                for octaves in histogram.quantiles(shares)
            )
            yield LearnedDuration(
                key, round(histogram.evidence_at(now), 2), tuple(bins)
            )

    def restore(self, entries: Iterable[LearnedDuration], now: float) -> None:
        """Load what a former owner recorded, the most recently used entries first."""
        for key, evidence, bins in reversed(list(entries)):
            for bin_number in bins:
                number = max(-MAX_BIN, min(MAX_BIN, bin_number))
                weight = min(evidence, MAX_EVIDENCE) / len(bins)
                self._add(key, number, weight, now)
        self._refreshed_at = -math.inf
        self.refresh(now)

    def _add(
        self, key: DurationKey, bin_number: int, weight: float, now: float
    ) -> None:
        if len(key.image) > MAX_IMAGE_LENGTH:
            return
        histograms = self._images if key.image else self._steps
        histogram = histograms.get(key)
        if histogram is None:
            histogram = histograms[key] = _Histogram(now)
            if len(histograms) > MAX_ENTRIES // 2:
                evicted, _ = histograms.popitem(last=False)
                self._bias_by_key.pop(evicted, None)
                self._changed.discard(evicted)
        else:
            histograms.move_to_end(key)
        histogram.add(bin_number, weight, now)
        self._changed.add(key)

    def _update(self, key: DurationKey, now: float) -> bool:
        """Put an entry's bias into use; return whether it changed noticeably."""
        bias = (self._images if key.image else self._steps)[key].summary(now)
        used = self._bias_by_key.get(key)
        if bias is None:
            return self._bias_by_key.pop(key, None) is not None
        if not bias.differs(used):
            return False
        self._bias_by_key[key] = bias
        return True


def _factor(octaves: float) -> float:
    """Return the correction for a ratio; small ones are not worth a change."""
    if abs(octaves) < NOTICEABLE_OCTAVES:
        return 1.0
    return float(max(1 / MAX_CORRECTION, min(MAX_CORRECTION, 2.0**octaves)))
