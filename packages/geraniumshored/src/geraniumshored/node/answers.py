"""Callers' requests and the answers to them, in the words of no protocol."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from geraniumshore_scheduler import JobState

__all__ = ["Answer", "Caller", "RequestHandler", "Verdict"]


class Verdict(enum.Enum):
    """Outcome of a call."""

    OK = "ok"
    UNKNOWN_QUEUE = "unknown queue"
    UNKNOWN_KEY = "unknown key"
    UNKNOWN_JOB = "unknown job"
    MALFORMED = "malformed"
    NOT_RUN = "not run"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class Answer:
    """A verdict, with the requested data or the time after which to retry."""

    verdict: Verdict
    state: JobState | None = None
    pending: int | None = None
    retry_after_s: int | None = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Caller:
    """The host, path and API key of a call, and how long the caller waits.

    A ``relayed`` call comes from another node, and is not relayed again.
    """

    host: str
    path: str
    key: str | None
    timeout_s: float
    relayed: bool = False


class RequestHandler(ABC):
    """Answers callers' requests."""

    @abstractmethod
    def submit(self, caller: Caller, body: bytes) -> Answer:
        """Accept a job.

        NOT_RUN means that it will certainly not run, UNCERTAIN that it may.
        """

    @abstractmethod
    def show(self, caller: Caller) -> Answer:
        """Return a job's state, or the number of a queue's pending jobs."""

    @abstractmethod
    def cancel(self, caller: Caller) -> Answer:
        """Cancel a job; return once the cancellation is in the log."""
