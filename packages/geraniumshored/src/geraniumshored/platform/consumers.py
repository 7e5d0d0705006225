"""The platform's side of callers and of its balancer: HTTP in, HTTP out."""

from __future__ import annotations

import json
import logging
import threading
import time
from collections.abc import Callable, Iterable

from geraniumshore_scheduler import Job, Queue
from geraniumshored.internal.http_types import HttpAnswer, StartResponse, WsgiEnviron
from geraniumshored.internal.wsgi_server import closing_server
from geraniumshored.node.intake import Answer, Caller, Intake, JobDecoder, Verdict
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.platform.documents import decode_job_request

__all__ = ["ConsumerFront", "JsonJobDecoder"]

logger = logging.getLogger(__name__)

# Each call that waits for the store holds a thread.
THREADS = 24
IDLE_CALLER_SECONDS = 60
MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_PATIENCE_MS = 3_000
MS = 1000.0
READY_PATH = "/v1/readyz"
METRICS_PATH = "/metrics"

STATUS_BY_VERDICT = {
    Verdict.OK: 200,
    Verdict.UNKNOWN_QUEUE: 404,
    Verdict.UNKNOWN_KEY: 401,
    Verdict.UNKNOWN_JOB: 410,
    Verdict.MALFORMED: 400,
    Verdict.NOT_RUN: 503,
    # The caller asks again with the same id: the job may have been accepted.
    Verdict.UNCERTAIN: 504,
}


class JsonJobDecoder(JobDecoder):
    """Decodes jobs as callers of the platform write them."""

    def decode(
        self, body: bytes, job_id: str, queue: Queue, team: str | None, accepted_ms: int
    ) -> Job:
        """Return the job."""
        return decode_job_request(body, job_id, queue, team, accepted_ms)


class ConsumerFront:
    """Serves callers on one address, the balancer and scrapers on others."""

    def __init__(
        self,
        intake: Intake,
        metrics: NodeMetrics,
        ready: Callable[[], bool],
    ) -> None:
        self._intake = intake
        self._metrics = metrics
        self._ready = ready
        self._stopping = threading.Event()
        self._open_calls = 0
        self._lock = threading.Lock()

    def start(self, front: str, ready: str, metrics: str) -> None:
        """Listen. Raises OSError where a port is taken."""
        self._listen(front, self._serve_callers, THREADS)
        self._listen(ready, self._serve_platform, 1)
        self._listen(metrics, self._serve_platform, 1)

    def announce_stop(self) -> None:
        """End each connection with its next answer."""
        self._stopping.set()

    @property
    def open_calls(self) -> int:
        """How many calls are being answered."""
        return self._open_calls

    def _listen(
        self,
        address: str,
        application: Callable[[WsgiEnviron, StartResponse], Iterable[bytes]],
        threads: int,
    ) -> None:
        host, _, port = address.partition(":")
        server = closing_server(
            application,
            host,
            int(port),
            threads,
            MAX_BODY_BYTES,
            IDLE_CALLER_SECONDS,
            self._stopping,
        )
        threading.Thread(target=server.run, name=f"http-{port}", daemon=True).start()

    def _serve_callers(
        self, environ: WsgiEnviron, start_response: StartResponse
    ) -> Iterable[bytes]:
        with self._lock:
            self._open_calls += 1
        began = time.monotonic()
        method = environ["REQUEST_METHOD"]
        try:
            answer = self._answer(method, environ)
        except Exception:
            # What was done before the fault is not known.
            logger.exception("fault while answering %s", environ.get("PATH_INFO"))
            answer = Answer(Verdict.UNCERTAIN, detail="internal fault")
        finally:
            with self._lock:
                self._open_calls -= 1
        self._metrics.observe("answer", method, time.monotonic() - began)
        return _encode(answer).send(start_response)

    def _answer(self, method: str, environ: WsgiEnviron) -> Answer:
        caller = _read_caller(environ)
        if method == "POST":
            return self._intake.submit(caller, environ["wsgi.input"].read())
        if method == "GET":
            return self._intake.show(caller)
        if method == "DELETE":
            return self._intake.cancel(caller)
        return Answer(Verdict.MALFORMED, detail=f"method {method} is not served")

    def _serve_platform(
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
    patience_ms = environ.get("HTTP_GERANIUMSHORE_DEADLINE_MS", "")
    patience = int(patience_ms) if patience_ms.isdigit() else DEFAULT_PATIENCE_MS
    return Caller(
        host=environ.get("HTTP_HOST", "").partition(":")[0],
        path=environ["PATH_INFO"],
        key=key.strip() if scheme.lower() == "bearer" else None,
        patience_s=patience / MS,
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
