"""Estimates how much tasks of one image slow tasks of another on the same minion.

Each image whose tasks can be measured has a linear model: the measured value is the
level of the image on its own plus, for each image beside it, an effect times the
exposure to that image. Values are relative: the tail latency to its target, or the run
time to that of usual runs. The effects have a Gaussian prior around zero, evidence
halves every ``EVIDENCE_HALF_LIFE_S``, and the uncertainty of an effect is the standard
deviation that remains, which takes into account images that always occur together.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from zlib import crc32

from pydantic import TypeAdapter, ValidationError

from geraniumshore_scheduler.errors import Finding, InvalidInputError

__all__ = [
    "MAX_RECORD_BYTES",
    "MIN_EFFECT",
    "NO_LOSSES",
    "Effect",
    "ImagePair",
    "InterferenceEstimator",
    "PairChange",
]

# Images change their load within seconds and their behaviour within minutes. Shorter
# half-lives leave too few batch runs to tell an effect from noise.
EVIDENCE_HALF_LIFE_S = 60.0
# Standard deviation of effects before any evidence: few images slow another by half.
PRIOR_DEVIATION = 0.5
# The noise before any evidence, and what that assumption weighs in samples.
PRIOR_NOISE = 0.5
PRIOR_NOISE_WEIGHT = 1.0
# Reports are rough, so samples that agree better than this are no more certain.
MIN_NOISE = 0.05
# Weight of the prior of the level, whose mean is unknown.
LEVEL_PRIOR_WEIGHT = 1e-3
# Larger values say no more than that a task suffers, or are wrong.
MAX_VALUE = 3.0
# The part of a target between the tail latency at which fillers are slowed and the
# target itself. Smaller effects change no decision on their own.
MIN_EFFECT = 0.1
# A detected effect counts until it is certain only of this, so that it does not
# alternate.
KEPT_EFFECT = 0.05
# The number of standard deviations by which an effect must exceed MIN_EFFECT.
CONFIDENCE = 2.0
# Bounds of the state. A solution of a model takes time cubic in its neighbours.
MAX_MODELS = 64
MAX_NEIGHBOURS = 12
MAX_EXPOSURE = 4.0
MAX_IMAGE_LENGTH = 200
# A neighbour without a detected effect is replaced by another once it has not been
# there for UNSEEN_S, or has been tracked for TRIAL_S. So evidence accumulates on those
# that are there often, and each of many gets its turn.
UNSEEN_S = 10.0
TRIAL_S = 60.0
# Models are solved at most this often, and a few of them at a time.
SOLVE_INTERVAL_S = 1.0
MAX_SOLVED_AT_ONCE = 8
# Sums grow with time instead of decaying, and are rescaled after this many half-lives.
MAX_HALF_LIVES = 30.0

RECORD_VERSION = 1
MAX_RECORD_BYTES = 32 * 1024
# Samples are at most MAX_VALUE, and those of an image come at most as often as polls.
MAX_RECORDED_VALUE = 100.0
MAX_RECORDED_WEIGHT = 1e6
# The part of the record that is neither an image name nor a row.
RECORD_OVERHEAD_BYTES = 100

# The name of the level among the terms of a model. No image is empty.
LEVEL = ""
NO_LOSSES: Mapping[str, float] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Effect:
    """How much a neighbour slows a task, relative to its target or usual run time.

    ``uncertainty`` is a standard deviation.
    """

    size: float = 0.0
    uncertainty: float = PRIOR_DEVIATION

    @property
    def certain_size(self) -> float:
        """The size that the effect exceeds with confidence."""
        return self.size - CONFIDENCE * self.uncertainty


@dataclass(frozen=True, order=True, slots=True)
class ImagePair:
    """An image whose tasks are slowed, and the one that slows them."""

    slowed: str
    by: str


@dataclass(frozen=True, slots=True)
class PairChange:
    """An effect that became certain, or no longer is."""

    pair: ImagePair
    effect: Effect
    detected: bool


@dataclass(frozen=True, slots=True)
class _ModelRow:
    """A model in a record; ``image`` is a position in the record's list of images."""

    image: int
    level: float
    noise: float
    weight: float
    usual_s: float
    effects: tuple[tuple[int, float, float], ...]


