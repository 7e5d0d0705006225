"""Hosts of the platform's stand-in: they drain, reboot, move, fail, are listed late.

The time is passed in, so that the same hosts serve a process and a simulated run.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from geraniumshore_standins.internal.wsgi import Answer, Call

__all__ = ["HostTimes", "PlatformHost", "PlatformHosts", "answer_host_call"]


@dataclass(slots=True)
class HostTimes:
    """How long things take, in seconds."""

    drain: float = 0.2
    reboot: float = 1.0
    move: float = 0.1
    list_lag: float = 0.3


@dataclass(slots=True)
class PlatformHost:
    """One host. ``boots`` counts its boots; one that is broken does not come up.

    ``drain_seconds`` is its own time to drain, where it is not everyone's.
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
        """The present boot's id."""
        return f"{self.host}-boot-{self.boots}"

    def note_change(self, now: float) -> None:
        """Remember what the list will show when its lag is over."""
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
    """The hosts and the actions on them, by action id.

    The list leaves out the ``unlisted`` hosts, though they are up.
    """

    times: HostTimes = field(default_factory=HostTimes)
    by_host: dict[str, PlatformHost] = field(default_factory=dict)
    by_action: dict[str, _Action] = field(default_factory=dict)
    reboots: int = 0
    moves: int = 0
    lost_replies: int = 0
    outage: bool = False
    unlisted: set[str] = field(default_factory=set)

    def add(self, hosts: Iterable[PlatformHost], now: float) -> None:
        """Add hosts that are up."""
        for host in hosts:
            self.by_host[host.host] = host
            host.note_change(now - self.times.list_lag)

    def ensure(
        self, action_id: str, host: str, action: str, pool: str | None, now: float
    ) -> dict[str, Any]:
        """Begin an action unless its id was seen before; return how it stands."""
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
        """Let a host go down; a broken one stays down until it is repaired."""
        target = self.by_host[host]
        target.up, target.up_at, target.broken = False, None, broken
        target.tasks.clear()
        if not broken:
            target.up_at = now + self.times.reboot
        target.note_change(now)

    def repair(self, host: str, now: float) -> None:
        """Let a host boot again."""
        target = self.by_host[host]
        target.broken = False
        if not target.up and target.up_at is None:
            target.up_at = now + self.times.reboot

    def advance(self, now: float) -> None:
        """Let the hosts that have booted by now come up."""
        for host in self.by_host.values():
            if host.up_at is not None and host.up_at <= now and not host.broken:
                host.up, host.up_at = True, None
                host.boots += 1
                host.note_change(now)

    def listed(self, now: float) -> list[dict[str, str]]:
        """Return the list as it stood when the lag was longer ago."""
        shown = (self._listed(host, now) for host in self.by_host.values())
        return [entry for entry in shown if entry is not None]

    def _listed(self, host: PlatformHost, now: float) -> dict[str, str] | None:
        seen = [e for e in host.listings if e[0] <= now - self.times.list_lag]
        if not seen or seen[-1][1] == "gone" or host.host in self.unlisted:
            return None
        return {
            "host": host.host,
            "data_centre": host.data_centre,
            "rack": host.rack,
            "state": seen[-1][1],
            "boot": seen[-1][2],
        }

    def _drain_time(self, host: PlatformHost) -> float:
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
                host.note_change(now)
            case "move":
                self.moves += 1
            case "return":
                host.drained = False

    def _status(self, action: _Action, now: float) -> dict[str, Any]:
        host = self.by_host[action.host]
        holding = sorted(host.tasks) if action.action == "drain" else []
        if not action.done and self._has_ended(action, host, now, holding):
            action.done = True
            if action.action == "move" and action.pool is not None:
                host.pool = action.pool
        return {
            "state": "done" if action.done else "running",
            "boot": action.boot,
            "holding": holding,
            "reason": "",
        }

    def _has_ended(
        self, action: _Action, host: PlatformHost, now: float, holding: list[str]
    ) -> bool:
        match action.action:
            case "drain":
                return not holding and now >= action.began + self._drain_time(host)
            case "reboot":
                return host.up and host.boot != action.boot
            case "move":
                return now >= action.began + self.times.move
            case _:
                return True


def answer_host_call(hosts: PlatformHosts, call: Call, now: float) -> Answer | None:
    """Answer a call about hosts, or return None where it is about something else."""
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
