"""Sessions with minions: polls, and the orders to start, stop and pace runs."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import TypeVar

from geraniumshore_scheduler import (
    MinionReplacedError,
    MinionReport,
    OwnerReplacedError,
    PaceOrder,
    PollRequest,
    StartOrder,
    StopOrder,
)
from geraniumshored.node.logs import log_event
from geraniumshored.node.session_threads import SessionThreads

__all__ = [
    "UNRESPONSIVE_POLL_PAUSE_S",
    "MinionSession",
    "Order",
    "Poll",
    "SessionOwner",
]

logger = logging.getLogger(__name__)

# Delay before a minion that did not answer is polled again.
UNRESPONSIVE_POLL_PAUSE_S = 0.25
# Starts are sent concurrently: otherwise a start without an answer would delay a whole
# burst until it times out.
MAX_CONCURRENT_STARTS = 3

Order = StartOrder | StopOrder | PaceOrder
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Poll:
    """A poll that is under way."""

    request: PollRequest
    report: Future[MinionReport]


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
    def begin_poll(self, minion_id: str) -> Poll | float:
        """Send a poll to a minion, or return the delay in seconds before the next."""

    @abstractmethod
    def finish_poll(self, poll: Poll) -> float:
        """Process the answer to a poll; return the delay before the next one."""

    @abstractmethod
    def execute(self, order: Order) -> None:
        """Send one order and process the answer."""

    @abstractmethod
    def on_minion_replaced(self, minion_id: str) -> None:
        """Record that another minion has taken the address."""


class MinionSession:
    """Sends orders to one minion and polls it, in threads that all sessions share.

    Stops and paces are sent in sequence. Starts may be sent in any sequence: they are
    numbered, and no run is stopped before its start was answered or timed out.
    """

    def __init__(
        self, owner: SessionOwner, minion_id: str, threads: SessionThreads
    ) -> None:
        self._owner = owner
        self._minion_id = minion_id
        self._threads = threads
        self._lock = threading.Lock()
        self._closed = False
        self._starts: deque[Order] = deque()
        self._open_starts = 0
        self._orders: deque[Order] = deque()
        self._sending_orders = False
        # Numbers the pauses between polls, so that only the latest one ends in a poll.
        self._pauses = 0
        self._pausing = False

    def start(self) -> None:
        """Begin to poll the minion."""
        self._threads.run_report(self._poll)

    def close(self) -> None:
        """Send nothing more."""
        with self._lock:
            self._closed = True
            self._starts.clear()
            self._orders.clear()

    def send(self, order: Order) -> None:
        """Queue an order."""
        with self._lock:
            if self._closed:
                return
            if isinstance(order, StartOrder):
                self._starts.append(order)
                if self._open_starts >= MAX_CONCURRENT_STARTS:
                    return
                self._open_starts += 1
                send = self._send_starts
            else:
                self._orders.append(order)
                if self._sending_orders:
                    return
                self._sending_orders = True
                send = self._send_orders
        self._threads.run_order(send)

    def _is_open(self) -> bool:
        return not (self._closed or self._owner.stopped)

    def _poll(self) -> None:
        if not self._is_open():
            return
        poll = self._run_guarded(lambda: self._owner.begin_poll(self._minion_id))
        if isinstance(poll, Poll):
            poll.report.add_done_callback(
                lambda _: self._threads.run_report(lambda: self._finish_poll(poll))
            )
        else:
            self._poll_later(poll)

    def _finish_poll(self, poll: Poll) -> None:
        if self._is_open():
            pause = self._run_guarded(lambda: self._owner.finish_poll(poll))
            self._poll_later(pause)

    def _poll_later(self, pause_s: float) -> None:
        with self._lock:
            self._pauses += 1
            self._pausing = True
            number = self._pauses
        self._threads.run_later(pause_s, lambda: self._end_pause(number))

    def _poll_soon(self) -> None:
        """End the pause before the next poll, if there is one.

        An idle minion of a large fleet is polled at long intervals, and the end of a
        run that it was given in between would be seen that much later.
        """
        with self._lock:
            if not self._pausing:
                return
            number = self._pauses
        self._threads.run_report(lambda: self._end_pause(number))

    def _end_pause(self, number: int) -> None:
        with self._lock:
            if not self._pausing or number != self._pauses:
                return
            self._pausing = False
        self._poll()

    def _send_starts(self) -> None:
        while True:
            with self._lock:
                if not self._starts:
                    self._open_starts -= 1
                    return
                order = self._starts.popleft()
            self._execute(order)
            self._poll_soon()

    def _send_orders(self) -> None:
        while True:
            with self._lock:
                if not self._orders:
                    self._sending_orders = False
                    return
                order = self._orders.popleft()
            self._execute(order)

    def _execute(self, order: Order) -> None:
        if self._is_open():
            self._run_guarded(lambda: self._owner.execute(order))

    def _run_guarded(self, call: Callable[[], T]) -> T | float:
        """Return the call's result, or a pause if it failed."""
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
