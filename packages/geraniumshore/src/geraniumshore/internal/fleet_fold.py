"""Folds records about the fleet into its state.

An intent is void if it would exceed a budget or if the host has another step open.
Every check is made against the state at the record's position in the log. Planners may
therefore race or act on stale state: of two conflicting intents, the later one is void
on every member.
"""

from __future__ import annotations

from collections.abc import Container, Iterator
from dataclasses import replace
from typing import TYPE_CHECKING

from geraniumshore.errors import Finding
from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.fleet_state import (
    FleetHost,
    FleetState,
    Phase,
    WaveProgress,
    pool_uses,
    services_on_host,
    wave_is_paused,
)
from geraniumshore.internal.intents import (
    Action,
    HostSeen,
    HostsObserved,
    Intent,
    IntentReport,
    ServiceQuiet,
)
from geraniumshore.internal.items import Host

if TYPE_CHECKING:
    from geraniumshore.internal.fold import ControlState

__all__ = ["FleetRecord", "fold_fleet_record", "apply_release_to_fleet"]

FleetRecord = HostsObserved | Intent | IntentReport | ServiceQuiet

Findings = tuple[Finding, ...]

PHASES_BEFORE: dict[Action, frozenset[Phase]] = {
    "drain": frozenset({Phase.SERVING}),
    "move": frozenset({Phase.DRAINED, Phase.REBOOTED}),
    "reboot": frozenset({Phase.DRAINED, Phase.FAILED}),
    "return": frozenset({Phase.DRAINED, Phase.ARRIVED, Phase.REBOOTED, Phase.FAILED}),
}
PHASE_DURING: dict[Action, Phase] = {
    "drain": Phase.DRAINING,
    "move": Phase.MOVING,
    "reboot": Phase.REBOOTING,
    "return": Phase.RETURNING,
}


def fold_fleet_record(
    state: ControlState, record: FleetRecord, at_ms: int
) -> tuple[Finding, ...]:
    """Apply a record to ``state.fleet``, or return why it is void."""
    match record:
        case HostsObserved():
            return _fold_observed(state, record, at_ms)
        case Intent():
            return _fold_intent(state, record, at_ms)
        case IntentReport():
            return _fold_report(state, record, at_ms)
        case ServiceQuiet():
            return _fold_service_quiet(state.fleet, record)


def apply_release_to_fleet(
    fleet: FleetState,
    before: Configuration,
    after: Configuration,
    named_waves: Container[str],
) -> None:
    """Add and remove the hosts and waves of a release note.

    A host whose configured pool has changed is moved later, by the planner. A wave
    that the note names resumes even if it was halted by failures.
    """
    _update_hosts(fleet, before, after)
    for name in set(before.waves) - set(after.waves):
        _remove_wave(fleet, name)
    for name in after.waves:
        progress = fleet.by_wave.setdefault(name, WaveProgress())
        if name in named_waves:
            progress.halted = False
            progress.failed.clear()


def _update_hosts(
    fleet: FleetState, before: Configuration, after: Configuration
) -> None:
    for name in sorted(set(before.hosts) - set(after.hosts)):
        gone = fleet.by_host.pop(name)
        in_place = gone.pool == before.hosts[name].pool
        if gone.phase is not Phase.SERVING or not in_place:
            fleet.departed[name] = gone
    for name, item in after.hosts.items():
        known = fleet.by_host.get(name) or _added_host(fleet, name, item)
        fleet.by_host[name] = replace(
            known, rack=item.rack, data_centre=item.data_centre
        )


def _added_host(fleet: FleetState, name: str, item: Host) -> FleetHost:
    """Return the state of an added host.

    A host that was withdrawn during a step continues with that step: the platform may
    still have it drained, or in another pool than the configured one.
    """
    departed = fleet.departed.pop(name, None)
    if departed is None:
        return FleetHost(item.pool, item.rack, item.data_centre)
    return replace(departed, seen="unseen")


def _remove_wave(fleet: FleetState, wave: str) -> None:
    """Remove a withdrawn wave, so that a later one of the same name starts anew."""
    del fleet.by_wave[wave]
    for hosts in (fleet.by_host, fleet.departed):
        for name, host in hosts.items():
            if host.wave == wave:
                hosts[name] = replace(host, wave=None)


def _fold_observed(state: ControlState, record: HostsObserved, at_ms: int) -> Findings:
    if record.view != state.view.number:
        wanted = state.view.number
        return (Finding("view", f"got view {record.view}, but {wanted} is in force"),)
    for seen in record.hosts:
        host = state.fleet.by_host.get(seen.host)
        if host is not None:
            state.fleet.by_host[seen.host] = _observe(host, seen, at_ms)
    return ()


