"""A small world for owners of the schedule: real decisions, modelled store and minions.

Nodes are cut off, freeze and wake; minions crash and are born again; orders get lost,
or are carried out seconds late, after newer ones; the store loses answers. After each
step the promises are checked from what the minions saw.
"""

from __future__ import annotations

import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from geraniumshore_scheduler import (
    OWNER_KEY,
    Authority,
    Batch,
    BookedJob,
    Configuration,
    HoldRequest,
    Job,
    JobBook,
    MinionListing,
    OwnerRecord,
    OwnerReplacedError,
    OwnershipTimes,
    PlatformUnavailableError,
    Queue,
    RecordKind,
    Resources,
    Scheduler,
    Service,
    StartOrder,
    StartOutcome,
    Step,
    StopOrder,
    Team,
    UnknownOutcomeError,
    encode_job,
    encode_owner,
    job_key,
)
from geraniumshore_standins.internal.users_platform import LogModel, MinionModel, Reply
from geraniumshored.node.members import member_name
from geraniumshored.node.owner import WRITER
from geraniumshored.node.ownership import JOIN_PAUSE_S, Ownership
from geraniumshored.node.ports import Membership, Record, Stream
from geraniumshored.platform.documents import decode_report
from geraniumshored.platform.store import (
    PLACE_BY_STREAM,
    _decode_page,
    _frame,
)

STEP_S = 0.05
# A node reads the log so late at most; a long read of the real store comes back sooner.
MOST_READ_LATE_S = 0.3
TTL_S = 1.0
GRACE_S = 3.0
LEASE_S = 6.0
CAPACITY = 4000
CPU = 1000
MS = 1000.0
LATE_S = (0.5, 12.0)
CANCEL_S = 3.0


class BrokenPromiseError(AssertionError):
    """A promise that was broken, with the moment and the task."""


@dataclass(frozen=True)
class Rates:
    """How often something goes wrong, a step (a call, for the last three of them).

    The longest cuts from the store and from a minion are in seconds.
    """

    store_cut: float = 0.004
    freeze: float = 0.003
    minion_cut: float = 0.003
    dark: float = 0.003
    crash: float = 0.002
    lost_request: float = 0.03
    lost_answer: float = 0.04
    late_order: float = 0.05
    longest_store_cut: float = 9.0
    longest_minion_cut: float = 12.0


QUIET = Rates(0, 0, 0, 0, 0, 0, 0, 0)
# An owner stays cut off from the store for longer than its successor waits for it to
# end, and the successor from minions that the former owner still reaches.
LONG_CUTS = Rates(
    store_cut=0.002,
    freeze=0,
    minion_cut=0.006,
    dark=0,
    crash=0,
    late_order=0,
    longest_store_cut=40.0,
    longest_minion_cut=20.0,
)


