"""The configuration, and how release notes are checked and applied to it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, replace
from itertools import chain
from typing import Any

from result import Err, Ok, Result

from geraniumshore.errors import Finding
from geraniumshore.internal.configuration_checks import check_fleet, check_moves
from geraniumshore.internal.items import (
    Host,
    Key,
    Minion,
    Pool,
    Queue,
    Service,
    Team,
    Wave,
    Weights,
)
from geraniumshore.internal.release import Items, ReleaseNote

__all__ = ["Configuration", "apply_release", "check_configuration"]


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force. ``version`` counts the accepted release notes."""

    version: int = 0
    pools: dict[str, Pool] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    minions: dict[str, Minion] = field(default_factory=dict)
    teams: dict[str, Team] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    queues: dict[str, Queue] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    weights: dict[str, Weights] = field(default_factory=dict)

    def job_pools(self) -> list[str]:
        """Return the pools that job queues name, without duplicates."""
        named = (q.pool for q in self.queues.values() if q.kind == "job")
        return sorted({pool for pool in named if pool is not None})


SECTIONS = tuple(f.name for f in fields(Configuration) if f.name != "version")


def apply_release(
    configuration: Configuration, note: ReleaseNote
) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration after ``note``, or findings for all its errors.

    The result depends on the configuration and the note only.
    """
    changed = _merge(configuration, note)
    findings = tuple(
        chain(
            _check_base(configuration, note),
            _check_added(configuration, note),
            _check_known(configuration, note),
            _check_named_once(note),
            check_configuration(changed),
            check_moves(configuration, changed),
        )
    )
    return Err(findings) if findings else Ok(changed)


def check_configuration(configuration: Configuration) -> Iterator[Finding]:
    """Yield every dangling reference, contradiction and unsatisfiable requirement."""
    yield from _check_references(configuration, "hosts", "pool", "pools")
    yield from _check_references(configuration, "services", "pool", "pools")
    yield from _check_references(configuration, "minions", "service", "services")
    yield from _check_references(configuration, "minions", "host", "hosts")
    yield from _check_references(configuration, "keys", "team", "teams")
    yield from _check_references(configuration, "queues", "service", "services")
    yield from _check_references(configuration, "queues", "pool", "pools")
    yield from _check_references(configuration, "queues", "open_team", "teams")
    yield from _check_queues(configuration)
    yield from _check_waves(configuration)
    yield from check_fleet(configuration)


def _merge(configuration: Configuration, note: ReleaseNote) -> Configuration:
    merged: dict[str, Any] = {}
    for section in SECTIONS:
        items = dict(getattr(configuration, section))
        items.update(getattr(note.added, section))
        items.update(getattr(note.changed, section))
        for name in getattr(note.withdrawn, section):
            items.pop(name, None)
        merged[section] = items
    return replace(configuration, version=configuration.version + 1, **merged)


def _check_base(configuration: Configuration, note: ReleaseNote) -> Iterator[Finding]:
    if note.base != configuration.version:
        yield Finding(
            "base",
            f"got version {note.base}, but version {configuration.version} is in force",
        )


def _check_added(configuration: Configuration, note: ReleaseNote) -> Iterator[Finding]:
    for section in SECTIONS:
        present = getattr(configuration, section)
        for name in getattr(note.added, section):
            if name in present:
                yield Finding(f"added.{section}.{name}", "already exists")


def _check_known(configuration: Configuration, note: ReleaseNote) -> Iterator[Finding]:
    for part, names_of in _NAMES_BY_PART.items():
        for section in SECTIONS:
            present = getattr(configuration, section)
            for name in names_of(note, section):
                if name not in present:
                    yield Finding(f"{part}.{section}.{name}", "does not exist")


_NAMES_BY_PART: dict[str, Callable[[ReleaseNote, str], Any]] = {
    "changed": lambda note, section: getattr(note.changed, section),
    "withdrawn": lambda note, section: getattr(note.withdrawn, section),
}


def _check_named_once(note: ReleaseNote) -> Iterator[Finding]:
    for section in SECTIONS:
        changed: Items = note.changed
        for name in getattr(note.withdrawn, section):
            if name in getattr(changed, section):
                yield Finding(
                    f"withdrawn.{section}.{name}", "is also under changed; want one"
                )


def _check_references(
    configuration: Configuration, section: str, attribute: str, target: str
) -> Iterator[Finding]:
    known = getattr(configuration, target)
    for name, item in getattr(configuration, section).items():
        wanted = getattr(item, attribute)
        if wanted is not None and wanted not in known:
            yield Finding(
                f"{section}.{name}.{attribute}", f"no {target[:-1]} is named {wanted!r}"
            )


def _check_queues(configuration: Configuration) -> Iterator[Finding]:
    for name, queue in configuration.queues.items():
        target = "service" if queue.kind == "request" else "pool"
        if getattr(queue, target) is None:
            yield Finding(f"queues.{name}.{target}", f"a {queue.kind} queue needs one")
        if queue.open and queue.open_team is None:
            yield Finding(
                f"queues.{name}.open_team", "an open queue needs a team to count for"
            )


def _check_waves(configuration: Configuration) -> Iterator[Finding]:
    for name, wave in configuration.waves.items():
        for pool in wave.pools:
            if pool not in configuration.pools:
                yield Finding(f"waves.{name}.pools", f"no pool is named {pool!r}")
        for host in wave.hosts:
            if host not in configuration.hosts:
                yield Finding(f"waves.{name}.hosts", f"no host is named {host!r}")
