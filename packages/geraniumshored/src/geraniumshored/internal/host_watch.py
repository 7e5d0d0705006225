"""Polls the platform's list of hosts; minions on leaving hosts get no new work."""

from __future__ import annotations

import logging
import threading

from geraniumshore import Configuration, HostList, PlatformUnavailableError
from geraniumshored.internal.runtime import Runtime

__all__ = ["HostWatch", "minions_on"]

logger = logging.getLogger(__name__)

POLL_SECONDS = 0.5
LEAVING = "leaving"


def minions_on(configuration: Configuration, hosts: frozenset[str]) -> frozenset[str]:
    """Return the minions that run on ``hosts``."""
    return frozenset(
        name
        for name, minion in configuration.minions.items()
        if minion.host is not None and minion.host in hosts
    )


class HostWatch(threading.Thread):
    """Thread that polls the list of hosts; if a read fails, the last list applies."""

    def __init__(self, hosts: HostList, runtime: Runtime) -> None:
        super().__init__(name="host-watch", daemon=True)
        self._hosts = hosts
        self._runtime = runtime
        self._leaving: frozenset[str] = frozenset()
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        while not self._stop_requested.is_set():
            try:
                listed = self._hosts.list_hosts()
            except PlatformUnavailableError:
                self._runtime.metrics.host_list_reads.labels("failed").inc()
            else:
                self._runtime.metrics.host_list_reads.labels("answered").inc()
                leaving = (host.host for host in listed if host.state == LEAVING)
                self._apply_leaving(frozenset(leaving))
                self._report_listed([host.host for host in listed])
            self._stop_requested.wait(POLL_SECONDS)

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()

    def _report_listed(self, names: list[str]) -> None:
        """Report the listed hosts, so that members on unlisted hosts are detected."""
        self._runtime.perform(
            lambda member, now: member.agreement.liveness.on_hosts(
                names, member.state.view.members, now
            )
        )

    def _apply_leaving(self, leaving: frozenset[str]) -> None:
        if leaving != self._leaving:
            logger.info("hosts are leaving", extra={"hosts": sorted(leaving)})
            self._leaving = leaving
        member = self._runtime.member
        if leaving != member.unusable_hosts:
            self._runtime.perform(
                lambda member, now: member.set_unusable_hosts(leaving, now)
            )
        unusable = minions_on(member.state.configuration, leaving)
        if unusable != member.unusable_minions:
            self._runtime.perform(
                lambda member, now: member.set_unusable_minions(unusable, now)
            )
