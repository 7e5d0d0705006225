"""Exchange of message batches between members over gRPC."""

from __future__ import annotations

import logging
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import grpc
from result import Err

from geraniumshore import (
    EndorseRequest,
    Message,
    coalescing_key,
    decode_message,
    encode_message,
    predecessor,
)
from geraniumshored.internal import peer_pb2, peer_pb2_grpc
from geraniumshored.internal.routing import (
    DIRECT_RETRY_SECONDS,
    RELAY_METADATA,
    RelayRoutes,
    Route,
    is_relay,
)
from geraniumshored.internal.runtime import Runtime

__all__ = ["PeerNetwork", "PeerServer"]

logger = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.1
SERVER_THREADS = 16
# The outbox of a process that is not a member is dropped after this time without use.
MAX_IDLE_OUTBOX_SECONDS = 30.0
# Large enough for a relayed release note or a complete folded state.
MAX_BATCH_BYTES = 64 * 1024 * 1024
SIZE_OPTIONS = (
    ("grpc.max_send_message_length", MAX_BATCH_BYTES),
    ("grpc.max_receive_message_length", MAX_BATCH_BYTES),
)
# Each channel has its own subchannel pool. With a shared pool, a new channel would
# reuse the dead connection of the channel that it replaces.
CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.keepalive_time_ms", 2_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    *SIZE_OPTIONS,
)
# Without SO_REUSEPORT, so that a second process, which would be another member,
# cannot listen on the same port.
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.max_ping_strikes", 0),
    *SIZE_OPTIONS,
)


class Outbox:
    """Messages queued for one member.

    A message replaces an earlier one with the same coalescing key.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, Message] = {}
        self._not_empty = threading.Condition()
        self._used_at = time.monotonic()

    def idle_seconds(self) -> float:
        """Return the time since messages were last added."""
        return time.monotonic() - self._used_at

    def put(self, messages: list[Message]) -> None:
        """Add messages."""
        with self._not_empty:
            self._used_at = time.monotonic()
            for message in messages:
                key = coalescing_key(message)
                self._by_key.pop(key, None)
                self._by_key[key] = message
            self._not_empty.notify()

    def take(self, wait_seconds: float = 0) -> list[Message]:
        """Remove and return all messages; wait up to ``wait_seconds`` for the first."""
        with self._not_empty:
            if not self._by_key and wait_seconds:
                self._not_empty.wait(wait_seconds)
            messages = list(self._by_key.values())
            self._by_key.clear()
            return messages


class PeerLink(threading.Thread, Route):
    """Thread that sends the messages of one outbox to its member in batches."""

    def __init__(
        self,
        own_id: str,
        member: str,
        address: str,
        outbox: Outbox,
        runtime: Runtime,
        relays: RelayRoutes,
    ) -> None:
        super().__init__(name=f"link-{member}", daemon=True)
        self.member = member
        self.healthy = False
        self._relays = relays
        self._next_direct_attempt_at = 0.0
        self._own_id = own_id
        self._member = member
        self._address = address
        self._outbox = outbox
        self._runtime = runtime
        self._stop_requested = threading.Event()
        self._channel: grpc.Channel | None = None

    def run(self) -> None:
        """Send until stopped."""
        while not self._stop_requested.is_set():
            messages = self._outbox.take(wait_seconds=0.5)
            if messages:
                self._exchange(messages)
        self._drop_channel()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()

    def _exchange(self, messages: list[Message]) -> None:
        batch = encode_batch(self._own_id, self._member, messages)
        metrics = self._runtime.metrics
        for message in messages:
            metrics.peer_messages.labels(message.kind).inc()
        metrics.peer_bytes.labels("request").inc(batch.ByteSize())
        answer = self._call_directly(batch)
        result = "answered"
        if answer is None:
            answer = self._relays.exchange(batch)
            result = "relayed" if answer is not None else "failed"
            if answer is not None:
                self._next_direct_attempt_at = time.monotonic() + DIRECT_RETRY_SECONDS
        metrics.peer_batches.labels(result).inc()
        if answer is not None:
            deliver_batch(answer, self._runtime)

    def call(self, batch: peer_pb2.Batch, relay: bool = False) -> peer_pb2.Batch:
        """Exchange a batch; with ``relay``, ask the member to forward it.

        Raises grpc.RpcError.
        """
        metadata = RELAY_METADATA if relay else ()
        answer: peer_pb2.Batch = self._stub().Exchange(
            batch, timeout=CALL_TIMEOUT_SECONDS, metadata=metadata
        )
        return answer

    def _call_directly(self, batch: peer_pb2.Batch) -> peer_pb2.Batch | None:
        if time.monotonic() < self._next_direct_attempt_at:
            return None
        try:
            answer = self.call(batch)
        except grpc.RpcError as error:
            self.healthy = False
            self._after_failure(error)
            return None
        self.healthy = True
        self._next_direct_attempt_at = 0.0
        return answer

    def _after_failure(self, error: grpc.RpcError) -> None:
        # The batch is not sent again: the next heartbeat carries newer messages.
        if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
            self._drop_channel()
        self._stop_requested.wait(RETRY_SECONDS)

    def _stub(self) -> peer_pb2_grpc.PeerStub:
        if self._channel is None:
            self._channel = grpc.insecure_channel(
                self._address, options=CHANNEL_OPTIONS
            )
        return peer_pb2_grpc.PeerStub(self._channel)

    def _drop_channel(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None


class PeerNetwork:
    """Sends messages from this member to all others."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._lock = threading.Lock()
        self._outbox_by_member: dict[str, Outbox] = {}
        self._link_by_member: dict[str, PeerLink] = {}
        self._relays = RelayRoutes(self._links)

    def _links(self) -> list[PeerLink]:
        with self._lock:
            return list(self._link_by_member.values())

    def forward(self, batch: peer_pb2.Batch) -> peer_pb2.Batch | None:
        """Forward another member's batch; return None if that fails."""
        with self._lock:
            link = self._link_by_member.get(batch.recipient)
        if link is None:
            return None
        try:
            return link.call(batch)
        except grpc.RpcError:
            return None

    def send(self, member: str, messages: list[Message]) -> None:
        """Queue messages for a member.

        If its address is unknown, they are sent in the answer to its next batch.
        """
        self.outbox(member).put(messages)
        info = self._runtime.member.state.view.members.get(member)
        if info is not None and member not in self._link_by_member:
            self._open_link(member, info.peer_address)

    def outbox(self, member: str) -> Outbox:
        """Return the member's outbox."""
        with self._lock:
            return self._outbox_by_member.setdefault(member, Outbox())

    def close_departed_links(self) -> None:
        """Close links to former members and drop their outboxes once these are idle."""
        members = self._runtime.member.state.view.members
        with self._lock:
            for member in set(self._link_by_member) - set(members):
                self._link_by_member.pop(member).stop()
            for member in set(self._outbox_by_member) - set(members):
                if (
                    self._outbox_by_member[member].idle_seconds()
                    > MAX_IDLE_OUTBOX_SECONDS
                ):
                    del self._outbox_by_member[member]

    def stop(self) -> None:
        """Close every link."""
        with self._lock:
            links = list(self._link_by_member.values())
        for link in links:
            link.stop()

    def _open_link(self, member: str, address: str) -> None:
        outbox = self.outbox(member)
        own_id = self._runtime.member.id
        with self._lock:
            if member in self._link_by_member:
                return
            link = PeerLink(
                own_id, member, address, outbox, self._runtime, self._relays
            )
            self._link_by_member[member] = link
        link.start()


