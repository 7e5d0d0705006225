"""An invalid record, report or unexpected error must not stop a thread.

Only what it concerns is skipped or refused; everything else continues.
"""

from __future__ import annotations

import gc
import io
import logging
import sys
import threading
import time
import weakref
from types import SimpleNamespace
from unittest import mock

import pytest

from geraniumshore_scheduler import (
    CompletedRun,
    InvalidInputError,
    MinionListing,
    OwnerReplacedError,
    Placement,
    RegisteredJob,
    Step,
)
from geraniumshored.node.appender import Appender, AppendOutcome
from geraniumshored.node.logs import LogWriter
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.owner import MAX_CONSECUTIVE_FAULTS, Owner
from geraniumshored.node.ownership import Ownership
from geraniumshored.node.ports import (
    Appended,
    Membership,
    NewestPage,
    Page,
    Record,
    Stream,
)
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import JobsView, MinionsView, OperatorsView
from geraniumshored.platform.documents import decode_report
from tests.common.minions_list import MinionsList
from tests.common.schedule_parts import SMALL, TIMES, Fleet, job, listing

SETTINGS = NodeSettings("n", "a", TIMES, 6, 3, 120, 1.0)


def wait_until(condition, seconds: float = 3.0) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true"
        time.sleep(0.01)


class RecordsStore:
    """A store with some records whose first calls raise unexpected errors."""

    def __init__(self, keys: list[str], faults: int = 0) -> None:
        self.keys = keys
        self.faults = faults

    def _fail(self) -> None:
        if self.faults:
            self.faults -= 1
            raise KeyError("unexpected")

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        page = self.read(stream, 0, 0, 0)
        return NewestPage(page.records, page.end)

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
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


def test_records_after_one_whose_decoder_raises_are_folded():
    view = minions_view(RecordsStore(["0", "broken", "2"]))
    view._step()
    assert set(view.listing_by_id) == {"0", "2"}
    assert view.offset == 3


def test_a_follower_continues_after_an_unexpected_error():
    view = minions_view(RecordsStore(["0"], faults=2))
    view.follow()
    view.start()
    wait_until(lambda: view.listing_by_id)


def test_an_unexpected_error_while_appending_leaves_the_outcome_unknown():
    store = RecordsStore([], faults=1)
    appender = Appender(store, time.monotonic)  # type: ignore[arg-type]
    appender.start()
    deadline = time.monotonic() + 2.0
    outcomes = [appender.append(Record("j/1", b"x"), deadline) for _ in range(5)]
    assert outcomes == [AppendOutcome.UNKNOWN, *[AppendOutcome.DONE] * 4]


def test_a_node_joins_the_group_after_unexpected_errors():
    store = RecordsStore([], faults=2)
    jobs = SimpleNamespace(registry=SimpleNamespace(owner=None), age=lambda now: 0.0)
    ownership = Ownership(
        store,  # type: ignore[arg-type]
        "host/strong-1",
        jobs,  # type: ignore[arg-type]
        MinionsList(),  # type: ignore[arg-type]
        lambda epoch: pytest.fail("no owner expected"),
        lambda: True,
        time.monotonic,
    )
    ownership.start()
    wait_until(lambda: ownership._generation == 1)
    ownership._leaving.set()


@pytest.mark.parametrize("name", ["0.9.0", "7.0.0", "0.0.5", "0.-1.0"])
def test_a_takeover_ignores_a_run_of_a_task_that_its_job_lacks(name):
    fleet = Fleet()
    invalid = RegisteredJob(job("a" * 16, Step(1, SMALL, 500)), 0.0)
    invalid.progress.placed[name] = [Placement("i-0", 1, 4)]
    fleet.scheduler.add_job(invalid, fleet.now)
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    assert len(fleet.plan()) == 2


def test_a_takeover_skips_and_reports_a_job_with_invalid_progress():
    fleet = Fleet()
    invalid = RegisteredJob(job("a" * 16, Step(1, SMALL, 500)), 0.0)
    invalid.progress.placed["no task"] = [Placement("i-0", 1, 4)]
    fleet.scheduler.add_job(invalid, fleet.now)
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    assert [str(order.run.task)[:1] for order in fleet.plan()] == ["b"]
    (skipped,) = (
        d for d in fleet.scheduler.take_decisions() if d.event == "job set aside"
    )
    assert skipped.task == "a" * 16
    assert "ValueError" in str(skipped.details["cause"])


def test_a_job_whose_placement_raises_delays_no_other_job():
    fleet = Fleet()
    for letter in "abc":
        fleet.add(job(letter * 16, Step(1, SMALL, 500)))
    place_job = fleet.scheduler._place_job

    def fail_for_b(open_job, *args):
        if open_job.job.job_id.startswith("b"):
            raise RuntimeError("unexpected")
        place_job(open_job, *args)

    with mock.patch.object(fleet.scheduler, "_place_job", fail_for_b):
        assert len(fleet.plan()) == 2
        fleet.now += 1.0
        fleet.plan()
    events = [d.event for d in fleet.scheduler.take_decisions()]
    assert events.count("job set aside") == 1


