"""The node's HTTP servers: the job API, the readiness probe and the metrics."""

from __future__ import annotations

import json
import logging
import re
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from waitress.server import BaseWSGIServer

from geraniumshore_scheduler import Job, Queue
from geraniumshored.internal.client_budget import BudgetLimits
from geraniumshored.internal.client_guard import ClientGuard, ClientMetrics
from geraniumshored.internal.http_types import HttpAnswer, StartResponse, WsgiEnviron
from geraniumshored.internal.wsgi_server import (
    create_wsgi_server,
    has_unanswered_requests,
    stop_reading,
)
from geraniumshored.node.answers import Answer, Caller, RequestHandler, Verdict
from geraniumshored.node.explanations import PlacementExplainer
from geraniumshored.node.job_requests import JobDecoder
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.platform.documents import decode_job_request
from geraniumshored.platform.explanations import EXPLAIN_PREFIX, serve_explanation
from geraniumshored.platform.peers import CALLERS_HOST_HEADER, STATUS_BY_VERDICT

__all__ = ["JobApiServer", "JsonJobDecoder"]

logger = logging.getLogger(__name__)

# A call that waits for the store occupies one thread.
API_THREADS = 24
# Relayed calls wait for the store, too, and those of all nodes share its appends. Only
# the owner gets more than a few of them.
PEER_THREADS = 12
CALLERS_HOST_VARIABLE = "HTTP_" + CALLERS_HOST_HEADER.upper().replace("-", "_")
IDLE_CONNECTION_SECONDS = 60
# How often a leaving process checks whether all calls are answered.
ANSWER_CHECK_INTERVAL_SECONDS = 0.005
MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_DEADLINE_MS = 3_000
# More digits than any caller needs are not converted, which may fail.
DEADLINE_MS = re.compile("[0-9]{1,9}")
MS_PER_SECOND = 1000.0
READY_PATH = "/v1/readyz"
METRICS_PATH = "/metrics"


class JsonJobDecoder(JobDecoder):
    """Decodes jobs from the JSON documents that callers submit."""

    def decode(
        self, body: bytes, job_id: str, queue: Queue, team: str | None, accepted_ms: int
    ) -> Job:
        """Return the job. Raises InvalidInputError with all findings."""
        return decode_job_request(body, job_id, queue, team, accepted_ms)


class _NodeClientMetrics(ClientMetrics):
    """Counts closed connections in the node's metrics."""

    def __init__(self, metrics: NodeMetrics) -> None:
        self._metrics = metrics

    def count_closed(self, reason: str) -> None:
        self._metrics.count("clients_closed", reason)


