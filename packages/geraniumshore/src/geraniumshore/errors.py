"""The exceptions of geraniumshore, re-exported from geraniumshore_scheduler."""

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
