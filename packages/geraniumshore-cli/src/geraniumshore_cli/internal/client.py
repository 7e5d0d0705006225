"""HTTP client for entry hosts; tries the next host if one is unreachable."""

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
REPLY_TIMEOUT_SECONDS = 30.0
CONNECT_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Entry hosts as ``address:port``, and the API key sent to them."""

    entries: tuple[str, ...]
    key: str

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> ClientSettings:
        """Read the settings. Raises InvalidInputError naming every missing variable."""
        entries = tuple(environment.get(ENTRIES_VARIABLE, "").split())
        key = environment.get(KEY_VARIABLE, "")
        findings = [
            Finding(variable, f"is not set; expected {expected}")
            for variable, value, expected in (
                (
                    ENTRIES_VARIABLE,
                    entries,
                    "addresses of entry hosts, separated by spaces",
                ),
                (KEY_VARIABLE, key, "the API key"),
            )
            if not value
        ]
        if findings:
            raise InvalidInputError(findings)
        return cls(entries, key)


@dataclass(frozen=True, slots=True)
class Reply:
    """The HTTP response of an entry host."""

    entry: str
    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def ok(self) -> bool:
        """Return whether the status is below 400."""
        return self.status < 400

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class Client:
    """Sends HTTP requests to the first entry host that is available."""

    def __init__(self, settings: ClientSettings) -> None:
        self._settings = settings

    @classmethod
    def from_environment(cls) -> Client:
        """Build a client from environment variables."""
        return cls(ClientSettings.from_environment(os.environ))

    def get(self, path: str) -> Any:
        """Send a GET request with ``call`` and return the body as JSON.

        Raises UnknownOutcomeError if no host gives an answer.
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
        """Send a request to the first entry host that accepts a connection.

        If a host answers 503 "not run", the next one is tried; the last 503 is returned
        if all do. Raises UnknownOutcomeError if a request was sent and not answered,
        or if no host could be reached.
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
            connection = http.client.HTTPConnection(
                entry, timeout=CONNECT_TIMEOUT_SECONDS
            )
            try:
                connection.connect()
            except OSError:
                connection.close()
                continue
            connection.sock.settimeout(REPLY_TIMEOUT_SECONDS)
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
                f"{method} {path} to {entry}: no complete answer: {error!r}"
            ) from error
        finally:
            connection.close()
