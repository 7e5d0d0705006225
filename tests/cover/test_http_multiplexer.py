"""Many polls at once in one thread, some of which minions hold back or never answer."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshore_standins.internal.fleet import free_port
from geraniumshored.platform import http_multiplexer
from geraniumshored.platform.http_multiplexer import HttpMultiplexer

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
POLLS = 200
LONG_S = 20.0


class Minion:
    """Accepts connections, and answers when told to."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=POLLS)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.answering = threading.Event()
        self.connections: list[socket.socket] = []
        self.accepted = threading.Condition()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                with self.accepted:
                    self.connections.append(connection)
                    self.accepted.notify()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while connection.recv(65_536):
                self.answering.wait()
                connection.sendall(ANSWER)

    def wait_for_connections(self, count: int) -> None:
        with self.accepted:
            assert self.accepted.wait_for(
                lambda: len(self.connections) >= count, LONG_S
            )

    def close(self) -> None:
        self.answering.set()
        self.listener.close()
        for connection in self.connections:
            connection.close()


@pytest.fixture
def minion():
    started = Minion()
    yield started
    started.close()


def poll(client: HttpMultiplexer, address: str, timeout: float = LONG_S):
    return client.request(address, "POST", "/v1/hold", timeout, b"{}", {"X": "y"})


def test_polls_that_are_held_back_take_no_threads(minion):
    client = HttpMultiplexer()
    answers = [poll(client, minion.address) for _ in range(POLLS)]
    minion.wait_for_connections(POLLS)
    assert [t.name for t in threading.enumerate()].count("polls") <= POLLS / 10
    assert not any(answer.done() for answer in answers)
    minion.answering.set()
    assert {answer.result(LONG_S).status for answer in answers} == {200}


def test_a_connection_is_used_again(minion):
    """Channels to minions are expensive for some operators."""
    client = HttpMultiplexer()
    minion.answering.set()
    for _ in range(5):
        assert poll(client, minion.address).result(LONG_S).body == b"{}"
    assert len(minion.connections) == 1


def test_connections_beyond_the_limit_are_closed(minion, monkeypatch):
    """With 3,004 minions the descriptors of a process would run out."""
    monkeypatch.setattr(http_multiplexer, "MAX_IDLE_CONNECTIONS", 0)
    client = HttpMultiplexer()
    minion.answering.set()
    for _ in range(3):
        poll(client, minion.address).result(LONG_S)
    assert len(minion.connections) == 3


def test_a_poll_without_an_answer_is_uncertain_and_holds_up_no_other(minion):
    client = HttpMultiplexer()
    silent = poll(client, minion.address, timeout=0.3)
    other = Minion()
    other.answering.set()
    assert poll(client, other.address).result(LONG_S).status == 200
    with pytest.raises(UnknownOutcomeError):
        silent.result(LONG_S)
    other.close()


def test_a_connection_that_is_closed_early_makes_the_outcome_uncertain(minion):
    client = HttpMultiplexer()
    answer = poll(client, minion.address)
    minion.wait_for_connections(1)
    time.sleep(0.05)
    minion.connections[0].shutdown(socket.SHUT_RDWR)
    with pytest.raises(UnknownOutcomeError):
        answer.result(LONG_S)


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:0", "localhost:80"])
def test_a_malformed_address_is_reported_as_not_sent(address):
    with pytest.raises(PlatformUnavailableError):
        poll(HttpMultiplexer(), address).result(LONG_S)


def test_a_refused_connection_is_reported_as_not_sent():
    with pytest.raises(PlatformUnavailableError):
        poll(HttpMultiplexer(), f"127.0.0.1:{free_port()}").result(LONG_S)


def test_line_breaks_in_a_header_are_never_sent(minion):
    """A minion's ID may come from another writer's record and inject headers."""
    client = HttpMultiplexer()
    bad = {"Geraniumshore-Expect-Instance": "i-1\r\nX: y"}
    answer = client.request(minion.address, "POST", "/v1/hold", 1.0, b"{}", bad)
    with pytest.raises(PlatformUnavailableError):
        answer.result(LONG_S)
    assert not minion.connections
