"""Helpers that start fleets of real processes for tests."""

from __future__ import annotations

from geraniumshore import ReleaseNote
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import wait_for
from tests.common.notes import first_note


def start_fleet(
    fleet: Fleet, entries: int, minions: int, limits: dict[str, int], slots: int = 8
) -> None:
    """Start all processes and apply a first release note."""
    fleet.start_platform()
    for number in range(minions):
        fleet.start_minion(f"m{number}", slots)
    for number in range(entries):
        fleet.start_entry(f"e{number}")
    fleet.wait_for_minions()
    fleet.wait_until_ready()
    apply_note(fleet, first_note(limits, fleet.address_by_minion, slots))


def apply_note(fleet: Fleet, note: ReleaseNote) -> None:
    """Apply a release note and wait until every running entry host has folded it."""
    running = [e for e in fleet.entry_by_name.values() if e.process.poll() is None]
    reply = running[0].operator.post("releases", note.model_dump(mode="json"))
    assert reply.status == 200, reply.body
    wait_for(
        lambda: all(e.status()["version"] == note.base + 1 for e in running),
        f"version {note.base + 1} everywhere",
    )
