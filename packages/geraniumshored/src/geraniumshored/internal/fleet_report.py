"""Report on the fleet for operators: hosts, pools and waves."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

from geraniumshore import (
    PLANNER_KEY,
    ControlState,
    FleetHost,
    Phase,
    choose_member,
    pool_uses,
    wave_hosts,
)

__all__ = ["fleet_report", "release_changes_since"]

SEEN_REASONS = {
    "leaving": "leaving, says the platform's list",
    "missing": "not on the platform's list",
    "unseen": "not yet seen on the platform's list",
}


def fleet_report(state: ControlState) -> dict[str, Any]:
    """Return the fleet as JSON: hosts, pools and waves."""
    members = state.view.members
    return {
        "planner": choose_member(PLANNER_KEY, members) if members else None,
        "hosts": [_host(state, name, h) for name, h in state.fleet.by_host.items()],
        "pools": list(_pools(state)),
        "waves": list(_waves(state, datetime.now(UTC))),
    }


def release_changes_since(state: ControlState, base: int) -> list[dict[str, Any]]:
    """Return the changes of the release notes after version ``base``, oldest first."""
    return [
        {
            "version": release.version,
            "author": release.author,
            "note": release.note,
            "changes": list(release.changes),
        }
        for release in state.releases
        if release.version > base
    ]


def _host(state: ControlState, name: str, host: FleetHost) -> dict[str, Any]:
    return {
        "host": name,
        "pool": host.pool,
        "noted_pool": state.configuration.hosts[name].pool,
        "data_centre": host.data_centre,
        "rack": host.rack,
        "phase": host.phase.value,
        "seen": host.seen,
        "wave": host.wave,
        "since_ms": host.since_ms,
        "reason": _reason(host),
    }


def _reason(host: FleetHost) -> str:
    if host.reason:
        return host.reason
    if host.phase is Phase.SERVING:
        return SEEN_REASONS.get(host.seen, "")
    purpose = f"wave {host.wave}" if host.wave else f"move to {host.to_pool}"
    return purpose if host.wave or host.to_pool else "on its way back"


def _pools(state: ControlState) -> Iterator[dict[str, Any]]:
    for name, use in pool_uses(state.fleet, state.configuration).items():
        pool = state.configuration.pools[name]
        yield {
            "pool": name,
            "hosts": use.target,
            "serving": use.serving,
            "away": use.away,
            "max_away": pool.max_away,
            "spare": pool.spare,
        }


def _waves(state: ControlState, now: datetime) -> Iterator[dict[str, Any]]:
    for name, wave in state.configuration.waves.items():
        progress = state.fleet.by_wave[name]
        covered = set(wave_hosts(state.configuration, wave))
        done = len(covered & set(progress.done))
        yield {
            "wave": name,
            "purpose": wave.purpose,
            "by": wave.by.isoformat() if wave.by is not None else None,
            "late": wave.by is not None and done < len(covered) and now > wave.by,
            "state": _wave_state(wave.paused, progress.halted, done == len(covered)),
            "done": done,
            "hosts": len(covered),
            "failed": sorted(progress.failed),
            "under_way": sorted(
                host
                for host, known in state.fleet.by_host.items()
                if known.wave == name and known.phase is not Phase.SERVING
            ),
        }


def _wave_state(paused: bool, halted: bool, done: bool) -> str:
    if done:
        return "done"
    if halted:
        return "halted by failures"
    return "paused by a note" if paused else "running"
