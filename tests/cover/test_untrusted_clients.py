"""A crowd of untrusted clients ends no process and leaves ordinary callers served.

Each test starts one process with low limits and one crowd, and checks what does not
depend on speed. They run one at a time, as pytest runs the tests of a file.
"""

from __future__ import annotations

import http.client
import json
import socket
import time
from collections.abc import Callable

import pytest

from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.users_platform import PlatformFleet
from geraniumshore_standins.internal.users_platform.crowd import (
    BytesAfterRefusal,
    ChunkedBody,
    ClientKind,
    Crowd,
    DeclaredBody,
    IdleConnection,
    ProcessUse,
    UnfinishedHead,
    UnreadAnswers,
)
from geraniumshore_standins.internal.users_platform.nodes import API_KEY, QUEUE_HOST

# The process alone takes 42 MB and 21 descriptors. The bounds are the target of
# docs/design/README.md: within the limits of the process's machine.
MEMORY_MB = 80
MAX_FDS = 256
# The product's own daemon takes 67 MB alone.
OWN_MEMORY_MB = 128
# With each of these the clients hold 1.5 times the memory or descriptors left, or more.
BODIES = 32
CONNECTIONS = 300
MIB = 1024 * 1024
# The largest body that the HTTP server takes is below 4 MiB.
LEGAL = 4 * MIB - 1024
STALLED_S = 1.5
CROWD_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 30.0

BODY_KINDS: list[tuple[ClientKind, int]] = [
    (ChunkedBody(65_536, LEGAL - 65_536), BODIES),
    (ChunkedBody(64, LEGAL - 65_536), BODIES),
    (ChunkedBody(65_536, 26 * MIB), BODIES),
    (DeclaredBody(64 * MIB, 26 * MIB), BODIES),
    (DeclaredBody(LEGAL, LEGAL), BODIES),
    (DeclaredBody(LEGAL, LEGAL - 1), BODIES),
    (DeclaredBody(LEGAL, LEGAL - 1, piece_bytes=1_000), BODIES),
    (BytesAfterRefusal(26 * MIB), BODIES),
]
CONNECTION_KINDS: list[tuple[ClientKind, int]] = [
    (UnfinishedHead(240 * 1024), CONNECTIONS),
    (UnreadAnswers("/metrics", 1_000), CONNECTIONS),
    (IdleConnection(), CONNECTIONS),
]
PROBE_KINDS = [BODY_KINDS[0], BODY_KINDS[5], *CONNECTION_KINDS]
CASES = [
    pytest.param(port, kind, count, id=f"{port}: {count} x {kind.name}")
    for port, kinds in (
        ("front", BODY_KINDS + CONNECTION_KINDS),
        ("ready", PROBE_KINDS),
        ("metrics", PROBE_KINDS),
    )
    for kind, count in kinds
]


@pytest.fixture
def fleet():
    with PlatformFleet(memory_mb=MEMORY_MB, max_fds=MAX_FDS) as started:
        started.start(nodes=1, minions=1)
        yield started


def job_document() -> bytes:
    step = {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 50}
    document = {"spec": json.dumps({"work_ms": 50}), "phases": [step]}
    return json.dumps(document).encode()


def call(address: str, method: str, path: str, body: bytes | None = None) -> int:
    """Make one call, without a retry, and return its status."""
    headers = {"Host": QUEUE_HOST, "Authorization": f"Bearer {API_KEY}"}
    connection = http.client.HTTPConnection(address, timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        return connection.getresponse().status
    finally:
        connection.close()


def run_crowd(
    address: str,
    kind: ClientKind,
    count: int,
    pid: int,
    ordinary: Callable[[], None],
    memory_mb: int = MEMORY_MB,
) -> None:
    """Let the crowd stay connected while the ordinary request is made."""
    with Crowd(address, kind, count) as crowd:
        uses = list(crowd.run(pid, STALLED_S, CROWD_TIMEOUT_S))
        ordinary()
        uses.append(ProcessUse.of(pid))
    peak_mb = max(use.peak_mb for use in uses)
    descriptors = max(use.descriptors for use in uses)
    print(f"peak {peak_mb:.1f} MB, {descriptors} descriptors, {crowd.open} open")
    assert peak_mb < memory_mb
    assert descriptors < MAX_FDS


@pytest.mark.parametrize(("port", "kind", "count"), CASES)
def test_a_crowd_leaves_the_process_within_its_limits(fleet, port, kind, count):
    """Held bodies, heads, answers and connections made processes run out of memory."""
    node = fleet.node_by_name["n0"]

    def ordinary() -> None:
        status = call(node.front, "POST", f"/jobs/{'0' * 16}", job_document())
        assert status == 200
        assert call(node.ready, "GET", "/v1/readyz") == 200
        assert call(node.metrics, "GET", "/metrics") == 200

    run_crowd(getattr(node, port), kind, count, node.process.pid, ordinary)
    assert node.process.poll() is None


@pytest.mark.parametrize("chunk_bytes", [1, 1_000, 100_000])
def test_one_slow_body_within_the_limits_is_served(fleet, chunk_bytes):
    """Protection from crowds must not reject a single slow client."""
    address = fleet.node_by_name["n0"].front
    body = job_document().ljust(90_000)
    pieces = [
        body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)
    ]
    wire = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"
    head = (
        f"POST /jobs/{'1' * 16} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n"
        f"Authorization: Bearer {API_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), ANSWER_TIMEOUT_S) as caller:
        caller.sendall(head.encode())
        step = len(wire) // 40
        for start in range(0, len(wire), step):
            caller.sendall(wire[start : start + step])
            time.sleep(0.1)
        assert caller.recv(1024).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("kind", "count"),
    [
        (DeclaredBody(16 * MIB, 16 * MIB - 1), 12),
        (ChunkedBody(65_536, 16 * MIB), 12),
        (IdleConnection(), CONNECTIONS),
    ],
    ids=lambda value: value.name if isinstance(value, ClientKind) else str(value),
)
def test_a_crowd_leaves_the_own_front_within_its_limits(kind, count):
    """The product's own HTTP interface held 64 MiB for each connection."""
    with Fleet() as own:
        own.start_platform()
        entry = own.start_entry(
            "e0", memory_mb=OWN_MEMORY_MB, max_fds=MAX_FDS, threads=16
        )
        own.wait_until_ready()

        def ordinary() -> None:
            assert call(entry.address, "GET", "/healthz") == 200

        pid = entry.process.pid
        run_crowd(entry.address, kind, count, pid, ordinary, OWN_MEMORY_MB)
        assert entry.process.poll() is None
