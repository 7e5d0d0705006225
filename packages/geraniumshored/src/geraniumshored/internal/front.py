"""HTTP server for callers, operators, the load balancer and metrics scrapers."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Iterable

from waitress.server import BaseWSGIServer

from geraniumshored.internal.calls import CallHandler
from geraniumshored.internal.client_budget import BudgetLimits
from geraniumshored.internal.client_guard import ClientGuard, ClientMetrics
from geraniumshored.internal.http_types import (
    HttpAnswer,
    HttpRequest,
    StartResponse,
    WsgiEnviron,
    answer_json,
    answer_problem,
    read_request,
)
from geraniumshored.internal.job_calls import JobHandler
from geraniumshored.internal.metrics import Metrics
from geraniumshored.internal.operators import OperatorHandler
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.settings import Listen
from geraniumshored.internal.wsgi_server import (
    create_wsgi_server,
    has_unanswered_requests,
)

__all__ = ["HttpFront"]

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024 * 1024
IDLE_CONNECTION_SECONDS = 120
SENT_POLL_SECONDS = 0.02


class _FrontClientMetrics(ClientMetrics):
    """Counts closed connections in the daemon's metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count_closed(self, reason: str) -> None:
        self._metrics.clients_closed.labels(reason).inc()


class HttpFront:
    """Serves HTTP with a fixed number of threads."""

    def __init__(
        self,
        runtime: Runtime,
        calls: CallHandler,
        jobs: JobHandler,
        operators: OperatorHandler,
        client_limits: BudgetLimits,
    ) -> None:
        self._runtime = runtime
        self._calls = calls
        self._jobs = jobs
        self._operators = operators
        self._stopping = threading.Event()
        self._guard = ClientGuard(client_limits, _FrontClientMetrics(runtime.metrics))
        self._server: BaseWSGIServer | None = None
        self._thread: threading.Thread | None = None

    def start(self, listen: Listen, threads: int) -> None:
        """Start to serve. Raises OSError if the port is in use."""
        server = create_wsgi_server(
            self.application,
            listen.address,
            listen.port,
            threads,
            MAX_BODY_BYTES,
            IDLE_CONNECTION_SECONDS,
            self._stopping,
            self._guard,
        )
        # Reading ahead during a call detects that its caller has disconnected.
        server.adj.channel_request_lookahead = 1
        self._server = server
        self._thread = threading.Thread(target=server.run, name="http", daemon=True)
        self._thread.start()

    def fail_readiness(self) -> None:
        """Make ``/readyz`` fail, so that the balancer stops sending calls."""
        self._stopping.set()

    def wait_until_answers_sent(self, seconds: float) -> bool:
        """Wait until every answer has been sent; return False on timeout."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if not self._has_unsent_answers():
                return True
            time.sleep(SENT_POLL_SECONDS)
        return False

    def _has_unsent_answers(self) -> bool:
        if self._server is None:
            return False
        return has_unanswered_requests(self._server)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def application(
        self, environ: WsgiEnviron, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call, as a WSGI application."""
        request = read_request(environ)
        try:
            answer = self._route(request)
        except Exception:
            logger.exception(
                "unhandled exception in a handler", extra={"path": request.path}
            )
            answer = answer_problem(
                500, "internal-error", "see this host's log", outcome="unknown"
            )
        body = answer.send(start_response)
        # A body after the answer to HEAD would be read as part of the next answer.
        return [] if request.method == "HEAD" else body

    def _route(self, request: HttpRequest) -> HttpAnswer:
        match (request.method, request.path):
            case ("POST", ("queues", name)) if self._jobs.accepts_jobs(name):
                return self._jobs.submit(request, name)
            case (_, ("jobs", *_)):
                return self._jobs.handle(request)
            case (_, ("queues", name)):
                return self._calls.handle(request, name)
            case ("GET", ("healthz",)):
                return answer_json(200, {"status": "ok"})
            case ("GET", ("readyz",)):
                return self._readiness()
            case ("GET", ("metrics",)):
                return HttpAnswer(
                    200,
                    self._runtime.metrics.exposition(),
                    {"Content-Type": "text/plain; version=0.0.4"},
                )
            case (_, ("operator", *_)):
                return self._operators.handle(request)
            case _:
                return answer_problem(404, "unknown-path", "/".join(request.path))

    def _readiness(self) -> HttpAnswer:
        ready = self._runtime.has_authority() and not self._stopping.is_set()
        return answer_json(200 if ready else 503, {"ready": ready})
