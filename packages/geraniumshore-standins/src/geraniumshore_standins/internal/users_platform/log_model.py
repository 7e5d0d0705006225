"""In-memory model of the log store: topics, producers and groups.

Methods take the current time as an argument.
"""

from __future__ import annotations

import base64
import struct
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LogModel", "Reply"]

PARTITIONS = 32
PAGE_SIZE = 500
KEPT_REPLIES = 5
BYTES_PER_KB = 1024
# What a read returns at most if it names no size.
DEFAULT_READ_KB = 1024


@dataclass(frozen=True, slots=True)
class Reply:
    """A response: an HTTP status with a JSON document or a binary body."""

    status: int
    document: dict[str, Any] = field(default_factory=dict)
    raw: bytes | None = None


@dataclass(slots=True)
class _Producer:
    epoch: int
    next_number: int | None = None
    replies: dict[int, Reply] = field(default_factory=dict)


@dataclass(slots=True)
class _Partition:
    first: int = 0
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@dataclass(slots=True)
class _Group:
    generation: int = 0
    ttl_s: float = 0.0
    joined_at: dict[str, float] = field(default_factory=dict)
    member_by_partition: dict[int, str] = field(default_factory=dict)


class LogModel:
    """A store that never loses acknowledged records."""

    def __init__(self) -> None:
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._groups: dict[str, _Group] = {}

    def append(
        self,
        topic: str,
        part: int,
        body: bytes,
        producer: str | None = None,
        epoch: int = 0,
        number: int = 0,
    ) -> Reply:
        """Append the length-prefixed records of ``body`` atomically.

        A repeated number returns the reply to its first append.
        """
        partition = self._partition(topic, part)
        producer_state: _Producer | None = None
        if producer is not None:
            producer_state = partition.producers.setdefault(producer, _Producer(epoch))
            if epoch < producer_state.epoch:
                return Reply(409, {"reason": "fenced"})
            if epoch > producer_state.epoch:
                producer_state = partition.producers[producer] = _Producer(epoch)
            if number in producer_state.replies:
                return producer_state.replies[number]
            if body and producer_state.next_number not in (None, number):
                return Reply(
                    409, {"reason": "seq", "expected": producer_state.next_number}
                )
        offset = partition.end
        for content in _split_frames(body):
            if topic.startswith("keyed."):
                key, value = _split_key(content)
                if value:
                    partition.newest[key] = partition.end, value
                else:
                    partition.newest.pop(key, None)
            partition.records.append(content)
        reply = Reply(200, {"offset": offset, "end": partition.end})
        if producer_state is not None and body:
            producer_state.next_number = number + 1
            producer_state.replies[number] = reply
            producer_state.replies.pop(number - KEPT_REPLIES, None)
        return reply

    def put(self, topic: str, key: str, value: bytes, part: int = 0) -> None:
        """Append one keyed record without a producer, as operators and minions do."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        self.append(topic, part, struct.pack(">I", len(content)) + content)

    def read(
        self, topic: str, part: int, offset: int, max_kb: int = DEFAULT_READ_KB
    ) -> Reply:
        """Return the records at and after ``offset``, at most ``max_kb`` KiB or one."""
        partition = self._partition(topic, part)
        if offset < partition.first:
            return Reply(410, {"first": partition.first})
        records = partition.records[offset - partition.first :]
        head = struct.pack(">QQ", partition.end, partition.first)
        framed = (struct.pack(">I", len(record)) + record for record in records)
        body = next(framed, b"")
        for record in framed:
            if len(body) + len(record) > max_kb * BYTES_PER_KB:
                break
            body += record
        return Reply(200, raw=head + body)

    def end(self, topic: str, part: int) -> int:
        """Return the offset after the last record."""
        return self._partition(topic, part).end

    def newest(self, topic: str, part: int, after: str | None) -> Reply:
        """Return a page of the newest record of each key."""
        partition = self._partition(topic, part)
        keys = sorted(key for key in partition.newest if after is None or key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:PAGE_SIZE]
        ]
        has_more_keys = len(keys) > PAGE_SIZE
        return Reply(
            200, {"items": items, "has_more": has_more_keys, "end": partition.end}
        )

    def compact(self, topic: str, part: int = 0) -> None:
        """Drop all records except the newest of each key, which ``newest`` returns."""
        partition = self._partition(topic, part)
        partition.first = partition.end
        partition.records.clear()

    def join(
        self, group: str, member: str, ttl_s: float, generation: int, now: float
    ) -> Reply:
        """Join a group or renew the membership."""
        state = self._groups.setdefault(group, _Group())
        state.ttl_s = ttl_s
        self._expire_members(state, now, kept_member=member)
        if member not in state.joined_at:
            state.joined_at[member] = now
            self._rebalance(state)
        state.joined_at[member] = now
        rows = [
            ["members", number, 0]
            for number, holder in state.member_by_partition.items()
            if holder == member
        ]
        return Reply(200, {"generation": state.generation, "parts": rows})

    def leave(self, group: str, member: str) -> Reply:
        """Leave a group."""
        state = self._groups.setdefault(group, _Group())
        if member in state.joined_at:
            self._remove(state, member)
        return Reply(200, {})

    def owners(self, group: str, now: float) -> Reply:
        """Return the member of each partition after removing expired members."""
        state = self._groups.setdefault(group, _Group())
        self._expire_members(state, now)
        rows = [["members", n, m, 0] for n, m in state.member_by_partition.items()]
        return Reply(200, {"parts": rows})

    def _expire_members(
        self, state: _Group, now: float, kept_member: str | None = None
    ) -> None:
        for member, at in list(state.joined_at.items()):
            if member != kept_member and now - at > state.ttl_s:
                self._remove(state, member)

    def _remove(self, state: _Group, member: str) -> None:
        del state.joined_at[member]
        self._rebalance(state)

    @staticmethod
    def _rebalance(state: _Group) -> None:
        """Assign all partitions to the members round-robin in a new generation."""
        state.generation += 1
        members = sorted(state.joined_at)
        state.member_by_partition = {
            number: members[(number + state.generation) % len(members)]
            for number in range(PARTITIONS)
            if members
        }

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())


def _split_frames(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position + 4 <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        contents.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return contents


def _split_key(content: bytes) -> tuple[str, bytes]:
    length = content[0]
    return content[1 : 1 + length].decode(), content[1 + length :]
