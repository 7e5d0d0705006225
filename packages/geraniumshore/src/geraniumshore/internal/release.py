"""Release notes: the documents with which operators change the configuration."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from geraniumshore.errors import Finding
from geraniumshore.internal.items import (
    Host,
    Key,
    Minion,
    Name,
    Pool,
    Queue,
    Service,
    Team,
    Wave,
    Weights,
)

__all__ = [
    "Items",
    "ReleaseNote",
    "Withdrawn",
    "load_json",
    "parse_release",
    "validation_findings",
]


class Items(BaseModel):
    """Items by name, one field for each section of the configuration."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    pools: dict[Name, Pool] = {}
    hosts: dict[Name, Host] = {}
    services: dict[Name, Service] = {}
    minions: dict[Name, Minion] = {}
    teams: dict[Name, Team] = {}
    keys: dict[Name, Key] = {}
    queues: dict[Name, Queue] = {}
    waves: dict[Name, Wave] = {}
    weights: dict[Name, Weights] = {}


class Withdrawn(BaseModel):
    """Names of the items to remove, by section."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    pools: list[Name] = []
    hosts: list[Name] = []
    services: list[Name] = []
    minions: list[Name] = []
    teams: list[Name] = []
    keys: list[Name] = []
    queues: list[Name] = []
    waves: list[Name] = []
    weights: list[Name] = []


class ReleaseNote(BaseModel):
    """Items to add, change and withdraw in version ``base`` of the configuration."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    base: int = Field(ge=0)
    note: str = ""
    added: Items = Items()
    changed: Items = Items()
    withdrawn: Withdrawn = Withdrawn()

    def changes(self) -> Iterator[str]:
        """Yield the path of every named item, such as ``changed.pools.a``."""
        for part in ("added", "changed", "withdrawn"):
            for section, items in getattr(self, part):
                for name in items:
                    yield f"{part}.{section}.{name}"


def parse_release(
    text: str, place: str = "note"
) -> Result[ReleaseNote, tuple[Finding, ...]]:
    """Parse a release note from JSON, or return findings for all its errors.

    ``place``, such as a file name, is the prefix of each finding's place.
    """
    loaded = load_json(text, place)
    if isinstance(loaded, Err):
        return loaded
    try:
        return Ok(ReleaseNote.model_validate(loaded.ok_value))
    except ValidationError as error:
        return Err(validation_findings(error, place))


def load_json(text: str, place: str) -> Result[Any, tuple[Finding, ...]]:
    """Parse JSON; a field that occurs twice in one object is an error."""
    duplicates: list[Finding] = []

    def unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        document = dict(pairs)
        if len(document) != len(pairs):
            names = [name for name, _ in pairs]
            for name in sorted({n for n in names if names.count(n) > 1}):
                duplicates.append(
                    Finding(f"{place}: {name}", "occurs twice; want once")
                )
        return document

    try:
        document = json.loads(text, object_pairs_hook=unique)
    except (ValueError, RecursionError) as error:
        return Err((Finding(place, f"is not JSON: {error}"),))
    return Err(tuple(duplicates)) if duplicates else Ok(document)


def validation_findings(error: ValidationError, place: str) -> tuple[Finding, ...]:
    """Convert a pydantic error into findings, one for each error in it."""
    return tuple(
        Finding(
            f"{place}: {'.'.join(str(part) for part in fault['loc']) or 'document'}",
            f"{fault['msg']}, got {_shorten(fault['input'])}",
        )
        for fault in error.errors(include_url=False, include_context=False)
    )


def _shorten(value: object, length: int = 60) -> str:
    text = repr(value)
    return text if len(text) <= length else text[: length - 3] + "..."
