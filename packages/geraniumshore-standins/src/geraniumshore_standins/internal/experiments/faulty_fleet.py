"""A fleet of real processes whose connections all go through the fault proxy."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from geraniumshore import GeneratedKey
from geraniumshore_standins.internal.fleet import Fleet
from geraniumshore_standins.internal.hop import Hop

__all__ = ["FaultyFleet", "first_note"]

SERVICE = "sorting"
TEAM = "acme"


def first_note(
    addresses: dict[str, str],
    key: GeneratedKey,
    slots: int = 8,
    limit: int = 1_000,
    **queue: Any,
) -> dict[str, Any]:
    """Return a release note with one service, one team and two queues.

    Queue ``count`` is idempotent and ``billing`` is not; ``queue`` sets further fields
    of both.
    """
    return {
        "base": 0,
        "note": "experiment",
        "added": {
            "services": {SERVICE: {}},
            "minions": {
                name: {"service": SERVICE, "address": address, "slots": slots}
                for name, address in addresses.items()
            },
            "teams": {TEAM: {"share": 1, "limit": limit}},
            "keys": {
                key.key_id: {
                    "team": TEAM,
                    "salt": key.key.salt,
                    "digest": key.key.digest,
                }
            },
            "queues": {
                "count": {"service": SERVICE, "idempotent": True, **queue},
                "billing": {"service": SERVICE, **queue},
            },
        },
    }


@dataclass(slots=True)
class FaultyFleet(Fleet):
    """A fleet whose entry hosts, minions, platform and peers are reached through hops.

    ``work_ms`` is how long minions work on a request once all faults are cleared.
    """

    hop_by_minion: dict[str, Hop] = field(default_factory=dict)
    hop_by_entry: dict[str, Hop] = field(default_factory=dict)
    platform_hop_by_entry: dict[str, Hop] = field(default_factory=dict)
    work_ms: int = 5

    def start_behind_hops(self, entries: int, minions: int, seed: int = 0) -> None:
        """Start every process, each behind a hop without faults."""
        self.start_platform()
        self.start_proxy(seed)
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

    def all_hops(self) -> list[Hop]:
        """Return the hops of all minions, entry hosts, the platform and peers."""
        return [
            hop
            for hops in (
                self.hop_by_minion,
                self.hop_by_entry,
                self.platform_hop_by_entry,
                self.peer_hop_by_entry,
            )
            for hop in hops.values()
        ]

    def clear_faults(self) -> None:
        """Clear the faults of all hops, minions and the platform."""
        for hop in self.all_hops():
            hop.set_faults()
        for name in self.address_by_minion:
            self.set_minion_modes(name, work_ms=self.work_ms)
        self.set_faults()
