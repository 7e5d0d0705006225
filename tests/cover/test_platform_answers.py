"""The HTTP client accepts complete responses only and reports what was not sent."""

import socket
import threading
import time
from contextlib import suppress

import pytest

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.node.clock import steady_seconds
from geraniumshored.platform.http import HttpClient

KEEP_ALIVE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

FIVE_BYTE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"


class ScriptedServer:
    """Sends the next list of pieces for each request.

    A float is a pause in seconds; None closes the connection.
    """

    def __init__(self, *answers: list[bytes | float | None]) -> None:
        self.answers = list(answers)
        self.requests: list[bytes] = []
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self.serve_connection, args=(connection,), daemon=True
            ).start()

    def serve_connection(self, connection: socket.socket) -> None:
        # The client may close the connection at any time.
        with connection, suppress(ConnectionError):
            while request := connection.recv(65_536):
                self.requests.append(request)
                for piece in self.answers.pop(0):
                    if piece is None:
                        return
                    if isinstance(piece, float):
                        time.sleep(piece)
                    else:
                        connection.sendall(piece)


def ask(server: ScriptedServer, client: HttpClient | None = None, timeout: float = 2.0):
    return (client or HttpClient()).request(server.address, "GET", "/x", timeout)


def test_connection_is_reused_for_the_next_request():
    server, client = (
        ScriptedServer([KEEP_ALIVE_ANSWER], [KEEP_ALIVE_ANSWER]),
        HttpClient(),
    )
    for _ in range(2):
        assert ask(server, client).body == b"{}"
    assert server.connections == 1


def test_request_has_host_headers_and_content_length():
    server = ScriptedServer([KEEP_ALIVE_ANSWER])
    HttpClient().post_json(server.address, "/v1/y", {"a": 1}, 2.0, {"Fence": "7"})
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"POST /v1/y HTTP/1.1",
        f"Host: {server.address}".encode(),
        b"Content-Type: application/json",
        b"Fence: 7",
        b"Content-Length: 8",
    ]
    assert body == b'{"a": 1}'


@pytest.mark.parametrize(
    "pieces",
    [
        [b"HTTP/1.1 200 OK\r\nContent-", b"Length: 5\r\n\r\nhe", b"llo"],
        [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n",
            b"3\r\nllo\r\n0\r\n\r\n",
        ],
        [b"HTTP/1.1 100 Continue\r\n\r\n" + FIVE_BYTE_HEAD, 0.05, b"hello"],
        [b"HTTP/1.0 200 OK\r\n\r\nhe", b"llo", None],
    ],
    ids=["in pieces", "chunked", "announced", "up to the end of the stream"],
)
def test_complete_response_is_accepted_in_any_segmentation(pieces):
    reply = ask(ScriptedServer(pieces))
    assert (reply.status, reply.body) == (200, b"hello")


@pytest.mark.parametrize(
    "pieces",
    [
        [None],
        [b"HTTP/1.1 200 OK\r\nContent-Le", None],
        [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", None],
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", None],
        [b"no HTTP at all\r\n\r\n", None],
    ],
    ids=["nothing", "cut in its head", "cut in its body", "cut in a chunk", "noise"],
)
def test_incomplete_response_raises_unknown_outcome(pieces):
    with pytest.raises(UnknownOutcomeError):
        ask(ScriptedServer(pieces))


def test_slow_response_does_not_exceed_the_timeout():
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
    trickle: list[bytes | float | None] = [0.05, b"x"]
    server = ScriptedServer([head, *trickle * 40])
    began = time.monotonic()
    with pytest.raises(UnknownOutcomeError):
        ask(server, timeout=0.3)
    assert time.monotonic() - began < 1.0


@pytest.mark.parametrize(
    "answer",
    [
        [b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"],
        [KEEP_ALIVE_ANSWER, None],
        [KEEP_ALIVE_ANSWER + b"HTTP/1.1 200 OK\r\n"],
    ],
    ids=["announced", "ended after the answer", "more than was asked for"],
)
def test_unreliable_connection_is_not_reused(answer):
    server, client = ScriptedServer(answer, [KEEP_ALIVE_ANSWER]), HttpClient()
    assert ask(server, client).body == b"{}"
    time.sleep(0.05)
    assert ask(server, client).body == b"{}"
    assert server.connections == 2


def test_response_without_body_ends_after_its_headers():
    reply = ask(ScriptedServer([b"HTTP/1.1 204 No Content\r\n\r\n"]), timeout=1.0)
    assert (reply.status, reply.body) == (204, b"")


@pytest.mark.parametrize("address", ["127.0.0.1:1", "", "no port", "127.0.0.1:70000"])
def test_failed_connection_raises_platform_unavailable(address):
    with pytest.raises(PlatformUnavailableError):
        HttpClient().request(address, "GET", "/x", 1.0)


@pytest.mark.parametrize("name", ["i-1\r\nFence: 9", "i-\x00", "i-\u00e9"])
def test_minion_id_that_is_invalid_in_a_header_is_not_sent(name):
    server = ScriptedServer([KEEP_ALIVE_ANSWER])
    with pytest.raises(PlatformUnavailableError):
        HttpClient().post_json(server.address, "/v1/hold", {}, 1.0, {"Expect": name})
    assert not server.requests


def test_nothing_is_sent_after_the_send_deadline():
    server, client = (
        ScriptedServer([KEEP_ALIVE_ANSWER], [KEEP_ALIVE_ANSWER]),
        HttpClient(),
    )
    now = steady_seconds()
    client.post_json(server.address, "/v1/move", {}, 1.0, send_by=now + 60.0)
    with pytest.raises(PlatformUnavailableError, match="too late"):
        client.post_json(server.address, "/v1/move", {}, 1.0, send_by=now)
    assert len(server.requests) == 1
    # The unused connection is reused for the next request.
    client.post_json(server.address, "/v1/move", {}, 1.0)
    assert server.connections == 1
