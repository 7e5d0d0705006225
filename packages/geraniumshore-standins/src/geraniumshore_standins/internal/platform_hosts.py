"""Simulated hosts of the platform stand-in and the actions on them.

Hosts drain, reboot, move between pools and fail, and the host list lags. The caller
passes in the time, so the same code serves a process and a simulation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from geraniumshore_standins.internal.wsgi import Answer, Call

__all__ = ["HostTimes", "PlatformHost", "PlatformHosts", "answer_host_call"]


@dataclass(slots=True)
class HostTimes:
    """Durations of actions and the lag of the host list, in seconds."""

    drain: float = 0.2
    reboot: float = 1.0
    move: float = 0.1
    list_lag: float = 0.3


@dataclass(slots=True)
class PlatformHost:
    """One host. While ``broken``, it does not come up.

    ``drain_seconds`` overrides :attr:`HostTimes.drain` for this host.
    """

    host: str
    data_centre: str
    rack: str
    pool: str
    boots: int = 1
    up: bool = True
    up_at: float | None = None
    broken: bool = False
    drained: bool = False
    drain_seconds: float | None = None
    tasks: set[str] = field(default_factory=set)
    listings: list[tuple[float, str, str]] = field(default_factory=list)

    @property
    def boot(self) -> str:
        """Id of the current boot."""
        return f"{self.host}-boot-{self.boots}"

    def record_state(self, now: float) -> None:
        """Record the current state, which the host list shows after its lag."""
        state = "gone" if not self.up else "live"
        self.listings.append((now, state, self.boot))
        del self.listings[:-20]


@dataclass(slots=True)
class _Action:
    host: str
    action: str
    pool: str | None
    began: float
    boot: str
    done: bool = False


@dataclass(slots=True)
class PlatformHosts:
    """Hosts by name and actions by id.

    The host list omits ``unlisted`` hosts even while they are up. ``tasks_on`` returns
    the tasks that run on a host, and ``on_down`` is called when a host goes down.
    """

    times: HostTimes = field(default_factory=HostTimes)
    by_host: dict[str, PlatformHost] = field(default_factory=dict)
    by_action: dict[str, _Action] = field(default_factory=dict)
    reboots: int = 0
    moves: int = 0
    lost_replies: int = 0
    outage: bool = False
    unlisted: set[str] = field(default_factory=set)
    tasks_on: Callable[[str], Iterable[str]] = lambda _: ()
    on_down: Callable[[str], None] = lambda _: None

    def add(self, hosts: Iterable[PlatformHost], now: float) -> None:
        """Add hosts, which the host list shows at once."""
        for host in hosts:
            self.by_host[host.host] = host
            host.record_state(now - self.times.list_lag)

    def ensure(
        self, action_id: str, host: str, action: str, pool: str | None, now: float
    ) -> dict[str, Any]:
        """Start an action unless its id is known, and return its status.

        Raises ValueError if the id belongs to a different action.
        """
        known = self.by_action.get(action_id)
        if known is None:
            target = self.by_host[host]
            known = _Action(host, action, pool, now, target.boot)
            self.by_action[action_id] = known
            self._begin(known, target, now)
        if (known.host, known.action, known.pool) != (host, action, pool):
            raise ValueError(f"action {action_id} is {known.action} of {known.host}")
        return self._status(known, now)

    def fail(self, host: str, now: float, broken: bool = True) -> None:
        """Take a host down. If ``broken``, it stays down until it is repaired."""
        target = self.by_host[host]
        target.up, target.up_at, target.broken = False, None, broken
        target.tasks.clear()
        self.on_down(host)
        if not broken:
            target.up_at = now + self.times.reboot
        target.record_state(now)

    def repair(self, host: str, now: float) -> None:
        """Repair a host, which boots if it is down."""
        target = self.by_host[host]
        target.broken = False
        if not target.up and target.up_at is None:
            target.up_at = now + self.times.reboot

    def advance(self, now: float) -> None:
        """Bring up the hosts whose boot has finished by ``now``."""
        for host in self.by_host.values():
            if host.up_at is not None and host.up_at <= now and not host.broken:
                host.up, host.up_at = True, None
                host.boots += 1
                host.record_state(now)

    def listed(self, now: float) -> list[dict[str, str]]:
        """Return the host list as of ``list_lag`` seconds ago."""
        shown = (self._listed_host(host, now) for host in self.by_host.values())
        return [entry for entry in shown if entry is not None]

    def _listed_host(self, host: PlatformHost, now: float) -> dict[str, str] | None:
        visible = [e for e in host.listings if e[0] <= now - self.times.list_lag]
        if not visible or visible[-1][1] == "gone" or host.host in self.unlisted:
            return None
        return {
            "host": host.host,
            "data_centre": host.data_centre,
            "rack": host.rack,
            "state": visible[-1][1],
            "boot": visible[-1][2],
        }

    def _tasks(self, host: PlatformHost) -> list[str]:
        return sorted({*host.tasks, *self.tasks_on(host.host)})

    def _drain_seconds(self, host: PlatformHost) -> float:
        own = host.drain_seconds
        return self.times.drain if own is None else own

    def _begin(self, action: _Action, host: PlatformHost, now: float) -> None:
        match action.action:
            case "drain":
                host.drained = True
            case "reboot":
                self.reboots += 1
                host.up, host.up_at = False, now + self.times.reboot
                host.tasks.clear()
                self.on_down(host.host)
                host.record_state(now)
            case "move":
                self.moves += 1
            case "return":
                host.drained = False

    def _status(self, action: _Action, now: float) -> dict[str, Any]:
        host = self.by_host[action.host]
        holding = self._tasks(host) if action.action == "drain" else []
        if not action.done and self._is_complete(action, host, now, holding):
            action.done = True
            if action.action == "move" and action.pool is not None:
                host.pool = action.pool
        return {
            "state": "done" if action.done else "running",
            "boot": action.boot,
            "holding": holding,
            "reason": "",
        }

    def _is_complete(
        self, action: _Action, host: PlatformHost, now: float, holding: list[str]
    ) -> bool:
        match action.action:
            case "drain":
                return not holding and now >= action.began + self._drain_seconds(host)
            case "reboot":
                return host.up and host.boot != action.boot
            case "move":
                return now >= action.began + self.times.move
            case _:
                return True


def answer_host_call(hosts: PlatformHosts, call: Call, now: float) -> Answer | None:
    """Handle a call about hosts, or return None for any other call."""
    match (call.method, call.path):
        case ("PUT", ("host-actions", action_id)):
            return _answer_action(hosts, call, action_id, now)
        case ("PUT", ("test", "platform-hosts")):
            document = call.document()
            hosts.times = HostTimes(**document.get("times", {}))
            hosts.add((PlatformHost(**entry) for entry in document["hosts"]), now)
            return Answer.json({})
        case ("PUT", ("test", "host-faults")):
            return _answer_faults(hosts, call.document(), now)
        case ("GET", ("test", "platform-hosts")):
            hosts.advance(now)
            return Answer.json(
                {
                    "hosts": [
                        {"host": h.host, "pool": h.pool, "up": h.up, "boot": h.boot}
                        for h in hosts.by_host.values()
                    ],
                    "reboots": hosts.reboots,
                    "moves": hosts.moves,
                }
            )
        case _:
            return None


def _answer_action(
    hosts: PlatformHosts, call: Call, action_id: str, now: float
) -> Answer:
    hosts.advance(now)
    if hosts.outage:
        return Answer.json({"error": "outage"}, 503)
    document = call.document()
    if document["host"] not in hosts.by_host:
        return Answer.json({"error": f"no host {document['host']}"}, 404)
    try:
        status = hosts.ensure(
            action_id, document["host"], document["action"], document["pool"], now
        )
    except ValueError as error:
        return Answer.json({"error": str(error)}, 409)
    if hosts.lost_replies > 0:
        hosts.lost_replies -= 1
        return Answer(200, b"{ }", cut=True)
    return Answer.json(status)


def _answer_faults(
    hosts: PlatformHosts, document: dict[str, Any], now: float
) -> Answer:
    for name in document.get("fail", ()):
        hosts.fail(name, now)
    for name in document.get("repair", ()):
        hosts.repair(name, now)
    hosts.lost_replies = document.get("lost_replies", hosts.lost_replies)
    hosts.unlisted = set(document.get("unlisted", hosts.unlisted))
    hosts.outage = document.get("outage", hosts.outage)
    return Answer.json({})
