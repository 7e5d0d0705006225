"""Inputs of the scheduler: jobs, queues, teams, minions and machines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "Configuration",
    "CompletedRun",
    "Evacuation",
    "Job",
    "MachineListing",
    "MinionListing",
    "MinionReport",
    "Queue",
    "Resources",
    "RunningTask",
    "Service",
    "Step",
    "TaskKey",
    "Team",
    "MaintenanceWave",
]


class Resources(NamedTuple):
    """Amounts of processor (in thousandths of a core), memory and accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, room: Resources) -> bool:
        """Return whether ``room`` has at least this much of each resource."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


class TaskKey(NamedTuple):
    """The key of a task: its job, occurrence, step and position in the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.within_job}"

    @classmethod
    def parse(cls, name: str) -> TaskKey:
        """Parse a task's name. Raises ValueError if it has another form."""
        job_id, occurrence, step, position = name.split(".")
        return cls(job_id, int(occurrence), int(step), int(position))

    @property
    def within_job(self) -> str:
        """The task's name without the job ID, as the job's progress is keyed."""
        return f"{self.occurrence}.{self.step}.{self.position}"


@dataclass(frozen=True, slots=True)
class Step:
    """A set of identical tasks of a job.

    ``estimate_ms`` is a rough estimate of a task's duration. ``label`` is a label that
    the minion must have. Tasks run faster on the rack ``data_rack``.
    ``most_per_minion`` of 0 means no limit. ``lasting`` tasks are long-running: they
    run until the job is cancelled. A ``filler`` uses the processor time that other
    tasks leave, so its ``cpu_milli`` takes no capacity. ``may_miss`` is how many tasks
    of a long-running step the scheduler may make unavailable at a time; None means that
    no such limit was promised.
    """

    count: int
    size: Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    most_per_minion: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    filler: bool = False
    may_miss: int | None = None

    @property
    def room(self) -> Resources:
        """The capacity that one task takes on a minion."""
        if self.filler:
            return Resources(0, self.size.memory_mb, self.size.accelerators)
        return self.size


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted job. ``occurrences`` of 0 means that it runs once, immediately.

    ``accepted_ms`` is the wall-clock time of the node that accepted the job.
    ``service`` and the fields from ``priority`` on are the queue's settings at that
    time. They apply while no configuration has the queue.
    """

    job_id: str
    queue: str
    service: str
    team: str | None
    spec: str
    steps: tuple[Step, ...]
    accepted_ms: int
    occurrences: int = 0
    first_ms: int = 0
    interval_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 0.0
    target_latency_ms: int = 0
    needs_advice: bool = False

    @property
    def lasting(self) -> bool:
        """Whether any step is long-running."""
        return any(step.lasting for step in self.steps)


@dataclass(frozen=True, slots=True)
class Queue:
    """An endpoint that accepts jobs. Lower ``priority`` values go first."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    open_to_all: bool
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of minions. A ``standby`` pool holds spare machines that are off.

    Minions need not enforce their capacity, as the scheduler never exceeds it.
    """

    name: str
    standby: bool


# The limit for a resource that a team's cap leaves unlimited.
UNLIMITED = 1 << 60


@dataclass(frozen=True, slots=True)
class Team:
    """A tenant with its weight and its cap. A resource with a cap of 0 has no limit."""

    name: str
    keys: frozenset[str]
    weight: float
    cap: Resources

    @property
    def limit(self) -> Resources:
        """The cap with unlimited resources as large amounts, for comparisons."""
        return Resources(*(part or UNLIMITED for part in self.cap))


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    service_by_name: dict[str, Service]
    team_by_name: dict[str, Team]
    max_body_bytes: int
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    team_by_key: dict[str, Team] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.queue_by_name.update((queue.name, queue) for queue in self.queues)
        for team in self.team_by_name.values():
            self.team_by_key.update((key, team) for key in team.keys)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` on ``host``."""
        matching = (
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        )
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


@dataclass(frozen=True, slots=True)
class MinionListing:
    """A minion's entry in the platform's list.

    ``incarnation`` is the start of the minion's process in Unix milliseconds;
    ``capacity`` and ``labels`` are those of that incarnation. The second label is the
    rack. ``cold_left_ms`` is how much longer the minion was slow after its start, when
    the entry was written; it counts down, so that alone makes no entry a new one.
    """

    minion_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    incarnation: int
    capacity: Resources
    labels: tuple[str, ...]
    remaining_ms: int | None = None
    cold_left_ms: int = field(default=0, compare=False)

    @property
    def rack(self) -> str:
        """The rack, or an empty string if no label names one."""
        return self.labels[1] if len(self.labels) > 1 else ""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a minion reports as running.

    ``measured`` is the tail latency in milliseconds for a serving task, and the
    processor use in thousandths of a core for any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    measured: float = 0.0


@dataclass(frozen=True, slots=True)
class CompletedRun:
    """A run that a minion reports as completed.

    ``number`` counts the completions of an incarnation from 1.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class MinionReport:
    """A minion's answer to a poll: its incarnation, its clock and its runs.

    ``ended`` lists the completions that are not acknowledged yet, lowest numbers first.
    Unless ``ended_complete``, more of them may follow once these are acknowledged.
    """

    incarnation: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[CompletedRun, ...]
    remaining_ms: int | None = None
    ended_complete: bool = True


@dataclass(frozen=True, slots=True)
class MachineListing:
    """A machine of the platform. ``minion_id`` is that of its current minion, if any.

    A machine that is ``in_maintenance`` is not up.
    """

    machine: str
    pool: str
    up: bool
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    minion_id: str | None
    in_maintenance: bool = False


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Machines due for maintenance, at most ``most_at_once`` of them down at a time.

    ``within_s`` is the time allowed, counted from when the operator wrote the wave.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    most_at_once: int


@dataclass(frozen=True, slots=True)
class Evacuation:
    """A request to start nothing in a data centre, or its end if not ``active``."""

    data_centre: str
    active: bool