@dataclass(frozen=True, slots=True)
class _InterferenceRecord:
    """The summary of all models for the next owner."""

    version: int
    images: tuple[str, ...] = ()
    models: tuple[_ModelRow, ...] = ()


_RECORD = TypeAdapter(_InterferenceRecord)
_ROW = TypeAdapter(_ModelRow)
_IMAGE = TypeAdapter(str)
_VERSION = TypeAdapter(dict[str, object])


@dataclass(slots=True)
class _Model:
    """The model of one image: weighted sums of its samples, and its last solution.

    ``moments`` has the weighted sums of the products of two terms' exposures, by their
    sorted names, ``products`` those of an exposure and the value, ``squares`` those of
    the squared value. A sample at time t weighs 2 ^ ((t - origin) / half-life).
    """

    origin: float
    moments: dict[tuple[str, str], float] = field(default_factory=dict)
    products: dict[str, float] = field(default_factory=dict)
    squares: float = 0.0
    usual_s: float = 0.0
    noise: float = PRIOR_NOISE
    level: float = 0.0
    effect_by_image: dict[str, Effect] = field(default_factory=dict)
    admitted_at_by_image: dict[str, float] = field(default_factory=dict)
    seen_at_by_image: dict[str, float] = field(default_factory=dict)
    detected: set[str] = field(default_factory=set)
    sampled_at: float = 0.0
    solved_at: float = 0.0

    def scale(self, now: float) -> float:
        """Return what a sample at ``now`` weighs; rescale the sums when it is large."""
        half_lives = (now - self.origin) / EVIDENCE_HALF_LIFE_S
        if half_lives > MAX_HALF_LIVES:
            factor = 2.0**-half_lives
            self.moments = {key: s * factor for key, s in self.moments.items()}
            self.products = {key: s * factor for key, s in self.products.items()}
            self.squares *= factor
            self.origin = now
            return 1.0
        return float(2.0**half_lives)

    def weight(self, now: float) -> float:
        """Return the weight of all samples, in samples of now."""
        scale = self.scale(now)
        return self.moments.get((LEVEL, LEVEL), 0.0) / scale

    def add(
        self,
        value: float,
        exposure_by_image: Mapping[str, float],
        weight: float,
        now: float,
    ) -> None:
        """Add a sample."""
        scaled = weight * self.scale(now)
        exposures = sorted(self._tracked(exposure_by_image, now))
        terms = [(LEVEL, 1.0), *exposures]
        for index, (name, exposure) in enumerate(terms):
            self.products[name] = (
                self.products.get(name, 0.0) + scaled * exposure * value
            )
            for other, other_exposure in terms[index:]:
                key = name, other
                product = scaled * exposure * other_exposure
                self.moments[key] = self.moments.get(key, 0.0) + product
        self.squares += scaled * value * value
        self.sampled_at = now

    def solve(self, now: float) -> None:
        """Compute the level, the effects and their uncertainty from the sums."""
        scale = self.scale(now)
        names = [LEVEL, *sorted(self.admitted_at_by_image)]
        moments = [
            [self.moments.get((min(a, b), max(a, b)), 0.0) / scale for b in names]
            for a in names
        ]
        products = [self.products.get(name, 0.0) / scale for name in names]
        prior_weight = (self.noise / PRIOR_DEVIATION) ** 2
        prior_weights = [LEVEL_PRIOR_WEIGHT] + [prior_weight] * (len(names) - 1)
        inverse = _inverse(
            [
                [cell + prior_weights[i] * (i == j) for j, cell in enumerate(row)]
                for i, row in enumerate(moments)
            ]
        )
        solution = [_dot(row, products) for row in inverse]
        explained = 2 * _dot(solution, products) - sum(
            s * _dot(row, solution) for s, row in zip(solution, moments, strict=True)
        )
        residual = max(0.0, self.squares / scale - explained)
        variance = (residual + PRIOR_NOISE_WEIGHT * PRIOR_NOISE**2) / (
            moments[0][0] + PRIOR_NOISE_WEIGHT
        )
        self.noise = max(MIN_NOISE, variance**0.5)
        self.level = solution[0]
        self.effect_by_image = {
            name: Effect(
                solution[i],
                min(PRIOR_DEVIATION, self.noise * max(0.0, inverse[i][i]) ** 0.5),
            )
            for i, name in enumerate(names)
            if i
        }
        self.solved_at = now

    def restore(self, row: _ModelRow, images: Sequence[str]) -> None:
        """Take a former owner's summary as evidence, independent for each effect."""
        self.usual_s, self.noise, self.level = row.usual_s, row.noise, row.level
        self.moments[LEVEL, LEVEL] = row.weight
        self.products[LEVEL] = row.weight * row.level
        self.squares = row.weight * (row.level**2 + row.noise**2)
        prior_weight = (row.noise / PRIOR_DEVIATION) ** 2
        for index, size, uncertainty in row.effects:
            image = images[index]
            total = (row.noise / max(uncertainty, 1e-3)) ** 2
            evidence = max(0.0, total - prior_weight)
            self.moments[image, image] = evidence
            self.products[image] = size * total
            self.squares += 2 * size * size * total - size * size * evidence
            self.effect_by_image[image] = Effect(size, uncertainty)
            self.admitted_at_by_image[image] = self.origin
            self.seen_at_by_image[image] = self.origin

    def _tracked(
        self, exposure_by_image: Mapping[str, float], now: float
    ) -> Iterator[tuple[str, float]]:
        """Yield the exposures to images that are tracked, or are from now on.

        The order in which images are admitted differs from sample to sample, so that
        each of many gets its turn.
        """

        def turn(image: str) -> tuple[int, str]:
            return crc32(image.encode(errors="replace"), int(now)), image

        for image in sorted(exposure_by_image, key=turn):
            exposure = exposure_by_image[image]
            if exposure <= 0.0 or not 0 < len(image) <= MAX_IMAGE_LENGTH:
                continue
            if image not in self.admitted_at_by_image and not self._admit(image, now):
                continue
            self.seen_at_by_image[image] = now
            yield image, min(exposure, MAX_EXPOSURE)

    def _admit(self, image: str, now: float) -> bool:
        """Track an image, in place of one whose trial is over if necessary."""
        if len(self.admitted_at_by_image) >= MAX_NEIGHBOURS:
            replaceable = [
                other
                for other, admitted_at in self.admitted_at_by_image.items()
                if other not in self.detected
                and (
                    now >= self.seen_at_by_image[other] + UNSEEN_S
                    or now >= admitted_at + TRIAL_S
                )
            ]
            if not replaceable:
                return False
            self._drop(min(replaceable, key=lambda i: (self.seen_at_by_image[i], i)))
        self.admitted_at_by_image[image] = now
        return True

    def _drop(self, image: str) -> None:
        del self.admitted_at_by_image[image], self.seen_at_by_image[image]
        self.effect_by_image.pop(image, None)
        self.products.pop(image, None)
        for key in [key for key in self.moments if image in key]:
            del self.moments[key]


