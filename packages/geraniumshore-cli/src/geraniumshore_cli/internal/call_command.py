"""``geraniumshore call``: sends one request to a queue, as a caller does."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from geraniumshore import UnknownOutcomeError
from geraniumshore_cli.internal.client import Client, Reply
from geraniumshore_cli.internal.output import ExitCode, report_refusal

__all__ = ["call"]

# Used when no reply came, so that there is no Retry-After header to follow.
DEFAULT_RETRY_DELAY_SECONDS = 1.0


def call(
    queue: str,
    body: str = "",
    *,
    file: Path | None = None,
    deadline_ms: int | None = None,
    idempotency_key: str | None = None,
    wait: float = 0.0,
) -> int:
    """Send a request to a queue as a caller and print the body of the answer.

    With --wait, a request refused as "not run" is retried for up to that many seconds.
    A call that got no answer is retried only with an idempotency key, which prevents
    it from running twice.
    """
    payload = file.read_bytes() if file is not None else body.encode()
    headers = {}
    if deadline_ms is not None:
        headers["Deadline-Ms"] = str(deadline_ms)
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    reply = _call_with_retries(time.monotonic() + wait, queue, payload, headers)
    if reply.headers.get("outcome") != "ran":
        return report_refusal(reply)
    sys.stdout.buffer.write(reply.body + b"\n")
    return ExitCode.DONE if reply.ok else ExitCode.REFUSED


def _call_with_retries(
    retry_deadline: float, queue: str, payload: bytes, headers: dict[str, str]
) -> Reply:
    client = Client.from_environment()
    has_idempotency_key = "Idempotency-Key" in headers
    # A refused retry does not show whether an earlier unanswered call was run.
    unanswered = False
    while True:
        reply: Reply | None = None
        try:
            reply = client.call("POST", f"/queues/{queue}", payload, headers)
        except UnknownOutcomeError:
            if not has_idempotency_key or time.monotonic() >= retry_deadline:
                raise
            unanswered = True
        if reply is not None and not _is_retryable(reply):
            return reply
        pause = _retry_delay(reply)
        if time.monotonic() + pause >= retry_deadline:
            if reply is None or unanswered:
                raise UnknownOutcomeError("a call was sent and got no answer")
            return reply
        print(f"no result yet; retrying in {pause:.0f} s", file=sys.stderr)
        time.sleep(pause)


def _is_retryable(reply: Reply) -> bool:
    return "retry-after" in reply.headers


def _retry_delay(reply: Reply | None) -> float:
    if reply is None:
        return DEFAULT_RETRY_DELAY_SECONDS
    return float(reply.headers["retry-after"])
