"""HTTP requests and answers, with conversion from and to WSGI."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from geraniumshore_scheduler import Finding

__all__ = ["HttpAnswer", "HttpRequest", "answer_json", "answer_problem", "read_request"]

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiEnviron = dict[str, Any]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request. Header names are in lower case."""

    method: str
    path: tuple[str, ...]
    query: str
    headers: dict[str, str]
    environ: WsgiEnviron

    def read_body(self) -> bytes:
        """Read and return the body."""
        body: bytes = self.environ["wsgi.input"].read()
        return body

    @property
    def content_length(self) -> int:
        """The length of the body in bytes."""
        return int(self.environ.get("CONTENT_LENGTH") or 0)

    def abandoned(self) -> bool:
        """Return whether the caller has disconnected."""
        disconnected = self.environ.get("waitress.client_disconnected")
        return disconnected is not None and bool(disconnected())

    @property
    def bearer(self) -> str | None:
        """The bearer key, or None without one."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else None


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP answer to the caller."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    def send(self, start_response: StartResponse) -> Iterable[bytes]:
        """Pass the status and headers to the WSGI server and return the body."""
        headers = {**self.headers, "Content-Length": str(len(self.body))}
        reason = HTTPStatus(self.status).phrase
        start_response(f"{self.status} {reason}", list(headers.items()))
        return [self.body]


def read_request(environ: WsgiEnviron) -> HttpRequest:
    """Return the request of a WSGI environment."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=tuple(part for part in environ["PATH_INFO"].split("/") if part),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        environ=environ,
    )


def answer_json(status: int, document: Any) -> HttpAnswer:
    """Return an answer with a JSON document."""
    body = json.dumps(document).encode()
    return HttpAnswer(status, body, {"Content-Type": "application/json"})


def answer_problem(
    status: int,
    kind: str,
    detail: str,
    outcome: str = "not-run",
    findings: Iterable[Finding] = (),
    retry_after: int | None = None,
    since: Sequence[dict[str, Any]] = (),
) -> HttpAnswer:
    """Return an RFC 9457 problem with the outcome of the request.

    ``outcome`` is ``not-run`` if nothing was started, and otherwise ``unknown`` or
    ``ran``. ``retry_after`` is in seconds. ``since`` lists the changes since the
    version that the caller's release note is based on.
    """
    document: dict[str, Any] = {
        "type": f"urn:geraniumshore:problem:{kind}",
        "title": kind.replace("-", " "),
        "status": status,
        "detail": detail,
        "outcome": outcome,
    }
    listed = [{"place": f.place, "problem": f.problem} for f in findings]
    if listed:
        document["findings"] = listed
    if since:
        document["since"] = list(since)
    headers = {"Content-Type": "application/problem+json"}
    if retry_after is not None:
        headers["Retry-After"] = str(retry_after)
    return HttpAnswer(status, json.dumps(document).encode(), headers)
