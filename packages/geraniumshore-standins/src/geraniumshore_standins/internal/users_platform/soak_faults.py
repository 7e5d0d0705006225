"""Faults that the soak injects from outside the nodes, drawn from a seed."""

from __future__ import annotations

import random
import signal
import threading
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from geraniumshore_standins.internal.fleet import free_port
from geraniumshore_standins.internal.proxy import FaultProxy, HopFaults
from geraniumshore_standins.internal.users_platform.nodes import PlatformFleet
from geraniumshore_standins.internal.wsgi import Call

__all__ = ["Fault", "SoakFleet", "draw_faults"]

# Orders without an answer are carried out so much later, as on the platform.
LATE_ORDER_S = (2.0, 12.0)
# Minions' clocks may be off by so much.
CLOCK_OFF = 0.02
# A fault lasts between these times, and the next begins within the pause after it
# began: so they come in series and overlap.
FAULT_S = (0.3, 5.0)
PAUSE_S = (0.2, 2.5)
# Killed processes are started again after this time, as the platform does.
RESTART_S = 0.5


class SoakFleet(PlatformFleet):
    """Nodes and minions that reach each other and the store through a fault proxy."""

    def __init__(self, seed: int, **settings: Any) -> None:
        super().__init__(**settings)
        self.rng = random.Random(seed)
        self.proxy = FaultProxy(seed)
        self.store_hop_by_node: dict[str, int] = {}
        self.minion_hops: list[int] = []
        self.store_refuses = 0.0
        self.store_loses = 0.0
        self.orders_late = 0.0
        self._draw_lock = threading.Lock()
        self.world.advertise = self._open_minion_hop
        self.world.clock_rate = lambda: 1 + self._draw(-CLOCK_OFF, CLOCK_OFF)
        self.world.store_faults = self._store_fault
        self.world.order_delay = self._order_delay

    def store_address(self, name: str) -> str:
        """Return the node's own hop to the store."""
        if name not in self.store_hop_by_node:
            port = free_port()
            self.proxy.open_hop(port, super().store_address(name))
            self.store_hop_by_node[name] = port
        return f"127.0.0.1:{self.store_hop_by_node[name]}"

    def _open_minion_hop(self, port: int) -> int:
        hop = free_port()
        self.proxy.open_hop(hop, f"127.0.0.1:{port}")
        self.minion_hops.append(hop)
        return hop

    def _draw(self, low: float, high: float) -> float:
        with self._draw_lock:
            return self.rng.uniform(low, high)

    def _store_fault(self, call: Call) -> int | str | None:
        if self._draw(0, 1) < self.store_refuses:
            return 503
        if call.path[-1] == "log-append" and self._draw(0, 1) < self.store_loses:
            return "lost"
        return None

    def _order_delay(self, name: str) -> float | None:
        if name == "hold" or self._draw(0, 1) >= self.orders_late:
            return None
        return self._draw(*LATE_ORDER_S)


@dataclass(slots=True)
class Fault(ABC):
    """Something that goes wrong from ``at`` on, for ``lasts`` seconds."""

    at: float
    lasts: float

    def __str__(self) -> str:
        fields = {
            name: getattr(self, name)
            for name in self.__dataclass_fields__
            if name not in ("at", "lasts")
        }
        times = f"{self.at:.1f} s, {self.lasts:.1f} s long"
        return f"{type(self).__name__} at {times} {fields}"

    @abstractmethod
    def begin(self, fleet: SoakFleet) -> None:
        """Bring the fault about."""

    @abstractmethod
    def end(self, fleet: SoakFleet) -> None:
        """Take it away."""


@dataclass(slots=True)
class Signalled(Fault):
    """Nodes get a signal: killed, asked to end, or suspended."""

    nodes: tuple[str, ...]
    number: signal.Signals

    def begin(self, fleet: SoakFleet) -> None:
        """Send the signal."""
        for name in self.nodes:
            fleet.signal(name, self.number)

    def end(self, fleet: SoakFleet) -> None:
        """Wake the nodes, or start those again that have ended."""
        for name in self.nodes:
            if self.number is signal.SIGSTOP:
                fleet.signal(name, signal.SIGCONT)
                continue
            process = fleet.node_by_name[name].process
            # One that is still leaving is ended, as the platform does in the end.
            process.kill()
            process.wait()
            fleet.start_node(name)


@dataclass(slots=True)
class StoreLink(Fault):
    """One node's link to the store misbehaves."""

    node: str
    faults: HopFaults
    silenced: bool = False

    def begin(self, fleet: SoakFleet) -> None:
        """Spoil the link; open connections may go silent for good."""
        hop = fleet.store_hop_by_node[self.node]
        fleet.proxy.set_faults(hop, self.faults)
        if self.silenced:
            fleet.proxy.silence(hop)
        elif self.faults.refuse:
            fleet.proxy.reset(hop)

    def end(self, fleet: SoakFleet) -> None:
        """Mend the link for new data."""
        fleet.proxy.set_faults(fleet.store_hop_by_node[self.node], HopFaults())


