"""Minions' answers are accepted only if complete and to the request that was sent.

An answer that is cut off, malformed or left over from another request must give an
unknown outcome, never a wrong answer to the caller.
"""

import socket
import threading

import pytest

from geraniumshore import Minion, NotRun, Ran, Unknown
from geraniumshored.internal.attempt import MinionClient, MinionRequest
from geraniumshored.internal.connections import ConnectionPool, max_idle_connections
from geraniumshored.internal.run_watch import RunWatch

ID = b"Request-Id: r1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


class ScriptedMinion:
    """Answers each request on a connection with the next of its byte strings."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        port = self.listener.getsockname()[1]
        self.minion = Minion("sorting", f"127.0.0.1:{port}")
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

    @staticmethod
    def read_request(connection: socket.socket) -> bytes:
        received = b""
        while piece := connection.recv(65_536):
            received += piece
            end = b"\r\n\r\n" if b"/work-state" in received else b"\r\n\r\n{}"
            if received.endswith(end):
                break
        return received

    def serve_connection(self, connection: socket.socket) -> None:
        with connection:
            while head := self.read_request(connection):
                if b"/work-state" in head:
                    connection.sendall(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
                    return
                answer = self.answers.pop(0)
                connection.sendall(answer)
                if b"Content-Length: 5\r\n" not in answer:
                    return


def answer(headers: bytes = b"", body: bytes = b"hello", length: int = 5) -> bytes:
    return OK + ID + headers + b"Content-Length: %d\r\n\r\n" % length + body


@pytest.fixture
def client():
    return MinionClient(ConnectionPool(), RunWatch())


def attempt(client, minion, idempotent=True, max_bytes=1000):
    request = MinionRequest(
        "r1", "count", "acme", b"{}", "text/plain", None, 5.0, idempotent, max_bytes
    )
    return client.attempt(minion.minion, request, members=3)


def test_a_complete_answer_is_accepted_with_its_encoding_unchanged(client):
    minion = ScriptedMinion(answer(b"Content-Encoding: gzip\r\n"))
    outcome = attempt(client, minion)
    assert outcome == Ran(200, "application/octet-stream", "gzip", b"hello")


def test_a_chunked_answer_is_accepted(client):
    chunks = b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"
    outcome = attempt(client, ScriptedMinion(OK + ID + CHUNKED + b"\r\n" + chunks))
    assert isinstance(outcome, Ran)
    assert outcome.body == b"hello"


@pytest.mark.parametrize(
    "doubtful",
    [
        b"",
        b"HTTP/1.1 20",
        answer(length=9),
        answer(b"Content-Length: 7\r\n"),
        answer(CHUNKED),
        OK + ID + b"\r\nhello-without-length",
        OK + ID + CHUNKED + b"\r\n2\r\nhe\r\n9\r\nllo",
        OK + ID + CHUNKED + b"\r\n2\r\nhe\r\n",
        answer().replace(b"r1", b"r2"),
        answer(ID),
        answer().replace(ID, b""),
        answer(body=b"x" * 1001, length=1001),
        b"not http at all\r\n\r\n",
    ],
)
def test_a_malformed_or_incomplete_answer_is_unknown(client, doubtful):
    outcome = attempt(client, ScriptedMinion(doubtful))
    assert isinstance(outcome, Unknown)


def test_a_refusal_by_the_minion_is_not_run(client):
    refused = answer(b"Outcome: not-run\r\n").replace(b"200 OK", b"503 Busy")
    assert isinstance(attempt(client, ScriptedMinion(refused)), NotRun)


def test_a_minion_that_cannot_be_reached_is_not_run(client):
    minion = ScriptedMinion()
    minion.listener.shutdown(socket.SHUT_RDWR)
    minion.listener.close()
    assert isinstance(attempt(client, minion), NotRun)


def test_a_connection_is_reused_only_after_a_complete_answer(client):
    minion = ScriptedMinion(answer(), answer(), answer(length=9), answer())
    kinds = [type(attempt(client, minion)) for _ in range(4)]
    assert kinds == [Ran, Ran, Unknown, Ran]
    # One for the first three requests, one that asks for the state of the cut run,
    # and one for the last request.
    assert minion.connections == 3


def test_a_connection_with_bytes_after_the_answer_is_not_reused(client):
    minion = ScriptedMinion(answer() + answer(body=b"later"), answer())
    for _ in range(2):
        outcome = attempt(client, minion)
        assert isinstance(outcome, Ran)
        assert outcome.body == b"hello"
    assert minion.connections == 2


@pytest.mark.parametrize("members", [1, 3, 9, 100])
def test_idle_connections_and_probes_of_all_members_fit_beside_the_slots(members):
    minion = Minion("sorting", "127.0.0.1:1", slots=8, connections=64)
    assert minion.slots + 2 * members * max_idle_connections(minion, members) <= 64
