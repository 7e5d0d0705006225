"""One odd record, message or error: what it concerns is set aside, all else goes on."""

from __future__ import annotations

import io
import logging
import sys
import threading
import time
from types import SimpleNamespace
from unittest import mock

import pytest

from geraniumshore_scheduler import (
    BookedJob,
    EndedRun,
    InvalidInputError,
    MinionListing,
    OwnerReplacedError,
    Placed,
    Step,
)
from geraniumshored.node.appender import Appender, AppendOutcome
from geraniumshored.node.logs import LogWriter
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.owner import MOST_FAULTS, Owner
from geraniumshored.node.ownership import Ownership
from geraniumshored.node.ports import Appended, Membership, Page, Record, Stream
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import JobsView, MinionsView, OperatorsView
from geraniumshored.platform.documents import decode_report
from tests.common.schedule_parts import SMALL, TIMES, Fleet, job, listing

SETTINGS = NodeSettings("n", "a", TIMES, 6, 3, 120, 1.0)


def wait_until(condition, seconds: float = 3.0) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "nothing came"
        time.sleep(0.01)


class RecordsStore:
    """A store with some records, whose first calls fail in ways that no one foresaw."""

    def __init__(self, keys: list[str], faults: int = 0) -> None:
        self.keys = keys
        self.faults = faults

    def _fail(self) -> None:
        if self.faults:
            self.faults -= 1
            raise KeyError("unforeseen")

    def newest(self, stream: Stream) -> Page:
        return self.read(stream, 0, 0)

    def read(self, stream: Stream, offset: int, wait_ms: int) -> Page:
        self._fail()
        records = [Record(key, b"x", n) for n, key in enumerate(self.keys)][offset:]
        if not records:
            time.sleep(0.01)
        return Page(tuple(records), len(self.keys))

    def append(self, stream, records, writer=None) -> Appended:
        self._fail()
        return Appended(0, 1)

    def join(self, member: str, generation: int) -> Membership:
        self._fail()
        return Membership(1, 3)

    def members(self) -> frozenset[str]:
        return frozenset({"other/strong-1"})


def decode(record: Record) -> MinionListing:
    if record.key == "broken":
        raise ZeroDivisionError("in a decoder")
    return listing(int(record.key))


def minions_view(store: RecordsStore) -> MinionsView:
    platform = SimpleNamespace(store=store, decode_minion=decode)
    return MinionsView(platform, time.monotonic)  # type: ignore[arg-type]


def test_a_record_that_breaks_its_decoder_hides_no_other():
    view = minions_view(RecordsStore(["0", "broken", "2"]))
    view._step()
    assert set(view.listing_by_id) == {"0", "2"}
    assert view.offset == 3


def test_a_node_goes_on_following_after_an_unforeseen_error():
    view = minions_view(RecordsStore(["0"], faults=2))
    view.start()
    wait_until(lambda: view.listing_by_id)


def test_an_unforeseen_error_while_appending_leaves_the_outcome_unknown():
    store = RecordsStore([], faults=1)
    appender = Appender(store, time.monotonic)  # type: ignore[arg-type]
    appender.start()
    deadline = time.monotonic() + 2.0
    outcomes = [appender.append(Record("j/1", b"x"), deadline) for _ in range(5)]
    assert outcomes == [AppendOutcome.UNKNOWN, *[AppendOutcome.DONE] * 4]


def test_a_node_stays_in_the_group_after_an_unforeseen_error():
    store = RecordsStore([], faults=2)
    jobs = SimpleNamespace(book=SimpleNamespace(owner=None), age=lambda now: 0.0)
    ownership = Ownership(
        store,  # type: ignore[arg-type]
        "host/strong-1",
        jobs,  # type: ignore[arg-type]
        lambda epoch: pytest.fail("nobody is to own"),
        lambda: True,
        time.monotonic,
    )
    ownership.start()
    wait_until(lambda: ownership._generation == 1)
    ownership._leaving.set()


@pytest.mark.parametrize("name", ["0.9.0", "7.0.0", "0.0.5", "0.-1.0"])
def test_a_run_of_a_task_that_its_job_does_not_have_fails_no_takeover(name):
    fleet = Fleet()
    odd = BookedJob(job("a" * 16, Step(1, SMALL, 500)), 0.0)
    odd.progress.placed[name] = [Placed("i-0", 1, 4)]
    fleet.scheduler.add_job(odd, fleet.now)
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    assert len(fleet.plan()) == 2


