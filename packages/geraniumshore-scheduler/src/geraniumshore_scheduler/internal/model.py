"""The types that the scheduler decides on: jobs, steps, queues, teams, minions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "Configuration",
    "EndedRun",
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
    "UpkeepWave",
]


class Resources(NamedTuple):
    """Amounts of processor (thousandths of a core), memory and accelerators."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, room: Resources) -> bool:
        """Tell whether ``room`` has at least this much of everything."""
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
    """Names one task: a job's occurrence, step and index within the step."""

    job_id: str
    occurrence: int
    step: int
    position: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.within_job}"

    @classmethod
    def parse(cls, name: str) -> TaskKey:
        """Return the key of a name. Raises ValueError for one of another form."""
        job_id, occurrence, step, position = name.split(".")
        return cls(job_id, int(occurrence), int(step), int(position))

    @property
    def within_job(self) -> str:
        """The name without the job, as kept in the job's progress."""
        return f"{self.occurrence}.{self.step}.{self.position}"


@dataclass(frozen=True, slots=True)
class Step:
    """A set of equal tasks of a job.

    ``estimate_ms`` is a rough guess. ``label`` is one that the minion must have;
    ``data_rack`` is the rack on which tasks run fast. ``most_per_minion`` of 0 means
    no limit. ``lasting`` tasks run until the job is cancelled. A ``filler`` uses
    whatever processor time the other tasks leave; its ``cpu_milli`` takes no room.
    ``may_miss`` tasks of a lasting step may be unavailable through our doing, None
    means that no such promise was made.
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
        """What one task takes of a minion's capacity."""
        if self.filler:
            return Resources(0, self.size.memory_mb, self.size.accelerators)
        return self.size


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted job. ``occurrences`` of 0 means that it runs once, at once.

    ``accepted_ms`` is the acceptor's time of day. ``service`` is where the queue's
    tasks ran when the job was accepted, for the time after the queue is withdrawn.
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

    @property
    def lasting(self) -> bool:
        """Whether some step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)


@dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs are handed in. Lower ``priority`` goes first."""

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

    Whether its minions guard their capacity does not matter: it is never passed.
    """

    name: str
    standby: bool


# Stands for a part of a team's cap that has no limit.
UNLIMITED = 1 << 60


@dataclass(frozen=True, slots=True)
class Team:
    """A tenant with its share and its cap; a cap of 0 means no limit."""

    name: str
    keys: frozenset[str]
    weight: float
    cap: Resources

    @property
    def limit(self) -> Resources:
        """The cap as amounts that may be compared, also where there is no limit."""
        return Resources(*(part or UNLIMITED for part in self.cap))


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what the operators have set."""

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
    """What the platform's list says of a minion.

    ``life`` is the Unix millisecond of the process's start; ``capacity`` and
    ``labels`` belong to that life. The second label names the rack.
    """

    minion_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    life: int
    capacity: Resources
    labels: tuple[str, ...]
    remaining_ms: int | None = None

    @property
    def rack(self) -> str:
        """The rack, empty where no label names one."""
        return self.labels[1] if len(self.labels) > 1 else ""


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run on a minion.

    ``measured`` is the tail latency in ms of a serving task, else the use of
    processor in thousandths of a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    measured: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that ended on a minion; ``number`` counts the ends of a life from 1."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class MinionReport:
    """The answer to a look at a minion: its life, its clock, its runs."""

    life: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    remaining_ms: int | None = None


@dataclass(frozen=True, slots=True)
class MachineListing:
    """A machine of the platform. ``minion_id`` is its present minion's, if any.

    One that is ``in_upkeep`` is not up.
    """

    machine: str
    pool: str
    up: bool
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    minion_id: str | None
    in_upkeep: bool = False


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """Machines that are due for upkeep, at most ``most_at_once`` down together.

    ``within_s`` counts from the moment at which the operator wrote it.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    most_at_once: int