@pytest.mark.parametrize("task", ["x", "0.9.0", "0.0.7", "9.0.0", "0.0.x"])
def test_the_completion_of_an_unknown_task_is_acknowledged(task):
    fleet = Fleet(1)
    fleet.add(job("a" * 16, Step(1, SMALL, 500)))
    fleet.plan()
    running = fleet.running("i-0")
    unknown_completion = CompletedRun(1, f"{'a' * 16}.{task}", 77, "done", "")
    fleet.report("i-0", running, (unknown_completion,))
    fleet.plan()
    fleet.plan()
    assert fleet.poll("i-0").acked_upto == 1


@pytest.mark.parametrize(
    "rows", ['[["t", 1e999, "", 1]]', '[["t"]]', '[["t", null, "", 1]]', "[[]]"]
)
def test_a_report_with_invalid_rows_is_refused_as_a_whole(rows):
    body = f'{{"born": 1, "clock_ms": 5, "running": {rows}, "ended": []}}'
    with pytest.raises(InvalidInputError):
        decode_report(body.encode())


def test_lines_for_a_closed_standard_output_are_counted_as_dropped():
    closed = io.StringIO()
    closed.close()
    with mock.patch.object(sys, "stdout", closed):
        writer = LogWriter("n")
        line = logging.LogRecord("n", logging.ERROR, "", 0, "fault", None, None)
        for count in range(1, 4):
            writer.emit(line)
            wait_until(lambda count=count: writer.dropped == count)
    assert writer.errors == 3


def make_owner() -> Owner:
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
        mock.patch("geraniumshored.node.owner.DECISION_INTERVAL_S", 0.001),
        mock.patch.object(owner, "_take_over", lambda: True),
        mock.patch("geraniumshored.node.owner.MachineController"),
    ):
        thread = threading.Thread(target=owner._run, daemon=True)
        thread.start()
        wait_until(lambda: owner._decide.called)  # type: ignore[attr-defined]
        return thread


def test_an_owner_continues_after_a_failed_decision_round():
    owner = make_owner()
    owner._decide = mock.Mock(side_effect=[KeyError("once"), *[None] * 10_000])  # type: ignore[method-assign]
    thread = serve(owner)
    wait_until(lambda: owner._decide.call_count >= 3)
    assert not owner.stopped
    owner.stop("end of the test")
    thread.join(2.0)


def test_an_owner_whose_decision_rounds_all_fail_gives_up_ownership():
    owner = make_owner()
    owner._decide = mock.Mock(side_effect=KeyError("always"))  # type: ignore[method-assign]
    serve(owner).join(10.0)
    assert owner.stopped
    assert owner._decide.call_count == MAX_CONSECUTIVE_FAULTS


def test_an_owner_that_was_replaced_stops_at_once():
    owner = make_owner()
    owner._decide = mock.Mock(side_effect=OwnerReplacedError("newer"))  # type: ignore[method-assign]
    serve(owner).join(2.0)
    assert owner.stopped
    assert owner._decide.call_count == 1


def test_an_owner_that_is_replaced_during_its_takeover_leaves_the_views_alone():
    """Its node read the list of minions ten times a second until its next takeover."""
    owner = make_owner()
    operators, minions, jobs = owner._operators, owner._minions, owner._jobs
    ends = Appended(0, 0)

    def end_while_reading() -> bool:
        owner.stop("another owner")
        return False

    with (
        mock.patch.object(owner._platform.store, "append", lambda *_: ends),
        mock.patch.object(operators, "read_to_end", end_while_reading),
    ):
        owner._run()
    assert owner.stopped
    assert jobs.on_job is None
    assert jobs.on_progress_read is None
    assert minions.on_change is None
    assert not operators.owned


def test_an_ended_epoch_is_not_kept_in_memory():
    """Its schedule is as large as that of the present owner."""
    owner = make_owner()
    operators, views_of_owner = owner._operators, (owner._minions, owner._jobs)
    metrics = owner._metrics
    ends = Appended(0, 0)
    with mock.patch.object(owner._platform.store, "append", lambda *_: ends):
        owner._take_over()
    assert not owner.stopped
    owner.stop("end of the test")
    ended = weakref.ref(owner)
    del owner
    gc.collect()
    assert ended() is None
    assert operators
    assert views_of_owner
    assert metrics


def test_an_owner_that_ends_late_does_not_disconnect_its_successor():
    """A node whose process was suspended may own the schedule in a later epoch."""
    former = make_owner()
    successor = Owner(
        SETTINGS,
        former._platform,
        (former._operators, former._minions, former._jobs),
        "h/strong-1",
        6,
        NodeMetrics(),
        time.monotonic,
    )
    ends = Appended(0, 0)
    with mock.patch.object(former._platform.store, "append", lambda *_: ends):
        former._take_over()
        successor._take_over()
    former.stop("another owner")
    assert successor._jobs.on_job is not None
    assert successor._jobs.on_progress_read is not None
    assert successor._minions.on_change is not None
    successor.stop("end of the test")