def test_a_job_that_cannot_be_taken_on_is_named_and_fails_no_takeover():
    fleet = Fleet()
    odd = BookedJob(job("a" * 16, Step(1, SMALL, 500)), 0.0)
    odd.progress.placed["no task"] = [Placed("i-0", 1, 4)]
    fleet.scheduler.add_job(odd, fleet.now)
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    assert [str(order.run.task)[:1] for order in fleet.plan()] == ["b"]
    (aside,) = (
        d for d in fleet.scheduler.take_decisions() if d.event == "job set aside"
    )
    assert aside.task == "a" * 16
    assert "ValueError" in str(aside.details["cause"])


def test_a_job_on_which_placing_fails_holds_up_no_other():
    fleet = Fleet()
    for letter in "abc":
        fleet.add(job(letter * 16, Step(1, SMALL, 500)))
    place_job = fleet.scheduler._place_job

    def fail_for_b(open_job, *args):
        if open_job.job.job_id.startswith("b"):
            raise RuntimeError("unforeseen")
        place_job(open_job, *args)

    with mock.patch.object(fleet.scheduler, "_place_job", fail_for_b):
        assert len(fleet.plan()) == 2
        fleet.now += 1.0
        fleet.plan()
    events = [d.event for d in fleet.scheduler.take_decisions()]
    assert events.count("job set aside") == 1


@pytest.mark.parametrize("task", ["x", "0.9.0", "0.0.7", "9.0.0", "0.0.x"])
def test_an_end_of_no_task_of_ours_is_acknowledged_like_any_other(task):
    fleet = Fleet(1)
    fleet.add(job("a" * 16, Step(1, SMALL, 500)))
    fleet.plan()
    running = fleet.running("i-0")
    odd = EndedRun(1, f"{'a' * 16}.{task}", 77, "done", "")
    fleet.report("i-0", running, (odd,))
    fleet.plan()
    fleet.plan()
    assert fleet.ask("i-0").acked_upto == 1


@pytest.mark.parametrize(
    "rows", ['[["t", 1e999, "", 1]]', '[["t"]]', '[["t", null, "", 1]]', "[[]]"]
)
def test_a_report_with_odd_rows_is_refused_as_a_whole(rows):
    body = f'{{"born": 1, "clock_ms": 5, "running": {rows}, "ended": []}}'
    with pytest.raises(InvalidInputError):
        decode_report(body.encode())


def test_a_log_that_nobody_reads_any_more_stops_nothing():
    closed = io.StringIO()
    closed.close()
    with mock.patch.object(sys, "stdout", closed):
        writer = LogWriter("n")
        line = logging.LogRecord("n", logging.ERROR, "", 0, "fault", None, None)
        for count in range(1, 4):
            writer.emit(line)
            wait_until(lambda count=count: writer.dropped == count)
    assert writer.errors == 3


def owner_in_charge() -> Owner:
    store = RecordsStore([])
    platform = SimpleNamespace(store=store)
    views = (
        OperatorsView(platform, time.monotonic),  # type: ignore[arg-type]
        MinionsView(platform, time.monotonic),  # type: ignore[arg-type]
        JobsView(platform, time.monotonic),  # type: ignore[arg-type]
    )
    metrics = NodeMetrics()
    return Owner(SETTINGS, platform, views, "h/strong-1", 5, metrics, time.monotonic)  # type: ignore[arg-type]


def serve(owner: Owner) -> threading.Thread:
    with (
        mock.patch("geraniumshored.node.owner.TICK_S", 0.001),
        mock.patch.object(owner, "_take_over", lambda: True),
        mock.patch("geraniumshored.node.owner.Machinist"),
    ):
        thread = threading.Thread(target=owner._run, daemon=True)
        thread.start()
        wait_until(lambda: owner._decide.called)  # type: ignore[attr-defined]
        return thread


def test_an_owner_goes_on_after_a_decision_that_failed():
    owner = owner_in_charge()
    owner._decide = mock.Mock(side_effect=[KeyError("once"), *[None] * 10_000])  # type: ignore[method-assign]
    thread = serve(owner)
    wait_until(lambda: owner._decide.call_count >= 3)
    assert not owner.stopped
    owner.stop("end of the test")
    thread.join(2.0)


def test_an_owner_whose_decisions_all_fail_lets_another_process_try():
    owner = owner_in_charge()
    owner._decide = mock.Mock(side_effect=KeyError("always"))  # type: ignore[method-assign]
    serve(owner).join(10.0)
    assert owner.stopped
    assert owner._decide.call_count == MOST_FAULTS


def test_an_owner_that_was_replaced_stops_at_once():
    owner = owner_in_charge()
    owner._decide = mock.Mock(side_effect=OwnerReplacedError("newer"))  # type: ignore[method-assign]
    serve(owner).join(2.0)
    assert owner.stopped
    assert owner._decide.call_count == 1
