"""The exceptions of geraniumshore. Messages give the actual and the expected value."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "Finding",
    "GeraniumshoreError",
    "InvalidInputError",
    "MinionReplacedError",
    "OwnerReplacedError",
    "PlatformUnavailableError",
    "RecordsTrimmedError",
    "SequenceError",
    "UnknownOutcomeError",
]


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in an input, and where it was found."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class GeraniumshoreError(Exception):
    """Base class of the exceptions that this project raises."""


class InvalidInputError(GeraniumshoreError):
    """An input was rejected. ``findings`` lists every problem that was found."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class PlatformUnavailableError(GeraniumshoreError):
    """The platform did not answer, and the call certainly had no effect."""


class UnknownOutcomeError(GeraniumshoreError):
    """A call may or may not have taken effect; reading the state back shows which."""


class OwnerReplacedError(GeraniumshoreError):
    """The recipient of an order has seen a newer owner's fencing token."""


class RecordsTrimmedError(GeraniumshoreError):
    """The requested records have expired; ``first`` is the oldest offset kept."""

    def __init__(self, first: int) -> None:
        self.first = first
        super().__init__(f"records before offset {first} have expired")


class SequenceError(GeraniumshoreError):
    """An append was out of sequence; ``expected`` is the next sequence number."""

    def __init__(self, expected: int) -> None:
        self.expected = expected
        super().__init__(f"the log expects sequence number {expected}")


class MinionReplacedError(GeraniumshoreError):
    """Another minion answers at the address, so the intended minion has ended."""
