"""Minions, jobs and a scheduler for tests of single scheduling decisions."""

from __future__ import annotations

from geraniumshore_scheduler import (
    Authority,
    CompletedRun,
    Configuration,
    Job,
    JobRegistry,
    MachineListing,
    MinionListing,
    MinionReport,
    OwnershipTimes,
    PollRequest,
    PoolThresholds,
    Queue,
    RecordKind,
    RegisteredJob,
    Resources,
    RunningTask,
    Scheduler,
    Service,
    StartOutcome,
    Step,
    Team,
    encode_job,
    job_key,
)

TIMES = OwnershipTimes(ttl=1.0, grace=3.0, longest_lease=6.0)
CAPACITY = Resources(16_000, 32_000, 0)
SMALL = Resources(1_000, 1_000, 0)
NO_LIMIT = Resources()
POOL_THRESHOLDS = PoolThresholds(
    lead_s=2,
    clear_s=1,
    min_shortfall=0.4,
    min_stay_s=2,
    release_after_s=1,
    reserve_share=0.5,
)


def machine(name: str, pool: str) -> MachineListing:
    """Return a machine that is up in a pool."""
    return MachineListing(name, pool, True, "a", ("a", "r1"), CAPACITY, f"i-{name}")


def listing(
    number: int,
    rack: str = "r1",
    service: str = "s",
    data_centre: str = "a",
    cold_left_ms: int = 0,
) -> MinionListing:
    """Return a minion's entry in the platform's list."""
    return MinionListing(
        f"i-{number}",
        service,
        f"10.0.0.{number}:80",
        data_centre,
        False,
        1,
        CAPACITY,
        (data_centre, rack),
        cold_left_ms=cold_left_ms,
    )


def job(job_id: str, *steps: Step, team: str | None = None, queue: str = "q") -> Job:
    """Return an accepted job."""
    return Job(job_id, queue, "s", team, "spec", steps, accepted_ms=0)


def configuration(
    cap: Resources = NO_LIMIT, max_attempts: int = 3, version: int = 1
) -> Configuration:
    """Return one queue, one service, a standby service and one team."""
    return Configuration(
        version,
        (Queue("q", "h", "/q/", "s", 0, max_attempts, 2.0, 500, False),),
        {"s": Service("s", False), "spare": Service("spare", True)},
        {"team": Team("team", frozenset({"key"}), 1.0, cap)},
        100_000,
    )


class Fleet:
    """A scheduler and minions whose answers the test determines."""

    def __init__(
        self, minions: int = 2, config: Configuration | None = None, epoch: int = 5
    ) -> None:
        self.now = 0.0
        self.born_at: dict[tuple[str, int], float] = {}
        self.scheduler = Scheduler(Authority(epoch, 0.0, 0.0), TIMES)
        self.scheduler.set_configuration(config or configuration())
        listings = {f"i-{n}": listing(n) for n in range(minions)}
        self.scheduler.set_listings(listings, self.now)
        for minion_id in listings:
            self.report(minion_id)

    def add(self, added: Job) -> None:
        """Accept a job."""
        self.scheduler.add_job(RegisteredJob(added, self.now), self.now)

    def poll(self, minion_id: str) -> PollRequest:
        """Return the next poll of a minion."""
        request = self.scheduler.poll_request(minion_id, self.now)
        assert request is not None
        return request

    def report(
        self,
        minion_id: str,
        running: tuple[RunningTask, ...] = (),
        ended: tuple[CompletedRun, ...] = (),
        incarnation: int = 1,
        remaining_ms: int | None = None,
        ended_complete: bool = True,
    ) -> None:
        """Poll a minion and pass its answer to the scheduler."""
        born_at = self.born_at.setdefault((minion_id, incarnation), self.now)
        clock_ms = int((self.now - born_at) * 1000)
        answer = MinionReport(
            incarnation, clock_ms, running, ended, remaining_ms, ended_complete
        )
        self.scheduler.on_report(self.poll(minion_id), answer, self.now)

    def plan(self):
        """Plan, record, send all starts and confirm them; return the starts."""
        batch = self.scheduler.plan(self.now, self.now * 1000)
        if batch is None:
            return ()
        self.scheduler.on_durable(batch)
        for order in batch.starts:
            if self.scheduler.prepare_start(order.run, self.now) is not None:
                self.scheduler.on_start_answer(
                    order.run, StartOutcome.STARTED, self.now
                )
        return batch.starts

    def running(self, minion_id: str, percent: int = 100) -> tuple[RunningTask, ...]:
        """Return report rows for all runs that the scheduler has on a minion."""
        view = self.scheduler.view_by_id[minion_id]
        return tuple(
            RunningTask(str(run.task), run.number, "", percent)
            for run in view.runs.values()
        )


class LoggedFleet(Fleet):
    """A fleet whose records are folded, so that another owner can take over."""

    def __init__(
        self, minions: int = 2, epoch: int = 5, registry: JobRegistry | None = None
    ) -> None:
        super().__init__(0, epoch=epoch)
        self.registry = registry or JobRegistry()
        self.offset = 0
        for registered in self.registry.job_by_id.values():
            self.scheduler.add_job(registered, self.now)
        listings = {f"i-{n}": listing(n) for n in range(minions)}
        self.scheduler.set_listings(listings, self.now)

    def fold(self, key: str, value: bytes) -> None:
        """Append a record and let every node read it."""
        self.offset += 1
        self.registry.fold(key, value, self.offset, self.now)

    def add(self, added: Job) -> None:
        """Accept a job; all minions then report that they run nothing."""
        self.fold(job_key(RecordKind.ACCEPTED, added.job_id), encode_job(added))
        self.scheduler.add_job(self.registry.job_by_id[added.job_id], self.now)
        for minion_id in self.scheduler.view_by_id:
            self.report(minion_id)

    def plan(self, outcome: str = StartOutcome.STARTED):
        """Plan, record, send all starts and answer them; return the starts."""
        starts = self.record()
        for order in starts:
            if self.scheduler.prepare_start(order.run, self.now) is not None:
                self.scheduler.on_start_answer(order.run, outcome, self.now)
        return starts

    def record(self):
        """Plan and record; return the starts, none of which is sent."""
        batch = self.scheduler.plan(self.now, self.now * 1000)
        if batch is None:
            return ()
        for key, value in batch.value_by_key.items():
            self.fold(key, value)
        self.scheduler.on_durable(batch)
        return batch.starts

    def successor(self) -> LoggedFleet:
        """Return the fleet under a new owner, which has read the log."""
        epoch = self.scheduler.authority.epoch + 1
        successor = LoggedFleet(len(self.scheduler.view_by_id), epoch, self.registry)
        successor.offset, successor.now = self.offset, self.now
        return successor
