"""A fleet whose every hop goes through the fault proxy, and what ran in truth."""

from __future__ import annotations

from collections import Counter

from geraniumshore_standins import Fleet, Hop
from geraniumshore_standins.internal.operator_client import HttpReply
from tests.common.notes import bearer, first_note
from tests.common.processes import apply_note


class FaultyFleet(Fleet):
    """Entry hosts reach minions, the platform and each other through hops."""

    def start_all(
        self, entries: int, minions: int, run_limit_ms: int = 30_000, limit: int = 40
    ) -> None:
        self.hop_by_minion: dict[str, Hop] = {}
        self.hop_by_entry: dict[str, Hop] = {}
        self.platform_hop_by_entry: dict[str, Hop] = {}
        self.start_platform()
        self.start_proxy()
        for number in range(minions):
            name = f"m{number}"
            self.hop_by_minion[name] = self.open_hop(self.start_minion(name))
        for number in range(entries):
            name = f"e{number}"
            hop = self.open_hop(self.platform_address)
            self.platform_hop_by_entry[name] = hop
            entry = self.start_entry(
                name, platform_address=hop.address, peer_proxied=True
            )
            self.hop_by_entry[name] = self.open_hop(entry.address)
        self.wait_for_minions()
        self.wait_until_ready()
        addresses = {name: hop.address for name, hop in self.hop_by_minion.items()}
        note = first_note({"acme": limit}, addresses, run_limit_ms=run_limit_ms)
        apply_note(self, note)

    def mend(self) -> None:
        for hops in (
            self.hop_by_minion,
            self.hop_by_entry,
            self.platform_hop_by_entry,
            self.peer_hop_by_entry,
        ):
            for hop in hops.values():
                hop.set_faults()
        for name in self.address_by_minion:
            self.set_minion_modes(name)
        self.set_faults()

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
