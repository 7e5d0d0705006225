"""Nodes that start with a large backlog behind a slow link.

After a power loss most nodes never read the store: a page of the newest records took
longer than the time limit of a call, and each attempt began with the first page.
"""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from types import SimpleNamespace

import pytest

from geraniumshore_scheduler import (
    Configuration,
    JobRegistry,
    RecordsTrimmedError,
    UnknownOutcomeError,
)
from geraniumshore_standins.internal.experiments.slow_start import measure_start
from geraniumshore_standins.internal.fleet import free_port
from geraniumshore_standins.internal.proxy import FaultProxy, HopFaults
from geraniumshore_standins.internal.users_platform import PlatformSimulator
from geraniumshored.node.catch_up import LOG_READ_INTERVAL_S, ReadProgress
from geraniumshored.node.job_requests import Verdict
from geraniumshored.node.members import member_name
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.owner import Owner
from geraniumshored.node.page_turns import PageTurns
from geraniumshored.node.ports import Appended, NewestPage, Page, Record, Stream
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import Follower, JobsView, OperatorsView
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.store import LogStore
from tests.common.lagging_node import LaggingNode, caller
from tests.common.operators import no_requests
from tests.common.schedule_parts import TIMES

# A page of 500 such records takes 2.5 s over this link, more than the 2 s after which
# a call without an answer fails.
RECORD_BYTES = 1500
LINK_KB_PER_S = 400.0
RECORDS = 600
CATCH_UP_S = 20.0


class Collector(Follower):
    """Collects the newest value of each key, and publishes them after each read."""

    def __init__(self, store: object, now=time.monotonic) -> None:
        platform = SimpleNamespace(store=store)
        super().__init__(platform, Stream.ACCEPTED, now)  # type: ignore[arg-type]
        self.value_by_key: dict[str, bytes] = {}
        self.published: dict[str, bytes] | None = None

    def _wait_ms(self) -> int:
        return 0

    def _reset(self) -> None:
        self.value_by_key = {}

    def _apply(self, record: Record) -> None:
        self.value_by_key[record.key] = record.value
        if not record.value:
            del self.value_by_key[record.key]

    def _on_folded(self) -> None:
        self.published = dict(self.value_by_key)


@contextmanager
def slow_link(simulator: PlatformSimulator) -> Iterator[tuple[FaultProxy, int]]:
    """Yield a proxy, and the port of its limited hop to the simulator's store."""
    proxy, port = FaultProxy(), free_port()
    proxy.open_hop(port, f"127.0.0.1:{simulator.store_port}")
    proxy.set_faults(port, HopFaults(kb_per_s=LINK_KB_PER_S))
    yield proxy, port


def test_a_starting_node_reads_a_backlog_that_takes_longer_than_a_time_out():
    with (
        closing(PlatformSimulator(free_port)) as simulator,
        slow_link(simulator) as (_, port),
    ):
        for number in range(RECORDS):
            simulator.log.put("keyed.jobs", f"j/{number:04}", bytes(RECORD_BYTES))
        follower = Collector(LogStore(HttpClient(), f"127.0.0.1:{port}", 1000))
        end = time.monotonic() + CATCH_UP_S
        while follower.published is None and time.monotonic() < end:
            follower.read_once()
        assert len(follower.published or ()) == RECORDS


def test_a_started_process_serves_after_a_backlog_over_a_slow_link():
    """The process never served, as its first page took longer than a time-out."""
    times = measure_start(RECORDS, LINK_KB_PER_S, CATCH_UP_S)
    assert times.served_s is not None
    assert times.caught_up_s is not None


class PagedStore:
    """A log that is read two keys at a time, and loses records after ``keeps_s``."""

    def __init__(self, page_s: float = 0.0, keeps_s: float = float("inf")) -> None:
        self.now = 0.0
        self.page_s = page_s
        self.keeps_s = keeps_s
        self.log: list[tuple[float, Record]] = []
        self.first = 0
        self.failures = 0
        self.asked_after: list[str | None] = []

    def put(self, key: str, value: bytes = b"x") -> None:
        self.log.append((self.now, Record(key, value, len(self.log))))

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        self.asked_after.append(after)
        if self.failures:
            self.failures -= 1
            raise UnknownOutcomeError("the link was lost")
        record_by_key = {record.key: record for _, record in self.log}
        keys = sorted(k for k, r in record_by_key.items() if r.value)
        keys = [key for key in keys if after is None or key > after]
        page = NewestPage(
            tuple(record_by_key[key] for key in keys[:2]),
            len(self.log),
            keys[1] if len(keys) > 2 else None,
        )
        self.now += self.page_s
        return page

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        lost = sum(at < self.now - self.keeps_s for at, _ in self.log)
        self.first = max(self.first, lost)
        if offset < self.first:
            raise RecordsTrimmedError(self.first)
        records = tuple(record for _, record in self.log[offset:])
        return Page(records, len(self.log))


