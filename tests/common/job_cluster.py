"""A cluster of members with an in-memory log and task board, stepped by the test."""

from __future__ import annotations

import base64
import hashlib
import json
from dataclasses import replace

from geraniumshore import (
    Evict,
    Host,
    Items,
    Job,
    JobsCancelled,
    JobsEnded,
    JobSettled,
    JobsStarted,
    JobSubmitted,
    Member,
    Minion,
    Pool,
    Queue,
    Record,
    ReleaseNote,
    Service,
    Sizes,
    TaskCalls,
    TaskReports,
    Team,
)
from geraniumshore_standins.internal.platform_tasks import TaskBoard, TaskHost
from tests.common.cluster import Cluster
from tests.common.notes import key_of

LEASE_MS = 20_000


def job_note(
    limits: dict[str, int],
    hosts: int = 3,
    memory_mb: int = 8_000,
    processors: float = 8.0,
) -> ReleaseNote:
    """Return a note with one pool, teams, and idempotent and other job queues."""
    return ReleaseNote(
        base=0,
        added=Items(
            pools={"roasting": Pool()},
            services={"sorting": Service()},
            minions={"m0": Minion("sorting", "127.0.0.1:1", slots=4)},
            hosts={
                f"h{n}": Host("roasting", "dc1", f"r{n}", processors, memory_mb)
                for n in range(hosts)
            },
            teams={name: Team(1.0, limit) for name, limit in limits.items()},
            keys={f"{name}-1": key_of(name) for name in limits},
            queues={
                "reports": Queue(pool="roasting", kind="job", idempotent=True),
                "batches": Queue(pool="roasting", kind="job"),
                "urgent": Queue(pool="roasting", kind="job", urgent=True),
                "count": Queue(service="sorting", run_limit_ms=2_000),
            },
        ),
    )


def submitted(
    record_id: str, job: str, team: str, queue: str, sizes: Sizes, **behaviour: object
) -> JobSubmitted:
    body = json.dumps(behaviour).encode()
    return JobSubmitted(
        id=record_id,
        job=job,
        queue=queue,
        team=team,
        key_id=f"{team}-1",
        sizes=sizes,
        body=base64.b64encode(body).decode(),
        body_digest=hashlib.sha256(body).hexdigest(),
        content_type="application/json",
    )


class JobCluster(Cluster):
    """A cluster whose members run jobs on a task board.

    Members in ``isolated`` keep acting on what they know, but read no log and exchange
    no messages.
    """

    def __init__(self, *names: str, note: ReleaseNote) -> None:
        self.board = TaskBoard()
        self.platform_down = False
        self.lost_replies = 0
        self.held: list[Record] | None = None
        self.starts_delayed = False
        self.delayed: list[TaskCalls] = []
        self.isolated: set[str] = set()
        super().__init__(*names)
        self.board.hosts = {
            name: TaskHost(host.processors, host.memory_mb, host.accelerators)
            for name, host in note.added.hosts.items()
        }
        self.release(note)

    def job(self, job_id: str) -> Job:
        return self.reader().state.jobs.by_id[job_id]

    def reader(self) -> Member:
        unreachable = self.cut | self.isolated
        live = [m for m in self.by_id.values() if m.id not in unreachable]
        return max(live, key=lambda member: member.state.position)

    def submit_job(
        self,
        job: str,
        team: str = "acme",
        queue: str = "reports",
        sizes: Sizes | None = None,
        **behaviour: object,
    ) -> JobSubmitted:
        record = submitted(
            self.new_id(), job, team, queue, sizes or Sizes(), **behaviour
        )
        self.append(record)
        return record

    def cancel_jobs(self, *jobs: str, queue: str | None = None) -> None:
        self.append(JobsCancelled(self.new_id(), jobs, queue, by="tester"))

    def settle_job(self, job: str, ran: bool) -> None:
        self.append(JobSettled(self.new_id(), job, ran, by="tester"))

    def append(self, *records: Record) -> None:
        """Append records, or hold starts and ends back until ``release_held``."""
        if self.held is not None and isinstance(records[0], JobsStarted | JobsEnded):
            self.held.extend(records)
            return
        super().append(*records)

    def release_held(self, times: int) -> None:
        """Append the held records ``times`` times, or drop them if that is zero."""
        held, self.held = self.held or [], None
        for record in held * times:
            self.append(record)

    def evict(self, member: str) -> None:
        """Evict a member as an operator would."""
        view = self.reader().state.view.number
        self.append(Evict(self.new_id(), view, member, forced_by="tester"))

    def run(self, seconds: float, step: float = 0.05) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for member in list(self.by_id.values()):
                if member.id in self.cut:
                    continue
                if member.id not in self.isolated:
                    entries = self.entries[member.state.position :]
                    member.on_entries(entries, self.now)
                    member.on_tail(self.now, self.now)
                member.on_tick(self.now)
            self.settle()

    def settle(self) -> None:
        self._exchange()
        self.board.advance(int(self.now * 1000))
        for member in list(self.by_id.values()):
            if member.id not in self.cut:
                for work in member.job_work(self.now):
                    self.call_platform(member, work)
        self._exchange()

    def _exchange(self) -> None:
        """Deliver messages, except those to and from isolated members."""
        cut, self.cut = self.cut, self.cut | self.isolated
        super().settle()
        self.cut = cut

    def call_platform(self, member, work: TaskCalls) -> None:
        if self.platform_down:
            return
        if self.starts_delayed and work.starts:
            self.delayed.append(work)
            work = replace(work, starts=())
        calls = (
            (work.starts, lambda: self.board.start(work.starts, LEASE_MS)),
            (work.stops, lambda: self.board.stop(work.stops)),
            (work.checkpoints, lambda: self.board.checkpoint(work.checkpoints)),
            (work.renewals, lambda: self.board.renew(work.renewals, LEASE_MS)),
        )
        for throttle in work.throttles:
            reports = self.board.throttle((throttle.task,), throttle.fraction)
            self.reply(member, work.pool, reports)
        for items, call in calls:
            if items:
                self.reply(member, work.pool, call())

    def deliver_delayed(self) -> None:
        """Deliver the delayed start calls; their replies are dropped."""
        self.starts_delayed = False
        for work in self.delayed:
            self.board.start(work.starts, LEASE_MS)
        self.delayed.clear()

    def reply(self, member, pool: str, reports: TaskReports) -> None:
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return
        member.on_task_reports(pool, reports, self.now)