class World:
    """Three nodes, four minions, one store."""

    def __init__(self, seed: int, rates: Rates = Rates(), jobs: int = 14) -> None:
        self.rng = random.Random(seed)
        self.rates = rates
        self.now = 0.0
        self.log = LogModel()
        self.cut_until: dict[tuple[str, str], float] = defaultdict(float)
        self.late: list[tuple[float, str, int, str, dict[str, Any]]] = []
        self.down_until: dict[str, float] = {}
        self.minion_by_id: dict[str, MinionModel] = {}
        self.events: Counter[str] = Counter()
        self.done_noted: dict[str, float] = {}
        self.done_ever: set[str] = set()
        self.failures_noted: Counter[str] = Counter()
        self.cancelled_at: dict[str, float] = {}
        self.running_at: dict[str, str] = {}
        self.job_by_id: dict[str, Job] = {}
        self.lives = 0
        for number in range(4):
            self._bear(f"i-{number}")
        self.nodes = [SimNode(f"n{number}", self) for number in range(3)]
        self.job_times = sorted(self.rng.uniform(0.5, 25) for _ in range(jobs))

    # Minions.

    def _bear(self, minion_id: str) -> None:
        self.lives += 1
        model = MinionModel(
            minion_id,
            born=self.lives,
            started_at=self.now,
            rate=1 + self.rng.uniform(-0.02, 0.02),
            cpu_capacity=CAPACITY,
            observe=lambda *event: self._observe(minion_id, *event),
        )
        self.minion_by_id[minion_id] = model

    def _observe(
        self, minion_id: str, kind: str, task: str, run: int, how: str
    ) -> None:
        self.events[f"{kind} {how}".strip()] += 1
        if kind == "over capacity":
            self.broken(f"{task} starts on {minion_id} over its capacity")
        elif kind == "start":
            self._check_start(minion_id, task)
            self.running_at[task] = minion_id
        elif kind == "end":
            self.running_at.pop(task, None)
            if how == "done":
                self.done_ever.add(task)
        elif kind == "noted":
            if how == "done":
                self.done_noted[task] = self.now
            elif how == "failed":
                self.failures_noted[task] += 1

    def _check_start(self, minion_id: str, task: str) -> None:
        job_id, occurrence, step, _ = task.split(".")
        if task in self.running_at:
            self.broken(f"{task} starts on {minion_id} and on {self.running_at[task]}")
        if task in self.done_noted:
            self.broken(f"{task} starts after its end was taken note of")
        job = self.job_by_id[job_id]
        for needed in job.steps[int(step)].depends_on:
            for position in range(job.steps[needed].count):
                earlier = f"{job_id}.{occurrence}.{needed}.{position}"
                if earlier not in self.done_ever:
                    self.broken(f"{task} starts before {earlier} is done")
        if self.failures_noted[task] >= 3:
            self.broken(f"{task} starts after three failures")

    def broken(self, what: str) -> None:
        """Report a broken promise."""
        raise BrokenPromiseError(f"{self.now:.2f} s: {what}")

    def linked(self, a: str, b: str) -> bool:
        """Tell whether ``a`` reaches ``b``."""
        return self.cut_until[a, b] <= self.now

    def order(
        self, node: str, minion_id: str, name: str, document: dict[str, Any]
    ) -> Reply:
        """Send an order: answered, lost, unanswered, or carried out late."""
        rng, rates = self.rng, self.rates
        model = self.minion_by_id[minion_id]
        if minion_id in self.down_until or not self.linked(node, minion_id):
            raise UnknownOutcomeError("silence")
        if rng.random() < rates.lost_request:
            raise UnknownOutcomeError("lost")
        if rng.random() < rates.late_order:
            at = self.now + rng.uniform(*LATE_S)
            self.late.append((at, minion_id, model.born, name, document))
            raise UnknownOutcomeError("late")
        reply = model.call(name, document, self.now)
        if rng.random() < rates.lost_answer:
            raise UnknownOutcomeError("no answer")
        if reply.status == 409 and reply.document["reason"] == "fence":
            raise OwnerReplacedError("fence")
        return reply

    # Time.

    def step(self) -> None:
        """Let one moment pass."""
        self.now = round(self.now + STEP_S, 3)
        self._disturb()
        for minion_id, model in self.minion_by_id.items():
            if minion_id not in self.down_until:
                model.tick(self.now)
        due = [order for order in self.late if order[0] <= self.now]
        self.late = [order for order in self.late if order[0] > self.now]
        for _, minion_id, born, name, document in due:
            model = self.minion_by_id[minion_id]
            if model.born == born and minion_id not in self.down_until:
                model.call(name, document, self.now)
        while self.job_times and self.job_times[0] <= self.now:
            self.job_times.pop(0)
            self._submit()
        for node in self.nodes:
            node.step()
        self._check_cancelled()

    def run(self, seconds: float) -> None:
        """Let time pass."""
        while self.now < seconds:
            self.step()

    def _disturb(self) -> None:
        rng, rates = self.rng, self.rates
        for node in self.nodes:
            if rng.random() < rates.store_cut:
                until = self.now + rng.uniform(0.5, rates.longest_store_cut)
                self.cut_until[node.name, "store"] = until
            if rng.random() < rates.freeze:
                node.frozen_until = self.now + rng.uniform(0.5, 6)
            for minion_id in self.minion_by_id:
                if rng.random() < rates.minion_cut:
                    until = self.now + rng.uniform(0.5, rates.longest_minion_cut)
                    self.cut_until[node.name, minion_id] = until
        for minion_id, model in list(self.minion_by_id.items()):
            if rng.random() < rates.dark:
                for node in self.nodes:
                    until = self.now + rng.uniform(2, 12)
                    self.cut_until[node.name, minion_id] = until
            if minion_id in self.down_until:
                if self.now >= self.down_until[minion_id]:
                    del self.down_until[minion_id]
                    self._bear(minion_id)
            elif rng.random() < rates.crash:
                self.down_until[minion_id] = self.now + rng.uniform(0.3, 6)
                for task in model.running_tasks():
                    self.running_at.pop(task, None)
                model.runs.clear()
                self.events["crash"] += 1

    def _submit(self) -> None:
        number = len(self.job_by_id)
        spec = {"work_ms": self.rng.uniform(100, 2500)}
        if self.rng.random() < 0.15:
            spec["how"] = "failed"  # type: ignore[assignment]
        lasting = self.rng.random() < 0.15
        if lasting:
            spec["how"] = "lasts"  # type: ignore[assignment]
        size = Resources(CPU, 100, 0)
        first = Step(self.rng.randint(1, 4), size, 500, lasting=lasting)
        steps = (first,) if lasting else (first, Step(2, size, 500, (0,)))
        job = Job(
            f"{number:016x}",
            "q",
            "s",
            "team",
            json.dumps(spec),
            steps,
            accepted_ms=0,
        )
        self.job_by_id[job.job_id] = job
        self.put(Record(job_key(RecordKind.ACCEPTED, job.job_id), encode_job(job)))
        if self.rng.random() < 0.2:
            self.cancelled_at[job.job_id] = self.now + self.rng.uniform(0.2, 4)

    def put(self, record: Record) -> None:
        """Append what a caller handed in."""
        topic, part = PLACE_BY_STREAM[Stream.ACCEPTED]
        self.log.append(topic, part, _frame(record))

    def _check_cancelled(self) -> None:
        for job_id, at in self.cancelled_at.items():
            if at <= self.now < at + STEP_S:
                self.put(Record(job_key(RecordKind.CANCELLED, job_id), b"1"))

    def finished(self, job_id: str) -> bool:
        """Tell whether any node knows the job as ended."""
        books = [node.book.job_by_id.get(job_id) for node in self.nodes]
        return any(booked is not None and booked.state.final for booked in books)


