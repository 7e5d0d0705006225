"""Experiment: time without grants for a service after its home is killed.

The home of a service is the entry host that keeps the service's ledger.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import ClassVar

from geraniumshore import GeneratedKey
from geraniumshore.internal.homes import LedgerKey, service_ledger, team_ledger
from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.experiments.processes import (
    FleetSize,
    start_fleet,
)
from geraniumshore_standins.internal.fleet import EntryProcess, Fleet, wait_for

__all__ = ["FailoverExperiment"]

SIZE = FleetSize(entries=5, services=1, minions=6, slots=8)
ROUNDS = 3
TEAM = "a"
GRANT_TIMEOUT_SECONDS = 60.0


@register
class FailoverExperiment(Experiment):
    """Kills the home of a service repeatedly and calls the other entry hosts."""

    name: ClassVar[str] = "failover"
    purpose: ClassVar[str] = "time from a killed home to the next grant"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the time until grants resume in each round."""
        with Fleet() as fleet:
            keys = start_fleet(fleet, SIZE)
            for number in range(ROUNDS):
                subject = f"round {number + 1}"
                home = _home_entry(fleet, service_ledger("s0"))
                hosts_team_home = home is _home_entry(fleet, team_ledger(TEAM))
                yield Measurement(
                    subject, "team's home on it too", hosts_team_home, "0 or 1"
                )
                seconds = self._measure_round(fleet, home, keys)
                yield Measurement(subject, "until grants", seconds, "s")

    def _measure_round(
        self, fleet: Fleet, home: EntryProcess, keys: dict[str, GeneratedKey]
    ) -> float:
        others = [entry for entry in fleet.entry_by_name.values() if entry is not home]
        bearer = keys[TEAM].bearer
        _wait_for_answers([home, *others], bearer)
        home.kill()
        killed = time.monotonic()
        _wait_for_answers(others, bearer)
        recovery_seconds = time.monotonic() - killed
        fleet.restart_entry(home.name)
        fleet.wait_until_ready()
        entries = list(fleet.entry_by_name.values())
        wait_for(
            lambda: all(len(e.status()["members"]) == SIZE.entries for e in entries),
            "every entry host in the view",
        )
        return recovery_seconds


def _home_entry(fleet: Fleet, ledger: LedgerKey) -> EntryProcess:
    status = next(iter(fleet.entry_by_name.values())).status()
    member = status["homes"][ledger]
    return fleet.entry_by_name[member.rpartition("-")[0]]


def _wait_for_answers(entries: list[EntryProcess], bearer: str) -> None:
    for entry in entries:
        wait_for(
            lambda e=entry: _is_served(e, bearer),  # type: ignore[misc]
            f"grant through {entry.name}",
            GRANT_TIMEOUT_SECONDS,
        )


def _is_served(entry: EntryProcess, bearer: str) -> bool:
    headers = {"Deadline-Ms": "500"}
    return entry.call("s0", bearer, headers=headers).status == 200
