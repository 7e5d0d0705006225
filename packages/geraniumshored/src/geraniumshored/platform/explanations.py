"""Requests for explanations of placements, and their documents, between nodes."""

from __future__ import annotations

import logging
from urllib.parse import quote

from pydantic import TypeAdapter, ValidationError

from geraniumshore_scheduler import UnknownOutcomeError
from geraniumshored.internal.http_types import HttpAnswer, WsgiEnviron, answer_json
from geraniumshored.node.answers import Caller, Verdict
from geraniumshored.node.explanations import (
    ExplanationPeers,
    ExplanationReply,
    PlacementExplainer,
    PlacementReport,
)
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.peers import (
    REFUSAL_RETRY_AFTER_S,
    STATUS_BY_VERDICT,
    VERDICT_BY_STATUS,
    caller_headers,
)

__all__ = ["EXPLAIN_PREFIX", "HttpExplanationPeers", "REPORTS", "serve_explanation"]

logger = logging.getLogger(__name__)

# The queue's path follows. A node of a former release takes the rest for a job's ID,
# which is malformed, so it never accepts the job.
EXPLAIN_PREFIX = "/.explain"
# Set if another node has sent the request on.
RELAYED_HEADER = "Geraniumshore-Explain-Relayed"
RELAYED_VARIABLE = "HTTP_" + RELAYED_HEADER.upper().replace("-", "_")
METHOD = "POST"

REPORTS = TypeAdapter(PlacementReport)


class HttpExplanationPeers(ExplanationPeers):
    """Requests explanations at the address that nodes serve for their peers."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def explain(
        self, address: str, caller: Caller, body: bytes, relayed: bool
    ) -> ExplanationReply:
        """Let the node at ``address`` explain."""
        headers = caller_headers(caller)
        if relayed:
            headers[RELAYED_HEADER] = "1"
        reply = self._http.request(
            address,
            METHOD,
            EXPLAIN_PREFIX + quote(caller.path, encoding="latin-1"),
            caller.timeout_s,
            body,
            headers,
        )
        verdict = VERDICT_BY_STATUS.get(reply.status)
        if verdict is None:
            raise UnknownOutcomeError(f"{address} answered with HTTP {reply.status}")
        if verdict is not Verdict.OK:
            detail = str(reply.document().get("detail", ""))
            retry_after_s = (
                REFUSAL_RETRY_AFTER_S if verdict is Verdict.NOT_RUN else None
            )
            return ExplanationReply(verdict, None, detail, retry_after_s)
        try:
            report = REPORTS.validate_json(reply.body)
        except ValidationError as error:
            raise UnknownOutcomeError(f"the answer of {address}: {error}") from error
        return ExplanationReply(verdict, report)


def serve_explanation(
    explainer: PlacementExplainer, caller: Caller, environ: WsgiEnviron
) -> HttpAnswer:
    """Answer a request whose path begins with ``EXPLAIN_PREFIX``."""
    if environ["REQUEST_METHOD"] != METHOD:
        return answer_json(
            STATUS_BY_VERDICT[Verdict.MALFORMED], {"detail": "only POST is served"}
        )
    relayed = RELAYED_VARIABLE in environ
    try:
        body = environ["wsgi.input"].read()
        reply = explainer.explain(caller, body, relayed)
    except Exception:
        logger.exception("fault while explaining a placement")
        reply = ExplanationReply.not_now("internal fault")
    status = STATUS_BY_VERDICT[reply.verdict]
    if reply.report is not None:
        headers = {"Content-Type": "application/json"}
        return HttpAnswer(status, REPORTS.dump_json(reply.report), headers)
    answer = answer_json(status, {"detail": reply.detail})
    if reply.retry_after_s is not None:
        answer.headers["Retry-After"] = str(reply.retry_after_s)
    return answer
