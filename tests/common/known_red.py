"""KNOWN-RED.txt: faults that a test shows and that are not mended yet.

Each line is one entry, its fields split by ``|``: the test, the command and seed that
show it, what was seen, and the issue. Lines that begin with ``#`` and empty ones are
left out. A listed test is passed over and printed; it stays as it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

__all__ = ["KnownRed", "read_known_red"]

FIELDS = 4


@dataclass(frozen=True)
class KnownRed:
    """One entry; ``test`` is a pytest node id."""

    test: str
    command: str
    seen: str
    issue: str


def read_known_red(path: Path) -> dict[str, KnownRed]:
    """Return the entries by test. Raises ValueError for a line of another form."""
    if not path.exists():
        return {}
    red_by_test: dict[str, KnownRed] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"{path.name}:{number}: expected {FIELDS} fields: {line}")
        red_by_test[fields[0]] = KnownRed(*fields)
    return red_by_test