def _observe(host: FleetHost, seen: HostSeen, at_ms: int) -> FleetHost:
    observed = replace(host, seen=seen.state, boot=seen.boot or host.boot)
    if host.phase is Phase.SERVING:
        observed = replace(observed, since_ms=at_ms)
    return _complete_reboot(observed, at_ms)


def _complete_reboot(host: FleetHost, at_ms: int) -> FleetHost:
    """Complete a reboot if the platform reported its end and a new boot is live."""
    waits = host.phase in {Phase.REBOOTING, Phase.FAILED} and host.reported_done
    if not waits or host.seen != "live" or host.boot in host.old_boots:
        return host
    return replace(
        host,
        phase=Phase.REBOOTED,
        intent=None,
        rebooted=True,
        since_ms=at_ms,
        reason="",
    )


def _fold_intent(state: ControlState, record: Intent, at_ms: int) -> Findings:
    host = state.fleet.by_host.get(record.host)
    if host is None:
        return (Finding("host", f"no host is named {record.host!r}"),)
    findings = tuple(_check_intent(state, record, host))
    if findings:
        return findings
    state.fleet.by_host[record.host] = _begin_action(host, record, at_ms)
    return ()


def _begin_action(host: FleetHost, record: Intent, at_ms: int) -> FleetHost:
    begun = replace(
        host,
        phase=PHASE_DURING[record.action],
        intent=record.id,
        wave=record.wave or host.wave,
        since_ms=at_ms,
        reason="",
    )
    match record.action:
        case "drain":
            return replace(begun, to_pool=record.pool, quiet_services=())
        case "move":
            return replace(begun, to_pool=record.pool)
        case "reboot":
            return replace(begun, old_boots=(host.boot,), reported_done=False)
        case "return":
            return replace(begun, to_pool=None)


def _check_intent(
    state: ControlState, record: Intent, host: FleetHost
) -> Iterator[Finding]:
    wanted = PHASES_BEFORE[record.action]
    if host.phase not in wanted:
        names = ", ".join(sorted(phase.value for phase in wanted))
        yield Finding("action", f"the host is {host.phase.value}; want {names}")
        return
    match record.action:
        case "drain":
            yield from _check_drain(state, record, host)
        case "move":
            yield from _check_move(state, record, host)
        case "reboot":
            yield from _check_wave(state, record)
        case "return" if host.seen != "live":
            yield Finding("host", f"is {host.seen}; want live")


def _check_drain(
    state: ControlState, record: Intent, host: FleetHost
) -> Iterator[Finding]:
    if (record.wave is None) == (record.pool is None):
        yield Finding("wave", "want a wave or a pool to move to, and not both")
    if record.wave is not None:
        yield from _check_wave(state, record)
        yield from _check_parallel(state, record.wave)
    if record.pool is not None:
        yield from _check_move(state, record, host)
    yield from _check_budget(state, host)


def _check_budget(state: ControlState, host: FleetHost) -> Iterator[Finding]:
    """Yield a finding if draining the host would exceed its pool's budget."""
    if host.away:
        return
    pool = state.configuration.pools.get(host.pool)
    if pool is None:
        return
    use = pool_uses(state.fleet, state.configuration, host.pool)[host.pool]
    if not use.allows_drain(pool.max_away, pool.max_away_per_rack, host.rack):
        yield Finding(
            "host",
            f"pool {host.pool} has {use.away} away and is {use.shortfall} short "
            f"({use.away_by_rack[host.rack]} away in rack {host.rack}); "
            f"want at most {pool.max_away} ({pool.max_away_per_rack} in a rack)",
        )


def _check_wave(state: ControlState, record: Intent) -> Iterator[Finding]:
    name = record.wave or ""
    wave = state.configuration.waves.get(name)
    if wave is None:
        yield Finding("wave", f"no wave is named {name!r}")
        return
    if wave_is_paused(state.fleet, name, wave):
        yield Finding("wave", f"{name} is paused")
    if record.host in state.fleet.by_wave[name].done:
        yield Finding("wave", f"{name} has done this host")
    item = state.configuration.hosts[record.host]
    if item.pool not in wave.pools and record.host not in wave.hosts:
        yield Finding("wave", f"{name} does not cover this host")


def _check_parallel(state: ControlState, name: str) -> Iterator[Finding]:
    wave = state.configuration.waves.get(name)
    under_way = sum(
        host.wave == name and host.phase is not Phase.SERVING
        for host in state.fleet.by_host.values()
    )
    if wave is not None and under_way >= wave.parallel:
        yield Finding("wave", f"{under_way} away; want at most {wave.parallel}")


