"""Fleet with the fault proxy on every hop, and counts of what its minions ran."""

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
    """Fleet whose entry hosts reach minions, platform and peers through hops."""

    def start_all(
        self, entries: int, minions: int, run_limit_ms: int = 30_000, limit: int = 40
    ) -> None:
        self.work_ms = WORK_MS
        self.start_behind_hops(entries, minions)
        addresses = {name: hop.address for name, hop in self.hop_by_minion.items()}
        note = first_note({"acme": limit}, addresses, run_limit_ms=run_limit_ms)
        apply_note(self, note)

    def set_minion_hop_faults(self, **faults: object) -> None:
        """Set faults on every hop to a minion.

        The hops are reset, so that pooled connections cannot avoid the faults.
        """
        for hop in self.hop_by_minion.values():
            hop.set_faults(**faults)
            hop.reset()

    def send(
        self,
        entry: str,
        queue: str,
        body: str,
        key: str | None = None,
        **extra_headers: str,
    ) -> HttpReply:
        headers = dict(extra_headers)
        if key is not None:
            headers["Idempotency-Key"] = key
        return self.entry_by_name[entry].call(
            queue, bearer("acme"), body.encode(), headers
        )

    def run_count(self, body: str) -> int:
        """Return the number of completed runs of a body on all minions."""
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
