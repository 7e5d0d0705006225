"""TCP proxy that injects network faults.

One process serves many hops. Each hop listens on its own port and forwards to one
target. An HTTP control interface opens hops and sets their faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import threading
import time
from collections.abc import Coroutine
from dataclasses import asdict, dataclass, field
from typing import Any, TypeVar

from geraniumshore_standins.internal.wsgi import Answer, Call

__all__ = ["FaultProxy", "HopFaults"]

CHUNK_BYTES = 65_536
# Connections share a limited rate in turns of this size.
LIMITED_CHUNK_BYTES = 4_096
BYTES_PER_KB = 1_000
POLL_INTERVAL_SECONDS = 0.02
CONTROL_TIMEOUT_SECONDS = 10.0
# SO_LINGER with a zero timeout makes close send RST instead of FIN.
LINGER_ZERO_TIMEOUT = struct.pack("ii", 1, 0)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class HopFaults:
    """Faults injected on one hop.

    ``delay_ms`` delays each chunk of data in both directions. ``refuse`` closes the
    listening socket, so that connecting fails. ``silent_to_target`` and
    ``silent_to_caller`` stop forwarding in that direction, without FIN or RST.
    ``cut_after`` and ``reset_after`` close or reset a connection after so many bytes of
    its answers; 0 loses the reply to a request that arrived. ``fraction`` of the
    connections are faulty. ``refuse`` applies to all of them. ``kb_per_s`` limits the
    answers of all connections of the hop together, as a slow link does.
    """

    delay_ms: int = 0
    refuse: bool = False
    silent_to_target: bool = False
    silent_to_caller: bool = False
    cut_after: int | None = None
    reset_after: int | None = None
    fraction: float = 1.0
    kb_per_s: float | None = None


@dataclass(eq=False, slots=True)
class _Connection:
    """One proxied connection.

    ``draw`` is a random number in [0, 1); the connection is faulty if it is below
    :attr:`HopFaults.fraction`.
    """

    draw: float
    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    silenced: bool = False
    answered_bytes: int = 0

    def close(self) -> None:
        for writer in (self.caller, self.target):
            writer.close()

    def reset(self) -> None:
        for writer in (self.caller, self.target):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO_TIMEOUT
                )
            writer.transport.abort()


@dataclass(slots=True)
class _Hop:
    """One listening port and the target that it forwards to."""

    port: int
    target_address: str
    target_port: int
    random: random.Random
    faults: HopFaults = field(default_factory=HopFaults)
    connections: set[_Connection] = field(default_factory=set)
    accepted: int = 0
    link_free_at: float = 0.0
    server: asyncio.Server | None = None

    async def listen(self) -> None:
        if self.server is None:
            self.server = await asyncio.start_server(
                self._accept, "127.0.0.1", self.port
            )

    async def set_faults(self, faults: HopFaults) -> None:
        self.faults = faults
        if not faults.refuse:
            await self.listen()
        elif self.server is not None:
            self.server.close()
            self.server = None

    def silence(self) -> None:
        """Stop forwarding on the open connections without closing them."""
        for connection in self.connections:
            connection.silenced = True

    def reset(self) -> None:
        """Reset the open connections with RST."""
        for connection in list(self.connections):
            connection.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target_address, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(self.random.random(), writer, target_writer)
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, target_writer, to_caller=False),
                self._forward(connection, target_reader, writer, to_caller=True),
            )
        except OSError:
            connection.reset()
        finally:
            connection.close()
            self.connections.discard(connection)

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_caller: bool,
    ) -> None:
        while chunk := await reader.read(self._chunk_bytes()):
            await self._delay_or_block(connection, to_caller)
            if to_caller and self.faults.kb_per_s is not None:
                await self._pass_link(len(chunk), self.faults.kb_per_s)
            if to_caller and self._ended_at_limit(connection, chunk, writer):
                return
            writer.write(chunk)
            await writer.drain()
        await self._delay_or_block(connection, to_caller)
        if writer.can_write_eof():
            writer.write_eof()

    def _chunk_bytes(self) -> int:
        limited = self.faults.kb_per_s is not None
        return LIMITED_CHUNK_BYTES if limited else CHUNK_BYTES

    async def _pass_link(self, size: int, kb_per_s: float) -> None:
        """Wait until the link has carried so many bytes after those before them."""
        now = time.monotonic()
        took_s = size / (kb_per_s * BYTES_PER_KB)
        self.link_free_at = max(now, self.link_free_at) + took_s
        await asyncio.sleep(self.link_free_at - now)

    async def _delay_or_block(self, connection: _Connection, to_caller: bool) -> None:
        """Wait for the delay, then for as long as this direction is silent."""
        if self._is_faulty(connection) and self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        while self._is_silent(connection, to_caller):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _is_faulty(self, connection: _Connection) -> bool:
        return connection.draw < self.faults.fraction

    def _is_silent(self, connection: _Connection, to_caller: bool) -> bool:
        faults = self.faults
        silent = faults.silent_to_caller if to_caller else faults.silent_to_target
        return connection.silenced or (silent and self._is_faulty(connection))

    def _ended_at_limit(
        self, connection: _Connection, chunk: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Close or reset the connection once its answers exceed a fault's byte limit.

        Returns whether it did so.
        """
        if not self._is_faulty(connection):
            return False
        faults = self.faults
        for limit, end in (
            (faults.cut_after, connection.close),
            (faults.reset_after, connection.reset),
        ):
            allowed = None if limit is None else limit - connection.answered_bytes
            if allowed is not None and len(chunk) > allowed:
                writer.write(chunk[: max(0, allowed)])
                end()
                return True
        connection.answered_bytes += len(chunk)
        return False


