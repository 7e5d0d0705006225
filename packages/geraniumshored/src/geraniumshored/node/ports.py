"""What a node needs from the platform that it runs on."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from geraniumshore_scheduler import (
    AdviceRequest,
    Configuration,
    HoldRequest,
    MachineListing,
    MinionListing,
    MinionReport,
    PaceOrder,
    StartOrder,
    StopOrder,
    UpkeepWave,
)

__all__ = [
    "Advised",
    "Advisers",
    "Appended",
    "Machines",
    "Membership",
    "Minions",
    "OperatorRecord",
    "Page",
    "Platform",
    "Record",
    "Store",
    "Stream",
    "Writer",
]


class Stream(enum.Enum):
    """The streams of records that a node uses.

    ACCEPTED has what callers handed in or cancelled, written by every node; PROGRESS
    only what the owner writes, so that it does not queue behind the others.
    """

    OPERATORS = "operators"
    MINIONS = "minions"
    ACCEPTED = "accepted"
    PROGRESS = "progress"
    STATUS = "status"


@dataclass(frozen=True, slots=True)
class Record:
    """A keyed record. An empty value drops the key."""

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class Page:
    """Records of a stream, and the offset after the last one of the stream."""

    records: tuple[Record, ...]
    end: int


@dataclass(frozen=True, slots=True)
class Writer:
    """Guards appends: an older epoch is refused, a repeated number applied once."""

    name: str
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The offsets of an append: its first record's, and the one after its last."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Membership:
    """A group's answer: its generation, and the lowest of the member's places in it.

    No two members of a generation share a place; None is for a member without one.
    Who has place 0 is the first to act. Places may change at any time, and the
    generation with them.
    """

    generation: int
    place: int | None

    @property
    def first(self) -> bool:
        """Whether this member is the first to act."""
        return self.place == 0


@dataclass(frozen=True, slots=True)
class Advised:
    """Tickets of the minions that may run a step, and for how long they are good."""

    ticket_by_minion: dict[str, str]
    valid_s: float


OperatorRecord = Configuration | UpkeepWave


class Store(ABC):
    """The platform's log store.

    Calls raise PlatformUnavailableError where nothing was done, UnknownOutcomeError
    where that is not known.
    """

    @abstractmethod
    def append(
        self, stream: Stream, records: Sequence[Record], writer: Writer | None = None
    ) -> Appended:
        """Append records, all or none.

        Raises OwnerReplacedError or SequenceError where ``writer`` is refused.
        """

    @abstractmethod
    def read(self, stream: Stream, offset: int, wait_ms: int) -> Page:
        """Return records from ``offset`` on, waiting for one to come.

        Raises RecordsTrimmedError where they have expired.
        """

    @abstractmethod
    def newest(self, stream: Stream) -> Page:
        """Return the newest record of each key.

        ``end`` is where to read on; some records may be newer than that.
        """

    @abstractmethod
    def join(self, member: str, generation: int) -> Membership:
        """Join the group of nodes, or stay in it."""

    @abstractmethod
    def members(self) -> frozenset[str]:
        """Return the members of the group of nodes."""

    @abstractmethod
    def leave(self, member: str) -> None:
        """Leave the group of nodes."""


class Minions(ABC):
    """Calls to minions.

    Each raises OwnerReplacedError where a newer fence is known, MinionGoneError where
    another minion answers, PlatformUnavailableError where nothing was done and
    UnknownOutcomeError where the order may be carried out.
    """

    @abstractmethod
    def hold(self, request: HoldRequest) -> MinionReport:
        """Look at a minion and, where asked for, renew its leases."""

    @abstractmethod
    def start(self, order: StartOrder, until_ms: int) -> str:
        """Start a run; return one of ``StartOutcome``."""

    @abstractmethod
    def stop(self, order: StopOrder) -> None:
        """Stop a run, and refuse it from then on."""

    @abstractmethod
    def pace(self, order: PaceOrder) -> None:
        """Set the pace of a run."""


class Machines(ABC):
    """The platform's machines, which are moved between pools and maintained.

    No fence may guard the orders, so none is sent after ``send_by``, a time of
    ``steady_seconds``: PlatformUnavailableError is raised instead.
    """

    @abstractmethod
    def list(self) -> tuple[MachineListing, ...]:
        """Return all machines."""

    @abstractmethod
    def move(self, machine: str, pool: str, epoch: int, send_by: float) -> bool:
        """Move a machine; tell whether it was done. All that runs there ends."""

    @abstractmethod
    def maintain(self, machine: str, wave: int, epoch: int, send_by: float) -> bool:
        """Begin a machine's upkeep; tell whether it was done."""


class Advisers(ABC):
    """The service that knows which minions a queue's policy allows."""

    @abstractmethod
    def advise(self, request: AdviceRequest) -> Advised:
        """Ask. Raises PlatformUnavailableError or UnknownOutcomeError."""


class Platform(ABC):
    """All that a node reaches, and the decoding of what others write."""

    store: Store
    minions: Minions
    machines: Machines
    advisers: Advisers

    @abstractmethod
    def decode_operator_record(self, record: Record) -> OperatorRecord | None:
        """Decode what operators wrote. Raises InvalidInputError."""

    @abstractmethod
    def decode_minion(self, record: Record) -> MinionListing:
        """Decode a minion's entry. Raises InvalidInputError."""

    @abstractmethod
    def wave_status(self, wave: int, done: bool) -> Record:
        """Return the record that tells operators how far a wave is."""
