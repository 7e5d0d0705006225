"""Watches runs on minions over connections of its own.

A connection can go silent for good without FIN or RST, while keepalive probes are
answered by something in between. The minion is then asked on a new connection what
became of the run, so that a silent connection is told from a long run.
"""

from __future__ import annotations

import http.client
import logging
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum

from geraniumshored.internal.connections import connect

__all__ = ["Flight", "RunState", "RunWatch", "ask_run_state"]

logger = logging.getLogger(__name__)

PROBE_SECONDS = 1.0
# A run is asked for where nothing came from its connection for this time.
QUIET_SECONDS = 1.5
# So many probes without an answer, one after another, tell that the minion is lost.
MISSES_FOR_LOST = 2
# Between the end of a run and the arrival of its answer.
ANSWER_SECONDS = 1.0
TICK_SECONDS = 0.1
PROBE_THREADS = 32
# A minion that does not know the path is not asked again for this time.
UNSUPPORTED_SECONDS = 60.0


class RunState(Enum):
    """What a minion says of a run, or what is concluded from its silence."""

    RUNNING = "running"
    ENDED = "ended"
    NEVER = "never"
    LOST = "lost"
    UNSUPPORTED = "unsupported"
    SILENT = "silent"


@dataclass(eq=False, slots=True)
class Flight:
    """One request that is on its way, as its own thread and the watch see it.

    ``clean`` tells that its connection has nothing left of it and may be reused.
    """

    request_id: str
    address: str
    sock: socket.socket
    sent_at: float
    give_up_at: float
    heard_at: float
    asked_at: float
    misses: int = 0
    ended_seen_at: float | None = None
    verdict: RunState | None = None
    asking: bool = False
    clean: bool = False


def ask_run_state(address: str, request_id: str, sent_at: float) -> RunState:
    """Ask a minion what became of a run, on a new connection.

    ``NEVER`` is the minion's promise not to run it from now on either.
    """
    try:
        connection = connect(address, PROBE_SECONDS)
    except OSError:
        return RunState.SILENT
    age_ms = int((time.monotonic() - sent_at) * 1000) + 1
    headers = {"Request-Id": request_id, "Age-Ms": str(age_ms)}
    try:
        connection.http.request("POST", "/work-state", b"", headers)
        response = connection.http.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return RunState.SILENT
    finally:
        connection.close()
    if response.getheader("Request-Id") != request_id:
        return RunState.UNSUPPORTED
    try:
        return RunState(response.getheader("Run-State", ""))
    except ValueError:
        return RunState.UNSUPPORTED


class RunWatch(threading.Thread):
    """Ends the wait for answers that will not come."""

    def __init__(self) -> None:
        super().__init__(name="run-watch", daemon=True)
        self._lock = threading.Lock()
        self._flights: set[Flight] = set()
        self._answered: set[str] = set()
        self._unsupported_until: dict[str, float] = {}
        self._probers = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="probe")
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Watch until stopped."""
        while not self._stop_requested.wait(TICK_SECONDS):
            now = time.monotonic()
            with self._lock:
                flights = list(self._flights)
            for flight in flights:
                self._look_after(flight, now)

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()
        self._probers.shutdown(wait=False, cancel_futures=True)

    def add(self, flight: Flight) -> None:
        """Watch a request that is about to be sent."""
        with self._lock:
            self._flights.add(flight)

    def remove(self, flight: Flight) -> None:
        """Watch it no longer; its socket may be closed after this."""
        with self._lock:
            self._flights.discard(flight)

    def ask(self, address: str, request_id: str, sent_at: float) -> RunState:
        """Ask for a run at once, unless the minion is known not to answer that."""
        if time.monotonic() < self._unsupported_until.get(address, float("-inf")):
            return RunState.UNSUPPORTED
        state = ask_run_state(address, request_id, sent_at)
        if state is RunState.UNSUPPORTED:
            until = time.monotonic() + UNSUPPORTED_SECONDS
            self._unsupported_until[address] = until
        elif state is not RunState.SILENT:
            self._answered.add(address)
        return state

    def when_ended(
        self,
        address: str,
        request_id: str,
        sent_at: float,
        ends_at: float,
        action: Callable[[], None],
    ) -> None:
        """Call ``action`` once a run has ended, at its limit at the latest."""
        follower = threading.Thread(
            target=self._follow,
            args=(address, request_id, sent_at, ends_at, action),
            name="run-end",
            daemon=True,
        )
        follower.start()

    def _follow(
        self,
        address: str,
        request_id: str,
        sent_at: float,
        ends_at: float,
        action: Callable[[], None],
    ) -> None:
        state = RunState.RUNNING
        while state in (RunState.RUNNING, RunState.SILENT):
            remaining = ends_at - time.monotonic()
            if remaining <= 0:
                break
            self._stop_requested.wait(min(PROBE_SECONDS, remaining))
            state = self.ask(address, request_id, sent_at)
        if state is RunState.UNSUPPORTED:
            self._stop_requested.wait(max(0, ends_at - time.monotonic()))
        action()

    def _look_after(self, flight: Flight, now: float) -> None:
        if now >= flight.give_up_at:
            self._end(flight, RunState.LOST)
            return
        if flight.ended_seen_at is not None:
            self._await_answer(flight, flight.ended_seen_at, now)
            return
        quiet_since = max(flight.heard_at, flight.asked_at)
        if flight.asking or now - quiet_since < QUIET_SECONDS:
            return
        if now < self._unsupported_until.get(flight.address, float("-inf")):
            return
        flight.asking = True
        self._probers.submit(self._probe, flight)

    def _await_answer(self, flight: Flight, ended_seen_at: float, now: float) -> None:
        """Give the answer of a run that has ended a moment to arrive."""
        if flight.heard_at >= ended_seen_at:
            flight.ended_seen_at = None
        elif now - ended_seen_at >= ANSWER_SECONDS:
            self._end(flight, RunState.ENDED)

    def _probe(self, flight: Flight) -> None:
        asked_at = time.monotonic()
        try:
            state = self.ask(flight.address, flight.request_id, flight.sent_at)
            self._judge(flight, state, asked_at)
        except Exception:
            logger.exception("fault in a probe")
        finally:
            flight.asked_at = time.monotonic()
            flight.asking = False

    def _judge(self, flight: Flight, state: RunState, asked_at: float) -> None:
        flight.misses = flight.misses + 1 if state is RunState.SILENT else 0
        if flight.heard_at >= asked_at:
            return
        match state:
            case RunState.NEVER | RunState.LOST:
                self._end(flight, state)
            case RunState.ENDED:
                flight.ended_seen_at = time.monotonic()
            case RunState.SILENT if flight.address in self._answered:
                if flight.misses >= MISSES_FOR_LOST:
                    self._end(flight, state)

    def _end(self, flight: Flight, verdict: RunState) -> None:
        """Wake the thread that waits on the flight's connection."""
        with self._lock:
            if flight not in self._flights:
                return
            self._flights.discard(flight)
            flight.verdict = verdict
            try:
                flight.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                logger.debug("connection had ended")
