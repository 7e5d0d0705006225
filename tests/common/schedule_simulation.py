"""Simulation of schedule owners: real scheduler, simulated store, minions and time.

Injected faults: nodes lose their connections or are suspended and resume; minions crash
and restart; orders are lost, or applied seconds late, after newer ones; responses of
the store are lost, and its streams are away one by one. The invariants are checked on
each event that a minion reports; ``check_nothing_lost`` ends a run.
"""

from __future__ import annotations

import json
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from geraniumshore_scheduler import (
    OWNER_KEY,
    Authority,
    Batch,
    Configuration,
    Job,
    JobRegistry,
    JobState,
    MinionListing,
    OwnerRecord,
    OwnerReplacedError,
    OwnershipTimes,
    PlatformUnavailableError,
    PollRequest,
    Queue,
    RecordKind,
    RegisteredJob,
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
from geraniumshore_scheduler.internal.run_registry import RUN_NUMBERS_PER_EPOCH
from geraniumshore_standins.internal.users_platform import (
    GangBoard,
    LogModel,
    MinionModel,
    Reply,
)
from geraniumshored.node.members import member_name
from geraniumshored.node.owner import WRITER_NAME
from geraniumshored.node.ownership import JOIN_INTERVAL_S, Ownership
from geraniumshored.node.ports import Membership, Record, Stream
from geraniumshored.platform.documents import decode_report
from geraniumshored.platform.store import (
    PARTITION_BY_STREAM,
    _decode_page,
    _encode_record,
)
from tests.common.inline_workers import InlineWorkers
from tests.common.minions_list import MinionsList

STEP_S = 0.05
# Maximum delay before a node reads new records. A long poll of the real store returns
# sooner.
MAX_READ_LAG_S = 0.3
TTL_S = 1.0
GRACE_S = 3.0
LEASE_S = 6.0
GRANTED_LEASE_S = 3.0
MINIONS = 4
MINION_CPU = 4000
# Fewer than the tasks that a minion has room for.
ENDS_PER_REPORT = 2
TASK_CPU = 1000
MS_PER_SECOND = 1000.0
ORDER_DELAY_S = (0.5, 12.0)
CANCEL_S = 3.0
CAPPED_TEAM = "capped"
CAP_CPU = 3000
# After the last fault leases that nobody renews lapse, orders arrive late, minions that
# were avoided are used again, and the work itself takes its time.
SETTLE_S = 60.0
# A long-running task is running again this long after its last run.
RESTART_S = 6.0
# The most starts of one task by one owner in this time, also if the task ends at once
# each time. Pauses begin anew after a partition, and end when a minion restarts.
CRASH_WINDOW_S = 2.0
MAX_STARTS_IN_WINDOW = 8
# A run of this length was at work. A task whose next run ends at once is restarted
# without a pause, unless there was a fault less than ``CALM_S`` ago.
AT_WORK_S = 2.3
SOON_S = 1.0
CALM_S = 30.0
# With varied jobs: gangs, minions that drain, a queue that is withdrawn and given back,
# and entries of another writer under a live minion's ID.
VARIED_JOBS = 6
DRAIN_RATE = 0.001
DRAIN_S = 3.0
FOREIGN_RATE = 0.002
MAX_FOREIGN_S = 1.5
QUEUE_CHANGE_RATE = 0.005
MAX_ATTEMPTS = 3
FOREIGN_SERVICE = "of nobody"


class InvariantViolationError(AssertionError):
    """An invariant was violated; the message has the time and the task."""


@dataclass(frozen=True)
class FaultRates:
    """Probabilities of faults, and maximum durations of partitions in seconds.

    ``lost_request``, ``lost_answer`` and ``late_order`` are per call, ``cancelled`` is
    per job, the others per step. ``max_work_ms`` is the longest time that a task takes.
    """

    store_partition: float = 0.004
    node_pause: float = 0.003
    minion_partition: float = 0.003
    minion_isolated: float = 0.003
    minion_crash: float = 0.002
    lost_request: float = 0.03
    lost_answer: float = 0.04
    late_order: float = 0.05
    stream_away: float = 0.004
    cancelled: float = 0.2
    max_work_ms: float = 2500
    max_store_partition_s: float = 9.0
    max_minion_partition_s: float = 12.0
    max_stream_away_s: float = 6.0


NO_FAULTS = FaultRates(0, 0, 0, 0, 0, 0, 0, 0, 0)
# An owner is partitioned from the store for longer than its successor waits for it to
# stop, while the successor cannot reach minions that the former owner still reaches.
LONG_PARTITIONS = FaultRates(
    store_partition=0.002,
    node_pause=0,
    minion_partition=0.006,
    minion_isolated=0,
    minion_crash=0,
    late_order=0,
    stream_away=0.002,
    max_store_partition_s=40.0,
    max_minion_partition_s=20.0,
)
# Owners are suspended one after the other, and callers cancel jobs in between.
HAND_OVERS = FaultRates(
    store_partition=0,
    node_pause=0.012,
    minion_partition=0,
    minion_isolated=0,
    minion_crash=0,
    lost_request=0,
    lost_answer=0,
    late_order=0,
    cancelled=0.6,
    max_work_ms=6000,
)


class ScheduleSimulation:
    """A simulated schedule with three nodes, four minions and one store."""

    def __init__(
        self,
        seed: int,
        rates: FaultRates = FaultRates(),
        jobs: int = 14,
        crash_loops: int = 0,
        varied: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.rates = rates
        self.now = 0.0
        self.log = LogModel()
        self.unreachable_until: dict[tuple[str, str], float] = defaultdict(float)
        self.away_until: dict[Stream, float] = defaultdict(float)
        self.delayed_orders: list[tuple[float, str, int, str, dict[str, Any]]] = []
        self.down_until: dict[str, float] = {}
        self.minion_by_id: dict[str, MinionModel] = {}
        self.events: Counter[str] = Counter()
        self.done_acknowledged_at: dict[str, float] = {}
        self.done_tasks: set[str] = set()
        self.ended_at: dict[str, float] = {}
        self.acknowledged_failures: Counter[str] = Counter()
        self.cancelled_at: dict[str, float] = {}
        self.cancelled: set[str] = set()
        self.minion_by_running_task: dict[str, str] = {}
        self.job_by_id: dict[str, Job] = {}
        self.incarnations = 0
        self.gangs = GangBoard()
        for number in range(MINIONS):
            self._start_minion(f"i-{number}")
        self.nodes = [SimulatedNode(f"n{number}", self) for number in range(3)]
        self.submission_times = sorted(self.rng.uniform(0.5, 25) for _ in range(jobs))
        # Apart from the other jobs, so that a seed plays the same with and without.
        self._crash_rng = random.Random(f"crash loops {seed}")
        self.crash_loop_times = sorted(
            self._crash_rng.uniform(0.5, 25) for _ in range(crash_loops)
        )
        self.varied = varied
        self._varied_rng = random.Random(f"varied {seed}")
        self.varied_job_times = sorted(
            self._varied_rng.uniform(0.5, 25) for _ in range(VARIED_JOBS * varied)
        )
        self.configuration = configuration()
        self.leaves_at: dict[str, float] = {}
        self.foreign_until: dict[str, float] = defaultdict(float)
        self.failures: Counter[str] = Counter()
        self.calm_since = float("inf")
        self._start_times: dict[tuple[str, int], list[float]] = defaultdict(list)
        self._was_at_work: set[str] = set()
        self._restart_by: dict[str, float] = {}

    # Minions.

    def _start_minion(self, minion_id: str) -> None:
        self.incarnations += 1
        model = MinionModel(
            minion_id,
            born=self.incarnations,
            started_at=self.now,
            rate=1 + self.rng.uniform(-0.02, 0.02),
            cpu_capacity=MINION_CPU,
            ends_per_report=ENDS_PER_REPORT,
            gangs=self.gangs,
            observe=lambda *event: self._observe(minion_id, *event),
        )
        self.minion_by_id[minion_id] = model

    def _observe(
        self, minion_id: str, kind: str, task: str, run: int, how: str
    ) -> None:
        self.events[f"{kind} {how}".strip()] += 1
        if kind == "over capacity":
            self.report_violation(f"{task} exceeds the capacity of {minion_id}")
        elif kind == "start":
            self._check_start(minion_id, task)
            self._check_pause(task, run)
            self.minion_by_running_task[task] = minion_id
        elif kind == "end":
            self.minion_by_running_task.pop(task, None)
            self.ended_at[task] = self.now
            self._expect_restart(task, run, how)
            if how == "done":
                self.done_tasks.update(self._represented(task))
            elif how == "failed":
                self.failures[task] += 1
        elif kind == "noted" and not self._is_lasting(task):
            if how == "done":
                for member in self._represented(task):
                    self.done_acknowledged_at[member] = self.now
            elif how == "failed":
                self.acknowledged_failures[task] += 1

    def _is_lasting(self, task: str) -> bool:
        job_id, _, step, _ = task.split(".")
        return self.job_by_id[job_id].steps[int(step)].lasting

    def _represented(self, task: str) -> list[str]:
        """Return the tasks that are done when a task is: a gang's are all."""
        job_id, occurrence, number, _ = task.split(".")
        step = self.job_by_id[job_id].steps[int(number)]
        if not step.gang:
            return [task]
        return [f"{job_id}.{occurrence}.{number}.{n}" for n in range(step.count)]

    def _check_start(self, minion_id: str, task: str) -> None:
        job_id, occurrence, step, _ = task.split(".")
        if task in self.minion_by_running_task:
            self.report_violation(
                f"{task} starts on {minion_id} while it runs on "
                f"{self.minion_by_running_task[task]}"
            )
        if task in self.done_acknowledged_at:
            self.report_violation(f"{task} starts although its completion was recorded")
        job = self.job_by_id[job_id]
        for needed in job.steps[int(step)].depends_on:
            for position in range(job.steps[needed].count):
                earlier = f"{job_id}.{occurrence}.{needed}.{position}"
                if earlier not in self.done_tasks:
                    self.report_violation(
                        f"{task} starts before its dependency {earlier} is done"
                    )
        if self.acknowledged_failures[task] >= 3:
            self.report_violation(f"{task} starts after three failures")
        if self.now * MS_PER_SECOND < job.first_ms + int(occurrence) * job.interval_ms:
            self.report_violation(f"{task} starts before it is due")
        if job.team == CAPPED_TEAM:
            others = sum(
                self.job_by_id[other.partition(".")[0]].team == CAPPED_TEAM
                for other in self.minion_by_running_task
            )
            if (others + 1) * TASK_CPU > CAP_CPU:
                self.report_violation(f"{task} starts beyond its team's cap")

    def _check_pause(self, task: str, run: int) -> None:
        """Check that a task is not started again and again, nor paused needlessly."""
        owned = task, run // RUN_NUMBERS_PER_EPOCH
        recent = [at for at in self._start_times[owned] if at > self._window_began()]
        self._start_times[owned] = [*recent, self.now]
        if len(recent) >= MAX_STARTS_IN_WINDOW:
            self.report_violation(f"{task} is started without pauses")
        if self._restart_by.pop(task, self.now) < self.now:
            self.report_violation(f"{task} was at work, and is paused after one end")

    def _window_began(self) -> float:
        return self.now - CRASH_WINDOW_S

    def _expect_restart(self, task: str, run: int, how: str) -> None:
        times = self._start_times[task, run // RUN_NUMBERS_PER_EPOCH]
        lasted_s = self.now - times[-1] if times else 0.0
        if lasted_s >= AT_WORK_S:
            self._was_at_work.add(task)
        elif task in self._was_at_work and how in ("done", "failed"):
            self._was_at_work.remove(task)
            if self._is_lasting(task) and self.now > self.calm_since + CALM_S:
                self._restart_by[task] = self.now + SOON_S

    def report_violation(self, violation: str) -> None:
        """Raise the error for a violated invariant."""
        raise InvariantViolationError(f"{self.now:.2f} s: {violation}")

    def is_reachable(self, a: str, b: str) -> bool:
        """Return whether ``a`` can reach ``b``."""
        return self.unreachable_until[a, b] <= self.now

    def order(
        self, node: str, minion_id: str, name: str, document: dict[str, Any]
    ) -> Reply:
        """Send an order, which may be lost, applied late or stay unanswered."""
        rng, rates = self.rng, self.rates
        model = self.minion_by_id[minion_id]
        if minion_id in self.down_until or not self.is_reachable(node, minion_id):
            raise UnknownOutcomeError("unreachable")
        if rng.random() < rates.lost_request:
            raise UnknownOutcomeError("lost")
        if rng.random() < rates.late_order:
            at = self.now + rng.uniform(*ORDER_DELAY_S)
            self.delayed_orders.append((at, minion_id, model.born, name, document))
            raise UnknownOutcomeError("late")
        reply = model.call(name, document, self.now)
        if rng.random() < rates.lost_answer:
            raise UnknownOutcomeError("no answer")
        if reply.status == 409 and reply.document["reason"] == "fence":
            raise OwnerReplacedError("fence")
        return reply

    # Time.

    def step(self) -> None:
        """Advance the simulation by one time step."""
        self.now = round(self.now + STEP_S, 3)
        self._inject_faults()
        for minion_id, model in self.minion_by_id.items():
            if minion_id not in self.down_until:
                model.tick(self.now)
        due = [order for order in self.delayed_orders if order[0] <= self.now]
        self.delayed_orders = [
            order for order in self.delayed_orders if order[0] > self.now
        ]
        for _, minion_id, born, name, document in due:
            model = self.minion_by_id[minion_id]
            if model.born == born and minion_id not in self.down_until:
                model.call(name, document, self.now)
        while (
            self.submission_times
            and self.submission_times[0] <= self.now
            and self.is_available(Stream.ACCEPTED)
        ):
            self.submission_times.pop(0)
            self._submit()
        while (
            self.varied_job_times
            and self.varied_job_times[0] <= self.now
            and self.is_available(Stream.ACCEPTED)
        ):
            self.varied_job_times.pop(0)
            self._submit_gang()
        if self.varied:
            self._vary()
        while (
            self.crash_loop_times
            and self.crash_loop_times[0] <= self.now
            and self.is_available(Stream.ACCEPTED)
        ):
            self.crash_loop_times.pop(0)
            self._submit_crash_loop()
        for node in self.nodes:
            node.step()
        self._submit_cancellations()

    def run(self, seconds: float) -> None:
        """Advance the simulation to the given time."""
        while self.now < seconds:
            self.step()

    def check_nothing_lost(self) -> None:
        """End all faults, let the work end, and check that nothing is left over."""
        self.rates = NO_FAULTS
        self.unreachable_until.clear()
        self.away_until.clear()
        self.calm_since = self.now
        self.foreign_until.clear()
        if self.varied:
            self._change_queue(withdrawn=False)
        self.run(self.now + SETTLE_S)
        for job in self.job_by_id.values():
            if job.job_id in self.cancelled_at:
                continue
            if job.lasting:
                for position in range(job.steps[0].count):
                    task = f"{job.job_id}.0.0.{position}"
                    ended_at = self.ended_at.get(task, 0.0)
                    running = task in self.minion_by_running_task
                    if not running and self.now > ended_at + RESTART_S:
                        self.report_violation(f"{task} is lost")
            elif not self.finished(job.job_id):
                self.report_violation(f"{job.job_id} is lost")
            elif self.varied and self._failed_without_cause(job.job_id):
                self.report_violation(f"{job.job_id} is shown as failed without cause")

    def _failed_without_cause(self, job_id: str) -> bool:
        states = {
            node.registry.job_by_id[job_id].state
            for node in self.nodes
            if job_id in node.registry.job_by_id
        }
        most = max(
            (n for task, n in self.failures.items() if task.startswith(job_id)),
            default=0,
        )
        return JobState.FAILED in states and most < MAX_ATTEMPTS

    def is_available(self, stream: Stream) -> bool:
        """Return whether the store serves a stream."""
        return self.away_until[stream] <= self.now

    def _inject_faults(self) -> None:
        rng, rates = self.rng, self.rates
        for stream in (Stream.ACCEPTED, Stream.PROGRESS):
            if rng.random() < rates.stream_away:
                until = self.now + rng.uniform(0.5, rates.max_stream_away_s)
                self.away_until[stream] = until
        for node in self.nodes:
            if rng.random() < rates.store_partition:
                until = self.now + rng.uniform(0.5, rates.max_store_partition_s)
                self.unreachable_until[node.name, "store"] = until
            if rng.random() < rates.node_pause:
                node.paused_until = self.now + rng.uniform(0.5, 6)
            for minion_id in self.minion_by_id:
                if rng.random() < rates.minion_partition:
                    until = self.now + rng.uniform(0.5, rates.max_minion_partition_s)
                    self.unreachable_until[node.name, minion_id] = until
        for minion_id in self.minion_by_id:
            if rng.random() < rates.minion_isolated:
                for node in self.nodes:
                    until = self.now + rng.uniform(2, 12)
                    self.unreachable_until[node.name, minion_id] = until
            if minion_id in self.down_until:
                if self.now >= self.down_until[minion_id]:
                    del self.down_until[minion_id]
                    self._start_minion(minion_id)
            elif rng.random() < rates.minion_crash:
                self.down_until[minion_id] = self.now + rng.uniform(0.3, 6)
                self._end_minion(minion_id)
                self.events["crash"] += 1

    def _end_minion(self, minion_id: str) -> None:
        model = self.minion_by_id[minion_id]
        for task in model.running_tasks():
            self.minion_by_running_task.pop(task, None)
        model.crash()
        self.leaves_at.pop(minion_id, None)

    def _vary(self) -> None:
        """Let minions drain, write entries of another writer, change the queue."""
        rng = self._varied_rng
        for minion_id, model in list(self.minion_by_id.items()):
            leaves_at = self.leaves_at.get(minion_id)
            if minion_id in self.down_until:
                continue
            if leaves_at is not None:
                model.remaining_ms = max(0, int((leaves_at - self.now) * MS_PER_SECOND))
                if self.now >= leaves_at:
                    self.down_until[minion_id] = self.now + rng.uniform(0.3, 3)
                    self._end_minion(minion_id)
            elif self.now > self.calm_since:
                continue
            elif rng.random() < DRAIN_RATE:
                self.leaves_at[minion_id] = self.now + DRAIN_S
                self.events["drain"] += 1
            elif rng.random() < FOREIGN_RATE:
                until = self.now + rng.uniform(0.1, MAX_FOREIGN_S)
                self.foreign_until[minion_id] = until
                self.events["foreign entry"] += 1
        if self.now < self.calm_since and rng.random() < QUEUE_CHANGE_RATE:
            self._change_queue(withdrawn=bool(self.configuration.queue_by_name))

    def _change_queue(self, withdrawn: bool) -> None:
        self.events["queue change"] += 1
        version = self.configuration.version + 1
        self.configuration = configuration(version, withdrawn)

    def listing(self, minion_id: str) -> MinionListing:
        """Return the newest entry under a minion's ID, its own or another writer's."""
        model = self.minion_by_id[minion_id]
        own = MinionListing(
            minion_id,
            "s",
            minion_id,
            "a",
            minion_id in self.leaves_at,
            model.born,
            Resources(MINION_CPU, 100_000, 0),
            ("a", "r"),
        )
        if self.foreign_until[minion_id] <= self.now:
            return own
        return replace(
            own, service=FOREIGN_SERVICE, incarnation=model.born + 1_000, address="odd"
        )

    def _submit(self) -> None:
        number = len(self.job_by_id)
        spec = {"work_ms": self.rng.uniform(100, self.rates.max_work_ms)}
        if self.rng.random() < 0.15:
            spec["how"] = "failed"  # type: ignore[assignment]
        long_running = self.rng.random() < 0.15
        if long_running:
            hows = ["lasts", "done", "failed"]
            spec["how"] = self.rng.choice(hows)  # type: ignore[assignment]
        timed = not long_running and self.rng.random() < 0.2
        size = Resources(TASK_CPU, 100, 0)
        # Long-running tasks leave room, and the cap, for others.
        count = self.rng.randint(1, 2 if long_running else 4)
        first = Step(count, size, 500, lasting=long_running)
        steps = (first,) if long_running else (first, Step(2, size, 500, (0,)))
        job = Job(
            f"{number:016x}",
            "q",
            "s",
            "team" if long_running else self.rng.choice(["team", CAPPED_TEAM]),
            json.dumps(spec),
            steps,
            accepted_ms=0,
            occurrences=self.rng.randint(2, 4) if timed else 0,
            first_ms=int((self.now + self.rng.uniform(0, 3)) * MS_PER_SECOND),
            interval_ms=self.rng.randint(300, 2500),
        )
        if not timed:
            job = replace(job, first_ms=0, interval_ms=0)
        if self.varied:
            # What the queue had at the acceptance, for the time in which it is away.
            job = replace(job, max_attempts=MAX_ATTEMPTS)
        self.job_by_id[job.job_id] = job
        self.put(Record(job_key(RecordKind.ACCEPTED, job.job_id), encode_job(job)))
        if self.rng.random() < self.rates.cancelled:
            self.cancelled_at[job.job_id] = self.now + self.rng.uniform(0.2, 4)

    def _submit_gang(self) -> None:
        """Submit a job whose tasks work only together; some last, some fail."""
        rng = self._varied_rng
        size = rng.randint(2, 3)
        lasting = rng.random() < 0.3
        spec = {
            "work_ms": rng.uniform(100, 2_500),
            "how": rng.choice(["done", "done", "done", "failed"]),
            "gang": size,
            "works_once_in": 1,
        }
        step = Step(size, Resources(TASK_CPU, 100, 0), 500, gang=True, lasting=lasting)
        job = Job(
            f"d{len(self.varied_job_times):015x}",
            "q",
            "s",
            "team",
            json.dumps(spec),
            (step,),
            accepted_ms=0,
            max_attempts=MAX_ATTEMPTS,
        )
        self.job_by_id[job.job_id] = job
        self.put(Record(job_key(RecordKind.ACCEPTED, job.job_id), encode_job(job)))

    def _submit_crash_loop(self) -> None:
        """Submit a long-running job most of whose runs end at once."""
        rng = self._crash_rng
        spec = {
            "work_ms": rng.uniform(2_600, 4_000),
            "how": rng.choice(["done", "failed"]),
            "works_once_in": rng.choice([3, 4, 1_000]),
        }
        job = Job(
            f"c{len(self.crash_loop_times):015x}",
            "q",
            "s",
            "team",
            json.dumps(spec),
            (Step(1, Resources(TASK_CPU, 100, 0), 500, lasting=True),),
            accepted_ms=0,
        )
        self.job_by_id[job.job_id] = job
        self.put(Record(job_key(RecordKind.ACCEPTED, job.job_id), encode_job(job)))

    def put(self, record: Record) -> None:
        """Append a record of a caller's job or cancellation."""
        topic, part = PARTITION_BY_STREAM[Stream.ACCEPTED]
        self.log.append(topic, part, _encode_record(record))

    def _submit_cancellations(self) -> None:
        for job_id, at in self.cancelled_at.items():
            if at > self.now or job_id in self.cancelled:
                continue
            if self.is_available(Stream.ACCEPTED):
                self.cancelled.add(job_id)
                self.put(Record(job_key(RecordKind.CANCELLED, job_id), b"1"))

    def finished(self, job_id: str) -> bool:
        """Return whether any node knows a final state of the job."""
        registered_jobs = [node.registry.job_by_id.get(job_id) for node in self.nodes]
        return any(
            registered is not None and registered.state.final
            for registered in registered_jobs
        )


class SimulatedStore:
    """One node's connection to the store."""

    def __init__(self, node: SimulatedNode) -> None:
        self._node = node

    def _check_reachable(self) -> None:
        simulation = self._node.simulation
        if not simulation.is_reachable(self._node.name, "store"):
            raise UnknownOutcomeError("unreachable")

    def members(self) -> frozenset[str]:
        """Return the group's members."""
        self._check_reachable()
        rows = self._node.simulation.log.owners(
            "g", self._node.simulation.now
        ).document["parts"]
        return frozenset(row[2] for row in rows)

    def join(self, member: str, generation: int) -> Membership:
        """Join the group."""
        self._check_reachable()
        simulation = self._node.simulation
        reply = simulation.log.join("g", member, TTL_S, generation, simulation.now)
        places = (row[1] for row in reply.document["parts"])
        return Membership(reply.document["generation"], min(places, default=None))

    def leave(self, member: str) -> None:
        """Leave the group."""
        self._node.simulation.log.leave("g", member)

    def append(self, records: list[Record], epoch: int, number: int) -> Reply:
        """Append the owner's records."""
        self._check_reachable()
        simulation = self._node.simulation
        if not simulation.is_available(Stream.PROGRESS):
            raise UnknownOutcomeError("the stream is away")
        topic, part = PARTITION_BY_STREAM[Stream.PROGRESS]
        body = b"".join(map(_encode_record, records))
        reply = simulation.log.append(topic, part, body, WRITER_NAME, epoch, number)
        if simulation.rng.random() < simulation.rates.lost_answer:
            raise UnknownOutcomeError("no answer")
        return reply


class SimulatedNode:
    """A node that follows the log, joins the group and may own the schedule."""

    def __init__(self, name: str, simulation: ScheduleSimulation) -> None:
        self.name = name
        self.simulation = simulation
        self.paused_until = 0.0
        self.registry = JobRegistry()
        self._next_read = simulation.now
        self.read_at = {
            Stream.ACCEPTED: simulation.now,
            Stream.PROGRESS: simulation.now,
        }
        self.owner_seen_at = float("-inf")
        self._read_rng = random.Random(f"{name} {simulation.now}")
        self.on_job: Callable[[RegisteredJob, RecordKind], None] | None = None
        self.offsets = {Stream.ACCEPTED: 0, Stream.PROGRESS: 0}
        self.store = SimulatedStore(self)
        self.owner: SimulatedOwner | None = None
        self._next_join = simulation.rng.uniform(0, JOIN_INTERVAL_S)
        self.ownership = Ownership(
            self.store,  # type: ignore[arg-type]
            member_name(name, "1", 1.0),
            self,  # type: ignore[arg-type]
            MinionsList(),  # type: ignore[arg-type]
            self._make_owner,  # type: ignore[arg-type]
            lambda: True,
            lambda: simulation.now,
        )
        # A thread of its own would read the simulation's state while a step changes it.
        self.ownership._workers = InlineWorkers()  # type: ignore[assignment]

    def age(self, now: float) -> float:
        """Return how long ago the node last read the log."""
        return now - min(self.read_at.values())

    def read_now(self) -> None:
        """Read the log in the next step."""
        self._next_read = self.simulation.now

    def _make_owner(self, epoch: int) -> SimulatedOwner:
        self.owner = SimulatedOwner(self, epoch)
        return self.owner

    def step(self) -> None:
        """Advance the node unless it is suspended."""
        simulation = self.simulation
        if simulation.now < self.paused_until:
            return
        if (
            simulation.is_reachable(self.name, "store")
            and simulation.now >= self._next_read
        ):
            # Each node reads the log with its own random delay.
            self._next_read = simulation.now + self._read_rng.uniform(0, MAX_READ_LAG_S)
            self.read(Stream.ACCEPTED)
            if self.read(Stream.PROGRESS) and self.owner is not None:
                self.owner.on_progress_read(simulation.now)
        if simulation.now >= self._next_join:
            self._next_join = simulation.now + JOIN_INTERVAL_S
            try:
                self.ownership._step()
            except (PlatformUnavailableError, UnknownOutcomeError):
                self.ownership._disconnected = True
        if self.owner is not None:
            self.owner.act()

    def read(self, stream: Stream) -> bool:
        """Read and fold the new records of a stream; return whether it is there."""
        if not self.simulation.is_available(stream):
            return False
        self.read_at[stream] = self.simulation.now
        topic, part = PARTITION_BY_STREAM[stream]
        raw = self.simulation.log.read(topic, part, self.offsets[stream]).raw
        assert raw is not None
        page = _decode_page(raw, self.offsets[stream])
        if page.records and stream is Stream.PROGRESS:
            self.owner_seen_at = self.simulation.now
        for record in page.records:
            registered = self.registry.fold(
                record.key, record.value, record.offset, self.simulation.now
            )
            kind = RecordKind(record.key[0])
            if registered is not None and self.on_job is not None:
                self.on_job(registered, kind)
        self.offsets[stream] += len(page.records)
        return True


class SimulatedOwner:
    """Executes an owner's scheduling decisions step by step."""

    def __init__(self, node: SimulatedNode, epoch: int) -> None:
        self.node = node
        self.simulation = node.simulation
        self.authority = Authority(epoch, float("-inf"), float("-inf"))
        self.times = OwnershipTimes(TTL_S, GRACE_S, LEASE_S, lease=GRANTED_LEASE_S)
        self.scheduler: Scheduler | None = None
        self.stopped = False
        self.number = 0
        self.batch: Batch | None = None

    def start(self) -> None:
        """Start the owner, which takes over in the next step."""

    def stop(self, why: str) -> None:
        """Stop sending orders."""
        self.stopped = True
        self.node.on_job = None
        self.node.owner = None

    def on_progress_read(self, begun_at: float) -> None:
        """Confirm the authority, or stop if the log names another owner."""
        owner = self.node.registry.owner
        if self.scheduler is None:
            return
        if owner is None or owner.epoch != self.authority.epoch:
            self.stop("the log has another owner")
        else:
            self.authority.confirm(begun_at)

    def act(self) -> None:
        """Take over the schedule, or plan and poll the minions once."""
        try:
            if self.scheduler is None:
                self._take_over()
            else:
                self._decide()
                self._poll_minions()
        except OwnerReplacedError:
            self.stop("fence")

    def _take_over(self) -> None:
        owner = OwnerRecord(
            member_name(self.node.name, "1", 1.0),
            self.authority.epoch,
            self.node.registry.opened_s_ago(self.simulation.now),
            self.times.granted_lease,
        )
        records = [Record(OWNER_KEY, encode_owner(owner))]
        if not self._append(records, 0) or not self.node.read(Stream.PROGRESS):
            return
        self.simulation.events["takeover"] += 1
        self.authority.taken_at = self.simulation.now
        self.authority.confirm(self.simulation.now)
        scheduler = Scheduler(
            self.authority,
            self.times,
            opened_at_by_epoch=self.node.registry.opened_at_by_epoch,
            lease_by_epoch=self.node.registry.lease_by_epoch,
            run_ages=self.node.registry.run_ages,
        )
        scheduler.set_configuration(self.simulation.configuration)
        scheduler.set_listings(self._listings(), self.simulation.now)
        scheduler.restore_last_grants(self.node.registry.last_grants)
        scheduler.expect_jobs(self.node.registry.unread_placed_jobs())
        for registered in self.node.registry.job_by_id.values():
            scheduler.add_job(registered, self.simulation.now)
        self.scheduler = scheduler
        self.node.on_job = self._on_job

    def _listings(self) -> dict[str, MinionListing]:
        return {
            minion_id: self.simulation.listing(minion_id)
            for minion_id in self.simulation.minion_by_id
            if minion_id not in self.simulation.down_until
        }

    def _on_job(self, registered: RegisteredJob, kind: RecordKind) -> None:
        assert self.scheduler is not None
        if kind is RecordKind.ACCEPTED:
            self.scheduler.add_job(registered, self.simulation.now)
        elif kind is RecordKind.CANCELLED:
            self.scheduler.cancel_job(registered.job.job_id)

    def _append(self, records: list[Record], number: int) -> bool:
        try:
            reply = self.node.store.append(records, self.authority.epoch, number)
        except UnknownOutcomeError:
            return False
        if reply.status == 409:
            raise OwnerReplacedError("append rejected by the log")
        return True

    def _may_send(self) -> bool:
        return (
            self.authority.holds(self.simulation.now, self.times) and not self.stopped
        )

    def _decide(self) -> None:
        scheduler, now = self.scheduler, self.simulation.now
        assert scheduler is not None
        if not self._may_send():
            return
        accepted_read_at = self.node.read_at[Stream.ACCEPTED]
        if scheduler.unread_jobs and accepted_read_at >= self.authority.taken_at:
            scheduler.on_all_jobs_read(now)
        if scheduler.configuration is not self.simulation.configuration:
            scheduler.set_configuration(self.simulation.configuration)
        if self.batch is None:
            scheduler.set_listings(self._listings(), now)
            self.batch = scheduler.plan(now, now * MS_PER_SECOND)
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
        now = self.simulation.now
        if not self._may_send():
            self.scheduler.on_start_not_sent(order.run, now)
            return
        until_ms = self.scheduler.prepare_start(order.run, now)
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
        self.scheduler.on_stop_answer(order, self.simulation.now)

    def _poll_minions(self) -> None:
        assert self.scheduler is not None
        for minion_id in list(self.scheduler.view_by_id):
            if not self._may_send():
                return
            request = self.scheduler.poll_request(minion_id, self.simulation.now)
            if request is not None and minion_id in self.simulation.minion_by_id:
                self._poll(request)

    def _poll(self, request: PollRequest) -> None:
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
            self.scheduler.on_poll_unanswered(request, self.simulation.now)
            return
        report = decode_report(json.dumps(reply.document).encode())
        complete = len(report.ended) < ENDS_PER_REPORT
        report = replace(report, ended_complete=complete)
        self.scheduler.on_report(request, report, self.simulation.now)

    def _order(self, minion_id: str, name: str, document: dict[str, Any]) -> Reply:
        return self.simulation.order(self.node.name, minion_id, name, document)


def configuration(version: int = 1, withdrawn: bool = False) -> Configuration:
    """Return a configuration with one service and two teams, one capped.

    It has one queue unless that is ``withdrawn``.
    """
    queue = Queue("q", "h", "/q/", "s", 0, MAX_ATTEMPTS, 2.0, 500, False)
    return Configuration(
        version,
        () if withdrawn else (queue,),
        {"s": Service("s", False)},
        {
            "team": Team("team", frozenset({"key"}), 1.0, Resources()),
            CAPPED_TEAM: Team(
                CAPPED_TEAM, frozenset({"key2"}), 1.0, Resources(CAP_CPU, 0, 0)
            ),
        },
        100_000,
    )
