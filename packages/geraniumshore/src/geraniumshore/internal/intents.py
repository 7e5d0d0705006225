"""The records by which the fleet is observed and changed.

An intent is a decision about one host. Its id is the action id that the platform sees,
so that a repeated call has no second effect. Reports say how an intent goes on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, Literal

from pydantic import ConfigDict

__all__ = [
    "ACTIONS",
    "Action",
    "HostSeen",
    "HostsObserved",
    "Intent",
    "IntentReport",
    "SeenState",
    "ServiceQuiet",
]

STRICT = ConfigDict(extra="forbid")

Action = Literal["drain", "move", "reboot", "return"]
ACTIONS: tuple[Action, ...] = ("drain", "move", "reboot", "return")
SeenState = Literal["live", "leaving", "missing"]


@dataclass(frozen=True, slots=True)
class HostSeen:
    """What the planner makes of the platform's list for one host."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    host: str
    state: SeenState
    boot: str = ""


@dataclass(frozen=True, slots=True)
class HostsObserved:
    """Hosts whose state or boot has changed, as seen by the planner of a view."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    view: int
    hosts: tuple[HostSeen, ...]
    kind: Literal["hosts-observed"] = "hosts-observed"


@dataclass(frozen=True, slots=True)
class Intent:
    """One step of a host: drain, move to ``pool``, reboot for ``wave``, or return."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    host: str
    action: Action
    wave: str | None = None
    pool: str | None = None
    kind: Literal["intent"] = "intent"


@dataclass(frozen=True, slots=True)
class IntentReport:
    """How an intent goes: done, failed, or held up by what ``detail`` names.

    ``boot`` is the boot that a reboot has ended.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    intent: str
    host: str
    step: Literal["done", "failed", "held"]
    boot: str = ""
    detail: str = ""
    kind: Literal["intent-report"] = "intent-report"


@dataclass(frozen=True, slots=True)
class ServiceQuiet:
    """A service's home has nothing running on the minions of a draining host."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    intent: str
    host: str
    service: str
    kind: Literal["service-quiet"] = "service-quiet"
