"""``geraniumshore call``: one request, as a caller would make it."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from geraniumshore import UnknownOutcomeError
from geraniumshore_cli.internal.client import Client, Reply
from geraniumshore_cli.internal.output import ExitCode, report_refusal

__all__ = ["call"]

# Between two calls of the same request, where the host does not say how long.
PAUSE_SECONDS = 1.0


def call(
    queue: str,
    body: str = "",
    *,
    file: Path | None = None,
    deadline_ms: int | None = None,
    idempotency_key: str | None = None,
    wait: float = 0.0,
) -> int:
    """Send a request to a queue as a caller, and print the answer's body.

    With --wait, a refusal that says "not run" is tried again for so many seconds, and
    with an idempotency key also a call that got no answer: the key makes it safe.
    """
    payload = file.read_bytes() if file is not None else body.encode()
    headers = {}
    if deadline_ms is not None:
        headers["Deadline-Ms"] = str(deadline_ms)
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    reply = _call_until(time.monotonic() + wait, queue, payload, headers)
    if reply.headers.get("outcome") != "ran":
        return report_refusal(reply)
    sys.stdout.buffer.write(reply.body + b"\n")
    return ExitCode.DONE if reply.ok else ExitCode.REFUSED


def _call_until(
    give_up_at: float, queue: str, payload: bytes, headers: dict[str, str]
) -> Reply:
    client = Client.from_environment()
    is_keyed = "Idempotency-Key" in headers
    # A refusal of a later call says nothing of one that got no answer.
    unanswered = False
    while True:
        reply: Reply | None = None
        try:
            reply = client.call("POST", f"/queues/{queue}", payload, headers)
        except UnknownOutcomeError:
            if not is_keyed or time.monotonic() >= give_up_at:
                raise
            unanswered = True
        if reply is not None and not _may_come_back(reply):
            return reply
        pause = _pause(reply)
        if time.monotonic() + pause >= give_up_at:
            if reply is None or unanswered:
                raise UnknownOutcomeError("a call was sent and got no answer")
            return reply
        print(f"not answered yet; again in {pause:.0f} s", file=sys.stderr)
        time.sleep(pause)


def _may_come_back(reply: Reply) -> bool:
    return "retry-after" in reply.headers


def _pause(reply: Reply | None) -> float:
    if reply is None:
        return PAUSE_SECONDS
    return float(reply.headers["retry-after"])
