"""Load of concurrent callers that call through the balancer until stopped."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

from geraniumshore_standins.internal.balancer import Balancer
from geraniumshore_standins.internal.fleet import EntryProcess
from geraniumshore_standins.internal.operator_client import HttpReply
from geraniumshore_standins.internal.scenario.answers import CallResult

__all__ = ["Load", "call_once"]

# Delay before a caller's next call if no host is ready or the last call failed.
FAILED_CALL_DELAY_SECONDS = 0.05


class Load:
    """Concurrent callers of one team on one queue, each making one call at a time."""

    def __init__(
        self, balancer: Balancer, queue: str, team: str, bearer: str, callers: int
    ) -> None:
        self._balancer = balancer
        self._queue = queue
        self._team = team
        self._bearer = bearer
        self._stop_requested = threading.Event()
        self._numbers = itertools.count()
        self._pool = ThreadPoolExecutor(callers)
        self._futures: list[Future[list[CallResult]]] = [
            self._pool.submit(self._call_until_stopped) for _ in range(callers)
        ]

    def stop(self) -> list[CallResult]:
        """Stop the callers and return the results of all their calls."""
        self._stop_requested.set()
        self._pool.shutdown()
        return [result for future in self._futures for result in future.result()]

    def _call_until_stopped(self) -> list[CallResult]:
        results = []
        while not self._stop_requested.is_set():
            try:
                entry = self._balancer.next()
            except ConnectionError:
                self._stop_requested.wait(FAILED_CALL_DELAY_SECONDS)
                continue
            body = f"{self._team}/{self._queue}/{id(self)}/{next(self._numbers)}"
            result = call_once(entry, self._queue, self._team, self._bearer, body)
            results.append(result)
            if result.status != 200:
                self._stop_requested.wait(FAILED_CALL_DELAY_SECONDS)
        return results


def call_once(
    entry: EntryProcess, queue: str, team: str, bearer: str, body: str
) -> CallResult:
    """Make one call and return its result as the caller saw it."""
    sent_at = time.monotonic()
    status = outcome = answered_body = error = None
    try:
        reply = entry.call(queue, bearer, body.encode())
        status = reply.status
        outcome = reply.headers.get("outcome") or _outcome_in_body(reply)
        if status == 200:
            answered_body = reply.json().get("body")
    except (OSError, http.client.HTTPException) as raised:
        error = repr(raised)
    return CallResult(
        body=body,
        queue=queue,
        team=team,
        entry=entry.name,
        sent_at=sent_at,
        ended_at=time.monotonic(),
        status=status,
        outcome=outcome,
        answered_body=answered_body,
        error=error,
    )


def _outcome_in_body(reply: HttpReply) -> str | None:
    try:
        outcome: str | None = reply.json().get("outcome")
    except ValueError:
        return None
    return outcome
