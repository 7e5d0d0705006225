"""Parser of KNOWN-RED.txt, the list of tests that fail because of an unfixed fault.

Each line is one entry with fields separated by ``|``: the test, the command and seed
that reproduce the failure, the observed result, and the issue. Empty lines and lines
that begin with ``#`` are ignored. Listed tests are skipped and printed; their
code stays unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

__all__ = ["KnownRed", "read_known_red"]

FIELDS = 4


@dataclass(frozen=True)
class KnownRed:
    """One entry. ``test`` is a pytest node id."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(path: Path) -> dict[str, KnownRed]:
    """Return the entries by test. Raises ValueError for a malformed line."""
    if not path.exists():
        return {}
    entry_by_test: dict[str, KnownRed] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"{path.name}:{number}: expected {FIELDS} fields: {line}")
        entry_by_test[fields[0]] = KnownRed(*fields)
    return entry_by_test
