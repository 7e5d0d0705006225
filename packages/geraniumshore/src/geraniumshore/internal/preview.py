"""Previews the effect of a release note: moves, drains, duration and buffer hosts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import ceil

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.fleet_state import wave_hosts
from geraniumshore.internal.items import Wave

__all__ = ["Preview", "PreviewMove", "buffer_needed", "preview", "wave_rounds"]

# Time for the drain and reboot of one host, including their detection.
DEFAULT_MAINTENANCE_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class PreviewMove:
    """A host that will move to another pool."""

    host: str
    from_pool: str
    to_pool: str


@dataclass(frozen=True, slots=True)
class Preview:
    """The effect of a note. ``roll_out_seconds`` is a lower bound from the budgets."""

    version: int
    moves: tuple[PreviewMove, ...]
    drains: tuple[str, ...]
    roll_out_seconds: float
    buffer_hosts: int


def preview(
    before: Configuration,
    after: Configuration,
    maintenance_seconds: float = DEFAULT_MAINTENANCE_SECONDS,
) -> Preview:
    """Return the effect of a change from configuration ``before`` to ``after``."""
    moves = tuple(
        PreviewMove(name, before.hosts[name].pool, host.pool)
        for name, host in sorted(after.hosts.items())
        if name in before.hosts and before.hosts[name].pool != host.pool
    )
    new_waves = {
        name: wave
        for name, wave in after.waves.items()
        if before.waves.get(name) != wave
    }
    covered = {host for wave in new_waves.values() for host in wave_hosts(after, wave)}
    rounds = sum(wave_rounds(after, wave) for wave in new_waves.values())
    move_rounds = _rounds(after, Counter(move.from_pool for move in moves))
    return Preview(
        version=after.version,
        moves=moves,
        drains=tuple(sorted(covered | {move.host for move in moves})),
        roll_out_seconds=(rounds + move_rounds) * maintenance_seconds,
        buffer_hosts=buffer_needed(after),
    )


def wave_rounds(configuration: Configuration, wave: Wave) -> int:
    """Return a lower bound on a wave's rounds, each as long as one host's maintenance.

    No schedule needs fewer, since every budget limits the hosts of one round.
    """
    names = list(wave_hosts(configuration, wave))
    hosts = [configuration.hosts[name] for name in names]
    by_pool = Counter(host.pool for host in hosts)
    by_rack = Counter((host.pool, host.rack) for host in hosts)
    rack_rounds = (
        ceil(count / limit)
        for (pool, _), count in by_rack.items()
        if (limit := configuration.pools[pool].max_away_per_rack) is not None
    )
    return max(
        _rounds(configuration, by_pool),
        ceil(len(names) / wave.parallel),
        max(rack_rounds, default=0),
    )


def _rounds(configuration: Configuration, by_pool: Counter[str]) -> int:
    return max(
        (
            ceil(count / max(1, configuration.pools[pool].max_away))
            for pool, count in by_pool.items()
            if pool in configuration.pools
        ),
        default=0,
    )


def buffer_needed(configuration: Configuration) -> int:
    """Return the number of spares that keep all budgets if a rack fails in a wave.

    Assumes that the largest rack is lost while each pool already has its whole budget
    away for maintenance. Each host lost needs a spare, unless it was already away; in
    the worst case none of the rack's hosts was.
    """
    lost_by_rack: Counter[tuple[str, str]] = Counter()
    for host in configuration.hosts.values():
        pool = configuration.pools.get(host.pool)
        if pool is not None and not pool.spare:
            lost_by_rack[host.data_centre, host.rack] += 1
    return max(lost_by_rack.values(), default=0)
