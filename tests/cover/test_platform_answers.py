"""Answers of the platform and of minions are taken whole or not at all."""

import socket
import threading
import time
from contextlib import suppress

import pytest

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.node.clock import steady_seconds
from geraniumshored.platform.http import HttpClient

KEPT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

FIVE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"


class ScriptedServer:
    """Answers each request with the next list of pieces; None ends the connection."""

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
                target=self.converse, args=(connection,), daemon=True
            ).start()

    def converse(self, connection: socket.socket) -> None:
        # A client may end the connection at any time.
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


def test_a_connection_serves_one_request_after_the_other():
    server, client = ScriptedServer([KEPT], [KEPT]), HttpClient()
    for _ in range(2):
        assert ask(server, client).body == b"{}"
    assert server.connections == 1


def test_a_request_names_its_host_its_headers_and_its_length():
    server = ScriptedServer([KEPT])
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
        [b"HTTP/1.1 100 Continue\r\n\r\n" + FIVE, 0.05, b"hello"],
        [b"HTTP/1.0 200 OK\r\n\r\nhe", b"llo", None],
    ],
    ids=["in pieces", "chunked", "announced", "up to the end of the stream"],
)
def test_a_whole_answer_is_taken_however_it_is_cut(pieces):
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
def test_what_is_no_whole_answer_leaves_the_outcome_unknown(pieces):
    with pytest.raises(UnknownOutcomeError):
        ask(ScriptedServer(pieces))


def test_an_answer_that_trickles_does_not_outlast_the_time_given():
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
        [KEPT, None],
        [KEPT + b"HTTP/1.1 200 OK\r\n"],
    ],
    ids=["announced", "ended after the answer", "more than was asked for"],
)
def test_a_connection_that_cannot_be_trusted_is_not_used_again(answer):
    server, client = ScriptedServer(answer, [KEPT]), HttpClient()
    assert ask(server, client).body == b"{}"
    time.sleep(0.05)
    assert ask(server, client).body == b"{}"
    assert server.connections == 2


def test_an_answer_without_a_body_ends_with_its_head():
    reply = ask(ScriptedServer([b"HTTP/1.1 204 No Content\r\n\r\n"]), timeout=1.0)
    assert (reply.status, reply.body) == (204, b"")


@pytest.mark.parametrize("address", ["127.0.0.1:1", "", "no port", "127.0.0.1:70000"])
def test_nothing_was_sent_where_no_connection_can_be_made(address):
    with pytest.raises(PlatformUnavailableError):
        HttpClient().request(address, "GET", "/x", 1.0)


@pytest.mark.parametrize("name", ["i-1\r\nFence: 9", "i-\x00", "i-\u00e9"])
def test_a_minion_whose_name_has_no_place_in_a_header_is_sent_nothing(name):
    server = ScriptedServer([KEPT])
    with pytest.raises(PlatformUnavailableError):
        HttpClient().post_json(server.address, "/v1/hold", {}, 1.0, {"Expect": name})
    assert not server.requests


def test_nothing_is_sent_after_the_time_for_sending():
    server, client = ScriptedServer([KEPT], [KEPT]), HttpClient()
    now = steady_seconds()
    client.post_json(server.address, "/v1/move", {}, 1.0, send_by=now + 60.0)
    with pytest.raises(PlatformUnavailableError, match="too late"):
        client.post_json(server.address, "/v1/move", {}, 1.0, send_by=now)
    assert len(server.requests) == 1
    # The connection is as it was, and serves the next request.
    client.post_json(server.address, "/v1/move", {}, 1.0)
    assert server.connections == 1
