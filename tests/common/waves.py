"""Helpers that run maintenance waves against real processes under load."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from geraniumshore import Minion, ReleaseNote, Wave
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import EntryProcess
from geraniumshore_standins.internal.fleet_simulation import Deployment
from geraniumshore_standins.internal.platform_hosts import HostTimes
from geraniumshore_standins.internal.platform_hosts_client import put_hosts
from tests.common.notes import bearer, first_note
from tests.common.processes import apply_note

TIMES = HostTimes(drain=0.2, reboot=1.0, move=0.1, list_lag=0.5)
CALLERS = 6
CALL_MS = 60


def start_deployment(
    fleet: Fleet, deployment: Deployment, wave: Wave, entries: int, minions: int
) -> None:
    """Start a platform, minions spread over its hosts, and entries; apply the note."""
    fleet.start_platform()
    hosts = deployment.hosts()
    put_hosts(fleet.platform_address, hosts, TIMES)
    working = [n for n, h in hosts.items() if h.pool != f"p{deployment.pools - 1}"]
    step = len(working) / minions
    on_host = {f"m{i}": working[int(i * step)] for i in range(minions)}
    for name in on_host:
        fleet.start_minion(name, 8)
    for number in range(entries):
        fleet.start_entry(
            f"e{number}", f"dc{number % deployment.data_centres}", notice_ms=200
        )
    fleet.wait_for_minions()
    fleet.wait_until_ready()
    apply_note(fleet, deployment_note(fleet, deployment, wave, on_host))


def deployment_note(
    fleet: Fleet, deployment: Deployment, wave: Wave, on_host: dict[str, str]
) -> ReleaseNote:
    added = deployment.note({"w": wave}).added
    base = first_note({"acme": 100}, {})
    minions = {
        name: Minion("sorting", fleet.address_by_minion[name], host)
        for name, host in on_host.items()
    }
    update = {
        "pools": added.pools,
        "hosts": added.hosts,
        "waves": added.waves,
        "minions": minions,
    }
    return base.model_copy(update={"added": base.added.model_copy(update=update)})


@dataclass
class Load:
    """Counts of the responses that callers got."""

    statuses: Counter[int | str] = field(default_factory=Counter)
    stopped: threading.Event = field(default_factory=threading.Event)


@contextmanager
def load(entries: list[EntryProcess]) -> Iterator[Load]:
    """Send calls through ``entries`` until the block ends."""
    running = Load()

    def call(number: int) -> None:
        headers = {"Work-Ms": str(CALL_MS)}
        while not running.stopped.is_set():
            entry = entries[number % len(entries)]
            number += 1
            try:
                reply = entry.call("count", bearer("acme"), b"{}", headers)
                running.statuses[reply.status] += 1
            except OSError as error:
                running.statuses[repr(error)] += 1
            time.sleep(0.02)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    try:
        yield running
    finally:
        running.stopped.set()
        for thread in threads:
            thread.join()


def wave_of(entry: EntryProcess) -> dict[str, object]:
    """Return the wave as the operators' API shows it."""
    (wave,) = entry.operator.get("fleet")["waves"]
    return dict(wave)
