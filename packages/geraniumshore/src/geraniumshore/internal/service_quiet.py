"""Reports the services that have nothing running any more on a draining host."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from geraniumshore.internal.fleet_state import Phase
from geraniumshore.internal.intents import ServiceQuiet
from geraniumshore.internal.member import Member

__all__ = ["quiet_service_records"]


def quiet_service_records(
    member: Member, new_id: Callable[[], str], now: float
) -> Iterator[ServiceQuiet]:
    """Yield records for the homes of this member that are not in the log yet.

    A home that has folded the drain grants nothing on the host, and neither does a
    later home. So once its ledger has no unit there, including those in quarantine,
    nothing can start there any more.
    """
    if not member.has_authority(now):
        return
    fleet = member.state.fleet
    draining = {
        name: host
        for name, host in fleet.by_host.items()
        if host.phase is Phase.DRAINING and host.intent is not None
    }
    if not draining:
        return
    minions = member.state.configuration.minions
    for service, home in member.service_homes.items():
        if not home.ready or not home.complete(now):
            continue
        busy = {
            minions[unit_kind.minion].host
            for unit_kind, _ in home.ledger.in_use()
            if unit_kind.minion in minions
        }
        served = {m.host for m in minions.values() if m.service == service}
        for name, host in draining.items():
            if name not in served or name in busy or host.intent is None:
                continue
            if service not in host.quiet_services:
                yield ServiceQuiet(new_id(), host.intent, name, service)