def paged(keys: int = 6, **settings: float) -> tuple[PagedStore, Collector]:
    store = PagedStore(**settings)
    for number in range(keys):
        store.put(f"k{number}")
    return store, Collector(store, lambda: store.now)


def test_reading_resumes_after_the_last_key_when_the_link_was_lost():
    store, follower = paged()
    assert follower.read_once()
    store.failures = 2
    assert [follower.read_once() for _ in range(4)] == [False, False, True, True]
    assert store.asked_after == [None, "k1", "k1", "k1", "k3"]
    assert len(follower.published or ()) == 6


def test_nothing_is_published_before_the_last_page():
    _, follower = paged()
    for _ in range(2):
        assert follower.read_once()
        assert follower.published is None
        assert not follower.has_read_log
    follower.read_once()
    assert follower.published is not None
    assert follower.has_read_log


def test_a_record_deleted_between_pages_is_gone_and_one_changed_is_new():
    store, follower = paged()
    follower.read_once()
    store.put("k0", b"")
    store.put("k1", b"new")
    for _ in range(3):
        follower.read_once()
    assert follower.published is not None
    assert "k0" not in follower.published
    assert follower.published["k1"] == b"new"


def test_a_log_trimmed_before_the_first_end_is_read_from_the_beginning_at_once():
    store, follower = paged()
    follower.read_once()
    store.put("k0", b"")
    # The log no longer has the deletion.
    store.first = len(store.log)
    for _ in range(6):
        assert follower.read_once()
    assert store.asked_after == [None, "k1", "k3", None, "k2", "k4"]
    assert "k0" not in (follower.published or {"k0"})


def test_a_backlog_that_takes_longer_than_the_log_is_kept_is_read_to_the_end():
    """Reading would begin again each time if the log were read after the last page.

    Load: 21 pages of 2 s each, a record written before each, a log kept for 20 s.
    """
    store, follower = paged(40, page_s=LOG_READ_INTERVAL_S / 2, keeps_s=20.0)
    for number in range(60):
        store.put("changing", b"%d" % number)
        follower.read_once()
        if follower.has_read_log:
            break
    assert store.asked_after.count(None) == 1
    assert len(follower.published or ()) == 41


def test_operators_records_take_effect_with_the_last_page():
    """An owner that acts on half of the operators' records would break the others."""
    store, configuration = PagedStore(), Configuration(1, (), {}, {}, 0)
    for number in range(4):
        store.put(f"k{number}")
    platform = SimpleNamespace(
        store=store, decode_operator_record=lambda _: configuration
    )
    view = OperatorsView(platform, lambda: 0.0)  # type: ignore[arg-type]
    view.read_once()
    assert view.configuration is None
    view.read_once()
    assert view.configuration is configuration


def test_a_node_that_has_not_read_the_log_refuses_and_knows_no_unknown_job():
    node = LaggingNode(open_to_all=True, has_read_log=False)
    node.accept_elsewhere()
    answers = (
        node.handler.submit(caller(), b"{}"),
        node.handler.show(caller()),
        node.handler.cancel(caller()),
    )
    assert {answer.verdict for answer in answers} == {Verdict.NOT_RUN}
    assert all(answer.retry_after_s for answer in answers)
    # Nothing was appended for them.
    assert len(node.store.records) == 1


def test_reads_that_bring_records_slowly_do_not_count_as_stalled():
    """A takeover failed 5 s after its start, however much it had read by then."""
    progress = ReadProgress()
    # A follower at the end of the log reads nothing until the takeover begins.
    progress.on_read(-1.0, 0.0, brought=False)
    for began in (0.0, 10.0, 20.0):
        assert progress.stalled_s(since=0.0) == 0.0
        progress.on_read(began, began + 10.0, brought=True)
    for began in (30.0, 32.0, 34.0):
        progress.on_read(began, began + 2.0, brought=False)
    assert progress.stalled_s(since=0.0) == 6.0
    assert progress.stalled_s(since=35.0) == 1.0


