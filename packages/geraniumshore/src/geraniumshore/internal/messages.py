"""The messages between members and their JSON encoding.

Messages may arrive late, twice or out of order: totals only grow within an epoch, and
messages of an older epoch are ignored.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from geraniumshore.errors import Finding
from geraniumshore.internal.homes import LedgerKey
from geraniumshore.internal.records import LogEntry, MemberInfo
from geraniumshore.internal.release import validation_findings

__all__ = [
    "AttestRequest",
    "Attestation",
    "Demand",
    "EndorseRequest",
    "Endorsement",
    "GrantNotice",
    "Handover",
    "Heartbeat",
    "HolderReport",
    "UnitGrant",
    "UnitReport",
    "Message",
    "QuarantinedUnits",
    "Relay",
    "StateTransfer",
    "coalescing_key",
    "decode_message",
    "encode_message",
]


@dataclass(frozen=True, slots=True)
class UnitReport:
    """A holder's cumulative totals of received and returned units of one kind."""

    team: str
    minion: str
    seen: int
    returned: int


@dataclass(frozen=True, slots=True)
class UnitGrant:
    """A home's cumulative total of granted units of one kind."""

    team: str
    minion: str
    granted: int


@dataclass(frozen=True, slots=True)
class Demand:
    """The amount of one team's work that waits for units at a holder."""

    team: str
    urgent: bool
    waiting: int


@dataclass(frozen=True, slots=True)
class QuarantinedUnits:
    """Units that a departed holder may still use for ``remaining`` seconds."""

    team: str
    minion: str
    count: int
    remaining: float


@dataclass(frozen=True, slots=True)
class Handover:
    """State of a ledger's previous home that no holder can report."""

    epoch: int
    ready: bool
    quarantined: tuple[QuarantinedUnits, ...]


@dataclass(frozen=True, slots=True)
class HolderReport:
    """A holder's account with a home, sent from the holder to the home.

    ``holder_epoch`` is the holder's own epoch if the holder is itself a home that may
    move. ``complete`` is False while the holder may not know all units that its
    predecessor held. ``suspects`` are minions that the holder suspects of failing.
    """

    ledger: LedgerKey
    epoch: int
    holder: str
    holder_epoch: int
    sequence: int
    lanes: tuple[UnitReport, ...]
    demand: tuple[Demand, ...] = ()
    complete: bool = True
    handover: Handover | None = None
    in_use: int = 0
    suspects: tuple[str, ...] = ()
    kind: Literal["report"] = "report"


@dataclass(frozen=True, slots=True)
class GrantNotice:
    """A home's cumulative grants to one holder, sent from the home to the holder.

    Totals that the holder has confirmed are omitted. ``acknowledged`` is the newest
    report of the holder that was processed, so its contents need not be repeated.
    ``recall`` asks for idle units back; ``elsewhere`` counts the units that others use.
    A team's home also sends the ``limit`` that it enforces and whether it is
    ``exceeded``: then a unit that becomes idle must be returned before another
    unit of work starts.
    """

    ledger: LedgerKey
    epoch: int
    holder: str
    holder_epoch: int
    lanes: tuple[UnitGrant, ...]
    recall: bool = False
    elsewhere: int = 0
    acknowledged: int = -1
    limit: int | None = None
    exceeded: bool = False
    kind: Literal["grant"] = "grant"


@dataclass(frozen=True, slots=True)
class EndorseRequest:
    """A request to endorse a change of the view numbered ``view``.

    ``info`` describes the joining member. ``position`` is how far a member that wants
    to bridge a gap in the log has folded.
    """

    change: Literal["join", "evict", "bridge"]
    member: str
    view: int
    info: MemberInfo | None = None
    position: int = 0
    kind: Literal["endorse-request"] = "endorse-request"


@dataclass(frozen=True, slots=True)
class Endorsement:
    """An endorsement of a change by a member whose newest folded view is ``view``."""

    change: Literal["join", "evict", "bridge"]
    member: str
    view: int
    endorser: str
    kind: Literal["endorsement"] = "endorsement"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a member that has folded the log up to ``position``."""

    position: int
    kind: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True, slots=True)
class AttestRequest:
    """A request for an attestation, and for records after ``position``.

    ``sent_at`` is a time on the sender's own clock, which the reply repeats.
    """

    sent_at: float
    position: int
    kind: Literal["attest-request"] = "attest-request"


@dataclass(frozen=True, slots=True)
class Attestation:
    """Attests that the requester was a member as of the fold up to ``position``."""

    sent_at: float
    position: int
    kind: Literal["attestation"] = "attestation"


@dataclass(frozen=True, slots=True)
class Relay:
    """Log entries in order, for a member that may be unable to reach the log."""

    entries: tuple[LogEntry, ...]
    kind: Literal["relay"] = "relay"


@dataclass(frozen=True, slots=True)
class StateTransfer:
    """The complete folded state, compressed like a snapshot."""

    position: int
    document: str
    kind: Literal["state-transfer"] = "state-transfer"


Message = Annotated[
    HolderReport
    | GrantNotice
    | EndorseRequest
    | Endorsement
    | Heartbeat
    | AttestRequest
    | Attestation
    | Relay
    | StateTransfer,
    Field(discriminator="kind"),
]

_MESSAGE: TypeAdapter[Message] = TypeAdapter(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as JSON."""
    return _MESSAGE.dump_json(message)


def decode_message(document: bytes) -> Result[Message, tuple[Finding, ...]]:
    """Decode a message; return findings if the bytes are not a valid message."""
    try:
        return Ok(_MESSAGE.validate_json(document))
    except ValidationError as error:
        return Err(validation_findings(error, "message"))


def coalescing_key(message: Message) -> str:
    """Return a key; a later message with the same key supersedes ``message``."""
    match message:
        case HolderReport() | GrantNotice():
            return f"{message.kind} {message.ledger} {message.holder}"
        case EndorseRequest() | Endorsement():
            return f"{message.kind} {message.change} {message.member}"
        case Heartbeat() | AttestRequest() | Attestation() | Relay() | StateTransfer():
            return message.kind