class PeerServer(peer_pb2_grpc.PeerServicer):  # type: ignore[misc]
    """gRPC server for the batches of other members."""

    def __init__(self, runtime: Runtime, network: PeerNetwork) -> None:
        self._runtime = runtime
        self._network = network
        self._server: grpc.Server | None = None

    def start(self, address: str) -> None:
        """Listen on ``address``. Raises RuntimeError if it is in use."""
        server = grpc.server(
            ThreadPoolExecutor(SERVER_THREADS, thread_name_prefix="peer"),
            options=SERVER_OPTIONS,
        )
        peer_pb2_grpc.add_PeerServicer_to_server(self, server)
        server.add_insecure_port(address)
        server.start()
        self._server = server

    def stop(self, grace_seconds: float) -> None:
        """Stop listening; open calls have ``grace_seconds`` to complete."""
        if self._server is not None:
            self._server.stop(grace_seconds).wait()

    def Exchange(  # noqa: N802 - the name is gRPC's
        self, request: peer_pb2.Batch, context: grpc.ServicerContext
    ) -> peer_pb2.Batch:
        """Process a batch and answer with the messages queued for its sender.

        A batch for another member is forwarded if the call asks for a relay. A batch
        for this member's predecessor is processed for its endorse requests only.
        """
        member = self._runtime.member
        own_id = member.id
        if request.recipient != own_id and is_relay(context):
            return self._relay(request, context)
        if request.recipient == own_id:
            deliver_batch(request, self._runtime)
        elif request.recipient == predecessor(member.state.view, member.info):
            deliver_batch(request, self._runtime, only=EndorseRequest)
        else:
            context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"got a batch for {request.recipient}, this is {own_id}",
            )
        answer = encode_batch(
            own_id, request.sender, self._network.outbox(request.sender).take()
        )
        self._runtime.metrics.peer_bytes.labels("answer").inc(answer.ByteSize())
        return answer

    def _relay(
        self, request: peer_pb2.Batch, context: grpc.ServicerContext
    ) -> peer_pb2.Batch:
        answer = self._network.forward(request)
        if answer is None:
            context.abort(
                grpc.StatusCode.UNAVAILABLE, f"{request.recipient} is out of reach"
            )
            raise RuntimeError("the call was aborted")
        return answer


def encode_batch(
    sender: str, recipient: str, messages: list[Message]
) -> peer_pb2.Batch:
    """Encode messages as a batch."""
    return peer_pb2.Batch(
        sender=sender,
        recipient=recipient,
        messages=[encode_message(message) for message in messages],
    )


def deliver_batch(
    batch: peer_pb2.Batch, runtime: Runtime, only: type | None = None
) -> None:
    """Deliver the messages of a batch to the member, or only those of one type.

    Messages that cannot be decoded are logged and skipped.
    """
    messages: list[Message] = []
    for document in batch.messages:
        decoded = decode_message(document)
        if isinstance(decoded, Err):
            logger.warning("unreadable message", extra={"sender": batch.sender})
        elif only is None or isinstance(decoded.ok_value, only):
            messages.append(decoded.ok_value)
    if messages:
        runtime.deliver(batch.sender, messages)
