"""Threads for each minion: one polls, one stops and paces runs, some start runs."""

from __future__ import annotations

import logging
import queue
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from geraniumshore_scheduler import (
    MinionReplacedError,
    OwnerReplacedError,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from geraniumshored.node.logs import log_event

__all__ = ["UNRESPONSIVE_POLL_PAUSE_S", "MinionSession", "Order", "SessionOwner"]

logger = logging.getLogger(__name__)

# Delay before a minion that did not answer is polled again.
UNRESPONSIVE_POLL_PAUSE_S = 0.25
# Starts are sent concurrently: otherwise a start without an answer would delay a whole
# burst until it times out.
MAX_CONCURRENT_STARTS = 3

Order = StartOrder | StopOrder | PaceOrder


class SessionOwner(ABC):
    """Interface between a session and the owner whose orders it sends."""

    @property
    @abstractmethod
    def stopped(self) -> bool:
        """Whether the owner sends no more orders."""

    @abstractmethod
    def stop(self, why: str) -> None:
        """End the ownership; no more orders are sent."""

    @abstractmethod
    def poll_minion(self, minion_id: str) -> float:
        """Poll a minion; return the delay in seconds before the next poll."""

    @abstractmethod
    def execute(self, order: Order) -> None:
        """Send one order and process the answer."""

    @abstractmethod
    def on_minion_replaced(self, minion_id: str) -> None:
        """Record that another minion has taken the address."""


class MinionSession:
    """Sends orders to one minion and polls it.

    Stops and paces are sent in sequence. Starts may be sent in any sequence: they are
    numbered, and no run is stopped before its start was answered or timed out.
    """

    def __init__(self, owner: SessionOwner, minion_id: str) -> None:
        self._owner = owner
        self._minion_id = minion_id
        self._orders: queue.SimpleQueue[Order | None] = queue.SimpleQueue()
        self._starters = ThreadPoolExecutor(
            MAX_CONCURRENT_STARTS, f"starts-{minion_id}"
        )
        # Guards against submitting to the executor after its shutdown.
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def start(self) -> None:
        """Start the threads that poll and send orders."""
        for target, name in ((self._run_polls, "poll"), (self._run_orders, "orders")):
            threading.Thread(
                target=target, name=f"{name}-{self._minion_id}", daemon=True
            ).start()

    def close(self) -> None:
        """Let all threads end."""
        with self._lock:
            self._closed.set()
            self._starters.shutdown(wait=False, cancel_futures=True)
        self._orders.put(None)

    def send(self, order: Order) -> None:
        """Queue an order."""
        if not isinstance(order, StartOrder):
            self._orders.put(order)
            return
        with self._lock:
            if not self._closed.is_set():
                self._starters.submit(self._execute, order)

    def _is_open(self) -> bool:
        return not (self._closed.is_set() or self._owner.stopped)

    def _run_polls(self) -> None:
        while self._is_open():
            pause = self._run_guarded(lambda: self._owner.poll_minion(self._minion_id))
            if pause:
                self._closed.wait(pause)

    def _run_orders(self) -> None:
        while self._is_open():
            order = self._orders.get()
            if order is None:
                return
            self._execute(order)

    def _execute(self, order: Order) -> None:
        if self._is_open():
            self._run_guarded(lambda: self._owner.execute(order))

    def _run_guarded(self, call: Callable[[], float | None]) -> float | None:
        try:
            return call()
        except OwnerReplacedError as error:
            self._owner.stop(str(error))
        except MinionReplacedError as error:
            log_event(logger, "minion gone", minion=self._minion_id, cause=str(error))
            self._owner.on_minion_replaced(self._minion_id)
        except Exception:
            logger.exception("fault while serving minion %s", self._minion_id)
        return UNRESPONSIVE_POLL_PAUSE_S
