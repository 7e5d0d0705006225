"""HTTP client for the platform's log store."""

from __future__ import annotations

import base64
import struct
from collections.abc import Sequence
from urllib.parse import quote, urlencode

from geraniumshore_scheduler import (
    OwnerReplacedError,
    PlatformUnavailableError,
    RecordsTrimmedError,
    SequenceError,
    UnknownOutcomeError,
)
from geraniumshored.node.ports import (
    Appended,
    Membership,
    NewestPage,
    Page,
    Record,
    Store,
    Stream,
    Writer,
)
from geraniumshored.platform.http import HttpClient, HttpReply
from geraniumshored.platform.idle_timeout import GROWING_ANSWER_TIMEOUT_S, IdleTimeout

__all__ = ["LogStore"]

# The store responds in about 10 ms, on a bad day in up to 60 times as long. Concurrent
# appends to a partition queue for up to 2 s before the store refuses them.
CALL_TIMEOUT_SECONDS = 2.0
# A page of newest records fails when no byte has arrived for this long. After failures
# the time grows up to the second one.
NEWEST_IDLE_SECONDS = 2.0
MAX_NEWEST_IDLE_SECONDS = 6.0
# Added to the wait time of a long-polling read before the connection counts as dead.
# Applies to the time without a byte.
READ_MARGIN_SECONDS = 1.0
# A join must return well within the group's time to live. Applies to the time without
# a byte, also of the call that reads the group.
GROUP_TIMEOUT_SECONDS = 0.8
MS_PER_SECOND = 1000
GROUP = "geraniumshore"
# Holds no records. The topic exists so that its partitions are assigned to the members.
GROUP_TOPIC = "members"

# The topic and the partition of each stream.
PARTITION_BY_STREAM = {
    Stream.OPERATORS: ("keyed.op", 0),
    Stream.MINIONS: ("keyed.servers", 0),
    Stream.ACCEPTED: ("keyed.jobs", 0),
    Stream.PROGRESS: ("keyed.jobs", 1),
    Stream.STATUS: ("keyed.status", 0),
}


