"""The state of the schedule as recorded in the store, for operators."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime

from geraniumshore_scheduler import (
    Configuration,
    Evacuation,
    InvalidInputError,
    JobRegistry,
    MachineListing,
    MaintenanceWave,
    MinionListing,
    RegisteredJob,
    TaskKey,
    WaveProgress,
)
from geraniumshored.node.catch_up import newest_records
from geraniumshored.node.members import host_of, is_strong
from geraniumshored.node.ports import Platform, Record, Stream

__all__ = ["EvacuationRow", "NodeRow", "QueueRow", "ScheduleStatus", "WaveRow"]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class QueueRow:
    """One queue and its jobs by state."""

    queue: str
    service: str
    priority: int
    queued: int
    running: int
    done: int
    failed: int
    cancelled: int


@dataclass(frozen=True, slots=True)
class NodeRow:
    """One member of the group: the owner or a standby."""

    host: str
    member: str
    owns: bool
    strong: bool
    epoch: int | None


@dataclass(frozen=True, slots=True)
class WaveRow:
    """One maintenance wave. ``begun`` counts the machines ordered into maintenance."""

    wave: int
    machines: int
    begun: int
    most_at_once: int
    within_s: float


@dataclass(frozen=True, slots=True)
class EvacuationRow:
    """One evacuated data centre and a job that still runs there, if there is any.

    ``since`` is when an owner first read the request; None if none has recorded it.
    """

    data_centre: str
    since: str | None
    job: str | None = None
    queue: str | None = None
    team: str | None = None
    batch_tasks: int = 0
    long_running_tasks: int = 0


@dataclass(slots=True)
class ScheduleStatus:
    """A snapshot of the store, read without joining the group of nodes.

    ``findings`` lists the records that could not be decoded.
    """

    configuration: Configuration | None = None
    registry: JobRegistry = field(default_factory=JobRegistry)
    wave_by_number: dict[int, MaintenanceWave] = field(default_factory=dict)
    evacuated: set[str] = field(default_factory=set)
    minion_by_id: dict[str, MinionListing] = field(default_factory=dict)
    machines: tuple[MachineListing, ...] = ()
    members: frozenset[str] = frozenset()
    findings: list[str] = field(default_factory=list)

    @classmethod
    def from_platform(
        cls, platform: Platform, machines: bool = False
    ) -> ScheduleStatus:
        """Read the whole state; the list of machines only if ``machines`` is set.

        Raises PlatformUnavailableError or UnknownOutcomeError.
        """
        status = cls()
        handler_by_stream: dict[Stream, Callable[[Platform, Record], None]] = {
            Stream.OPERATORS: status._apply_operator_record,
            Stream.MINIONS: status._apply_minion,
            Stream.ACCEPTED: status._apply_job_record,
            Stream.PROGRESS: status._apply_job_record,
        }
        for stream, handle in handler_by_stream.items():
            for record in newest_records(platform.store, stream):
                try:
                    handle(platform, record)
                except InvalidInputError as error:
                    status.findings.append(f"{stream.value} {record.key}: {error}")
        status.members = platform.store.members()
        if machines:
            status.machines = platform.machines.list()
        return status

    def _apply_operator_record(self, platform: Platform, record: Record) -> None:
        decoded = platform.decode_operator_record(record)
        if isinstance(decoded, Configuration):
            self.configuration = decoded
        elif isinstance(decoded, MaintenanceWave):
            self.wave_by_number[decoded.number] = decoded
        elif isinstance(decoded, Evacuation) and decoded.active:
            self.evacuated.add(decoded.data_centre)

    def _apply_minion(self, platform: Platform, record: Record) -> None:
        listing = platform.decode_minion(record)
        self.minion_by_id[listing.minion_id] = listing

    def _apply_job_record(self, _: Platform, record: Record) -> None:
        self.registry.fold(record.key, record.value, record.offset, 0.0)

    def jobs(self, queue: str | None = None) -> Iterator[RegisteredJob]:
        """Yield the recorded jobs of one queue, or of all queues."""
        for registered in self.registry.job_by_id.values():
            if queue is None or registered.job.queue == queue:
                yield registered

    def queues(self) -> Iterator[QueueRow]:
        """Yield the configured queues, and removed ones that still have jobs."""
        states: dict[str, Counter[str]] = {}
        for registered in self.jobs():
            states.setdefault(registered.job.queue, Counter())[
                registered.state.value
            ] += 1
        configured = self.configuration.queue_by_name if self.configuration else {}
        for name in sorted({*configured, *states}):
            queue = configured.get(name)
            service, priority = (queue.service, queue.priority) if queue else ("", -1)
            count = states.get(name, Counter())
            columns = ("queued", "running", "done", "failed", "cancelled")
            yield QueueRow(name, service, priority, *(count[c] for c in columns))

    def nodes(self) -> Iterator[NodeRow]:
        """Yield the members, and the owner even if it has left the group."""
        owner = self.registry.owner
        owner_member = None if owner is None else owner.member
        for member in sorted(
            self.members | ({owner_member} if owner_member else set())
        ):
            epoch = (
                owner.epoch if owner is not None and member == owner_member else None
            )
            yield NodeRow(
                host_of(member),
                member,
                member == owner_member,
                is_strong(member),
                epoch,
            )

    def waves(self) -> Iterator[WaveRow]:
        """Yield the announced waves."""
        for number, wave in sorted(self.wave_by_number.items()):
            progress = self.registry.progress_by_wave.get(number, WaveProgress())
            begun = set(progress.begun)
            yield WaveRow(
                number,
                len(wave.machines),
                len(begun & set(wave.machines)),
                wave.most_at_once,
                wave.within_s,
            )

    def evacuations(self) -> Iterator[EvacuationRow]:
        """Yield the evacuated data centres, each with the jobs that still run there."""
        since_ms = self.registry.evacuations.since_ms
        for name in sorted(self.evacuated):
            since = None
            if name in since_ms:
                at = datetime.fromtimestamp(since_ms[name] / MS_PER_S, UTC)
                since = at.isoformat(timespec="milliseconds")
            rows = list(self._jobs_running_in(name, since))
            yield from rows or [EvacuationRow(name, since)]

    def _jobs_running_in(
        self, data_centre: str, since: str | None
    ) -> Iterator[EvacuationRow]:
        for job_id, registered in sorted(self.registry.job_by_id.items()):
            tasks: Counter[bool] = Counter()
            for name, places in registered.whole_progress().placed.items():
                task = TaskKey.parse(f"{job_id}.{name}")
                listings = (self.minion_by_id.get(p.minion_id) for p in places)
                if any(
                    m is not None and m.data_centre == data_centre for m in listings
                ):
                    tasks[registered.job.steps[task.step].lasting] += 1
            if tasks:
                job = registered.job
                yield EvacuationRow(
                    data_centre,
                    since,
                    job_id,
                    job.queue,
                    job.team,
                    tasks[False],
                    tasks[True],
                )

    def minions(self) -> Iterable[MinionListing]:
        """Return the listed minions, sorted by service."""
        return sorted(
            self.minion_by_id.values(), key=lambda m: (m.service, m.minion_id)
        )
