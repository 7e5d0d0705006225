"""Minimal JSON-over-WSGI layer shared by the stand-ins."""

from __future__ import annotations

import contextlib
import json
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

from waitress.server import BaseWSGIServer, MultiSocketServer, create_server
from waitress.wasyncore import close_all

__all__ = ["Answer", "Call", "Handler", "serve", "serve_in_thread", "wsgi_application"]

WsgiEnviron = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request. Header names are in lower case."""

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def document(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP response.

    If ``cut``, the connection is closed after the first half of the body.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    cut: bool = False

    @classmethod
    def json(cls, document: Any, status: int = 200) -> Answer:
        """Return a response with a JSON body."""
        body = json.dumps(document).encode()
        return cls(status, body, {"Content-Type": "application/json"})


Handler = Callable[[Call], Answer]


def wsgi_application(handler: Handler) -> Callable[..., Iterable[bytes]]:
    """Return a WSGI application that passes every request to ``handler``."""

    def application(
        environ: WsgiEnviron, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        answer = handler(_read_call(environ))
        headers = {**answer.headers, "Content-Length": str(len(answer.body))}
        phrase = HTTPStatus(answer.status).phrase
        start_response(f"{answer.status} {phrase}", list(headers.items()))
        return [answer.body[: len(answer.body) // 2] if answer.cut else answer.body]

    return application


def serve(handler: Handler, port: int, threads: int) -> None:
    """Serve on loopback until the process exits."""
    create_server(
        wsgi_application(handler), host="127.0.0.1", port=port, threads=threads
    ).run()


def serve_in_thread(
    handler: Handler, port: int, threads: int
) -> BaseWSGIServer | MultiSocketServer:
    """Serve on loopback from a thread; close the returned server to stop it."""
    socket_by_descriptor: dict[int, Any] = {}
    server = create_server(
        wsgi_application(handler),
        map=socket_by_descriptor,
        host="127.0.0.1",
        port=port,
        threads=threads,
        # select() fails for file descriptors above 1,023.
        asyncore_use_poll=True,
    )
    threading.Thread(
        target=_run_until_closed, args=[server, socket_by_descriptor], daemon=True
    ).start()
    return server


def _run_until_closed(
    server: BaseWSGIServer | MultiSocketServer, socket_by_descriptor: dict[int, Any]
) -> None:
    # Closing the server from another thread makes its loop fail with an OSError.
    with contextlib.suppress(OSError):
        server.run()
    # The loop leaves its connections open. Over a soak of some 20 seeds, the process
    # would run out of file descriptors.
    close_all(socket_by_descriptor, ignore_all=True)


def _read_call(environ: WsgiEnviron) -> Call:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    query = parse_qs(environ.get("QUERY_STRING", ""))
    return Call(
        method=environ["REQUEST_METHOD"],
        path=tuple(part for part in environ["PATH_INFO"].split("/") if part),
        query={name: values[-1] for name, values in query.items()},
        headers=headers,
        body=environ["wsgi.input"].read(),
    )