class SimStore:
    """The store as one node reaches it."""

    def __init__(self, node: SimNode) -> None:
        self._node = node

    def _reach(self) -> None:
        world = self._node.world
        if not world.linked(self._node.name, "store"):
            raise UnknownOutcomeError("cut off")

    def members(self) -> frozenset[str]:
        """Return the group's members."""
        self._reach()
        rows = self._node.world.log.owners("g", self._node.world.now).document["parts"]
        return frozenset(row[2] for row in rows)

    def join(self, member: str, generation: int) -> Membership:
        """Join the group."""
        self._reach()
        world = self._node.world
        reply = world.log.join("g", member, TTL_S, generation, world.now)
        places = (row[1] for row in reply.document["parts"])
        return Membership(reply.document["generation"], min(places, default=None))

    def leave(self, member: str) -> None:
        """Leave the group."""
        self._node.world.log.leave("g", member)

    def append(self, records: list[Record], epoch: int, number: int) -> Reply:
        """Append the owner's records."""
        self._reach()
        world = self._node.world
        topic, part = PLACE_BY_STREAM[Stream.PROGRESS]
        body = b"".join(map(_frame, records))
        reply = world.log.append(topic, part, body, WRITER, epoch, number)
        if world.rng.random() < world.rates.lost_answer:
            raise UnknownOutcomeError("no answer")
        return reply


