"""HTTP client for the minions' API."""

from __future__ import annotations

import json
from concurrent.futures import Future
from typing import Any

from geraniumshore_scheduler import (
    InvalidInputError,
    MinionReplacedError,
    MinionReport,
    OwnerReplacedError,
    PaceOrder,
    PlatformUnavailableError,
    PollRequest,
    StartOrder,
    StartOutcome,
    StopOrder,
    UnknownOutcomeError,
)
from geraniumshored.node.ports import Minions
from geraniumshored.platform.documents import decode_report
from geraniumshored.platform.http import JSON_HEADERS, HttpClient, HttpReply
from geraniumshored.platform.http_multiplexer import HttpMultiplexer

__all__ = ["HttpMinions"]

# Minions respond within a few ms, slow ones in up to ten times as long.
ORDER_TIMEOUT_SECONDS = 0.7
MS_PER_SECOND = 1000
MINION_HEADER = "Geraniumshore-Expect-Instance"

OUTCOME_BY_REASON = {
    "old": StartOutcome.OLD_RUN,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.NO_TICKET,
}


class HttpMinions(Minions):
    """Polls minions and starts, stops and paces runs on them.

    Addresses are reused, so each call names the id of the minion that it is meant for.
    """

    def __init__(self, http: HttpClient, polls: HttpMultiplexer) -> None:
        self._http = http
        self._polls = polls

    def poll(self, request: PollRequest) -> Future[MinionReport]:
        """Poll a minion, and renew its leases if the request has ``until_ms``."""
        document: dict[str, Any] = {
            "fence": request.fence,
            "acked_upto": request.acked_upto,
        }
        if request.until_ms is not None:
            document["until_ms"] = request.until_ms
        if request.wait_ms:
            document["wait_ms"] = request.wait_ms
        timeout = request.wait_ms / MS_PER_SECOND + request.answer_s
        answer = self._polls.request(
            request.address,
            "POST",
            "/v1/hold",
            timeout,
            json.dumps(document).encode(),
            {**JSON_HEADERS, MINION_HEADER: request.minion_id},
        )
        report: Future[MinionReport] = Future()
        answer.add_done_callback(lambda done: _settle(report, request, done))
        return report

    def start(self, order: StartOrder, until_ms: int, timeout_s: float) -> str:
        """Start a run under a lease until ``until_ms`` of the minion's clock."""
        document: dict[str, Any] = {
            "task": str(order.run.task),
            "run": order.run.number,
            "spec": order.spec,
            "until_ms": until_ms,
            "fence": order.fence,
        }
        if order.checkpoint:
            document["checkpoint"] = order.checkpoint
        if order.ticket is not None:
            document["ticket"] = order.ticket
        reply = self._post(
            order.address, order.run.minion_id, "run-start", document, timeout_s
        )
        if reply.status == 200:
            return StartOutcome.STARTED
        if reply.status == 409:
            reason = str(reply.document().get("reason", ""))
            return OUTCOME_BY_REASON.get(reason, StartOutcome.REFUSED)
        if reply.status in (429, 503):
            return StartOutcome.UNHEALTHY
        if reply.status == 400:
            return StartOutcome.REFUSED
        # Other statuses come from faulty minions, which may have started the run.
        return StartOutcome.NO_ANSWER

    def stop(self, order: StopOrder) -> None:
        """Stop a run."""
        document = {"task": order.task, "run": order.run, "fence": order.fence}
        reply = self._post(order.address, order.minion_id, "run-stop", document)
        if reply.status != 200:
            raise PlatformUnavailableError(f"stop failed: HTTP {reply.status}")

    def pace(self, order: PaceOrder) -> None:
        """Set a run's pace."""
        document = {
            "task": order.task,
            "run": order.run,
            "percent": order.percent,
            "fence": order.fence,
        }
        reply = self._post(order.address, order.minion_id, "pace", document)
        if reply.status != 200:
            raise PlatformUnavailableError(f"pace change failed: HTTP {reply.status}")

    def _post(
        self,
        address: str,
        minion_id: str,
        call: str,
        document: dict[str, Any],
        timeout: float = ORDER_TIMEOUT_SECONDS,
    ) -> HttpReply:
        headers = {MINION_HEADER: minion_id}
        reply = self._http.post_json(address, f"/v1/{call}", document, timeout, headers)
        _require_current(reply, address, minion_id)
        return reply


def _require_current(reply: HttpReply, address: str, minion_id: str) -> None:
    """Raise an error if another minion answered, or if it knows a newer owner."""
    if reply.status == 421:
        raise MinionReplacedError(f"{address} no longer belongs to minion {minion_id}")
    if reply.status == 409 and reply.document().get("reason") == "fence":
        raise OwnerReplacedError(
            f"{minion_id} rejected the call: it knows a newer fencing token"
        )


def _settle(
    report: Future[MinionReport], request: PollRequest, answer: Future[HttpReply]
) -> None:
    """Set the outcome of a poll by the answer to its call."""
    try:
        report.set_result(_read_report(request, answer.result()))
    except Exception as error:
        report.set_exception(error)


def _read_report(request: PollRequest, reply: HttpReply) -> MinionReport:
    _require_current(reply, request.address, request.minion_id)
    if reply.status != 200:
        raise PlatformUnavailableError(f"poll failed: HTTP {reply.status}")
    try:
        return decode_report(reply.body)
    except InvalidInputError as error:
        raise UnknownOutcomeError(f"invalid report: {error}") from error
