"""The store as a model: topics, producers and groups. Time is passed in."""

from __future__ import annotations

import base64
import struct
from dataclasses import dataclass, field
from typing import Any

__all__ = ["LogModel", "Reply"]

PARTITIONS = 32
PAGE = 500
REMEMBERED_APPENDS = 5


@dataclass(frozen=True, slots=True)
class Reply:
    """A status and either a document or raw bytes."""

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
    """Loses nothing that it has acknowledged."""

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
        """Append the framed records of ``body``, all or none."""
        partition = self._partition(topic, part)
        known: _Producer | None = None
        if producer is not None:
            known = partition.producers.setdefault(producer, _Producer(epoch))
            if epoch < known.epoch:
                return Reply(409, {"reason": "fenced"})
            if epoch > known.epoch:
                known = partition.producers[producer] = _Producer(epoch)
            if number in known.replies:
                return known.replies[number]
            if body and known.next_number not in (None, number):
                return Reply(409, {"reason": "seq", "expected": known.next_number})
        offset = partition.end
        for content in _split(body):
            if topic.startswith("keyed."):
                key, value = _split_key(content)
                if value:
                    partition.newest[key] = partition.end, value
                else:
                    partition.newest.pop(key, None)
            partition.records.append(content)
        reply = Reply(200, {"offset": offset, "end": partition.end})
        if known is not None and body:
            known.next_number = number + 1
            known.replies[number] = reply
            known.replies.pop(number - REMEMBERED_APPENDS, None)
        return reply

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one keyed record, as operators and minions do."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        self.append(topic, 0, struct.pack(">I", len(content)) + content)

    def read(self, topic: str, part: int, offset: int) -> Reply:
        """Return the records from ``offset`` on."""
        partition = self._partition(topic, part)
        if offset < partition.first:
            return Reply(410, {"first": partition.first})
        records = partition.records[offset - partition.first :]
        head = struct.pack(">QQ", partition.end, partition.first)
        body = b"".join(struct.pack(">I", len(r)) + r for r in records)
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
            for key in keys[:PAGE]
        ]
        more = len(keys) > PAGE
        return Reply(200, {"items": items, "has_more": more, "end": partition.end})

    def compact(self, topic: str, part: int = 0) -> None:
        """Let all records expire; the newest of each key stay."""
        partition = self._partition(topic, part)
        partition.first = partition.end
        partition.records.clear()

    def join(
        self, group: str, member: str, ttl_s: float, generation: int, now: float
    ) -> Reply:
        """Join a group or stay in it."""
        state = self._groups.setdefault(group, _Group())
        state.ttl_s = ttl_s
        self._drop_silent(state, now, spared=member)
        if member not in state.joined_at:
            state.joined_at[member] = now
            self._deal(state)
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
        """Return who holds which partition; silent members are dropped by time."""
        state = self._groups.setdefault(group, _Group())
        self._drop_silent(state, now)
        rows = [["members", n, m, 0] for n, m in state.member_by_partition.items()]
        return Reply(200, {"parts": rows})

    def _drop_silent(
        self, state: _Group, now: float, spared: str | None = None
    ) -> None:
        for member, at in list(state.joined_at.items()):
            if member != spared and now - at > state.ttl_s:
                self._remove(state, member)

    def _remove(self, state: _Group, member: str) -> None:
        del state.joined_at[member]
        self._deal(state)

    @staticmethod
    def _deal(state: _Group) -> None:
        """Deal all partitions anew, in turn."""
        state.generation += 1
        members = sorted(state.joined_at)
        state.member_by_partition = {
            number: members[(number + state.generation) % len(members)]
            for number in range(PARTITIONS)
            if members
        }

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())


def _split(body: bytes) -> list[bytes]:
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
