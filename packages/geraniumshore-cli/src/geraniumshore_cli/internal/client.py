"""Calls entry hosts; where one does not answer, the next is tried."""

from __future__ import annotations

import http.client
import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from geraniumshore import Finding, InvalidInputError, UnknownOutcomeError

__all__ = ["Client", "ClientSettings", "Reply"]

ENTRIES_VARIABLE = "GERANIUMSHORE_ENTRIES"
KEY_VARIABLE = "GERANIUMSHORE_KEY"
TIMEOUT_SECONDS = 30.0
CONNECT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Entry hosts as ``address:port``, and the key to show them."""

    entries: tuple[str, ...]
    key: str

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> ClientSettings:
        """Read the settings. Raises InvalidInputError with every fault."""
        entries = tuple(environment.get(ENTRIES_VARIABLE, "").split())
        key = environment.get(KEY_VARIABLE, "")
        findings = [
            Finding(variable, f"is not set; want {wanted}")
            for variable, value, wanted in (
                (ENTRIES_VARIABLE, entries, "addresses of entry hosts, by spaces"),
                (KEY_VARIABLE, key, "the key to show"),
            )
            if not value
        ]
        if findings:
            raise InvalidInputError(findings)
        return cls(entries, key)


@dataclass(frozen=True, slots=True)
class Reply:
    """An entry host's answer."""

    entry: str
    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def ok(self) -> bool:
        """Tell whether the call was done."""
        return self.status < 400

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class Client:
    """Talks to entry hosts."""

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings

    @classmethod
    def from_environment(cls) -> Client:
        """Build a client from the environment's variables."""
        return cls(ClientSettings.from_environment(os.environ))

    def get(self, path: str) -> Any:
        """Return the JSON answer to a GET from the first host that gives one.

        Raises UnknownOutcomeError where none does.
        """
        return self.call("GET", path).json()

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        entries: tuple[str, ...] | None = None,
    ) -> Reply:
        """Call the first entry host that can be connected to.

        A host that answers 503 "not run" is passed over while there are others.
        Raises UnknownOutcomeError where a call was sent and no answer came, and
        where no host could be reached.
        """
        refused: Reply | None = None
        for connection, entry in self._connections(entries or self._settings.entries):
            reply = self._send(connection, entry, method, path, body, headers or {})
            if reply.status != 503:
                return reply
            refused = reply
        if refused is None:
            raise UnknownOutcomeError("no entry host could be reached")
        return refused

    @staticmethod
    def _connections(
        entries: tuple[str, ...],
    ) -> Iterator[tuple[http.client.HTTPConnection, str]]:
        for entry in entries:
            connection = http.client.HTTPConnection(entry, timeout=CONNECT_SECONDS)
            try:
                connection.connect()
            except OSError:
                connection.close()
                continue
            connection.sock.settimeout(TIMEOUT_SECONDS)
            yield connection, entry

    def _send(
        self,
        connection: http.client.HTTPConnection,
        entry: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> Reply:
        all_headers = {"Authorization": f"Bearer {self._settings.key}", **headers}
        try:
            connection.request(method, path, body, all_headers)
            response = connection.getresponse()
            received = {name.lower(): value for name, value in response.getheaders()}
            return Reply(entry, response.status, response.read(), received)
        except (OSError, http.client.HTTPException) as error:
            raise UnknownOutcomeError(
                f"{method} {path} to {entry}: no whole answer: {error!r}"
            ) from error
        finally:
            connection.close()