class LogStore(Store):
    """Reads and appends records and manages group membership.

    Each stream is one partition of a topic.
    """

    def __init__(self, http: HttpClient, address: str, group_ttl_ms: int) -> None:
        self._http = http
        self._address = address
        self._group_ttl_ms = group_ttl_ms
        self._newest_idle_by_stream = {
            stream: IdleTimeout(NEWEST_IDLE_SECONDS, MAX_NEWEST_IDLE_SECONDS)
            for stream in PARTITION_BY_STREAM
        }

    def append(
        self, stream: Stream, records: Sequence[Record], writer: Writer | None = None
    ) -> Appended:
        """Append records. Without records, only open the writer's epoch.

        Raises OwnerReplacedError for an outdated epoch, SequenceError for an unexpected
        sequence number.
        """
        query = _partition_query(stream)
        if writer is not None:
            query.update(producer=writer.name, epoch=writer.epoch, seq=writer.number)
        body = b"".join(map(_encode_record, records))
        reply = self._call("POST", "/v1/log-append", query, CALL_TIMEOUT_SECONDS, body)
        if reply.status == 409:
            refused = reply.document()
            if refused.get("reason") == "fenced":
                raise OwnerReplacedError("append rejected: the log knows a newer epoch")
            # The API documentation does not name the field of the expected number.
            expected = next((v for v in refused.values() if isinstance(v, int)), -1)
            raise SequenceError(expected)
        _require_ok(reply)
        document = reply.document()
        return Appended(int(document.get("offset", 0)), int(document.get("end", 0)))

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        """Read records from an offset; wait up to ``wait_ms`` if there are none.

        The store returns at most ``max_kb`` KiB.
        Raises RecordsTrimmedError if the offset is no longer retained.
        """
        query = {
            **_partition_query(stream),
            "from": offset,
            "max_kb": max_kb,
            "wait_ms": wait_ms,
        }
        idle_timeout = wait_ms / MS_PER_SECOND + READ_MARGIN_SECONDS
        reply = self._call_growing("/v1/log-read", query, idle_timeout)
        if reply.status == 410:
            raise RecordsTrimmedError(int(reply.document().get("first", 0)))
        _require_ok(reply)
        return _decode_page(reply.body, offset)

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        """Return one page of the newest records, of the keys after ``after``."""
        query = _partition_query(stream)
        if after is not None:
            # In this call the parameter is the last key of the previous page.
            query["depends_on"] = after
        patience = self._newest_idle_by_stream[stream]
        try:
            reply = self._call_growing("/v1/log-newest", query, patience.seconds)
        except UnknownOutcomeError:
            patience.on_unanswered()
            raise
        patience.on_answered()
        _require_ok(reply)
        document = reply.document()
        items = document.get("items") or []
        records = tuple(
            Record(i["key"], base64.b64decode(i["value"]), int(i["offset"]))
            for i in items
        )
        has_more = bool(items and document.get("has_more"))
        last_key = records[-1].key if has_more else None
        return NewestPage(records, int(document["end"]), last_key)

    def join(self, member: str, generation: int) -> Membership:
        """Join the group; the store assigns the topic's partitions to the members."""
        document = self._post(
            "/v1/log-join",
            {
                "group": GROUP,
                "member": member,
                "topics": [GROUP_TOPIC],
                "ttl_ms": self._group_ttl_ms,
                "generation": generation,
            },
            GROWING_ANSWER_TIMEOUT_S,
        ).document()
        assigned = (
            int(row[1]) for row in document.get("parts") or [] if row[0] == GROUP_TOPIC
        )
        return Membership(int(document["generation"]), min(assigned, default=None))

    def members(self) -> frozenset[str]:
        """Return the members that hold a partition of the group's topic."""
        query: dict[str, object] = {"group": GROUP}
        reply = self._call_growing("/v1/log-owners", query, GROUP_TIMEOUT_SECONDS)
        _require_ok(reply)
        rows = next(
            (rows for rows in reply.document().values() if isinstance(rows, list)), []
        )
        return frozenset(str(row[2]) for row in rows if len(row) > 2 and row[2])

    def leave(self, member: str) -> None:
        """Leave the group."""
        document: dict[str, object] = {"group": GROUP, "member": member}
        self._post("/v1/log-leave", document, GROUP_TIMEOUT_SECONDS)

    def _post(
        self, path: str, document: dict[str, object], timeout: float
    ) -> HttpReply:
        reply = self._http.post_json(
            self._address,
            path,
            document,
            timeout,
            idle_timeout=GROUP_TIMEOUT_SECONDS,
        )
        _require_ok(reply)
        return reply

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout: float,
        body: bytes | None = None,
    ) -> HttpReply:
        target = _target(path, query)
        return self._http.request(self._address, method, target, timeout, body)

    def _call_growing(
        self, path: str, query: dict[str, object], idle_timeout: float
    ) -> HttpReply:
        """Make a call whose answer may be long, so that a slow link takes its time."""
        return self._http.request(
            self._address,
            "GET",
            _target(path, query),
            GROWING_ANSWER_TIMEOUT_S,
            idle_timeout=idle_timeout,
        )


def _target(path: str, query: dict[str, object]) -> str:
    return f"{path}?{urlencode(query, quote_via=quote)}"


def _partition_query(stream: Stream) -> dict[str, object]:
    topic, partition = PARTITION_BY_STREAM[stream]
    return {"topic": topic, "part": partition}


def _require_ok(reply: HttpReply) -> None:
    if reply.status == 200:
        return
    detail = f"store call failed: HTTP {reply.status}"
    if reply.status in (400, 403, 404, 410, 413, 429, 503, 507):
        raise PlatformUnavailableError(detail)
    raise UnknownOutcomeError(detail)


def _encode_record(record: Record) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return struct.pack(">I", len(content)) + content


def _decode_page(body: bytes, offset: int) -> Page:
    if len(body) < 16:
        raise UnknownOutcomeError("truncated response from the store")
    (end,) = struct.unpack_from(">Q", body)
    records: list[Record] = []
    position = 16
    while position + 4 <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        key_length = content[0] if content else 0
        key = content[1 : 1 + key_length].decode(errors="replace")
        records.append(Record(key, content[1 + key_length :], offset))
        offset += 1
    return Page(tuple(records), end)
