"""Checks that span several sections of a configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from geraniumshore.errors import Finding
from geraniumshore.internal.items import Host, Pool, Wave

if TYPE_CHECKING:
    from geraniumshore.internal.configuration import Configuration

__all__ = ["check_fleet", "check_moves"]


def check_fleet(configuration: Configuration) -> Iterator[Finding]:
    """Yield requirements that no plan can satisfy, and contradictions."""
    yield from _check_pools(configuration)
    yield from _check_spares(configuration)
    yield from _check_minions(configuration)
    yield from _check_waves(configuration)


def check_moves(before: Configuration, after: Configuration) -> Iterator[Finding]:
    """Yield the hosts that a note moves out of a pool with ``max_away`` 0."""
    for name, host in after.hosts.items():
        if name not in before.hosts or before.hosts[name].pool == host.pool:
            continue
        pool = after.pools.get(before.hosts[name].pool)
        if pool is not None and pool.max_away == 0:
            yield Finding(
                f"hosts.{name}.pool",
                f"no plan can drain the host in pool {before.hosts[name].pool}, "
                "whose max_away is 0; want at least 1",
            )


def _check_pools(configuration: Configuration) -> Iterator[Finding]:
    hosts_by_pool: dict[str, list[Host]] = {name: [] for name in configuration.pools}
    for host in configuration.hosts.values():
        hosts_by_pool.setdefault(host.pool, []).append(host)
    for name, pool in configuration.pools.items():
        yield from _check_pool(name, pool, hosts_by_pool[name])


def _check_pool(name: str, pool: Pool, hosts: list[Host]) -> Iterator[Finding]:
    if pool.size is not None and len(hosts) != pool.size:
        yield Finding(f"pools.{name}.size", f"has {len(hosts)} hosts, want {pool.size}")
    spreads = (
        ("min_racks", pool.min_racks, {(h.data_centre, h.rack) for h in hosts}),
        ("min_data_centres", pool.min_data_centres, {h.data_centre for h in hosts}),
    )
    for attribute, wanted, found in spreads:
        if wanted is not None and len(found) < wanted:
            yield Finding(
                f"pools.{name}.{attribute}",
                f"its hosts are in {len(found)}, want {wanted}",
            )


def _check_spares(configuration: Configuration) -> Iterator[Finding]:
    for section in ("services", "queues"):
        for name, item in getattr(configuration, section).items():
            pool = configuration.pools.get(item.pool or "")
            if pool is not None and pool.spare:
                yield Finding(
                    f"{section}.{name}.pool",
                    f"{item.pool} is spare; want one that is not",
                )


def _check_minions(configuration: Configuration) -> Iterator[Finding]:
    for name, minion in configuration.minions.items():
        service = configuration.services.get(minion.service)
        host = configuration.hosts.get(minion.host or "")
        if service is None or host is None or service.pool is None:
            continue
        if host.pool != service.pool:
            yield Finding(
                f"minions.{name}.host",
                f"{minion.host} is in pool {host.pool}, but service "
                f"{minion.service} is in {service.pool}",
            )


def _check_waves(configuration: Configuration) -> Iterator[Finding]:
    for name, wave in configuration.waves.items():
        pools = set(wave.pools) | {
            configuration.hosts[host].pool
            for host in wave.hosts
            if host in configuration.hosts
        }
        yield from _check_wave(configuration, name, wave, pools)


def _check_wave(
    configuration: Configuration, name: str, wave: Wave, pools: set[str]
) -> Iterator[Finding]:
    for pool_name in sorted(pools):
        pool = configuration.pools.get(pool_name)
        if pool is not None and pool.max_away == 0:
            yield Finding(
                f"waves.{name}",
                f"no plan can drain a host in pool {pool_name}, whose max_away "
                "is 0; want at least 1",
            )
    covered = any(host.pool in pools for host in configuration.hosts.values())
    if not covered:
        yield Finding(f"waves.{name}", "covers no host; want pools or hosts")
