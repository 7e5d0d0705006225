"""Tells when a service has nothing running any more on a draining host."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from geraniumshore.internal.fleet_state import Phase
from geraniumshore.internal.intents import ServiceQuiet
from geraniumshore.internal.member import Member

__all__ = ["service_quiets"]


def service_quiets(
    member: Member, new_id: Callable[[], str], now: float
) -> Iterator[ServiceQuiet]:
    """Yield what this member, as a home, can vouch for and the log does not have.

    A home that has folded the drain grants nothing on the host, nor does a later home;
    so once its ledger has no unit there, in quarantine neither, none will come.
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
            minions[lane.minion].host
            for lane, _ in home.ledger.in_use()
            if lane.minion in minions
        }
        served = {m.host for m in minions.values() if m.service == service}
        for name, host in draining.items():
            if name not in served or name in busy or host.intent is None:
                continue
            if service not in host.quiet_services:
                yield ServiceQuiet(new_id(), host.intent, name, service)