class InterferenceEstimator:
    """The models of the images that were measured most recently."""

    def __init__(self) -> None:
        self._model_by_image: dict[str, _Model] = {}
        self._loss_by_image: dict[str, dict[str, float]] = {}
        self._solved_at = float("-inf")
        # Whether samples have come since the last record.
        self.changed = False

    def observe(
        self,
        image: str,
        value: float,
        exposure_by_image: Mapping[str, float],
        weight: float,
        now: float,
    ) -> None:
        """Add a measured value of a task of ``image``, with what was beside it.

        An exposure of 1 is one task at full pace all the time. Values that cannot be
        right are ignored.
        """
        if not 0.0 < value < float("inf") or not 0 < len(image) <= MAX_IMAGE_LENGTH:
            return
        model = self._touch(image, now)
        model.add(min(value, MAX_VALUE), exposure_by_image, weight, now)
        self.changed = True

    def observe_run_time(
        self,
        image: str,
        took_s: float,
        exposure_by_image: Mapping[str, float],
        weight: float,
        now: float,
    ) -> None:
        """Add the run time of a batch task, relative to that of usual runs."""
        if not 0.0 < took_s < float("inf") or not 0 < len(image) <= MAX_IMAGE_LENGTH:
            return
        model = self._touch(image, now)
        if not model.usual_s:
            model.usual_s = took_s
        value = min(took_s / model.usual_s, MAX_VALUE)
        # A single run counts limited, so that a wrong time does not set the usual one.
        share = weight / (model.weight(now) + 2 * weight)
        model.usual_s += share * (value - 1.0) * model.usual_s
        self.observe(image, value, exposure_by_image, weight, now)

    def effect(self, pair: ImagePair) -> Effect:
        """Return an effect as of the last solution, the prior if there is none."""
        model = self._model_by_image.get(pair.slowed)
        if model is None:
            return Effect()
        return model.effect_by_image.get(pair.by, Effect())

    def losses(self, image: str) -> Mapping[str, float]:
        """Return what a task of ``image`` and one of each other image lose together.

        Only images with a detected effect, on either side, are included.
        """
        return self._loss_by_image.get(image, NO_LOSSES)

    def slowing(self, image: str) -> Mapping[str, float]:
        """Return the detected effects of other images on tasks of ``image``."""
        model = self._model_by_image.get(image)
        if model is None or not model.detected:
            return NO_LOSSES
        return {by: model.effect_by_image[by].size for by in sorted(model.detected)}

    @property
    def has_detected(self) -> bool:
        """Whether any effect is certain."""
        return bool(self._loss_by_image)

    def detected(self) -> Iterator[tuple[ImagePair, Effect]]:
        """Yield the effects that are certain."""
        for slowed, model in self._model_by_image.items():
            for by in sorted(model.detected):
                yield ImagePair(slowed, by), model.effect_by_image[by]

    def solve(self, now: float) -> list[PairChange]:
        """Update the effects of the models that were solved the longest time ago."""
        if now < self._solved_at + SOLVE_INTERVAL_S:
            return []
        self._solved_at = now
        oldest = sorted(
            self._model_by_image.items(), key=lambda item: (item[1].solved_at, item[0])
        )
        changes: list[PairChange] = []
        for slowed, model in oldest[:MAX_SOLVED_AT_ONCE]:
            model.solve(now)
            changes.extend(_detect(slowed, model))
        if changes or self._loss_by_image:
            self._update_losses()
        return changes

    def to_record(self, now: float, max_bytes: int = MAX_RECORD_BYTES) -> bytes:
        """Return a summary for the next owner, the most certain effects first."""
        self.changed = False

        def rank(item: tuple[str, _Model]) -> tuple[float, float, str]:
            image, model = item
            certain = max(
                (e.certain_size for e in model.effect_by_image.values()), default=-1.0
            )
            return -certain, -model.sampled_at, image

        index_by_image: dict[str, int] = {}
        rows: list[_ModelRow] = []
        size = RECORD_OVERHEAD_BYTES
        for image, model in sorted(self._model_by_image.items(), key=rank):
            names = [image, *sorted(model.effect_by_image)]
            new = [name for name in dict.fromkeys(names) if name not in index_by_image]
            position = {name: len(index_by_image) + i for i, name in enumerate(new)}
            row = _row(image, model, {**index_by_image, **position}, now)
            size += len(_ROW.dump_json(row)) + 1
            size += sum(len(_IMAGE.dump_json(name)) + 1 for name in new)
            if size > max_bytes:
                break
            index_by_image.update(position)
            rows.append(row)
        record = _InterferenceRecord(RECORD_VERSION, tuple(index_by_image), tuple(rows))
        return _RECORD.dump_json(record)

    @classmethod
    def from_record(cls, value: bytes, now: float) -> InterferenceEstimator:
        """Return the models of a former owner's record, read at ``now``.

        How old the record is cannot be told, so its evidence decays from now on. Raises
        InvalidInputError for a record of another version, or one that is unreadable.
        """
        try:
            version = _VERSION.validate_json(value).get("version")
            if version != RECORD_VERSION:
                raise InvalidInputError(
                    [Finding("interference record", f"version {version!r}")]
                )
            record = _RECORD.validate_json(value)
        except ValidationError as error:
            raise InvalidInputError(
                [Finding("interference record", str(error))]
            ) from error
        estimator = cls()
        for row in record.models[:MAX_MODELS]:
            if not _is_sound(row, len(record.images)):
                raise InvalidInputError(
                    [Finding("interference record", "a value is out of range")]
                )
            model = _Model(now, sampled_at=now, solved_at=now)
            model.restore(row, record.images)
            image = record.images[row.image]
            estimator._model_by_image[image] = model
            for _ in _detect(image, model):
                pass
        estimator._update_losses()
        return estimator

    def _touch(self, image: str, now: float) -> _Model:
        """Return the model of an image, in place of the least recently used one."""
        model = self._model_by_image.pop(image, None)
        if model is None:
            model = _Model(now, solved_at=now)
            if len(self._model_by_image) >= MAX_MODELS:
                # The models with detected effects go last.
                evicted = min(
                    self._model_by_image.items(),
                    key=lambda item: (bool(item[1].detected), item[1].sampled_at),
                )
                del self._model_by_image[evicted[0]]
        self._model_by_image[image] = model
        return model

    def _update_losses(self) -> None:
        losses: dict[str, dict[str, float]] = {}
        for pair, effect in self.detected():
            for image, other in ((pair.slowed, pair.by), (pair.by, pair.slowed)):
                by_other = losses.setdefault(image, {})
                by_other[other] = by_other.get(other, 0.0) + effect.size
        self._loss_by_image = losses


