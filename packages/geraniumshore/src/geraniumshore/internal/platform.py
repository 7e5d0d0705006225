"""Abstract base classes of the platform's log and host control.

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
    """One append, as stored by the log service."""

    offset: int
    appended_at_ms: int
    document: str


@dataclass(frozen=True, slots=True)
class LogRead:
    """The result of one read.

    ``first`` is the oldest offset that the log still keeps, ``tail`` the next one that
    it will assign, both at the time of the read.
    """

    first: int
    tail: int
    entries: tuple[RawEntry, ...]


class ControlLog(ABC):
    """The append-only log service.

    It is assumed that an acknowledged append is in every later read that reaches the
    tail, and that offsets are assigned without gaps.
    """

    @abstractmethod
    def append(self, document: str) -> int:
        """Append a document and return its offset.

        Raises PlatformUnavailableError if it was certainly not appended, and
        UnknownOutcomeError if it may have been.
        """

    @abstractmethod
    def read(self, offset: int, wait_seconds: float) -> LogRead:
        """Read from ``offset``, waiting at most ``wait_seconds`` for a first entry.

        Raises PlatformUnavailableError if there is no answer.
        """


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One entry of the platform's list of hosts."""

    host: str
    data_centre: str
    rack: str
    state: str
    boot: str


class HostList(ABC):
    """The platform's list of live and leaving hosts, which may be out of date."""

    @abstractmethod
    def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return every host on the list.

        Raises PlatformUnavailableError if there is no answer.
        """


@dataclass(frozen=True, slots=True)
class ActionStatus:
    """The platform's progress with one action on a host.

    ``boot`` is the id of the boot that a reboot ended, ``holding`` names the tasks that
    a drain waits for, and ``reason`` says why a reboot failed.
    """

    state: Literal["running", "done", "failed"]
    boot: str = ""
    holding: tuple[str, ...] = ()
    reason: str = ""


class HostControl(ABC):
    """The platform's control of hosts.

    It is assumed that repeating an action id has no effect, for as long as the action's
    host is in the configuration.
    """

    @abstractmethod
    def ensure(
        self, action_id: str, host: str, action: str, pool: str | None
    ) -> ActionStatus:
        """Begin an action unless it was begun before, and return its status.

        Raises PlatformUnavailableError or UnknownOutcomeError; retrying is safe.
        """
