"""Base class and registry of experiments, and reports of their measurements."""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import ClassVar

__all__ = [
    "EXPERIMENT_BY_NAME",
    "Experiment",
    "Measurement",
    "Report",
    "register",
]


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured value. ``subject`` is the measured policy or size."""

    subject: str
    name: str
    value: float
    unit: str


class Experiment(ABC):
    """Compares a policy with its baselines, or measures a quantity at several sizes."""

    name: ClassVar[str]
    purpose: ClassVar[str]

    @abstractmethod
    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the measurements, those of the project's own policy first."""


EXPERIMENT_BY_NAME: dict[str, type[Experiment]] = {}


def register(experiment: type[Experiment]) -> type[Experiment]:
    """Class decorator that registers an experiment under its name."""
    EXPERIMENT_BY_NAME[experiment.name] = experiment
    return experiment


@dataclass(frozen=True, slots=True)
class Report:
    """All measurements of one run of an experiment."""

    experiment: str
    seed: int
    measurements: tuple[Measurement, ...]

    @classmethod
    def of(cls, experiment: Experiment, seed: int) -> Report:
        """Run an experiment and return its report."""
        return cls(experiment.name, seed, tuple(experiment.run(seed)))

    def write(self, directory: Path) -> Path:
        """Write the report as JSON into ``directory`` and return the path."""
        directory.mkdir(parents=True, exist_ok=True)
        path = directory / f"{self.experiment}-{self.seed}.json"
        path.write_text(json.dumps(asdict(self), indent=2) + "\n")
        return path

    def table(self) -> str:
        """Return the measurements as a text table with one column per subject.

        Values of all subjects but the first are followed by their ratio to the first
        subject's value.
        """
        subjects = list(dict.fromkeys(m.subject for m in self.measurements))
        names = list(dict.fromkeys((m.name, m.unit) for m in self.measurements))
        value_by_cell = {(m.subject, m.name): m.value for m in self.measurements}
        width = max([len(f"{name} ({unit})") for name, unit in names], default=0)
        columns = [max(20, len(subject) + 2) for subject in subjects]
        header = "".join(f"{s:>{c}}" for s, c in zip(subjects, columns, strict=True))
        lines = [f"{self.experiment}, seed {self.seed}", f"{'':{width}}{header}"]
        for name, unit in names:
            first = value_by_cell.get((subjects[0], name))
            cells = (
                f"{_cell(value_by_cell.get((s, name)), first, s != subjects[0]):>{c}}"
                for s, c in zip(subjects, columns, strict=True)
            )
            lines.append(f"{f'{name} ({unit})':{width}}{''.join(cells)}")
        return "\n".join(lines)


def _cell(value: float | None, first: float | None, with_ratio: bool) -> str:
    if value is None:
        return "-"
    if not with_ratio or not first:
        return f"{value:.4g}"
    return f"{value:.4g} (x{value / first:.2f})"