class SimNode:
    """One node: it follows the log, joins the group and may own the schedule."""

    def __init__(self, name: str, world: World) -> None:
        self.name = name
        self.world = world
        self.frozen_until = 0.0
        self.book = JobBook()
        self.read_at = self._next_read = world.now
        self.owner_seen_at = float("-inf")
        self._read_rng = random.Random(f"{name} {world.now}")
        self.on_job: Callable[[BookedJob, RecordKind], None] | None = None
        self.offsets = {Stream.ACCEPTED: 0, Stream.PROGRESS: 0}
        self.store = SimStore(self)
        self.owner: SimOwner | None = None
        self._next_join = world.rng.uniform(0, JOIN_PAUSE_S)
        self.ownership = Ownership(
            self.store,  # type: ignore[arg-type]
            member_name(name, "1", 1.0),
            self,  # type: ignore[arg-type]
            self._make_owner,  # type: ignore[arg-type]
            lambda: True,
            lambda: world.now,
        )

    def age(self, now: float) -> float:
        """Return for how long the book may have missed records."""
        return now - self.read_at

    def hurry(self) -> None:
        """Read with the next step."""
        self._next_read = self.world.now

    def _make_owner(self, epoch: int) -> SimOwner:
        self.owner = SimOwner(self, epoch)
        return self.owner

    def step(self) -> None:
        """Act, unless frozen."""
        world = self.world
        if world.now < self.frozen_until:
            return
        if world.linked(self.name, "store") and world.now >= self._next_read:
            # Nodes read the log late, each at its own time.
            self._next_read = world.now + self._read_rng.uniform(0, MOST_READ_LATE_S)
            self.read()
            if self.owner is not None:
                self.owner.on_progress_read(world.now)
        if world.now >= self._next_join:
            self._next_join = world.now + JOIN_PAUSE_S
            try:
                self.ownership._step()
            except (PlatformUnavailableError, UnknownOutcomeError):
                self.ownership._lost = True
        if self.owner is not None:
            self.owner.act()

    def read(self) -> None:
        """Fold what is new in the log."""
        self.read_at = self.world.now
        for stream in self.offsets:
            topic, part = PLACE_BY_STREAM[stream]
            raw = self.world.log.read(topic, part, self.offsets[stream]).raw
            assert raw is not None
            page = _decode_page(raw, self.offsets[stream])
            if page.records and stream is Stream.PROGRESS:
                self.owner_seen_at = self.world.now
            for record in page.records:
                booked = self.book.fold(
                    record.key, record.value, record.offset, self.world.now
                )
                kind = RecordKind(record.key[0])
                if booked is not None and self.on_job is not None:
                    self.on_job(booked, kind)
            self.offsets[stream] += len(page.records)


