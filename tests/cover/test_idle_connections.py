"""Connections to minions that are called no more must not use up the descriptors.

A process has some 4,000 descriptors. The owner of 3,004 minions kept a connection to
each minion that it had ever sent an order to, and a former owner kept them all.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshored.platform import http, http_multiplexer
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.http_multiplexer import HttpMultiplexer

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
LONG_S = 20.0
IDLE_S = 0.2
MINIONS = 10


class Minions:
    """Minions at different addresses, which keep their connections open."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("0.0.0.0", 0), backlog=100)
        port = self.listener.getsockname()[1]
        self.addresses = [f"127.0.0.{number + 1}:{port}" for number in range(MINIONS)]
        self._lock = threading.Lock()
        self.accepted = self.open = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self._lock:
                self.accepted += 1
                self.open += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                while connection.recv(65_536):
                    connection.sendall(ANSWER)
            except OSError:
                pass
            with self._lock:
                self.open -= 1


@pytest.fixture
def minions(monkeypatch: pytest.MonkeyPatch) -> Iterator[Minions]:
    for module in (http, http_multiplexer):
        monkeypatch.setattr(module, "MAX_IDLE_SECONDS", IDLE_S)
    started = Minions()
    yield started
    started.listener.close()


def test_connections_for_orders_are_closed_when_they_may_not_be_used_again(
    minions: Minions,
) -> None:
    client = HttpClient()
    for address in minions.addresses:
        client.request(address, "POST", "/v1/run-start", LONG_S, b"{}")
    time.sleep(2 * IDLE_S)
    client.request(minions.addresses[0], "POST", "/v1/run-start", LONG_S, b"{}")
    wait_for(lambda: minions.open <= 1, "the others are closed", 5.0)


def test_connections_for_orders_are_limited_in_number(
    minions: Minions, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A burst of starts reaches most minions before any connection is old."""
    monkeypatch.setattr(http, "MAX_IDLE_SECONDS", LONG_S)
    monkeypatch.setattr(http, "MAX_IDLE_CONNECTIONS", 3, raising=False)
    client = HttpClient()
    for address in minions.addresses:
        client.request(address, "POST", "/v1/run-start", LONG_S, b"{}")
    wait_for(lambda: minions.open <= 3, "the others are closed", 5.0)


def test_a_connection_that_is_used_all_the_time_is_kept(
    minions: Minions, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Calls to the store must not connect anew because of orders to minions."""
    monkeypatch.setattr(http, "MAX_IDLE_SECONDS", LONG_S)
    monkeypatch.setattr(http, "MAX_IDLE_CONNECTIONS", 3)
    client = HttpClient()
    store, *others = minions.addresses
    for address in others:
        client.request(store, "POST", "/v1/log-append", LONG_S, b"{}")
        client.request(address, "POST", "/v1/run-start", LONG_S, b"{}")
    assert client.connections_opened == len(minions.addresses)


def test_connections_for_polls_are_closed_without_further_polls(
    minions: Minions,
) -> None:
    """A node that is no longer the owner polls no more."""
    client = HttpMultiplexer()
    for address in minions.addresses:
        client.request(address, "POST", "/v1/hold", LONG_S, b"{}", {}).result(LONG_S)
    wait_for(lambda: minions.open == 0, "all are closed", 5.0)


def test_minions_that_are_gone_do_not_prevent_the_reuse_of_connections(
    minions: Minions, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their connections counted against the limit for as long as the process ran."""
    monkeypatch.setattr(http_multiplexer, "MAX_IDLE_CONNECTIONS", MINIONS - 1)
    client = HttpMultiplexer()
    *gone, present = minions.addresses
    for address in gone:
        client.request(address, "POST", "/v1/hold", LONG_S, b"{}", {}).result(LONG_S)
    time.sleep(2 * IDLE_S)
    accepted = minions.accepted
    for _ in range(3):
        client.request(present, "POST", "/v1/hold", LONG_S, b"{}", {}).result(LONG_S)
    assert minions.accepted == accepted + 1
