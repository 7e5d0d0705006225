"""Threads for each minion: one looks, one stops and paces runs, some start them."""

from __future__ import annotations

import logging
import queue
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from geraniumshore_scheduler import (
    MinionGoneError,
    OwnerReplacedError,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from geraniumshored.node.logs import log_event

__all__ = ["SILENT_PAUSE_S", "MinionSession", "Order", "SessionOwner"]

logger = logging.getLogger(__name__)

# A minion that did not answer is looked at again after this time.
SILENT_PAUSE_S = 0.25
# So many starts are open at a time: one without an answer would else hold up a whole
# burst for as long as it takes to time out.
MOST_STARTERS = 3

Order = StartOrder | StopOrder | PaceOrder


class SessionOwner(ABC):
    """What a session needs of the owner whose orders it carries."""

    @property
    @abstractmethod
    def stopped(self) -> bool:
        """Whether the owner gives no more orders."""

    @abstractmethod
    def stop(self, why: str) -> None:
        """Give no more orders."""

    @abstractmethod
    def look(self, minion_id: str) -> float:
        """Look at a minion; return how long to wait before the next look."""

    @abstractmethod
    def carry_out(self, order: Order) -> None:
        """Send one order and take in how it was answered."""

    @abstractmethod
    def gone(self, minion_id: str) -> None:
        """Note that another minion has the address."""


class MinionSession:
    """Gives orders to one minion and looks at it.

    Stops and paces keep their order. Starts are independent of each other: they are
    numbered, and no stop is given before its start has been answered or timed out.
    """

    def __init__(self, owner: SessionOwner, minion_id: str) -> None:
        self._owner = owner
        self._minion_id = minion_id
        self._orders: queue.SimpleQueue[Order | None] = queue.SimpleQueue()
        self._starters = ThreadPoolExecutor(MOST_STARTERS, f"starts-{minion_id}")
        # Nothing is handed to the starters once they are shut down.
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def start(self) -> None:
        """Begin to look and to give orders."""
        for target, name in ((self._look, "look"), (self._give, "orders")):
            threading.Thread(
                target=target, name=f"{name}-{self._minion_id}", daemon=True
            ).start()

    def close(self) -> None:
        """End all threads."""
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
                self._starters.submit(self._carry_out, order)

    def _open(self) -> bool:
        return not (self._closed.is_set() or self._owner.stopped)

    def _look(self) -> None:
        while self._open():
            pause = self._guard(lambda: self._owner.look(self._minion_id))
            if pause:
                self._closed.wait(pause)

    def _give(self) -> None:
        while self._open():
            order = self._orders.get()
            if order is None:
                return
            self._carry_out(order)

    def _carry_out(self, order: Order) -> None:
        if self._open():
            self._guard(lambda: self._owner.carry_out(order))

    def _guard(self, call: Callable[[], float | None]) -> float | None:
        try:
            return call()
        except OwnerReplacedError as error:
            self._owner.stop(str(error))
        except MinionGoneError as error:
            log_event(logger, "minion gone", minion=self._minion_id, cause=str(error))
            self._owner.gone(self._minion_id)
        except Exception:
            logger.exception("fault while serving minion %s", self._minion_id)
        return SILENT_PAUSE_S
