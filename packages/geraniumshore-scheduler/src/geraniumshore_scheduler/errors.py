"""The exceptions of geraniumshore. Each says what was got and what was wanted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "Finding",
    "GeraniumshoreError",
    "InvalidInputError",
    "MinionGoneError",
    "OwnerReplacedError",
    "PlatformUnavailableError",
    "RecordsTrimmedError",
    "SequenceError",
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


class OwnerReplacedError(GeraniumshoreError):
    """A newer owner's fence is known where this owner's order arrived."""


class RecordsTrimmedError(GeraniumshoreError):
    """The records asked for have expired; ``first`` is the oldest offset kept."""

    def __init__(self, first: int) -> None:
        self.first = first
        super().__init__(f"records before offset {first} have expired")


class SequenceError(GeraniumshoreError):
    """An append was out of sequence; ``expected`` is the number that comes next."""

    def __init__(self, expected: int) -> None:
        self.expected = expected
        super().__init__(f"the log expects sequence number {expected}")


class MinionGoneError(GeraniumshoreError):
    """Another minion answers at the address, so the one that was meant has ended."""
