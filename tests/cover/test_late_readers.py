"""The possible announcement times of a wave, for a node that reads it late.

A node that lost the store, or has just started, cannot know when a wave was announced.
It must keep the earliest and the latest possible time.
"""

from __future__ import annotations

from contextlib import suppress
from types import SimpleNamespace

from geraniumshore_scheduler import MaintenanceWave, PlatformUnavailableError
from geraniumshored.node.ports import NewestPage, Page, Record, Stream
from geraniumshored.node.views import OperatorsView

WAVE = MaintenanceWave(7, ("m-0",), 24, 1)


class FakeStore:
    """A store that can be made unreachable."""

    def __init__(self) -> None:
        self.reachable = True
        self.records: list[Record] = []

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        page = self.read(stream, 0, 0, 0)
        return NewestPage(page.records, page.end)

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        if not self.reachable:
            raise PlatformUnavailableError("cut off")
        return Page(tuple(self.records[offset:]), len(self.records))


def follow():
    """Return a view, its store and the clock."""
    store, clock = FakeStore(), SimpleNamespace(now=0.0)
    platform = SimpleNamespace(store=store, decode_operator_record=lambda _: WAVE)
    view = OperatorsView(platform, lambda: clock.now)  # type: ignore[arg-type]
    return view, store, clock


def read(view: OperatorsView) -> None:
    with suppress(PlatformUnavailableError):
        view._step()


def test_the_earliest_time_of_a_wave_is_the_last_complete_read():
    view, store, clock = follow()
    clock.now = 2.5
    read(view)
    store.reachable = False
    clock.now = 3.6
    store.records.append(Record("wave/7", b"wave"))
    read(view)
    store.reachable = True
    clock.now = 11.5
    read(view)
    announced = view.wave_by_number[7]
    assert (announced.earliest, announced.latest) == (2.5, 11.5)


def test_the_earliest_time_of_a_wave_is_unknown_after_a_start():
    view, store, clock = follow()
    store.records.append(Record("wave/7", b"wave"))
    clock.now = 11.5
    read(view)
    announced = view.wave_by_number[7]
    assert (announced.earliest, announced.latest) == (float("-inf"), 11.5)
