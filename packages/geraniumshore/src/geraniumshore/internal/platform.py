"""What the platform gives, as abstract base classes.

The daemon implements them over HTTP, tests in memory.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Literal

__all__ = [
    "ActionStatus",
    "ControlLog",
    "HostControl",
    "HostList",
    "ListedHost",
    "LogRead",
    "RawEntry",
]


@dataclass(frozen=True, slots=True)
class RawEntry:
    """One append as the log service keeps it."""

    offset: int
    appended_at_ms: int
    document: str


@dataclass(frozen=True, slots=True)
class LogRead:
    """What one read gave.

    ``first`` is the oldest offset that the log still keeps and ``tail`` the next one
    that it will give out, both at the time of the read.
    """

    first: int
    tail: int
    entries: tuple[RawEntry, ...]


class ControlLog(ABC):
    """The append-only log service.

    Assumed of it: an append that was acknowledged is in every later read that
    reaches the tail, and offsets are given out without gaps.
    """

    @abstractmethod
    def append(self, document: str) -> int:
        """Append a document and return its offset.

        Raises PlatformUnavailableError where it was certainly not appended, and
        UnknownOutcomeError where it may have been.
        """

    @abstractmethod
    def read(self, offset: int, wait_seconds: float) -> LogRead:
        """Read on from ``offset``, waiting for a first entry that long at most.

        Raises PlatformUnavailableError where there is no answer.
        """


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host as the platform's lagging list shows it."""

    host: str
    data_centre: str
    rack: str
    state: str
    boot: str


class HostList(ABC):
    """The platform's list of live and leaving hosts. It lags behind the truth."""

    @abstractmethod
    def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return every host on the list.

        Raises PlatformUnavailableError where there is no answer.
        """


@dataclass(frozen=True, slots=True)
class ActionStatus:
    """How the platform gets on with one action on a host.

    ``boot`` is the boot that a reboot ended, ``holding`` names the tasks that a drain
    waits for, and ``reason`` says why a reboot failed.
    """

    state: Literal["running", "done", "failed"]
    boot: str = ""
    holding: tuple[str, ...] = ()
    reason: str = ""


class HostControl(ABC):
    """The platform's control of hosts.

    Assumed of it: an action id that was seen before changes nothing, for as long as
    the action's host is in the configuration.
    """

    @abstractmethod
    def ensure(
        self, action_id: str, host: str, action: str, pool: str | None
    ) -> ActionStatus:
        """Begin an action unless it was begun before, and return how it stands.

        Raises PlatformUnavailableError or UnknownOutcomeError; asking again is safe.
        """
