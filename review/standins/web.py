"""A small HTTP/1.1 server on loopback, with which the stand-ins answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

__all__ = ["Call", "Reply", "Server", "json_reply"]


@dataclass
class Call:
    """One request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def document(self) -> dict[str, Any]:
        """Return the body as JSON."""
        return json.loads(self.body)


@dataclass
class Reply:
    """One response."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


def json_reply(document: Any, status: int = 200) -> Reply:
    """Return a response with a JSON body."""
    return Reply(status, json.dumps(document).encode())


Handler = Callable[[Call], Awaitable[Reply | None]]


class Server:
    """Listens on a free loopback port. A handler that returns None cuts the channel."""

    def __init__(self, name: str, handler: Handler) -> None:
        self.name = name
        self.port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, port: int = 0) -> None:
        """Listen, on the former port if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port or self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def address(self) -> str:
        """The server's address."""
        return f"127.0.0.1:{self.port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (call := await _read_call(reader)) is not None:
                reply = await self._handler(call)
                if reply is None:
                    writer.transport.abort()
                    return
                head = [f"HTTP/1.1 {reply.status} X"]
                head += [f"{name}: {value}" for name, value in reply.headers.items()]
                head.append(f"Content-Length: {len(reply.body)}")
                writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + reply.body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_call(reader: asyncio.StreamReader) -> Call | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(target)
    query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    return Call(method, parts.path, query, headers, body)
