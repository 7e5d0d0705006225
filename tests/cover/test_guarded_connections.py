"""What a connection whose memory is counted still does for its caller."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from geraniumshored.internal.client_budget import BudgetLimits
from geraniumshored.internal.client_guard import ClientGuard, ClientMetrics
from geraniumshored.internal.wsgi_server import create_wsgi_server

TIMEOUT_S = 30.0
MAX_BODY = 1_000_000
LIMITS = BudgetLimits(held_bytes=600_000, connections=20)


class Counts(ClientMetrics):
    def __init__(self) -> None:
        self.reasons: list[str] = []

    def count_closed(self, reason: str) -> None:
        self.reasons.append(reason)


class Server:
    """Echoes paths and bodies with one thread; ``/wait`` waits for ``let_go``."""

    def __init__(self) -> None:
        self.served: list[str] = []
        self.waiting = threading.Event()
        self.let_go = threading.Event()
        self.counts = Counts()
        self.guard = ClientGuard(LIMITS, self.counts)
        self._server = create_wsgi_server(
            self._answer, "127.0.0.1", 0, 1, MAX_BODY, 60, threading.Event(), self.guard
        )
        threading.Thread(target=self._server.run, daemon=True).start()

    def connect(self) -> socket.socket:
        port = int(self._server.effective_port)  # type: ignore[attr-defined]
        return socket.create_connection(("127.0.0.1", port), TIMEOUT_S)

    def _answer(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/wait":
            self.waiting.set()
            self.let_go.wait(TIMEOUT_S)
        self.served.append(path)
        body = path.encode() + b":" + environ["wsgi.input"].read()[:16]
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


@pytest.fixture
def server() -> Iterator[Server]:
    started = Server()
    yield started
    started.let_go.set()


def read_until(caller: socket.socket, end: bytes) -> bytes:
    data = b""
    with contextlib.suppress(ConnectionError):
        while end not in data:
            received = caller.recv(65_536)
            if not received:
                break
            data += received
    return data


def test_pipelined_requests_are_answered_in_their_order(server):
    """Only one request is parsed at a time; the others wait as bytes."""
    with server.connect() as caller:
        paths = [f"/{n}" for n in range(40)]
        caller.sendall(
            b"".join(f"GET {p} HTTP/1.1\r\nHost: h\r\n\r\n".encode() for p in paths)
        )
        read_until(caller, b"/39:")
    assert server.served == paths


def test_a_caller_that_expects_100_continue_is_told_to(server):
    with server.connect() as caller:
        caller.sendall(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert b"100 Continue" in read_until(caller, b"\r\n\r\n")
        caller.sendall(b"body")
        assert read_until(caller, b"/a:body").startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("sent", "status", "reason"),
    [
        (b"X: " + b"x" * 40_000, b"431", "HTTP 431"),
        (b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 9_000, b"400", "HTTP 400"),
        (
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"x" * 20_000,
            b"400",
            "HTTP 400",
        ),
        (b"Content-Length: 2000000\r\n\r\n", b"413", "HTTP 413"),
    ],
    ids=["head", "chunk line", "trailer", "declared body"],
)
def test_what_exceeds_a_limit_is_refused_and_counted(server, sent, status, reason):
    """The library held chunk lines and trailers of any length."""
    with server.connect() as caller:
        caller.sendall(b"POST / HTTP/1.1\r\n" + sent)
        answer = read_until(caller, b"\r\n\r\n")
    # Bytes that were not read may reset the connection before the answer is.
    assert not answer or answer.split()[1] == status
    assert server.counts.reasons == [reason]
    assert not server.served


def test_a_queued_request_that_is_displaced_is_told_not_run_and_never_runs(server):
    """A refusal of a request that ran later would break its promise."""
    body = b"x" * 150_000
    head = f"POST /queued HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    with contextlib.ExitStack() as stack:
        blocker = stack.enter_context(server.connect())
        blocker.sendall(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        assert server.waiting.wait(TIMEOUT_S)
        callers = [stack.enter_context(server.connect()) for _ in range(5)]
        for caller in callers:
            caller.sendall(head.encode() + body)
        answer = read_until(callers[0], b"not run")
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 1" in answer
        server.let_go.set()
        answers = [answer, *(read_until(c, b"\r\n\r\n") for c in callers[1:])]
    statuses = [answer.split()[1] for answer in answers]
    assert set(statuses) == {b"200", b"503"}
    assert server.served == ["/wait", *["/queued"] * statuses.count(b"200")]
