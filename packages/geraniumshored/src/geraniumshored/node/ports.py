"""Interfaces between a node and the platform that it runs on."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import Future
from dataclasses import dataclass

from geraniumshore_scheduler import (
    AdviceRequest,
    Configuration,
    Evacuation,
    MachineListing,
    MaintenanceWave,
    MinionListing,
    MinionReport,
    PaceOrder,
    PollRequest,
    StartOrder,
    StopOrder,
)
from geraniumshored.node.answers import Answer, Caller

__all__ = [
    "Advice",
    "Advisers",
    "Appended",
    "Machines",
    "Membership",
    "Minions",
    "NewestPage",
    "OperatorRecord",
    "Page",
    "Peers",
    "Platform",
    "Record",
    "RelayedCall",
    "Store",
    "Stream",
    "Writer",
    "split_appends",
]


class Stream(enum.Enum):
    """The record streams that a node reads and writes.

    ACCEPTED holds submitted and cancelled jobs and is written by every node. PROGRESS
    is written by the owner only, so that its appends do not queue behind the others.
    """

    OPERATORS = "operators"
    MINIONS = "minions"
    ACCEPTED = "accepted"
    PROGRESS = "progress"
    STATUS = "status"


@dataclass(frozen=True, slots=True)
class Record:
    """A keyed record. An empty value deletes the key."""

    key: str
    value: bytes
    offset: int = -1

    @property
    def size(self) -> int:
        """The bytes that the record takes in an append, at most."""
        return RECORD_OVERHEAD_BYTES + len(self.key.encode()) + len(self.value)


# Bytes of a record beside its key and its value, at most.
RECORD_OVERHEAD_BYTES = 16


def split_appends(records: Iterable[Record], max_bytes: int) -> Iterator[list[Record]]:
    """Divide records into appends of at most ``max_bytes``, in their order.

    A record that is larger by itself gets an append of its own.
    """
    piece: list[Record] = []
    size = 0
    for record in records:
        if piece and size + record.size > max_bytes:
            yield piece
            piece, size = [], 0
        piece.append(record)
        size += record.size
    if piece:
        yield piece


@dataclass(frozen=True, slots=True)
class Page:
    """Records of a stream, and the offset after the stream's last record."""

    records: tuple[Record, ...]
    end: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """The newest records of some keys, and the log's end when they were read.

    ``next_after`` is the key after which the next page begins, None on the last page.
    """

    records: tuple[Record, ...]
    end: int
    next_after: str | None = None


@dataclass(frozen=True, slots=True)
class Writer:
    """Fences appends: an older epoch is refused, a repeated number is applied once."""

    name: str
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The offset of an append's first record, and the one after its last."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Membership:
    """The group's generation, and the lowest partition assigned to this member.

    No two members of a generation share a partition; ``partition`` is None for a member
    without one. The assignment may change at any time, and the generation with it.
    """

    generation: int
    partition: int | None

    @property
    def first(self) -> bool:
        """Whether this member holds partition 0 and so may claim a free schedule."""
        return self.partition == 0


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets for the minions that may run a step, and for how long they are valid."""

    ticket_by_minion: dict[str, str]
    valid_s: float


OperatorRecord = Configuration | MaintenanceWave | Evacuation


class Store(ABC):
    """The platform's log store.

    Calls raise PlatformUnavailableError if nothing was done, UnknownOutcomeError if
    the call may have been carried out.
    """

    @abstractmethod
    def append(
        self, stream: Stream, records: Sequence[Record], writer: Writer | None = None
    ) -> Appended:
        """Append records, all or none.

        Raises OwnerReplacedError or SequenceError if ``writer`` is refused.
        """

    @abstractmethod
    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        """Return records from ``offset`` on, waiting up to ``wait_ms`` for one.

        Returns at most about ``max_kb`` KiB, but at least one record if there are any.
        Raises RecordsTrimmedError if they have expired.
        """

    @abstractmethod
    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        """Return the newest records of the keys after ``after``, of the first if None.

        Pages are no snapshot. Continue reading the log at the first page's ``end``.
        Some records may be newer than that.
        """

    @abstractmethod
    def join(self, member: str, generation: int) -> Membership:
        """Join the group of nodes, or renew the membership."""

    @abstractmethod
    def members(self) -> frozenset[str]:
        """Return the members of the group of nodes."""

    @abstractmethod
    def leave(self, member: str) -> None:
        """Leave the group of nodes."""


class Minions(ABC):
    """Calls to minions.

    Each raises OwnerReplacedError if the minion knows a newer fence,
    MinionReplacedError if another minion answers, PlatformUnavailableError if nothing
    was done, and UnknownOutcomeError if the order may be carried out.
    """

    @abstractmethod
    def poll(self, request: PollRequest) -> Future[MinionReport]:
        """Poll a minion and, if requested, renew its leases.

        Does not wait for the answer: a minion may hold it back, and there may be
        thousands of them. The future's callbacks must not block.
        """

    @abstractmethod
    def start(self, order: StartOrder, until_ms: int, timeout_s: float) -> str:
        """Start a run; return one of ``StartOutcome``."""

    @abstractmethod
    def stop(self, order: StopOrder) -> None:
        """Stop a run. The minion refuses to start it afterwards."""

    @abstractmethod
    def pace(self, order: PaceOrder) -> None:
        """Set the pace of a run."""


class Machines(ABC):
    """The platform's machines, which are moved between pools and maintained.

    The platform may have no fence for these orders, so none is sent after ``send_by``,
    a time of ``steady_seconds``: PlatformUnavailableError is raised instead.
    """

    @abstractmethod
    def list(self) -> tuple[MachineListing, ...]:
        """Return all machines."""

    @abstractmethod
    def move(self, machine: str, pool: str, epoch: int, send_by: float) -> bool:
        """Move a machine, which ends all its tasks; return whether it was done."""

    @abstractmethod
    def maintain(self, machine: str, wave: int, epoch: int, send_by: float) -> bool:
        """Begin the maintenance of a machine; return whether it was done."""


class Advisers(ABC):
    """The service that decides which minions a queue's policy allows."""

    @abstractmethod
    def advise(self, request: AdviceRequest) -> Advice:
        """Return the minions that may run a step.

        Raises PlatformUnavailableError or UnknownOutcomeError.
        """


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """A caller's request as it is sent on to another node."""

    method: str
    caller: Caller
    body: bytes = b""


class Peers(ABC):
    """Calls to other nodes."""

    @abstractmethod
    def relay(self, address: str, call: RelayedCall) -> Answer:
        """Let the node at ``address`` answer a call.

        Raises PlatformUnavailableError if nothing was sent, UnknownOutcomeError if no
        answer came within the caller's timeout.
        """


class Platform(ABC):
    """The platform's services, and the decoding of records that others write."""

    store: Store
    minions: Minions
    machines: Machines
    advisers: Advisers
    peers: Peers

    @abstractmethod
    def decode_operator_record(self, record: Record) -> OperatorRecord | None:
        """Decode an operators' record, which may have an empty value.

        Returns None if it means nothing here. Raises InvalidInputError.
        """

    @abstractmethod
    def decode_minion(self, record: Record) -> MinionListing:
        """Decode a minion's entry. Raises InvalidInputError."""

    @abstractmethod
    def wave_status(self, wave: int, done: bool) -> Record:
        """Return the record that reports a wave's progress to operators."""
