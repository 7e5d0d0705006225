"""Monitors runs on minions over separate connections.

A connection can stop delivering data without a FIN or RST while a middlebox still
answers keepalive probes. The minion is then asked for the state of the run on a new
connection, which distinguishes a dead connection from a long run.
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

__all__ = ["InFlightRequest", "RunState", "RunWatch", "query_run_state"]

logger = logging.getLogger(__name__)

# Timeout of a probe. Also the interval at which a run whose answer was lost is polled.
PROBE_SECONDS = 1.0
# A run is probed after its connection has delivered nothing for this time.
PROBE_AFTER_QUIET_SECONDS = 1.5
# This many consecutive unanswered probes mean that the minion is lost.
MISSED_PROBES_UNTIL_LOST = 2
# Time allowed for the answer to arrive after the run was seen to have completed.
ANSWER_ARRIVAL_SECONDS = 1.0
TICK_SECONDS = 0.1
PROBE_THREADS = 32
# A minion that does not support probes is not probed again for this time.
UNSUPPORTED_SECONDS = 60.0


class RunState(Enum):
    """State of a run: reported by the minion, or inferred from missing answers."""

    RUNNING = "running"
    ENDED = "ended"
    NEVER = "never"
    LOST = "lost"
    UNSUPPORTED = "unsupported"
    UNRESPONSIVE = "silent"


@dataclass(eq=False, slots=True)
class InFlightRequest:
    """A request sent to a minion, shared by its calling thread and the watch.

    ``received_at`` is when its connection last delivered data, and ``probed_at`` when
    its last probe ended. ``final_state`` is set when the watch ends the wait for the
    answer. ``reusable`` means that no data of the answer is left on the connection, so
    that it can carry another request.
    """

    request_id: str
    address: str
    sock: socket.socket
    sent_at: float
    give_up_at: float
    received_at: float
    probed_at: float
    missed_probes: int = 0
    completion_seen_at: float | None = None
    final_state: RunState | None = None
    probing: bool = False
    reusable: bool = False


def query_run_state(address: str, request_id: str, sent_at: float) -> RunState:
    """Ask a minion for the state of a run, on a new connection.

    With ``NEVER`` the minion also guarantees not to start the run later.
    """
    try:
        connection = connect(address, PROBE_SECONDS)
    except OSError:
        return RunState.UNRESPONSIVE
    age_ms = int((time.monotonic() - sent_at) * 1000) + 1
    headers = {"Request-Id": request_id, "Age-Ms": str(age_ms)}
    try:
        connection.http.request("POST", "/work-state", b"", headers)
        response = connection.http.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return RunState.UNRESPONSIVE
    finally:
        connection.close()
    if response.getheader("Request-Id") != request_id:
        return RunState.UNSUPPORTED
    try:
        return RunState(response.getheader("Run-State", ""))
    except ValueError:
        return RunState.UNSUPPORTED


class RunWatch(threading.Thread):
    """Thread that aborts the wait for answers that will not arrive."""

    def __init__(self) -> None:
        super().__init__(name="run-watch", daemon=True)
        self._lock = threading.Lock()
        self._in_flight_requests: set[InFlightRequest] = set()
        self._responsive_addresses: set[str] = set()
        self._unsupported_until_by_address: dict[str, float] = {}
        self._probe_pool = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="probe")
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Check all requests in flight until stopped."""
        while not self._stop_requested.wait(TICK_SECONDS):
            now = time.monotonic()
            with self._lock:
                in_flight_requests = list(self._in_flight_requests)
            for in_flight in in_flight_requests:
                self._check_request(in_flight, now)

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()
        self._probe_pool.shutdown(wait=False, cancel_futures=True)

    def add(self, in_flight: InFlightRequest) -> None:
        """Start to watch a request that is about to be sent."""
        with self._lock:
            self._in_flight_requests.add(in_flight)

    def remove(self, in_flight: InFlightRequest) -> None:
        """Stop watching a request; its socket may be closed after this call."""
        with self._lock:
            self._in_flight_requests.discard(in_flight)

    def query(self, address: str, request_id: str, sent_at: float) -> RunState:
        """Ask for the state of a run now.

        A minion that recently turned out not to support probes is not asked.
        """
        if time.monotonic() < self._unsupported_until_by_address.get(
            address, float("-inf")
        ):
            return RunState.UNSUPPORTED
        state = query_run_state(address, request_id, sent_at)
        if state is RunState.UNSUPPORTED:
            until = time.monotonic() + UNSUPPORTED_SECONDS
            self._unsupported_until_by_address[address] = until
        elif state is not RunState.UNRESPONSIVE:
            self._responsive_addresses.add(address)
        return state

    def call_on_completion(
        self,
        address: str,
        request_id: str,
        sent_at: float,
        ends_at: float,
        action: Callable[[], None],
    ) -> None:
        """Call ``action`` once a run has completed, or at ``ends_at`` at the latest."""
        poller = threading.Thread(
            target=self._poll_until_completed,
            args=(address, request_id, sent_at, ends_at, action),
            name="run-end",
            daemon=True,
        )
        poller.start()

    def _poll_until_completed(
        self,
        address: str,
        request_id: str,
        sent_at: float,
        ends_at: float,
        action: Callable[[], None],
    ) -> None:
        state = RunState.RUNNING
        while state in (RunState.RUNNING, RunState.UNRESPONSIVE):
            remaining = ends_at - time.monotonic()
            if remaining <= 0:
                break
            self._stop_requested.wait(min(PROBE_SECONDS, remaining))
            state = self.query(address, request_id, sent_at)
        if state is RunState.UNSUPPORTED:
            self._stop_requested.wait(max(0, ends_at - time.monotonic()))
        action()

    def _check_request(self, in_flight: InFlightRequest, now: float) -> None:
        if now >= in_flight.give_up_at:
            self._abort_wait(in_flight, RunState.LOST)
            return
        if in_flight.completion_seen_at is not None:
            self._await_answer(in_flight, in_flight.completion_seen_at, now)
            return
        quiet_since = max(in_flight.received_at, in_flight.probed_at)
        if in_flight.probing or now - quiet_since < PROBE_AFTER_QUIET_SECONDS:
            return
        if now < self._unsupported_until_by_address.get(
            in_flight.address, float("-inf")
        ):
            return
        in_flight.probing = True
        self._probe_pool.submit(self._probe, in_flight)

    def _await_answer(
        self, in_flight: InFlightRequest, completion_seen_at: float, now: float
    ) -> None:
        """Abort the wait for a completed run's answer that does not arrive in time."""
        if in_flight.received_at >= completion_seen_at:
            in_flight.completion_seen_at = None
        elif now - completion_seen_at >= ANSWER_ARRIVAL_SECONDS:
            self._abort_wait(in_flight, RunState.ENDED)

    def _probe(self, in_flight: InFlightRequest) -> None:
        probe_started_at = time.monotonic()
        try:
            state = self.query(
                in_flight.address, in_flight.request_id, in_flight.sent_at
            )
            self._process_probe_result(in_flight, state, probe_started_at)
        except Exception:
            logger.exception("probe failed unexpectedly")
        finally:
            in_flight.probed_at = time.monotonic()
            in_flight.probing = False

    def _process_probe_result(
        self, in_flight: InFlightRequest, state: RunState, probe_started_at: float
    ) -> None:
        in_flight.missed_probes = (
            in_flight.missed_probes + 1 if state is RunState.UNRESPONSIVE else 0
        )
        if in_flight.received_at >= probe_started_at:
            return
        match state:
            case RunState.NEVER | RunState.LOST:
                self._abort_wait(in_flight, state)
            case RunState.ENDED:
                in_flight.completion_seen_at = time.monotonic()
            case RunState.UNRESPONSIVE if (
                in_flight.address in self._responsive_addresses
            ):
                if in_flight.missed_probes >= MISSED_PROBES_UNTIL_LOST:
                    self._abort_wait(in_flight, state)

    def _abort_wait(self, in_flight: InFlightRequest, final_state: RunState) -> None:
        """Set the final state and wake the thread that waits for the answer."""
        with self._lock:
            if in_flight not in self._in_flight_requests:
                return
            self._in_flight_requests.discard(in_flight)
            in_flight.final_state = final_state
            try:
                in_flight.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                logger.debug("connection was already closed")
