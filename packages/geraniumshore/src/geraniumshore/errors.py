"""The exceptions of geraniumshore. Each says what was got and what was wanted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "Finding",
    "GeraniumshoreError",
    "InvalidInputError",
    "PlatformUnavailableError",
    "UnknownOutcomeError",
]


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault in an input, with the place where it stands."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class GeraniumshoreError(Exception):
    """Base of every exception that this project raises."""


class InvalidInputError(GeraniumshoreError):
    """An input was refused. ``findings`` has every fault that was found in it."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class PlatformUnavailableError(GeraniumshoreError):
    """The platform did not answer, and the call is known to have had no effect."""


class UnknownOutcomeError(GeraniumshoreError):
    """A call may or may not have taken effect; reading back settles which."""