def _detect(slowed: str, model: _Model) -> Iterator[PairChange]:
    """Update and yield which effects of a model are certain."""
    model.detected.intersection_update(model.effect_by_image)
    for by, effect in model.effect_by_image.items():
        known = by in model.detected
        detected = effect.certain_size >= (KEPT_EFFECT if known else MIN_EFFECT)
        if detected == known:
            continue
        if detected:
            model.detected.add(by)
        else:
            model.detected.discard(by)
        yield PairChange(ImagePair(slowed, by), effect, detected)


def _row(
    image: str, model: _Model, index_by_image: Mapping[str, int], now: float
) -> _ModelRow:
    effects = tuple(
        (index_by_image[by], round(effect.size, 3), round(effect.uncertainty, 3))
        for by, effect in sorted(model.effect_by_image.items())
    )
    return _ModelRow(
        index_by_image[image],
        round(model.level, 4),
        round(model.noise, 4),
        round(model.weight(now), 2),
        round(model.usual_s, 4),
        effects,
    )


def _is_sound(row: _ModelRow, images: int) -> bool:
    """Return whether the values of a row are such as this module writes.

    Much larger ones would leave nothing of the samples that are added to them.
    """
    indices = [row.image, *(index for index, _, _ in row.effects)]
    values = [row.level, *(size for _, size, _ in row.effects)]
    uncertainties = [uncertainty for _, _, uncertainty in row.effects]
    return (
        all(0 <= index < images for index in indices)
        and len(row.effects) <= MAX_NEIGHBOURS
        and all(abs(value) <= MAX_RECORDED_VALUE for value in values)
        and all(0.0 <= amount <= PRIOR_DEVIATION for amount in uncertainties)
        and MIN_NOISE <= row.noise <= MAX_RECORDED_VALUE
        and 0.0 <= row.weight <= MAX_RECORDED_WEIGHT
        and 0.0 <= row.usual_s < float("inf")
    )


def _dot(first: Sequence[float], second: Sequence[float]) -> float:
    return sum(a * b for a, b in zip(first, second, strict=True))


def _inverse(matrix: list[list[float]]) -> list[list[float]]:
    """Return the inverse of a positive definite matrix (Gauss-Jordan elimination)."""
    size = len(matrix)
    rows = [
        [*row, *(float(i == j) for j in range(size))] for i, row in enumerate(matrix)
    ]
    for i in range(size):
        pivot = rows[i][i]
        rows[i] = [cell / pivot for cell in rows[i]]
        pivot_row = rows[i]
        for j in range(size):
            factor = rows[j][i]
            if j != i and factor:
                rows[j] = [
                    cell - factor * above
                    for cell, above in zip(rows[j], pivot_row, strict=True)
                ]
    return [row[size:] for row in rows]