class FaultProxy:
    """All hops of one process and the handler of the HTTP control interface."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._hop_by_port: dict[int, _Hop] = {}
        self._loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        thread.start()

    def open_hop(self, port: int, target: str) -> None:
        """Listen on a port and forward to ``target``, a ``host:port``."""
        address, _, target_port = target.partition(":")
        seeded = random.Random(self._random.random())
        hop = _Hop(port, address, int(target_port), seeded)
        self._run(hop.listen())
        self._hop_by_port[port] = hop

    def set_faults(self, port: int, faults: HopFaults) -> None:
        """Set a hop's faults."""
        self._run(self._hop_by_port[port].set_faults(faults))

    def silence(self, port: int) -> None:
        """Stop forwarding on a hop's open connections without closing them."""
        self._loop.call_soon_threadsafe(self._hop_by_port[port].silence)

    def reset(self, port: int) -> None:
        """Reset a hop's open connections with RST."""
        self._loop.call_soon_threadsafe(self._hop_by_port[port].reset)

    def handle(self, call: Call) -> Answer:
        """Handle one call of the control interface."""
        match (call.method, call.path):
            case ("GET", ("hops",)):
                return Answer.json({"hops": sorted(self._hop_by_port)})
            case ("POST", ("hops",)):
                return self._open(call)
            case (method, ("hops", port, operation)) if int(port) in self._hop_by_port:
                return self._control(
                    self._hop_by_port[int(port)], method, operation, call
                )
            case _:
                return Answer.json({"error": "no such path"}, 404)

    def _open(self, call: Call) -> Answer:
        document = call.document()
        port = int(document["port"])
        self.open_hop(port, document["target"])
        return Answer.json({"port": port})

    def _control(self, hop: _Hop, method: str, operation: str, call: Call) -> Answer:
        match (method, operation):
            case ("PUT", "faults"):
                self.set_faults(hop.port, HopFaults(**call.document()))
            case ("POST", "silence"):
                self.silence(hop.port)
            case ("POST", "reset"):
                self.reset(hop.port)
            case ("GET", "state"):
                pass
            case _:
                return Answer.json({"error": "no such path"}, 404)
        return Answer.json(
            {
                "faults": asdict(hop.faults),
                "accepted": hop.accepted,
                "open": len(hop.connections),
            }
        )

    def _run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(
            CONTROL_TIMEOUT_SECONDS
        )