@dataclass(slots=True)
class MinionLinks(Fault):
    """The links to some minions misbehave, for all nodes."""

    part: float
    faults: HopFaults
    _hops: list[int] = field(default_factory=list)

    def begin(self, fleet: SoakFleet) -> None:
        """Spoil the links."""
        hops = fleet.minion_hops
        self._hops = hops[: max(1, int(len(hops) * self.part))]
        for hop in self._hops:
            fleet.proxy.set_faults(hop, self.faults)

    def end(self, fleet: SoakFleet) -> None:
        """Mend them."""
        for hop in self._hops:
            fleet.proxy.set_faults(hop, HopFaults())


@dataclass(slots=True)
class StoreMisbehaves(Fault):
    """The store refuses calls, loses answers to writes, or drops its history."""

    refuses: float = 0.0
    loses: float = 0.0
    forgets: bool = False

    def begin(self, fleet: SoakFleet) -> None:
        """Change the store."""
        fleet.store_refuses, fleet.store_loses = self.refuses, self.loses
        if self.forgets:
            with fleet.world.lock:
                for topic in ("keyed.jobs", "keyed.op", "keyed.servers"):
                    fleet.world.log.compact(topic, 0)
                fleet.world.log.compact("keyed.jobs", 1)

    def end(self, fleet: SoakFleet) -> None:
        """Let it answer again."""
        fleet.store_refuses = fleet.store_loses = 0.0


@dataclass(slots=True)
class LateOrders(Fault):
    """Part of the orders to minions gets no answer and is carried out later."""

    part: float

    def begin(self, fleet: SoakFleet) -> None:
        """Delay orders."""
        fleet.orders_late = self.part

    def end(self, fleet: SoakFleet) -> None:
        """Carry them out at once again."""
        fleet.orders_late = 0.0


@dataclass(slots=True)
class MinionsCrash(Fault):
    """Minions end without a word; new ones start on their machines later."""

    machines: tuple[str, ...]
    _crashed: list[str] = field(default_factory=list)

    def begin(self, fleet: SoakFleet) -> None:
        """End the minions of machines that are up."""
        for name in self.machines:
            with fleet.world.lock:
                machine = fleet.world.machine_by_name[name]
                if machine.state == "up" and machine.minion is not None:
                    machine.state = "down"
                    self._crashed.append(name)
                    fleet.world.crash(name)

    def end(self, fleet: SoakFleet) -> None:
        """Start new ones."""
        for name in self._crashed:
            fleet.world.restart(name)


def draw_faults(
    seed: int, seconds: float, nodes: list[str], machines: list[str]
) -> Iterator[Fault]:
    """Yield faults in the order in which they begin; all end within ``seconds``."""
    rng = random.Random(seed)
    links = [
        HopFaults(delay_ms=rng.choice([20, 200, 800])),
        HopFaults(refuse=True),
        HopFaults(silent_to_target=True),
        HopFaults(silent_to_caller=True),
        HopFaults(reset_after=rng.choice([0, 200])),
        HopFaults(cut_after=0, fraction=0.3),
    ]
    free_at = dict.fromkeys(nodes, 0.0)
    store_free_at = 0.0
    at = rng.uniform(*PAUSE_S)
    while at < seconds - FAULT_S[0]:
        lasts = min(rng.uniform(*FAULT_S), seconds - at)
        kind = rng.randrange(7)
        free = [name for name in nodes if free_at[name] <= at]
        if kind in (0, 1) and free:
            number = rng.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
            many = len(free) if rng.random() < 0.25 else 1
            chosen = tuple(rng.sample(free, many))
            if number is not signal.SIGSTOP:
                lasts = max(RESTART_S, lasts / 2)
            for name in chosen:
                free_at[name] = at + lasts
            yield Signalled(at, lasts, chosen, number)
        elif kind == 2:
            silenced = rng.random() < 0.3
            yield StoreLink(at, lasts, rng.choice(nodes), rng.choice(links), silenced)
        elif kind == 3:
            yield MinionLinks(at, lasts, rng.uniform(0.1, 0.6), rng.choice(links))
        elif kind == 4 and at >= store_free_at:
            store_free_at = at + lasts
            refuses = rng.choice([0.0, 0.0, 0.3, 1.0])
            loses = rng.choice([0.0, 0.3])
            yield StoreMisbehaves(at, lasts, refuses, loses, rng.random() < 0.3)
        elif kind == 5:
            yield LateOrders(at, lasts, rng.uniform(0.1, 0.6))
        elif kind == 6:
            crashed = rng.sample(machines, max(1, len(machines) // 4))
            yield MinionsCrash(at, lasts, tuple(crashed))
        at += rng.uniform(*PAUSE_S)