class SimOwner:
    """Carries out one owner's decisions step by step."""

    def __init__(self, node: SimNode, epoch: int) -> None:
        self.node = node
        self.world = node.world
        self.authority = Authority(epoch, float("-inf"), float("-inf"))
        self.times = OwnershipTimes(TTL_S, GRACE_S, LEASE_S)
        self.scheduler: Scheduler | None = None
        self.stopped = False
        self.number = 0
        self.batch: Batch | None = None

    def start(self) -> None:
        """Begin with the next step."""

    def stop(self, why: str) -> None:
        """Give no more orders."""
        self.stopped = True
        self.node.on_job = None
        self.node.owner = None

    def on_progress_read(self, begun_at: float) -> None:
        """Take in that the log was read."""
        owner = self.node.book.owner
        if self.scheduler is None:
            return
        if owner is None or owner.epoch != self.authority.epoch:
            self.stop("the log has another owner")
        else:
            self.authority.confirm(begun_at)

    def act(self) -> None:
        """Take over, or decide and look once."""
        try:
            if self.scheduler is None:
                self._take_over()
            else:
                self._decide()
                self._look()
        except OwnerReplacedError:
            self.stop("fence")

    def _take_over(self) -> None:
        owner = OwnerRecord(
            member_name(self.node.name, "1", 1.0),
            self.authority.epoch,
            self.node.book.opened_s_ago(self.world.now),
        )
        records = [Record(OWNER_KEY, encode_owner(owner))]
        if not self._append(records, 0):
            return
        self.node.read()
        self.world.events["takeover"] += 1
        self.authority.taken_at = self.world.now
        self.authority.confirm(self.world.now)
        scheduler = Scheduler(
            self.authority,
            self.times,
            opened_at_by_epoch=self.node.book.opened_at_by_epoch,
        )
        scheduler.set_configuration(configuration())
        scheduler.set_listings(self._listings(), self.world.now)
        scheduler.take_over_silences(self.node.book.last_grants)
        for booked in self.node.book.job_by_id.values():
            scheduler.add_job(booked, self.world.now)
        self.scheduler = scheduler
        self.node.on_job = self._on_job

    def _listings(self) -> dict[str, MinionListing]:
        return {
            minion_id: MinionListing(
                minion_id,
                "s",
                minion_id,
                "a",
                False,
                model.born,
                Resources(CAPACITY, 100_000, 0),
                ("a", "r"),
            )
            for minion_id, model in self.world.minion_by_id.items()
            if minion_id not in self.world.down_until
        }

    def _on_job(self, booked: BookedJob, kind: RecordKind) -> None:
        assert self.scheduler is not None
        if kind is RecordKind.ACCEPTED:
            self.scheduler.add_job(booked, self.world.now)
        elif kind is RecordKind.CANCELLED:
            self.scheduler.cancel_job(booked.job.job_id)

    def _append(self, records: list[Record], number: int) -> bool:
        try:
            reply = self.node.store.append(records, self.authority.epoch, number)
        except UnknownOutcomeError:
            return False
        if reply.status == 409:
            raise OwnerReplacedError("the log is fenced")
        return True

    def _may_send(self) -> bool:
        return self.authority.holds(self.world.now, self.times) and not self.stopped

    def _decide(self) -> None:
        scheduler, now = self.scheduler, self.world.now
        assert scheduler is not None
        if not self._may_send():
            return
        if self.batch is None:
            scheduler.set_listings(self._listings(), now)
            self.batch = scheduler.plan(now, now * MS)
            if self.batch is not None:
                self.number += 1
            for stop in scheduler.take_stops():
                self._stop(stop)
        if self.batch is not None:
            records = [Record(k, v) for k, v in self.batch.value_by_key.items()]
            if not self._append(records, self.number):
                return
            batch, self.batch = self.batch, None
            scheduler.on_durable(batch)
            for order in batch.starts:
                self._start(order)
        scheduler.take_decisions()

    def _start(self, order: StartOrder) -> None:
        assert self.scheduler is not None
        now = self.world.now
        if not self._may_send():
            self.scheduler.on_start_not_sent(order.run, now)
            return
        until_ms = self.scheduler.on_start_sent(order.run, now)
        if until_ms is None:
            return
        document = {
            "task": str(order.run.task),
            "run": order.run.number,
            "spec": order.spec,
            "until_ms": until_ms,
            "fence": order.fence,
        }
        outcome = StartOutcome.NO_ANSWER
        try:
            reply = self._order(order.run.minion_id, "run-start", document)
            outcome = StartOutcome.STARTED
            if reply.status == 409:
                outcome = StartOutcome.OLD_RUN
        except UnknownOutcomeError:
            pass
        self.scheduler.on_start_answer(order.run, outcome, now)

    def _stop(self, order: StopOrder) -> None:
        assert self.scheduler is not None
        document = {"task": order.task, "run": order.run, "fence": order.fence}
        try:
            self._order(order.minion_id, "run-stop", document)
        except UnknownOutcomeError:
            return
        self.scheduler.on_stop_answer(order, self.world.now)

    def _look(self) -> None:
        assert self.scheduler is not None
        for minion_id in list(self.scheduler.view_by_id):
            if not self._may_send():
                return
            request = self.scheduler.hold_request(minion_id, self.world.now)
            if request is not None and minion_id in self.world.minion_by_id:
                self._look_at(request)

    def _look_at(self, request: HoldRequest) -> None:
        assert self.scheduler is not None
        document: dict[str, Any] = {
            "fence": request.fence,
            "acked_upto": request.acked_upto,
        }
        if request.until_ms is not None:
            document["until_ms"] = request.until_ms
        try:
            reply = self._order(request.minion_id, "hold", document)
        except UnknownOutcomeError:
            self.scheduler.on_silence(request, self.world.now)
            return
        report = decode_report(json.dumps(reply.document).encode())
        self.scheduler.on_report(request, report, self.world.now)

    def _order(self, minion_id: str, name: str, document: dict[str, Any]) -> Reply:
        return self.world.order(self.node.name, minion_id, name, document)


def configuration() -> Configuration:
    """Return a configuration with one queue, one service and one team."""
    return Configuration(
        1,
        (Queue("q", "h", "/q/", "s", 0, 3, 2.0, 500, False),),
        {"s": Service("s", False)},
        {"team": Team("team", frozenset({"key"}), 1.0, Resources())},
        100_000,
    )
