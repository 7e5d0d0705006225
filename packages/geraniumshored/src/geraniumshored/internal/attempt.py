"""One attempt to run a request on a minion."""

from __future__ import annotations

import http.client
import io
import time
from dataclasses import dataclass

from geraniumshore import Minion, NotRun, Outcome, Ran, Unknown
from geraniumshored.internal.connections import (
    ConnectionPool,
    MinionConnection,
    idle_budget,
)
from geraniumshored.internal.run_watch import Flight, RunState, RunWatch

__all__ = ["MinionClient", "MinionRequest"]

# The minion ends a run at the limit itself; the answer may need a little longer.
ANSWER_GRACE_SECONDS = 1.0
READ_BYTES = 65_536


class DoubtfulAnswerError(Exception):
    """An answer that is not certainly whole, or not certainly to this request."""


@dataclass(frozen=True, slots=True)
class MinionRequest:
    """What a minion is asked to run. ``run_limit`` is in seconds."""

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
    """Sends requests to minions and says truly what became of each."""

    def __init__(self, pool: ConnectionPool, watch: RunWatch) -> None:
        self._pool = pool
        self._watch = watch

    def attempt(self, minion: Minion, request: MinionRequest, members: int) -> Outcome:
        """Send the request and read the whole answer.

        The outcome is ``NotRun`` only if no byte was sent or the minion said so.
        ``members`` divide the minion's connections among them.
        """
        try:
            connection = self._pool.take(minion.address, request.idempotent)
        except OSError as error:
            return NotRun(f"connect: {error!r}", minion_failed=True)
        flight = _new_flight(connection, request)
        self._watch.add(flight)
        try:
            outcome = _exchange(connection, request, flight)
        except (OSError, http.client.HTTPException, DoubtfulAnswerError) as error:
            self._watch.remove(flight)
            connection.close()
            return self._settle(flight, f"no whole answer: {error!r}")
        self._watch.remove(flight)
        if flight.verdict is None and flight.clean:
            self._pool.give_back(connection, idle_budget(minion, members))
        else:
            connection.close()
        return outcome

    def _settle(self, flight: Flight, reason: str) -> Outcome:
        """Find out what became of a run whose answer did not come."""
        state = flight.verdict
        if state is None:
            state = self._watch.ask(flight.address, flight.request_id, flight.sent_at)
        if state is RunState.NEVER:
            return NotRun(f"{reason}; the minion never began it", minion_failed=True)
        return Unknown(reason, ended=state in (RunState.ENDED, RunState.LOST))


def _new_flight(connection: MinionConnection, request: MinionRequest) -> Flight:
    now = time.monotonic()
    return Flight(
        request_id=request.request_id,
        address=connection.address,
        sock=connection.http.sock,
        sent_at=now,
        give_up_at=now + request.run_limit + ANSWER_GRACE_SECONDS,
        heard_at=now,
        asked_at=now,
    )


def _exchange(
    connection: MinionConnection, request: MinionRequest, flight: Flight
) -> Outcome:
    connection.http.sock.settimeout(request.run_limit + ANSWER_GRACE_SECONDS)
    connection.http.request(
        "POST", f"/work/{request.queue}", request.body, request.headers()
    )
    response = connection.http.getresponse()
    flight.heard_at = time.monotonic()
    _check_framing(response)
    body = _read_whole(response, request.max_answer_bytes, flight)
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
    """Refuse an answer whose end cannot be told for certain."""
    lengths = set(response.headers.get_all("Content-Length", []))
    if len(lengths) > 1:
        raise DoubtfulAnswerError(f"the answer has lengths {sorted(lengths)}")
    if lengths and response.headers.get("Transfer-Encoding") is not None:
        raise DoubtfulAnswerError("the answer has both a length and an encoding")
    if response.length is None and not response.chunked:
        raise DoubtfulAnswerError("the answer has no length")


def _read_whole(
    response: http.client.HTTPResponse, max_bytes: int, flight: Flight
) -> bytes:
    parts: list[bytes] = []
    received = 0
    while part := response.read1(READ_BYTES):
        flight.heard_at = time.monotonic()
        received += len(part)
        if received > max_bytes:
            raise DoubtfulAnswerError(f"the answer is over {max_bytes} bytes")
        parts.append(part)
    if response.length:
        raise DoubtfulAnswerError(f"{response.length} bytes of the answer are missing")
    flight.clean = _nothing_follows(response, flight)
    response.close()
    return b"".join(parts)


def _nothing_follows(response: http.client.HTTPResponse, flight: Flight) -> bool:
    """Tell whether the connection certainly has no byte of another answer."""
    if not isinstance(response.fp, io.BufferedReader):
        return False
    flight.sock.settimeout(0)
    return not response.fp.peek(1)
