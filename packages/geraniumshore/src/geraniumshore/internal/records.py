"""The records of the control log, and their JSON form."""

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
    """One process incarnation on an entry host, and how to reach it."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    member: str
    host: str
    data_centre: str
    peer_address: str
    http_address: str


@dataclass(frozen=True, slots=True)
class Join:
    """Adds a member to the view numbered ``view``.

    ``replaces`` names the ended process whose host and peer address the member has;
    ``gone`` names silent members whose hosts the platform lists no longer.
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
    """A member takes itself out after it has given everything back."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    member: str
    kind: Literal["leave"] = "leave"


@dataclass(frozen=True, slots=True)
class Evict:
    """Takes a silent member out of the view numbered ``view``.

    ``forced_by`` names the operator who took it out by hand.
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
    """An operator's release note."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    note: ReleaseNote
    author: str = ""
    kind: Literal["release"] = "release"


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of the state as folded up to ``position``, in the compressed form.

    Where ``bridges`` is given, the records from ``position`` up to it were trimmed
    before a majority, ``endorsed_by``, had read them; the state counts for ``bridges``.
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
    """One append of the log, as read back: a batch of records at one offset.

    ``appended_at_ms`` is the log service's own clock; it is the same for every
    reader, so the fold may use it.
    """

    offset: int
    appended_at_ms: int
    records: tuple[Record, ...]


_RECORDS: TypeAdapter[tuple[Record, ...]] = TypeAdapter(tuple[Record, ...])


def encode_records(records: tuple[Record, ...]) -> str:
    """Return the JSON form of one append."""
    return _RECORDS.dump_json(records, exclude_defaults=False).decode()


def decode_records(
    document: str, place: str
) -> Result[tuple[Record, ...], tuple[Finding, ...]]:
    """Read one append back. Bytes that are no append of ours give findings."""
    try:
        return Ok(_RECORDS.validate_json(document))
    except ValidationError as error:
        return Err(validation_findings(error, place))
