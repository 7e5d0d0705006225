"""The records of the control log and their JSON encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from geraniumshore.errors import Finding
from geraniumshore.internal.claim_records import Answer, Claim
from geraniumshore.internal.intents import (
    HostsObserved,
    Intent,
    IntentReport,
    ServiceQuiet,
)
from geraniumshore.internal.job_records import JobRecord
from geraniumshore.internal.release import ReleaseNote, validation_findings
from geraniumshore.internal.service_levels import ServiceLevels

__all__ = [
    "Evict",
    "Join",
    "Leave",
    "LogEntry",
    "MemberInfo",
    "Record",
    "Release",
    "SnapshotPart",
    "decode_records",
    "encode_records",
]

STRICT = ConfigDict(extra="forbid")


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """One process incarnation on an entry host and its addresses."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    member: str
    host: str
    data_centre: str
    peer_address: str
    http_address: str


@dataclass(frozen=True, slots=True)
class Join:
    """Adds a member to the view numbered ``view``.

    ``replaces`` names the ended process whose host and peer address the member has
    taken; ``gone`` names unresponsive members whose hosts the platform no longer lists.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    view: int
    info: MemberInfo
    endorsed_by: tuple[str, ...] = ()
    replaces: str | None = None
    gone: tuple[str, ...] = ()
    kind: Literal["join"] = "join"


@dataclass(frozen=True, slots=True)
class Leave:
    """Removes the member that appended it, after it has returned all units."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    member: str
    kind: Literal["leave"] = "leave"


@dataclass(frozen=True, slots=True)
class Evict:
    """Removes an unresponsive member from the view numbered ``view``.

    ``forced_by`` names the operator if the member was evicted manually.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    view: int
    member: str
    endorsed_by: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    forced_by: str | None = None
    kind: Literal["evict"] = "evict"


@dataclass(frozen=True, slots=True)
class Release:
    """A release note submitted by an operator."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    note: ReleaseNote
    author: str = ""
    kind: Literal["release"] = "release"


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of the compressed state as folded up to ``position``.

    If ``bridges`` is given, the records from ``position`` up to that offset were
    trimmed before a majority had read them. The members ``endorsed_by`` agreed to use
    this state as the state at offset ``bridges``.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    snapshot: str
    position: int
    part: int
    parts: int
    document: str
    bridges: int | None = None
    endorsed_by: tuple[str, ...] = ()
    kind: Literal["snapshot-part"] = "snapshot-part"


Record = Annotated[
    Join
    | Leave
    | Evict
    | Release
    | ServiceLevels
    | SnapshotPart
    | Claim
    | Answer
    | JobRecord
    | HostsObserved
    | Intent
    | IntentReport
    | ServiceQuiet,
    Field(discriminator="kind"),
]


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One append as read from the log: a batch of records at one offset.

    ``appended_at_ms`` is a time on the log service's clock. It is the same for every
    reader, so the fold may depend on it.
    """

    offset: int
    appended_at_ms: int
    records: tuple[Record, ...]


_RECORDS: TypeAdapter[tuple[Record, ...]] = TypeAdapter(tuple[Record, ...])


def encode_records(records: tuple[Record, ...]) -> str:
    """Encode the records of one append as JSON."""
    return _RECORDS.dump_json(records, exclude_defaults=False).decode()


def decode_records(
    document: str, place: str
) -> Result[tuple[Record, ...], tuple[Finding, ...]]:
    """Decode one append; return findings if it is not a valid one."""
    try:
        return Ok(_RECORDS.validate_json(document))
    except ValidationError as error:
        return Err(validation_findings(error, place))
