"""Nodes that cannot record jobs: cut off from the store, or about to exit.

The store may turn all nodes of one data centre away and serve the others.

Callers there reach only these nodes until the balancer takes them out. So a node stops
being ready with the first read that fails, and refuses at once what it cannot record.
"""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from geraniumshore_scheduler import PlatformUnavailableError
from geraniumshored.node.appender import AppendOutcome
from geraniumshored.node.job_requests import Caller, JobRequestHandler, Verdict
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.node import Node
from geraniumshored.node.ports import NewestPage, Page, Stream
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import STORE_AWAY_AFTER_S, Follower, JobsView
from geraniumshored.platform.job_api import JsonJobDecoder
from tests.common.schedule_parts import TIMES, configuration

BODY = json.dumps({"spec": "x", "phases": [{"count": 1, "cpu": 100}]}).encode()
CALLER = Caller("h", "/q/" + "a" * 16, "key", 3.0)


class CutStore:
    """An empty store that can turn this node away."""

    def __init__(self) -> None:
        self.reachable = True

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        page = self.read(stream, 0, 0, 0)
        return NewestPage(page.records, page.end)

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        if not self.reachable:
            raise PlatformUnavailableError("turned away")
        return Page((), 0)


class CountingAppender:
    """Counts appends, each of which succeeds."""

    def __init__(self) -> None:
        self.appends = 0
        self.deadline = 0.0

    def append(self, record, deadline) -> AppendOutcome:
        self.appends += 1
        self.deadline = deadline
        return AppendOutcome.DONE


def read_once(view: Follower | JobsView) -> None:
    """Read each stream of a view once."""
    followers = view._followers if isinstance(view, JobsView) else (view,)
    for follower in followers:
        follower.read_once()


class CutNode:
    """The views and the request handler of a node whose store can turn it away."""

    def __init__(self) -> None:
        self.now = 0.0
        self.store = CutStore()
        platform = SimpleNamespace(store=self.store)
        self.jobs = JobsView(platform, self.clock)  # type: ignore[arg-type]
        self.appender = CountingAppender()
        operators = SimpleNamespace(configuration=configuration())
        self.handler = JobRequestHandler(
            operators,  # type: ignore[arg-type]
            self.jobs,
            self.appender,  # type: ignore[arg-type]
            JsonJobDecoder(),
            NodeMetrics(),
            self.clock,
        )

    def clock(self) -> float:
        return self.now

    def read(self) -> None:
        read_once(self.jobs)


@pytest.fixture
def node():
    node = CutNode()
    node.read()
    return node


def test_a_node_is_not_ready_from_the_first_read_that_fails():
    store = CutStore()
    platform = SimpleNamespace(store=store, decode_minion=lambda _: None)
    settings = NodeSettings("n", "a", TIMES, 6.0, 3.0, 120.0, 1.0)
    node = Node(settings, platform, JsonJobDecoder())  # type: ignore[arg-type]
    views = (node._operators, node._minions, node._jobs)
    node._operators.configuration = configuration()

    def read() -> None:
        for view in views:
            read_once(view)

    read()
    assert node.ready()
    store.reachable = False
    read()
    assert not node.ready()
    store.reachable = True
    read()
    assert node.ready()


def test_a_job_is_refused_at_once_while_the_store_turns_the_node_away(node):
    node.store.reachable = False
    node.read()
    node.now = STORE_AWAY_AFTER_S
    answer = node.handler.submit(CALLER, BODY)
    assert answer.verdict is Verdict.NOT_RUN
    assert answer.retry_after_s
    # The refusal says that the job did not run, so nothing may have been appended.
    assert node.appender.appends == 0


def test_a_single_failed_read_refuses_nobody(node):
    node.store.reachable = False
    node.read()
    node.now = STORE_AWAY_AFTER_S / 2
    assert node.handler.submit(CALLER, BODY).verdict is Verdict.OK


def test_jobs_are_accepted_again_with_the_first_read_that_succeeds(node):
    node.store.reachable = False
    node.read()
    node.now = 5.0
    node.store.reachable = True
    node.read()
    assert node.handler.submit(CALLER, BODY).verdict is Verdict.OK


def test_a_leaving_node_answers_before_it_exits(node):
    node.handler.answer_by(1.0)
    assert node.handler.submit(CALLER, BODY).verdict is Verdict.OK
    assert node.appender.deadline < 1.0


def test_a_leaving_node_refuses_at_once_what_it_cannot_record_in_time(node):
    node.handler.answer_by(5.5)
    node.now = 5.4
    answer = node.handler.submit(CALLER, BODY)
    assert answer.verdict is Verdict.NOT_RUN
    assert node.appender.appends == 0
