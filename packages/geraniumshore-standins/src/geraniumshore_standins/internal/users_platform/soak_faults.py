"""Faults that the soak test draws from a seed and injects from outside the nodes."""

from __future__ import annotations

import random
import signal
import threading
import time
from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from geraniumshore_standins.internal.fleet import free_port
from geraniumshore_standins.internal.proxy import FaultProxy, HopFaults
from geraniumshore_standins.internal.users_platform.nodes import PlatformFleet
from geraniumshore_standins.internal.users_platform.soak_invariants import Evacuated
from geraniumshore_standins.internal.wsgi import Call

__all__ = ["Fault", "SoakFleet", "draw_faults", "evacuate_repeatedly"]

# Unanswered orders are applied after this delay, as on the platform.
ORDER_DELAY_S = (2.0, 12.0)
# Maximum relative error of the speed of minions' clocks.
MAX_CLOCK_DRIFT = 0.02
# Ranges of a fault's duration and of the time from its beginning to that of the next
# one, chosen so that faults follow closely and overlap.
FAULT_DURATION_S = (0.3, 5.0)
FAULT_INTERVAL_S = (0.2, 2.5)
# Killed processes are restarted after this delay, as on the platform.
RESTART_DELAY_S = 0.5
EVACUATED_DATA_CENTRE = "b"
# Time between two evacuations, and how long one lasts: longer than the time after which
# nothing may start there.
EVACUATION_PAUSE_S = (0.5, 4.0)
EVACUATION_S = (1.0, 10.0)


