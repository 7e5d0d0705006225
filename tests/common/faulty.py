"""A fleet whose every hop goes through the fault proxy, and what ran in truth."""

from __future__ import annotations

from collections import Counter

from geraniumshore_standins.internal.experiments.faulty_fleet import (
    FaultyFleet as HopFleet,
)
from geraniumshore_standins.internal.operator_client import HttpReply
from tests.common.notes import bearer, first_note
from tests.common.processes import apply_note

WORK_MS = 20


class FaultyFleet(HopFleet):
    """Entry hosts reach minions, the platform and each other through hops."""

    def start_all(
        self, entries: int, minions: int, run_limit_ms: int = 30_000, limit: int = 40
    ) -> None:
        self.work_ms = WORK_MS
        self.start_behind_hops(entries, minions)
        addresses = {name: hop.address for name, hop in self.hop_by_minion.items()}
        note = first_note({"acme": limit}, addresses, run_limit_ms=run_limit_ms)
        apply_note(self, note)

    def fault_minions(self, **faults: object) -> None:
        """Put a fault on every hop to a minion; pooled connections meet it too."""
        for hop in self.hop_by_minion.values():
            hop.set_faults(**faults)
            hop.reset()

    def send(
        self, entry: str, queue: str, body: str, key: str | None = None, **more: str
    ) -> HttpReply:
        headers = dict(more)
        if key is not None:
            headers["Idempotency-Key"] = key
        return self.by_name[entry].call(queue, bearer("acme"), body.encode(), headers)

    def runs_of(self, body: str) -> int:
        """Count the runs of a body that began and have ended, on all minions."""
        return self.runs_by_body()[body]

    def runs_by_body(self) -> Counter[str]:
        return Counter(
            run["body"]
            for minion in self.address_by_minion
            for run in self.minion_counts(minion)["runs"]
        )


def problem(reply: HttpReply) -> tuple[int, str, str]:
    document = reply.json()
    return reply.status, document["type"].rpartition(":")[2], document["outcome"]
