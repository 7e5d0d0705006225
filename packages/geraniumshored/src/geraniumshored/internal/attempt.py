"""One attempt to run a request on a minion."""

from __future__ import annotations

import http.client
from dataclasses import dataclass

from geraniumshore import Minion, NotRun, Outcome, Ran, Unknown

__all__ = ["MinionRequest", "attempt"]

CONNECT_SECONDS = 1.0
# The minion ends a run at the limit itself; the answer may need a little longer.
ANSWER_GRACE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class MinionRequest:
    """What a minion is asked to run. ``run_limit`` is in seconds."""

    request_id: str
    queue: str
    team: str
    body: bytes
    content_type: str
    content_encoding: str | None
    run_limit: float

    def headers(self) -> dict[str, str]:
        """Return the headers of the minion contract (docs/PROTOCOLS.md)."""
        headers = {
            "Request-Id": self.request_id,
            "Team": self.team,
            "Run-Limit-Ms": str(int(self.run_limit * 1000)),
            "Content-Type": self.content_type,
        }
        if self.content_encoding is not None:
            headers["Content-Encoding"] = self.content_encoding
        return headers


def attempt(minion: Minion, request: MinionRequest) -> Outcome:
    """Send the request on a fresh connection and read the whole answer.

    The outcome is ``NotRun`` only if no byte was sent or the minion said so.
    """
    address, _, port = minion.address.partition(":")
    connection = http.client.HTTPConnection(address, int(port), timeout=CONNECT_SECONDS)
    try:
        connection.connect()
    except OSError as error:
        connection.close()
        return NotRun(f"connect: {error!r}")
    try:
        return _exchange(connection, request)
    except (OSError, http.client.HTTPException) as error:
        return Unknown(f"no whole answer: {error!r}")
    finally:
        connection.close()


def _exchange(
    connection: http.client.HTTPConnection, request: MinionRequest
) -> Outcome:
    connection.sock.settimeout(request.run_limit + ANSWER_GRACE_SECONDS)
    connection.request(
        "POST", f"/work/{request.queue}", request.body, request.headers()
    )
    response = connection.getresponse()
    body = response.read()
    if response.getheader("Request-Id") != request.request_id:
        return Unknown("the answer is to another request")
    if response.getheader("Content-Length") is None and not response.chunked:
        return Unknown("the answer has no length")
    if response.getheader("Outcome") == "not-run":
        return NotRun(f"refused by the minion with status {response.status}")
    return Ran(
        response.status,
        response.getheader("Content-Type", "application/octet-stream"),
        response.getheader("Content-Encoding"),
        body,
    )