class SoakFleet(PlatformFleet):
    """A fleet whose nodes reach minions and the store through a fault proxy."""

    def __init__(self, seed: int, **settings: Any) -> None:
        super().__init__(**settings)
        self.rng = random.Random(seed)
        self.proxy = FaultProxy(seed)
        self.store_hop_by_node: dict[str, int] = {}
        self.minion_hops: list[int] = []
        self.store_refusal_rate = 0.0
        self.lost_answer_rate = 0.0
        self.late_order_rate = 0.0
        self._draw_lock = threading.Lock()
        self.simulator.advertised_port = self._open_hop_to_minion
        self.simulator.clock_rate = lambda: (
            1 + self._draw(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        )
        self.simulator.store_faults = self._store_fault
        self.simulator.order_delay = self._order_delay

    def data_centre_of(self, machine: int) -> str:
        """Return the data centre of a machine; a third of them is in the second."""
        return EVACUATED_DATA_CENTRE if machine % 3 == 2 else "a"

    def store_address(self, name: str) -> str:
        """Return the address of the node's own proxy hop to the store."""
        if name not in self.store_hop_by_node:
            port = free_port()
            self.proxy.open_hop(port, super().store_address(name))
            self.store_hop_by_node[name] = port
        return f"127.0.0.1:{self.store_hop_by_node[name]}"

    def _open_hop_to_minion(self, port: int) -> int:
        hop = free_port()
        self.proxy.open_hop(hop, f"127.0.0.1:{port}")
        self.minion_hops.append(hop)
        return hop

    def _draw(self, low: float, high: float) -> float:
        with self._draw_lock:
            return self.rng.uniform(low, high)

    def _store_fault(self, call: Call) -> int | str | None:
        if self._draw(0, 1) < self.store_refusal_rate:
            return 503
        if call.path[-1] == "log-append" and self._draw(0, 1) < self.lost_answer_rate:
            return "lost"
        return None

    def _order_delay(self, name: str) -> float | None:
        if name == "hold" or self._draw(0, 1) >= self.late_order_rate:
            return None
        return self._draw(*ORDER_DELAY_S)


@dataclass(slots=True)
class Fault(ABC):
    """A fault that begins at ``at`` and lasts for ``lasts`` seconds."""

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
        """Inject the fault."""

    @abstractmethod
    def end(self, fleet: SoakFleet) -> None:
        """Remove the fault."""


@dataclass(slots=True)
class Signalled(Fault):
    """Nodes are killed, terminated or suspended by a signal."""

    nodes: tuple[str, ...]
    number: signal.Signals

    def begin(self, fleet: SoakFleet) -> None:
        """Send the signal."""
        for name in self.nodes:
            fleet.signal(name, self.number)

    def end(self, fleet: SoakFleet) -> None:
        """Resume suspended nodes and restart the others."""
        for name in self.nodes:
            if self.number is signal.SIGSTOP:
                fleet.signal(name, signal.SIGCONT)
                continue
            process = fleet.node_by_name[name].process
            # The platform kills nodes that take too long to leave.
            process.kill()
            process.wait()
            fleet.start_node(name)


@dataclass(slots=True)
class StoreLink(Fault):
    """One node's connection to the store is faulty."""

    node: str
    faults: HopFaults
    silenced: bool = False

    def begin(self, fleet: SoakFleet) -> None:
        """Inject faults into the hop. Open connections may stop responding for good."""
        hop = fleet.store_hop_by_node[self.node]
        fleet.proxy.set_faults(hop, self.faults)
        if self.silenced:
            fleet.proxy.silence(hop)
        elif self.faults.refuse:
            fleet.proxy.reset(hop)

    def end(self, fleet: SoakFleet) -> None:
        """Remove the faults for new data."""
        fleet.proxy.set_faults(fleet.store_hop_by_node[self.node], HopFaults())


@dataclass(slots=True)
class MinionLinks(Fault):
    """The connections of all nodes to some minions are faulty."""

    part: float
    faults: HopFaults
    _hops: list[int] = field(default_factory=list)

    def begin(self, fleet: SoakFleet) -> None:
        """Inject faults into the hops of the first minions."""
        hops = fleet.minion_hops
        self._hops = hops[: max(1, int(len(hops) * self.part))]
        for hop in self._hops:
            fleet.proxy.set_faults(hop, self.faults)

    def end(self, fleet: SoakFleet) -> None:
        """Remove the faults."""
        for hop in self._hops:
            fleet.proxy.set_faults(hop, HopFaults())


@dataclass(slots=True)
class StoreMisbehaves(Fault):
    """The store refuses calls, loses responses to appends or compacts its topics."""

    refuses: float = 0.0
    loses: float = 0.0
    forgets: bool = False

    def begin(self, fleet: SoakFleet) -> None:
        """Inject the store's faults."""
        fleet.store_refusal_rate, fleet.lost_answer_rate = self.refuses, self.loses
        if self.forgets:
            with fleet.simulator.lock:
                for topic in ("keyed.jobs", "keyed.op", "keyed.servers"):
                    fleet.simulator.log.compact(topic, 0)
                fleet.simulator.log.compact("keyed.jobs", 1)

    def end(self, fleet: SoakFleet) -> None:
        """Remove the store's faults."""
        fleet.store_refusal_rate = fleet.lost_answer_rate = 0.0


@dataclass(slots=True)
class LateOrders(Fault):
    """A fraction of the orders to minions is not answered and is applied later."""

    part: float

    def begin(self, fleet: SoakFleet) -> None:
        """Start delaying orders."""
        fleet.late_order_rate = self.part

    def end(self, fleet: SoakFleet) -> None:
        """Stop delaying orders."""
        fleet.late_order_rate = 0.0


@dataclass(slots=True)
class MinionsCrash(Fault):
    """Minions crash; new ones start on their machines when the fault ends."""

    machines: tuple[str, ...]
    _crashed: list[str] = field(default_factory=list)

    def begin(self, fleet: SoakFleet) -> None:
        """Crash the minions of the machines that are up."""
        for name in self.machines:
            with fleet.simulator.lock:
                machine = fleet.simulator.machine_by_name[name]
                if machine.state == "up" and machine.minion is not None:
                    machine.state = "down"
                    self._crashed.append(name)
                    fleet.simulator.crash(name)

    def end(self, fleet: SoakFleet) -> None:
        """Start new minions."""
        for name in self._crashed:
            fleet.simulator.restart(name)


def evacuate_repeatedly(
    fleet: SoakFleet, seed: int, stop: threading.Event, evacuated: list[Evacuated]
) -> None:
    """Evacuate a data centre again and again; add each time to ``evacuated``.

    The times have a random source of their own, so that each seed keeps its faults.
    """
    rng = random.Random(f"evacuations-{seed}")
    while not stop.wait(rng.uniform(*EVACUATION_PAUSE_S)):
        fleet.simulator.evacuate(EVACUATED_DATA_CENTRE)
        since = time.monotonic()
        stop.wait(rng.uniform(*EVACUATION_S))
        evacuated.append(Evacuated(EVACUATED_DATA_CENTRE, since, time.monotonic()))
        fleet.simulator.end_evacuation(EVACUATED_DATA_CENTRE)


def draw_faults(
    seed: int, seconds: float, nodes: list[str], machines: list[str]
) -> Iterator[Fault]:
    """Yield faults in the order of their beginnings.

    All end within ``seconds``, or shortly after it for the delay of a restart.
    """
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
    at = rng.uniform(*FAULT_INTERVAL_S)
    while at < seconds - FAULT_DURATION_S[0]:
        lasts = min(rng.uniform(*FAULT_DURATION_S), seconds - at)
        kind = rng.randrange(7)
        free = [name for name in nodes if free_at[name] <= at]
        if kind in (0, 1) and free:
            number = rng.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
            many = len(free) if rng.random() < 0.25 else 1
            chosen = tuple(rng.sample(free, many))
            if number is not signal.SIGSTOP:
                lasts = max(RESTART_DELAY_S, lasts / 2)
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
        at += rng.uniform(*FAULT_INTERVAL_S)
