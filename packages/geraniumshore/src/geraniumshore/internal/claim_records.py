"""The log's records about idempotency keys."""

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

    ``digest`` is of the request's body, so that another body under the same key can
    be told apart.
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
    """A minion's whole answer, with its body in base64."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    status: int
    content_type: str
    content_encoding: str | None
    body: Base64Text

    @property
    def length(self) -> int:
        """The bytes that keeping it takes, about."""
        return len(self.body) + len(self.content_type)


@dataclass(frozen=True, slots=True)
class Answer:
    """What became of the request that claim ``claim`` stands for.

    ``not-run`` gives the key back, so that a retry may run. ``answer`` is None where
    the request ran and its answer is too long to be kept.
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
