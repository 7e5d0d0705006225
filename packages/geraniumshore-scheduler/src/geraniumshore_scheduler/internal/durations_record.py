"""The record of learned durations in the progress stream, for the next owner."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import accumulate, takewhile
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from geraniumshore_scheduler.errors import Finding, InvalidInputError
from geraniumshore_scheduler.internal.durations import (
    LAST_STEP_NUMBER,
    MAX_BIN,
    MAX_ENTRIES,
    MAX_EVIDENCE,
    RECORDED_QUANTILES,
    DurationKey,
    LearnedDuration,
)
from geraniumshore_scheduler.internal.records import (
    MAX_LEARNED_BYTES,
    RecordKind,
)

__all__ = ["DURATIONS_KEY", "decode_durations", "encode_durations"]

DURATIONS_KEY = f"{RecordKind.LEARNED.value}/durations"

_Bin = Annotated[int, Field(ge=-MAX_BIN, le=MAX_BIN)]


class _Entry(BaseModel):
    """One entry: a step of a queue (``q``, ``s``) or an image (``i``)."""

    model_config = ConfigDict(frozen=True, strict=True, extra="forbid")

    q: str = ""
    s: Annotated[int, Field(ge=0, le=LAST_STEP_NUMBER)] = 0
    i: str = ""
    n: Annotated[float, Field(gt=0, le=MAX_EVIDENCE)]
    b: Annotated[
        list[_Bin],
        Field(min_length=RECORDED_QUANTILES, max_length=RECORDED_QUANTILES),
    ]

    @classmethod
    def from_learned(cls, learned: LearnedDuration) -> _Entry:
        key, evidence, bins = learned
        return cls(q=key.queue, s=key.step, i=key.image, n=evidence, b=list(bins))

    def to_learned(self) -> LearnedDuration:
        key = (
            DurationKey.of_image(self.i) if self.i else DurationKey(self.q, self.s, "")
        )
        return LearnedDuration(key, self.n, tuple(self.b))


class _Document(BaseModel):
    """The whole record. Owners of other versions ignore it."""

    model_config = ConfigDict(frozen=True, strict=True, extra="forbid")

    version: Literal[1] = 1
    entries: Annotated[list[_Entry], Field(max_length=MAX_ENTRIES)]


def encode_durations(
    entries: Iterable[LearnedDuration], max_bytes: int = MAX_LEARNED_BYTES
) -> bytes:
    """Encode the first entries, as many as fit into a record."""
    encoded = [
        _Entry.from_learned(entry).model_dump_json(exclude_defaults=True)
        for entry in entries
    ]
    empty = _Document(entries=[]).model_dump_json()
    # Each entry is followed by a comma.
    sizes = accumulate(len(entry.encode()) + 1 for entry in encoded)
    limit = max_bytes - len(empty)
    fitting = sum(1 for _ in takewhile(lambda size: size <= limit, sizes))
    return empty.replace("[]", f"[{','.join(encoded[:fitting])}]").encode()


def decode_durations(value: bytes) -> list[LearnedDuration]:
    """Decode learned durations. Raises InvalidInputError."""
    try:
        document = _Document.model_validate_json(value)
    except ValidationError as error:
        raise InvalidInputError([Finding("learned durations", str(error))]) from error
    return [entry.to_learned() for entry in document.entries]