class JobApiServer:
    """Serves the job API, the readiness probe and the metrics on separate addresses."""

    def __init__(
        self,
        request_handler: RequestHandler,
        metrics: NodeMetrics,
        ready: Callable[[], bool],
        client_limits: BudgetLimits,
        explainer: PlacementExplainer | None = None,
    ) -> None:
        self._request_handler = request_handler
        self._metrics = metrics
        self._ready = ready
        self._stopping = threading.Event()
        self._front: BaseWSGIServer | None = None
        self._client_limits = client_limits
        self._explainer = explainer
        self._guard = ClientGuard(client_limits, _NodeClientMetrics(metrics))
        metrics.gauge("client_held_bytes", lambda: self._guard.held_bytes)
        metrics.gauge("client_connections", lambda: self._guard.connections)

    def start(self, front: str, ready: str, metrics: str, peers: str = "") -> None:
        """Start listening; for other nodes only with an address for them.

        Raises OSError if a port is in use.
        """
        self._front = self._listen(front, self._serve_job_calls, API_THREADS)
        if peers:
            # Other nodes never wait for callers' memory, so they have their own budget.
            guard = ClientGuard(self._client_limits, _NodeClientMetrics(self._metrics))
            self._listen(peers, self._serve_relayed_calls, PEER_THREADS, guard)
        self._listen(ready, self._serve_probes, 1)
        self._listen(metrics, self._serve_probes, 1)

    def announce_stop(self) -> None:
        """Close each keep-alive connection after its next response."""
        self._stopping.set()

    def answer_all(self, within_s: float) -> bool:
        """Read no more job calls, and answer those that have been read.

        Returns whether that succeeded in time.
        """
        deadline = time.monotonic() + within_s
        if self._front is None:
            return True
        stop_reading(self._front, within_s)
        while has_unanswered_requests(self._front):
            if time.monotonic() >= deadline:
                return False
            time.sleep(ANSWER_CHECK_INTERVAL_SECONDS)
        return True

    def _listen(
        self,
        address: str,
        application: Callable[[WsgiEnviron, StartResponse], Iterable[bytes]],
        threads: int,
        guard: ClientGuard | None = None,
    ) -> BaseWSGIServer:
        host, _, port = address.partition(":")
        server = create_wsgi_server(
            application,
            host,
            int(port),
            threads,
            MAX_BODY_BYTES,
            IDLE_CONNECTION_SECONDS,
            self._stopping,
            guard or self._guard,
        )
        threading.Thread(target=server.run, name=f"http-{port}", daemon=True).start()
        return server

    def _serve_job_calls(
        self, environ: WsgiEnviron, start_response: StartResponse
    ) -> Iterable[bytes]:
        return self._serve(_read_caller(environ), environ, start_response)

    def _serve_relayed_calls(
        self, environ: WsgiEnviron, start_response: StartResponse
    ) -> Iterable[bytes]:
        host = environ.get(CALLERS_HOST_VARIABLE, "")
        caller = replace(_read_caller(environ), host=host, relayed=True)
        if self._explainer is not None and caller.path.startswith(EXPLAIN_PREFIX):
            caller = replace(caller, path=caller.path.removeprefix(EXPLAIN_PREFIX))
            answer = serve_explanation(self._explainer, caller, environ)
            return answer.send(start_response)
        return self._serve(caller, environ, start_response)

    def _serve(
        self, caller: Caller, environ: WsgiEnviron, start_response: StartResponse
    ) -> Iterable[bytes]:
        began = time.monotonic()
        method = environ["REQUEST_METHOD"]
        try:
            answer = self._answer(method, caller, environ)
        except Exception:
            # The call may have taken effect before the exception.
            logger.exception("fault while answering %s", environ.get("PATH_INFO"))
            answer = Answer(Verdict.UNCERTAIN, detail="internal fault")
        self._metrics.observe("answer", method, time.monotonic() - began)
        return _encode(answer).send(start_response)

    def _answer(self, method: str, caller: Caller, environ: WsgiEnviron) -> Answer:
        if method == "POST":
            return self._request_handler.submit(caller, environ["wsgi.input"].read())
        if method == "GET":
            return self._request_handler.show(caller)
        if method == "DELETE":
            return self._request_handler.cancel(caller)
        return Answer(Verdict.MALFORMED, detail=f"method {method} is not served")

    def _serve_probes(
        self, environ: WsgiEnviron, start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == READY_PATH:
            status = 200 if self._ready() else 503
            return HttpAnswer(status, b"").send(start_response)
        if path == METRICS_PATH:
            headers = {"Content-Type": "text/plain; version=0.0.4"}
            body = self._metrics.exposition()
            return HttpAnswer(200, body, headers).send(start_response)
        return HttpAnswer(404, b"").send(start_response)


def _read_caller(environ: WsgiEnviron) -> Caller:
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    deadline_header = environ.get("HTTP_GERANIUMSHORE_DEADLINE_MS", "")
    valid = DEADLINE_MS.fullmatch(deadline_header) is not None
    deadline_ms = int(deadline_header) if valid else DEFAULT_DEADLINE_MS
    return Caller(
        host=environ.get("HTTP_HOST", "").partition(":")[0],
        path=environ["PATH_INFO"],
        key=key.strip() if scheme.lower() == "bearer" else None,
        timeout_s=deadline_ms / MS_PER_SECOND,
    )


def _encode(answer: Answer) -> HttpAnswer:
    document: dict[str, object] = {}
    if answer.state is not None:
        document["state"] = answer.state.value
    if answer.pending is not None:
        document["pending"] = answer.pending
    if answer.detail:
        document["detail"] = answer.detail
    headers = {"Content-Type": "application/json"}
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(answer.retry_after_s)
    body = json.dumps(document).encode()
    return HttpAnswer(STATUS_BY_VERDICT[answer.verdict], body, headers)
