"""The current hosts of a pool, and which of them take jobs."""

from __future__ import annotations

from collections.abc import Iterator

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.fleet_state import FleetState, Phase
from geraniumshore.internal.items import Host

__all__ = ["host_takes_jobs", "hosts_of_pool", "hosts_refusing_jobs"]

UNAVAILABLE_STATES = frozenset({"leaving", "missing"})


def hosts_of_pool(
    configuration: Configuration, fleet: FleetState, pool: str
) -> dict[str, Host]:
    """Return the hosts that are in the pool now, including draining ones."""
    return {
        name: host
        for name, host in configuration.hosts.items()
        if name in fleet.by_host and fleet.by_host[name].pool == pool
    }


def host_takes_jobs(fleet: FleetState, host: str, pool: str) -> bool:
    """Return whether a job of the pool may start on a host."""
    known = fleet.by_host.get(host)
    if known is None or known.pool != pool:
        return False
    return known.phase is Phase.SERVING and known.seen not in UNAVAILABLE_STATES


def hosts_refusing_jobs(fleet: FleetState) -> Iterator[str]:
    """Yield the hosts that take no jobs, and whose jobs are moved to others."""
    for name, host in fleet.by_host.items():
        if not host_takes_jobs(fleet, name, host.pool):
            yield name
