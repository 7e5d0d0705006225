"""The hosts of a pool, as jobs see them: where they are now, and which take jobs."""

from __future__ import annotations

from collections.abc import Iterator

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.fleet_state import FleetState, Phase
from geraniumshore.internal.items import Host

__all__ = ["host_takes_jobs", "hosts_of_pool", "hosts_without_jobs"]

GONE = frozenset({"leaving", "missing"})


def hosts_of_pool(
    configuration: Configuration, fleet: FleetState, pool: str
) -> dict[str, Host]:
    """Return the hosts that are in the pool now, those that drain too."""
    return {
        name: host
        for name, host in configuration.hosts.items()
        if name in fleet.by_host and fleet.by_host[name].pool == pool
    }


def host_takes_jobs(fleet: FleetState, host: str, pool: str) -> bool:
    """Tell whether a job of the pool may start on a host."""
    known = fleet.by_host.get(host)
    if known is None or known.pool != pool:
        return False
    return known.phase is Phase.SERVING and known.seen not in GONE


def hosts_without_jobs(fleet: FleetState) -> Iterator[str]:
    """Yield the hosts that take no jobs, and whose jobs go elsewhere."""
    for name, host in fleet.by_host.items():
        if not host_takes_jobs(fleet, name, host.pool):
            yield name