def _check_move(
    state: ControlState, record: Intent, host: FleetHost
) -> Iterator[Finding]:
    """Allow moves to the configured pool, and of spares to a pool with a shortfall."""
    pool = state.configuration.pools.get(record.pool or "")
    if pool is None or record.pool is None:
        yield Finding("pool", f"no pool is named {record.pool!r}")
        return
    if record.pool == host.pool:
        yield Finding("pool", f"the host is in {record.pool} already")
    if record.pool == state.configuration.hosts[record.host].pool:
        return
    home = state.configuration.pools.get(host.pool)
    use = pool_uses(state.fleet, state.configuration, record.pool)[record.pool]
    incoming = use.incoming - (host.to_pool == record.pool)
    if home is None or not home.spare:
        yield Finding("pool", "only a spare host may replace another")
    elif use.shortfall - incoming < 1:
        yield Finding("pool", f"{record.pool} is not short of hosts")


def _fold_report(state: ControlState, record: IntentReport, at_ms: int) -> Findings:
    host = state.fleet.by_host.get(record.host)
    if host is None or host.intent != record.intent:
        return (Finding("intent", f"{record.intent} is not under way"),)
    if record.step == "held":
        state.fleet.by_host[record.host] = replace(host, reason=record.detail)
        return ()
    if record.step == "failed":
        return _fold_failure(state, record, host, at_ms)
    return _fold_done(state, record, host, at_ms)


def _fold_failure(
    state: ControlState, record: IntentReport, host: FleetHost, at_ms: int
) -> Findings:
    if host.phase is not Phase.REBOOTING:
        return (Finding("step", f"the host is {host.phase.value}; want rebooting"),)
    state.fleet.by_host[record.host] = replace(
        host,
        phase=Phase.FAILED,
        intent=None,
        reported_done=True,
        since_ms=at_ms,
        reason=record.detail,
    )
    wave = state.configuration.waves.get(host.wave or "")
    if wave is not None and host.wave is not None:
        progress = state.fleet.by_wave[host.wave]
        progress.failed[record.host] = None
        progress.halted = progress.halted or len(progress.failed) >= wave.max_failures
    return ()


def _fold_done(
    state: ControlState, record: IntentReport, host: FleetHost, at_ms: int
) -> Findings:
    fleet, name = state.fleet, record.host
    match host.phase:
        case Phase.DRAINING:
            busy_services = services_on_host(state.configuration, name)
            busy_services -= set(host.quiet_services)
            if busy_services:
                return (
                    Finding(
                        "step", f"not quiet yet: {', '.join(sorted(busy_services))}"
                    ),
                )
            jobs = state.jobs.running_by_host[name]
            if jobs:
                return (Finding("step", f"{jobs} jobs run there still"),)
            fleet.by_host[name] = _finish_step(host, Phase.DRAINED, at_ms)
        case Phase.MOVING:
            assert host.to_pool is not None
            arrived = replace(host, pool=host.to_pool, to_pool=None)
            fleet.by_host[name] = _finish_step(arrived, Phase.ARRIVED, at_ms)
        case Phase.REBOOTING:
            ended = replace(
                host, old_boots=(*host.old_boots, record.boot), reported_done=True
            )
            fleet.by_host[name] = _complete_reboot(ended, at_ms)
        case Phase.RETURNING:
            _record_maintenance(fleet, name, host)
            served = replace(host, wave=None, rebooted=False, old_boots=())
            fleet.by_host[name] = _finish_step(served, Phase.SERVING, at_ms)
    return ()


def _finish_step(host: FleetHost, phase: Phase, at_ms: int) -> FleetHost:
    return replace(host, phase=phase, intent=None, since_ms=at_ms, reason="")


def _record_maintenance(fleet: FleetState, name: str, host: FleetHost) -> None:
    progress = fleet.by_wave.get(host.wave or "")
    if progress is not None and host.rebooted:
        progress.done[name] = None
        progress.failed.pop(name, None)


def _fold_service_quiet(fleet: FleetState, record: ServiceQuiet) -> Findings:
    host = fleet.by_host.get(record.host)
    if host is None or host.intent != record.intent:
        return (Finding("intent", f"{record.intent} is not under way"),)
    if host.phase is not Phase.DRAINING:
        return (Finding("host", f"is {host.phase.value}; want draining"),)
    quiet = tuple(sorted({*host.quiet_services, record.service}))
    fleet.by_host[record.host] = replace(host, quiet_services=quiet)
    return ()
