"""Asks the platform for its list of hosts while a member is silent."""

from __future__ import annotations

from geraniumshore import HostList, Member, PlatformUnavailableError
from geraniumshored.internal.runtime import Runtime

__all__ = ["HostWatch"]


class HostWatch:
    """Tells the member which hosts the platform still lists.

    The list may be long, so it is not asked for while every member is heard.
    """

    def __init__(self, hosts: HostList, runtime: Runtime) -> None:
        self._hosts = hosts
        self._runtime = runtime

    def look(self) -> None:
        """Ask once, if a member is silent."""
        if not self._runtime.perform(_any_silent):
            return
        try:
            listed = [entry.host for entry in self._hosts.list_hosts()]
        except PlatformUnavailableError:
            return
        self._runtime.perform(lambda member, now: _take_in(member, listed, now))


def _any_silent(member: Member, now: float) -> bool:
    return bool(member.agreement.liveness.silent(now))


def _take_in(member: Member, listed: list[str], now: float) -> None:
    liveness = member.agreement.liveness
    liveness.on_hosts(listed, member.state.view.members, now)
