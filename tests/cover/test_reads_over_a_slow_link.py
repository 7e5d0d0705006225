"""A node with a slow link to the store has missed large records.

Its configuration stayed an old one: it asked for all it had missed in one read, which
timed out each time (issue 46, the day configurations-keys-and-new-nodes).
"""

from contextlib import closing
from types import SimpleNamespace

import pytest

from geraniumshore_scheduler import MaintenanceWave, UnknownOutcomeError
from geraniumshore_standins.internal.fleet import free_port
from geraniumshore_standins.internal.users_platform import PlatformSimulator
from geraniumshored.node.page_size import MAX_PAGE_KB, MIN_PAGE_KB, PageSize
from geraniumshored.node.ports import NewestPage, Page, Record, Stream
from geraniumshored.node.views import OperatorsView
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.store import LogStore

RECORDS = 12
RECORD_KB = 100
LINK_KB_PER_S = 250.0
TIMEOUT_S = 2.0


class SlowLink:
    """A store behind a link; an answer that takes too long does not arrive."""

    def __init__(self, rate_kb_per_s: float) -> None:
        self.rate_kb_per_s = rate_kb_per_s
        self.now = 0.0
        self.reads = 0
        self.timed_out = 0
        self.records = tuple(
            Record(f"wave/{number}", b"x", number) for number in range(RECORDS)
        )

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        return NewestPage((), 0)

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        self.reads += 1
        count = max(1, max_kb // RECORD_KB)
        page = self.records[offset : offset + count]
        took_s = len(page) * RECORD_KB / self.rate_kb_per_s
        self.now += min(took_s, TIMEOUT_S)
        if took_s > TIMEOUT_S:
            self.timed_out += 1
            raise UnknownOutcomeError("timed out")
        return Page(page, len(self.records))


def follow(link: SlowLink) -> OperatorsView:
    """Return a view that has read everything, up to the records that it missed."""

    def decode(record: Record) -> MaintenanceWave:
        return MaintenanceWave(record.offset, ("m-0",), 24, 1)

    platform = SimpleNamespace(store=link, decode_operator_record=decode)
    view = OperatorsView(platform, lambda: link.now)  # type: ignore[arg-type]
    assert view.read_once()
    return view


@pytest.mark.parametrize("rate_kb_per_s", [LINK_KB_PER_S, LINK_KB_PER_S / 4])
def test_a_node_catches_up_over_a_slow_link(rate_kb_per_s):
    link = SlowLink(rate_kb_per_s)
    view = follow(link)
    for _ in range(20):
        view.read_once()
    assert set(view.wave_by_number) == set(range(RECORDS))
    # No more than it takes to find the size, not one for each page.
    assert link.timed_out <= 4


def test_a_node_catches_up_over_a_slow_link_when_asked_to_read_to_the_end():
    link = SlowLink(LINK_KB_PER_S)
    view = follow(link)
    while not view.read_to_end():
        assert link.timed_out <= 4
    assert set(view.wave_by_number) == set(range(RECORDS))


def test_a_quick_link_needs_one_read():
    link = SlowLink(100 * LINK_KB_PER_S)
    link.records = link.records[: MAX_PAGE_KB // RECORD_KB]
    view = follow(link)
    view.read_once()
    assert view.connected
    assert link.reads == 1
    assert len(view.wave_by_number) == len(link.records)


def test_the_size_grows_again_after_an_outage():
    size = PageSize()
    for _ in range(20):
        size.on_unanswered()
    assert size.kb == MIN_PAGE_KB
    size.on_full_page(1.0)
    assert size.kb == MIN_PAGE_KB
    for _ in range(20):
        size.on_full_page(0.01)
    assert size.kb == MAX_PAGE_KB


def test_a_read_names_its_size():
    with closing(PlatformSimulator(free_port)) as simulator:
        for number in range(4):
            simulator.log.put("keyed.op", f"wave/{number}", bytes(40 * 1024))
        store = LogStore(HttpClient(), f"127.0.0.1:{simulator.store_port}", 1000)
        counts = [
            len(store.read(Stream.OPERATORS, 0, 0, kb).records) for kb in (1, 100, 1024)
        ]
        assert counts == [1, 2, 4]