@pytest.mark.parametrize(("stalled_s", "taken"), [(0.0, True), (6.0, False)])
def test_a_takeover_lasts_while_reads_bring_records_and_ends_without(stalled_s, taken):
    """It failed after 5 s, though reading its log over a slow link takes longer."""
    clock = SimpleNamespace(now=0.0)

    class SlowLog(SimpleNamespace):
        @property
        def progress_offset(self) -> int:
            clock.now += 10.0
            return int(clock.now) // 10

    jobs = SlowLog(
        lock=threading.RLock(),
        registry=JobRegistry(),
        progress_stalled_s=lambda since: stalled_s,
    )
    store = SimpleNamespace(append=lambda *_: Appended(2, 3))
    minions = SimpleNamespace(listing_by_id={}, on_change=None)
    owner = Owner(
        NodeSettings("n", "a", TIMES, 6, 3, 120, 1.0),
        SimpleNamespace(store=store),  # type: ignore[arg-type]
        (no_requests(), minions, jobs),  # type: ignore[arg-type]
        member_name("n", "1", 1.0),
        128,
        NodeMetrics(),
        lambda: clock.now,
    )
    assert owner._take_over() is taken
    assert owner.stopped is not taken


def test_a_read_that_left_records_neither_confirms_nor_ends_an_ownership():
    """A takeover ended when its reads showed the former owner, before its own record.

    A page that is not the last one may also lack a newer owner's record.
    """
    store, confirmed_at = PagedStore(), list[float]()
    first_record = store.read

    def read_one(stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        page = first_record(stream, offset, wait_ms, max_kb)
        return Page(page.records[:1], page.end)

    store.read = read_one  # type: ignore[method-assign]
    jobs = JobsView(SimpleNamespace(store=store), lambda: store.now)  # type: ignore[arg-type]
    progress = jobs._followers[1]
    progress.read_once()
    for number in range(3):
        store.put(f"k{number}")
    jobs.on_progress_read = confirmed_at.append
    for second in (1.0, 2.0, 3.0):
        store.now = second
        progress.read_once()
    assert confirmed_at == [3.0]


def test_large_pages_pass_one_at_a_time_and_operators_pages_at_once():
    turns, order = PageTurns(), list[Stream]()

    def read(stream: Stream) -> None:
        with turns.turn(stream):
            order.append(stream)

    threads = [
        threading.Thread(target=read, args=[stream])
        for stream in (Stream.PROGRESS, Stream.ACCEPTED)
    ]
    with turns.turn(Stream.MINIONS):
        for thread in threads:
            thread.start()
            time.sleep(0.05)
        read(Stream.OPERATORS)
        assert order == [Stream.OPERATORS]
    for thread in threads:
        thread.join()
    assert order == [Stream.OPERATORS, Stream.ACCEPTED, Stream.PROGRESS]


@contextmanager
def peer(pause_s: float, pieces: int) -> Iterator[str]:
    """Yield the address of a server that answers a byte at a time, then stays open."""
    done = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve() -> None:
            connection, _ = server.accept()
            with connection, suppress(OSError):
                connection.recv(4096)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
                for _ in range(pieces):
                    time.sleep(pause_s)
                    connection.sendall(b"x")
                done.wait(5.0)

        thread = threading.Thread(target=serve)
        thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        done.set()
        thread.join()


def test_an_answer_that_keeps_coming_may_take_longer_than_the_idle_time():
    with peer(pause_s=0.1, pieces=10) as address:
        reply = HttpClient().request(address, "GET", "/", 30.0, idle_timeout=0.8)
    assert reply.body == b"x" * 10


@pytest.mark.parametrize(
    ("pause_s", "pieces", "timeout", "idle_timeout"),
    [(0.0, 5, 60.0, 0.3), (0.1, 10, 0.4, 0.3)],
    ids=["no more bytes", "a few bytes at a time"],
)
def test_a_call_ends_without_a_byte_or_at_its_upper_bound(
    pause_s, pieces, timeout, idle_timeout
):
    with (
        peer(pause_s, pieces) as address,
        pytest.raises(UnknownOutcomeError, match="timed out"),
    ):
        HttpClient().request(address, "GET", "/", timeout, idle_timeout=idle_timeout)
