"""The platform's log store: topics, producers and groups, as PROTOCOL.md has them."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins.web import Call, Reply, Server, json_reply

__all__ = ["Store"]

PARTITIONS = 32
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_S = 0.002
# How often a waiting read looks whether the store still answers.
CHECK_S = 0.05
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
REPEATABLE_APPENDS = 5


@dataclass
class _Producer:
    epoch: int
    next_number: int | None = None
    reply_by_number: dict[int, dict[str, Any]] = field(default_factory=dict)


class _Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producer_by_name: dict[str, _Producer] = {}
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()


@dataclass
class _Group:
    """The members, the partitions that each is to hold, and those that it holds."""

    generation: int = 0
    ttl_s: float = 1.0
    seen_at: dict[str, float] = field(default_factory=dict)
    target: dict[int, str] = field(default_factory=dict)
    holder: dict[int, str] = field(default_factory=dict)

    def change(self) -> None:
        """Deal the partitions anew; those of former members are free at once."""
        self.generation += 1
        members = sorted(self.seen_at)
        self.target = {
            number: members[(number + self.generation) % len(members)]
            for number in range(PARTITIONS)
            if members
        }
        for number in range(PARTITIONS):
            if self.holder.get(number) not in self.seen_at:
                self.holder.pop(number, None)
                if members:
                    self.holder[number] = self.target[number]

    def expire(self, now: float) -> None:
        gone = [m for m, at in self.seen_at.items() if now - at > self.ttl_s]
        for member in gone:
            del self.seen_at[member]
        if gone:
            self.change()


class Store:
    """Serves each node at an address of its own, so that faults can be put on one.

    ``slow_s`` is the time by which each answer is late. ``is_silent`` returns whether a
    call gets no answer for good, also one that is still waiting for a record.
    """

    def __init__(self) -> None:
        self._partition_by_key: dict[tuple[str, int], _Partition] = {}
        self._group_by_name: dict[str, _Group] = {}
        self.server_by_node: dict[str, Server] = {}
        self.slow_s = 0.0
        self.is_silent: Callable[[Call], bool] = lambda _: False
        self.refused: list[tuple[float, str]] = []

    async def serve_node(self, node: str) -> str:
        """Open an address for a node and return it."""
        if node not in self.server_by_node:
            server = Server(node, self._answer)
            await server.open()
            self.server_by_node[node] = server
        return self.server_by_node[node].address

    def close(self) -> None:
        """Close all addresses."""
        for server in self.server_by_node.values():
            server.close()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as the operator or a minion does."""
        name = key.encode()
        self._add(self._partition(topic, 0), topic, [bytes([len(name)]) + name + value])

    def newest(self, topic: str, part: int, key: str) -> bytes | None:
        """Return the newest value of a key."""
        found = self._partition(topic, part).newest.get(key)
        return None if found is None else found[1]

    def _partition(self, topic: str, part: int) -> _Partition:
        key = topic, part
        if key not in self._partition_by_key:
            self._partition_by_key[key] = _Partition()
        return self._partition_by_key[key]

    async def _answer(self, call: Call) -> Reply | None:
        if self.is_silent(call):
            await asyncio.Event().wait()
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        topic, part = call.query.get("topic", ""), int(call.query.get("part", 0))
        name = call.path.rpartition("/")[2]
        if name == "log-append":
            return await self._append(call, topic, part)
        if name == "log-read":
            return await self._read(call, topic, part)
        if name == "log-newest":
            return self._newest(topic, part, call.query.get("depends_on"))
        if name == "log-join":
            return self._join(call.document())
        if name == "log-leave":
            return self._leave(call.document())
        if name == "log-owners":
            group = self._group(call.query["group"])
            group.expire(time.monotonic())
            rows = [["members", n, m, 0] for n, m in sorted(group.holder.items())]
            return json_reply({"parts": rows})
        return Reply(404)

    async def _append(self, call: Call, topic: str, part: int) -> Reply:
        if topic in ("keyed.op", "keyed.servers"):
            return Reply(403)
        records = _split(call.body)
        if len(call.body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            longest = max(map(len, records), default=0)
            self.refused.append((time.monotonic(), f"{topic}/{part} record {longest}"))
            return Reply(413)
        partition = self._partition(topic, part)
        async with partition.turn:
            await asyncio.sleep(APPEND_S)
            return self._append_now(call, topic, partition, records)

    def _append_now(
        self, call: Call, topic: str, partition: _Partition, records: list[bytes]
    ) -> Reply:
        end = len(partition.records)
        if "at" in call.query and int(call.query["at"]) != end:
            return json_reply({"end": end}, 412)
        producer: _Producer | None = None
        number = int(call.query.get("seq", 0))
        if "producer" in call.query:
            name, epoch = call.query["producer"], int(call.query.get("epoch", 0))
            producer = partition.producer_by_name.get(name)
            if producer is not None and epoch < producer.epoch:
                return json_reply({"reason": "fenced"}, 409)
            if producer is None or epoch > producer.epoch:
                producer = partition.producer_by_name[name] = _Producer(epoch)
            if number in producer.reply_by_number:
                return json_reply(producer.reply_by_number[number])
            if records and producer.next_number not in (None, number):
                refused = {"reason": "seq", "expected": producer.next_number}
                return json_reply(refused, 409)
        self._add(partition, topic, records)
        answer = {"offset": end, "end": len(partition.records)}
        if producer is not None and records:
            producer.next_number = number + 1
            producer.reply_by_number[number] = answer
            producer.reply_by_number.pop(number - REPEATABLE_APPENDS, None)
        return json_reply(answer)

    @staticmethod
    def _add(partition: _Partition, topic: str, records: list[bytes]) -> None:
        for record in records:
            if topic.startswith("keyed."):
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                if value:
                    partition.newest[key] = len(partition.records), value
                else:
                    partition.newest.pop(key, None)
            partition.records.append(record)
        partition.changed.set()
        partition.changed = asyncio.Event()

    async def _read(self, call: Call, topic: str, part: int) -> Reply | None:
        partition = self._partition(topic, part)
        offset = int(call.query["from"])
        deadline = time.monotonic() + int(call.query.get("wait_ms", 0)) / 1000
        while offset >= len(partition.records):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.changed.wait(), min(left, CHECK_S))
            if self.is_silent(call):
                await asyncio.Event().wait()
        body = [struct.pack(">QQ", len(partition.records), 0)]
        size, limit = 0, int(call.query.get("max_kb", 1024)) * 1024
        for record in partition.records[offset:]:
            size += len(record) + 4
            if size > limit and len(body) > 1:
                break
            body.append(struct.pack(">I", len(record)) + record)
        return Reply(200, b"".join(body))

    def _newest(self, topic: str, part: int, after: str | None) -> Reply:
        partition = self._partition(topic, part)
        keys = sorted(k for k in partition.newest if after is None or k > after)
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            offset, value = partition.newest[key]
            size += len(value)
            if items and (len(items) >= PAGE_RECORDS or size > PAGE_BYTES):
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        more = len(items) < len(keys)
        return json_reply(
            {"items": items, "has_more": more, "end": len(partition.records)}
        )

    def _group(self, name: str) -> _Group:
        return self._group_by_name.setdefault(name, _Group())

    def _join(self, document: dict[str, Any]) -> Reply:
        group, member = self._group(document["group"]), document["member"]
        group.ttl_s = document["ttl_ms"] / 1000
        now = time.monotonic()
        known = member in group.seen_at
        group.seen_at[member] = now
        group.expire(now)
        if not known:
            group.change()
        elif document["generation"] >= group.generation:
            # The member knows what it has to give up.
            for number, holder in group.holder.items():
                if holder == member:
                    group.holder[number] = group.target[number]
        rows = [
            ["members", number, 0]
            for number in range(PARTITIONS)
            if group.holder.get(number) == group.target[number] == member
        ]
        return json_reply({"generation": group.generation, "parts": rows})

    def _leave(self, document: dict[str, Any]) -> Reply:
        group = self._group(document["group"])
        if group.seen_at.pop(document["member"], None) is not None:
            group.change()
        return json_reply({})


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position + 4 <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records
