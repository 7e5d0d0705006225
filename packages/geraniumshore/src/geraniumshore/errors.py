"""The exceptions of geraniumshore, which the scheduler's package defines."""

from __future__ import annotations

from geraniumshore_scheduler.errors import (
    Finding,
    GeraniumshoreError,
    InvalidInputError,
    PlatformUnavailableError,
    UnknownOutcomeError,
)

__all__ = [
    "Finding",
    "GeraniumshoreError",
    "InvalidInputError",
    "PlatformUnavailableError",
    "UnknownOutcomeError",
]
