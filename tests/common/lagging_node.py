"""A node that answers callers from a view that may lag behind the store's log."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

from geraniumshore_scheduler import (
    PlatformUnavailableError,
    RecordKind,
    Step,
    encode_job,
    job_key,
)
from geraniumshored.node.appender import AppendOutcome
from geraniumshored.node.job_requests import Caller, JobRequestHandler
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import NewestPage, Page, Record, Stream
from geraniumshored.node.views import JobsView
from geraniumshored.platform.job_api import JsonJobDecoder
from tests.common.schedule_parts import SMALL, configuration, job

JOB = "a" * 16
PAGE = 3


def caller(key: str | None = "key") -> Caller:
    return Caller("h", f"/q/{JOB}", key, 3.0)


class LogStore:
    """The stream of accepted jobs, read a few records at a time."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.reachable = True

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        return NewestPage((), 0)

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        if not self.reachable:
            raise PlatformUnavailableError("turned away")
        if stream is not Stream.ACCEPTED:
            return Page((), 0)
        page = tuple(self.records[offset : offset + PAGE])
        return Page(page, len(self.records))

    def append(self, record: Record) -> None:
        self.records.append(replace(record, offset=len(self.records)))


class LaggingNode:
    """A node that read the log before the latest jobs were accepted.

    Without ``has_read_log`` the node has just started and has not read it at all.
    """

    def __init__(self, open_to_all: bool = False, has_read_log: bool = True) -> None:
        self.now = 0.0
        self.store = LogStore()
        self.jobs = JobsView(
            SimpleNamespace(store=self.store),  # type: ignore[arg-type]
            lambda: self.now,
        )
        config = configuration()
        (queue,) = config.queues
        queues = (replace(queue, open_to_all=open_to_all),)
        operators = SimpleNamespace(
            configuration=replace(config, queues=queues, queue_by_name={})
        )
        appender = SimpleNamespace(append=self.append)
        self.handler = JobRequestHandler(
            operators,  # type: ignore[arg-type]
            self.jobs,
            appender,  # type: ignore[arg-type]
            JsonJobDecoder(),
            NodeMetrics(),
            lambda: self.now,
        )
        if has_read_log:
            self.read()

    def append(self, record: Record, deadline: float) -> AppendOutcome:
        self.store.append(record)
        return AppendOutcome.DONE

    def read(self) -> None:
        for follower in self.jobs._followers:
            follower.read_once()

    def accept_elsewhere(self, job_id: str = JOB, team: str | None = "team") -> None:
        accepted = replace(job(job_id, Step(1, SMALL, 500)), team=team)
        key = job_key(RecordKind.ACCEPTED, job_id)
        self.store.append(Record(key, encode_job(accepted)))
