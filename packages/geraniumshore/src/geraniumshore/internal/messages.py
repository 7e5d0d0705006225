"""The messages between members, and their JSON form.

Every message states a fact that stays true when it arrives late, twice or after a
newer one: counts only grow within an epoch, and an older epoch is dropped.
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
    "LaneGrant",
    "LaneReport",
    "Message",
    "QuarantinedUnits",
    "Relay",
    "StateTransfer",
    "coalescing_key",
    "decode_message",
    "encode_message",
]


@dataclass(frozen=True, slots=True)
class LaneReport:
    """What a holder has seen granted and has given back on one lane, in all."""

    team: str
    minion: str
    seen: int
    returned: int


@dataclass(frozen=True, slots=True)
class LaneGrant:
    """What a home has granted on one lane, in all."""

    team: str
    minion: str
    granted: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Work of one team that waits for units at a holder."""

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
    """What the previous home of a ledger knew that no holder can report."""

    epoch: int
    ready: bool
    quarantined: tuple[QuarantinedUnits, ...]


@dataclass(frozen=True, slots=True)
class HolderReport:
    """A holder's whole account with a home.

    ``holder_epoch`` names the holder's own incarnation, where the holder is itself a
    home that may move. ``complete`` is False while the holder may not know all that
    its predecessor held. ``suspects`` are minions that fail the holder's work.
    """

    ledger: LedgerKey
    epoch: int
    holder: str
    holder_epoch: int
    sequence: int
    lanes: tuple[LaneReport, ...]
    demand: tuple[Demand, ...] = ()
    complete: bool = True
    handover: Handover | None = None
    in_use: int = 0
    suspects: tuple[str, ...] = ()
    kind: Literal["report"] = "report"


@dataclass(frozen=True, slots=True)
class GrantNotice:
    """All that a home has granted to one holder.

    Lanes that the holder has confirmed are left out. ``acknowledged`` is the newest of
    the holder's reports that was taken in; it need not repeat what that one said.
    ``recall`` asks for idle units back; ``elsewhere`` counts what others use. A team's
    home also says the ``limit`` that it keeps, and whether it is ``exceeded``: then a
    unit that becomes idle must go back before another starts.
    """

    ledger: LedgerKey
    epoch: int
    holder: str
    holder_epoch: int
    lanes: tuple[LaneGrant, ...]
    recall: bool = False
    elsewhere: int = 0
    acknowledged: int = -1
    limit: int | None = None
    exceeded: bool = False
    kind: Literal["grant"] = "grant"


@dataclass(frozen=True, slots=True)
class EndorseRequest:
    """Asks a member to endorse a change of the view numbered ``view``.

    ``info`` is the joining member's; ``position`` is how far the member has folded that
    wants to go on over a gap in the log.
    """

    change: Literal["join", "evict", "bridge"]
    member: str
    view: int
    info: MemberInfo | None = None
    position: int = 0
    kind: Literal["endorse-request"] = "endorse-request"


@dataclass(frozen=True, slots=True)
class Endorsement:
    """A member's word that ``view`` is the newest that it has folded."""

    change: Literal["join", "evict", "bridge"]
    member: str
    view: int
    endorser: str
    kind: Literal["endorsement"] = "endorsement"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life. The sender has folded the log up to ``position``."""

    position: int
    kind: Literal["heartbeat"] = "heartbeat"


@dataclass(frozen=True, slots=True)
class AttestRequest:
    """Asks whether the sender is still a member, and for records that it lacks.

    ``sent_at`` is the sender's own clock; the answer repeats it.
    """

    sent_at: float
    position: int
    kind: Literal["attest-request"] = "attest-request"


@dataclass(frozen=True, slots=True)
class Attestation:
    """A member's word that the other was a member when it had folded ``position``."""

    sent_at: float
    position: int
    kind: Literal["attestation"] = "attestation"


@dataclass(frozen=True, slots=True)
class Relay:
    """Log entries, in order, for a member that may not reach the log."""

    entries: tuple[LogEntry, ...]
    kind: Literal["relay"] = "relay"


@dataclass(frozen=True, slots=True)
class StateTransfer:
    """The whole folded state, in the compressed form of a snapshot."""

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
    """Return the JSON form of a message."""
    return _MESSAGE.dump_json(message)


def decode_message(document: bytes) -> Result[Message, tuple[Finding, ...]]:
    """Read a message back; bytes that are none of ours give findings."""
    try:
        return Ok(_MESSAGE.validate_json(document))
    except ValidationError as error:
        return Err(validation_findings(error, "message"))


def coalescing_key(message: Message) -> str:
    """Name what ``message`` is about; a later message of the same name replaces it."""
    match message:
        case HolderReport() | GrantNotice():
            return f"{message.kind} {message.ledger} {message.holder}"
        case EndorseRequest() | Endorsement():
            return f"{message.kind} {message.change} {message.member}"
        case Heartbeat() | AttestRequest() | Attestation() | Relay() | StateTransfer():
            return message.kind
