"""Calls between nodes: the job API, with the caller's host and key passed on."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from geraniumshore_scheduler import JobState, UnknownOutcomeError
from geraniumshored.node.answers import Answer, Caller, Verdict
from geraniumshored.node.ports import Peers, RelayedCall
from geraniumshored.platform.http import HttpClient

__all__ = [
    "CALLERS_HOST_HEADER",
    "HttpPeers",
    "REFUSAL_RETRY_AFTER_S",
    "STATUS_BY_VERDICT",
    "VERDICT_BY_STATUS",
    "caller_headers",
]

# The host that the caller named: the Host header of a relayed call names the node.
CALLERS_HOST_HEADER = "Geraniumshore-Callers-Host"
MS_PER_SECOND = 1000.0
# Callers are told to retry after this time if the other node refuses, too.
REFUSAL_RETRY_AFTER_S = 1

STATUS_BY_VERDICT = {
    Verdict.OK: 200,
    Verdict.UNKNOWN_QUEUE: 404,
    Verdict.UNKNOWN_KEY: 401,
    Verdict.UNKNOWN_JOB: 410,
    Verdict.MALFORMED: 400,
    Verdict.NOT_RUN: 503,
    # The job may have been accepted, so the caller retries with the same id.
    Verdict.UNCERTAIN: 504,
}
VERDICT_BY_STATUS = {status: verdict for verdict, status in STATUS_BY_VERDICT.items()}


class HttpPeers(Peers):
    """Sends calls on to the job API that other nodes serve for their peers."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def relay(self, address: str, call: RelayedCall) -> Answer:
        """Let the node at ``address`` answer a call."""
        caller = call.caller
        body = call.body if call.method == "POST" else None
        reply = self._http.request(
            address,
            call.method,
            quote(caller.path, encoding="latin-1"),
            caller.timeout_s,
            body,
            caller_headers(caller),
        )
        verdict = VERDICT_BY_STATUS.get(reply.status)
        if verdict is None:
            raise UnknownOutcomeError(f"{address} answered with HTTP {reply.status}")
        return _decode_answer(verdict, reply.document())


def caller_headers(caller: Caller) -> dict[str, str]:
    """Return the headers that tell another node about a caller."""
    headers = {
        CALLERS_HOST_HEADER: caller.host,
        "Geraniumshore-Deadline-Ms": str(int(caller.timeout_s * MS_PER_SECOND)),
    }
    if caller.key is not None:
        headers["Authorization"] = f"Bearer {caller.key}"
    return headers


def _decode_answer(verdict: Verdict, document: dict[str, Any]) -> Answer:
    """Return another node's answer. Raises UnknownOutcomeError if it is malformed."""
    state, pending = document.get("state"), document.get("pending")
    try:
        return Answer(
            verdict,
            state=None if state is None else JobState(state),
            pending=None if pending is None else int(pending),
            retry_after_s=REFUSAL_RETRY_AFTER_S if verdict is Verdict.NOT_RUN else None,
            detail=str(document.get("detail", "")),
        )
    except (TypeError, ValueError) as error:
        raise UnknownOutcomeError(f"the answer of another node: {error}") from error
