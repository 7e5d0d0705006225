"""HTTP client for entry hosts and stand-ins, and for the operator interface."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass, field
from typing import Any

__all__ = ["HttpReply", "OperatorClient", "http_call"]


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, body and headers of a response."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def http_call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 20.0,
) -> HttpReply:
    """Send one request on a new connection.

    Raises OSError or http.client.HTTPException if no complete response arrives.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        received = {name.lower(): value for name, value in response.getheaders()}
        return HttpReply(response.status, response.read(), received)
    finally:
        connection.close()


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Client for the operator interface of one entry host."""

    address: str
    bearer: str

    def get(self, path: str) -> Any:
        """Return the JSON document at a path below ``/operator``."""
        return self._call("GET", path).json()

    def post(self, path: str, document: Any) -> HttpReply:
        """Post a JSON document to a path below ``/operator``."""
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method: str, path: str, body: bytes | None = None) -> HttpReply:
        headers = {"Authorization": f"Bearer {self.bearer}"}
        return http_call(self.address, method, f"/operator/{path}", body, headers)
