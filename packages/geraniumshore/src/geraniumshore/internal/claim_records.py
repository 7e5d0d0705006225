"""The log records about idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, ClassVar, Literal

from pydantic import ConfigDict, Field

__all__ = ["Answer", "Claim", "KeptAnswer"]

STRICT = ConfigDict(extra="forbid")
Base64Text = Annotated[str, Field(pattern=r"^[A-Za-z0-9+/]*={0,2}$")]


@dataclass(frozen=True, slots=True)
class Claim:
    """Claims an idempotency key for one request, before anything is sent for it.

    ``digest`` is the digest of the request's body, to detect a different body under the
    same key.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    member: str
    team: str
    queue: str
    key: str
    digest: str
    kind: Literal["claim"] = "claim"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A minion's complete response, with its body in base64."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    status: int
    content_type: str
    content_encoding: str | None
    body: Base64Text

    @property
    def length(self) -> int:
        """The approximate size in bytes."""
        return len(self.body) + len(self.content_type)


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of the request that claim ``claim`` belongs to.

    ``not-run`` releases the key, so that a retry may run. ``answer`` is None
    unless the request ran and its answer is short enough to be kept.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    id: str
    claim: str
    team: str
    queue: str
    key: str
    outcome: Literal["not-run", "ran", "unknown"]
    answer: KeptAnswer | None = None
    kind: Literal["answer"] = "answer"
