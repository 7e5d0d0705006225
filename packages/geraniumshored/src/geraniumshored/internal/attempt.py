"""HTTP client that makes one attempt to run a request on a minion."""

from __future__ import annotations

import http.client
import io
import time
from dataclasses import dataclass

from geraniumshore import Minion, NotRun, Outcome, Ran, Unknown
from geraniumshored.internal.connections import (
    ConnectionPool,
    MinionConnection,
    max_idle_connections,
)
from geraniumshored.internal.run_watch import InFlightRequest, RunState, RunWatch

__all__ = ["MinionClient", "MinionRequest"]

# The minion ends a run at its limit by itself; its answer may arrive a little later.
ANSWER_GRACE_SECONDS = 1.0
READ_BYTES = 65_536


class DoubtfulAnswerError(Exception):
    """An answer that may be incomplete or may belong to another request."""


@dataclass(frozen=True, slots=True)
class MinionRequest:
    """A request to run on a minion. ``run_limit`` is in seconds."""

    request_id: str
    queue: str
    team: str
    body: bytes
    content_type: str
    content_encoding: str | None
    run_limit: float
    idempotent: bool
    max_answer_bytes: int

    def headers(self) -> dict[str, str]:
        """Return the headers of the minion contract (docs/PROTOCOLS.md)."""
        headers = {
            "Request-Id": self.request_id,
            "Team": self.team,
            "Run-Limit-Ms": str(int(self.run_limit * 1000)),
            "Content-Type": self.content_type,
        }
        if self.content_encoding is not None:
            headers["Content-Encoding"] = self.content_encoding
        return headers


class MinionClient:
    """Sends requests to minions and determines the outcome of each."""

    def __init__(self, pool: ConnectionPool, watch: RunWatch) -> None:
        self._pool = pool
        self._run_watch = watch

    def attempt(self, minion: Minion, request: MinionRequest, members: int) -> Outcome:
        """Send the request and read the complete answer.

        The outcome is ``NotRun`` only if no byte was sent or the minion reported that
        the request was not run. ``members`` is the number of members that share the
        minion's connections.
        """
        try:
            connection = self._pool.acquire(minion.address, request.idempotent)
        except OSError as error:
            return NotRun(f"connect: {error!r}", minion_failed=True)
        in_flight = _new_in_flight_request(connection, request)
        self._run_watch.add(in_flight)
        try:
            outcome = _exchange(connection, request, in_flight)
        except (OSError, http.client.HTTPException, DoubtfulAnswerError) as error:
            self._run_watch.remove(in_flight)
            connection.close()
            return self._resolve_outcome(in_flight, f"no whole answer: {error!r}")
        self._run_watch.remove(in_flight)
        if in_flight.final_state is None and in_flight.reusable:
            self._pool.release(connection, max_idle_connections(minion, members))
        else:
            connection.close()
        return outcome

    def _resolve_outcome(self, in_flight: InFlightRequest, reason: str) -> Outcome:
        """Return the outcome of a run without a complete answer.

        Asks the minion for the state of the run if that is not known yet.
        """
        state = in_flight.final_state
        if state is None:
            state = self._run_watch.query(
                in_flight.address, in_flight.request_id, in_flight.sent_at
            )
        if state is RunState.NEVER:
            return NotRun(f"{reason}; the minion never began it", minion_failed=True)
        return Unknown(reason, ended=state in (RunState.ENDED, RunState.LOST))


def _new_in_flight_request(
    connection: MinionConnection, request: MinionRequest
) -> InFlightRequest:
    now = time.monotonic()
    return InFlightRequest(
        request_id=request.request_id,
        address=connection.address,
        sock=connection.http.sock,
        sent_at=now,
        give_up_at=now + request.run_limit + ANSWER_GRACE_SECONDS,
        received_at=now,
        probed_at=now,
    )


def _exchange(
    connection: MinionConnection, request: MinionRequest, in_flight: InFlightRequest
) -> Outcome:
    connection.http.sock.settimeout(request.run_limit + ANSWER_GRACE_SECONDS)
    connection.http.request(
        "POST", f"/work/{request.queue}", request.body, request.headers()
    )
    response = connection.http.getresponse()
    in_flight.received_at = time.monotonic()
    _check_framing(response)
    body = _read_complete(response, request.max_answer_bytes, in_flight)
    if response.getheader("Request-Id") != request.request_id:
        raise DoubtfulAnswerError("the answer is to another request")
    if response.getheader("Outcome") == "not-run":
        reason = f"refused by the minion with status {response.status}"
        return NotRun(reason, minion_failed=True)
    return Ran(
        response.status,
        response.getheader("Content-Type", "application/octet-stream"),
        response.getheader("Content-Encoding"),
        body,
    )


def _check_framing(response: http.client.HTTPResponse) -> None:
    """Reject an answer whose headers do not determine where it ends."""
    lengths = set(response.headers.get_all("Content-Length", []))
    if len(lengths) > 1:
        raise DoubtfulAnswerError(f"the answer has lengths {sorted(lengths)}")
    if lengths and response.headers.get("Transfer-Encoding") is not None:
        raise DoubtfulAnswerError("the answer has both a length and an encoding")
    if response.length is None and not response.chunked:
        raise DoubtfulAnswerError("the answer has no length")


def _read_complete(
    response: http.client.HTTPResponse, max_bytes: int, in_flight: InFlightRequest
) -> bytes:
    parts: list[bytes] = []
    received = 0
    while part := response.read1(READ_BYTES):
        in_flight.received_at = time.monotonic()
        received += len(part)
        if received > max_bytes:
            raise DoubtfulAnswerError(f"the answer is over {max_bytes} bytes")
        parts.append(part)
    if response.length:
        raise DoubtfulAnswerError(f"{response.length} bytes of the answer are missing")
    in_flight.reusable = _no_trailing_bytes(response, in_flight)
    response.close()
    return b"".join(parts)


def _no_trailing_bytes(
    response: http.client.HTTPResponse, in_flight: InFlightRequest
) -> bool:
    """Return whether no bytes follow the answer on the connection.

    False if that cannot be determined; bytes that follow would be read as part of
    the next answer.
    """
    if not isinstance(response.fp, io.BufferedReader):
        return False
    in_flight.sock.settimeout(0)
    return not response.fp.peek(1)
