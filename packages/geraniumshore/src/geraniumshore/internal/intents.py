"""Control log records that observe and change the fleet.

An intent is a decision to take one step with one host. Its id is the action id of the
platform call, so that a repeated call has no second effect. Reports record the progress
of an intent.
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
    """The state of one host, derived by the planner from the platform's list."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    host: str
    state: SeenState
    boot: str = ""


@dataclass(frozen=True, slots=True)
class HostsObserved:
    """Hosts whose state or boot has changed, as observed by a view's planner."""

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
    """Progress of an intent: done, failed, or held up by what ``detail`` names.

    ``boot`` is the id of the boot that a reboot ended.
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
    """A service's home reports that nothing runs on its minions of a draining host."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    intent: str
    host: str
    service: str
    kind: Literal["service-quiet"] = "service-quiet"
