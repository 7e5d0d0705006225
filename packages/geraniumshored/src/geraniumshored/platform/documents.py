"""Validation of the platform's documents and conversion to the project's types.

Model fields have the names used on the wire. Unknown fields are ignored, so that
documents of newer platform versions can be read.
"""

from __future__ import annotations

from typing import Annotated, Any, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from geraniumshore_scheduler import (
    CompletedRun,
    Configuration,
    Evacuation,
    Finding,
    InvalidInputError,
    Job,
    MachineListing,
    MaintenanceWave,
    MinionListing,
    MinionReport,
    Queue,
    Resources,
    RunningTask,
    Service,
    Step,
    Team,
)
from geraniumshored.platform.http import split_address

__all__ = [
    "decode_advice",
    "decode_configuration",
    "decode_evacuation",
    "decode_job_request",
    "decode_machines",
    "decode_minion",
    "decode_report",
    "decode_wave",
]

MAX_SPEC_BYTES = 4_000
MAX_STEPS = 1_000
MAX_TASKS = 100_000
# A minion lists at most this many completed runs in a report.
MAX_ENDS_PER_REPORT = 500
# Larger whole numbers are not exact in every reader of JSON, and much larger ones
# cannot be compared with a float. No amount or time on the wire comes near it.
MAX_WHOLE = (1 << 53) - 1
# The most that one host may have, far beyond any that exists.
MAX_HOST_CPU_MILLI = 100_000_000
MAX_HOST_MEMORY_MB = 10_000_000_000
MAX_HOST_ACCELERATORS = 100_000

Whole = Annotated[int, Field(ge=-MAX_WHOLE, le=MAX_WHOLE)]
NonNegative = Annotated[int, Field(ge=0, le=MAX_WHOLE)]
Finite = Annotated[float, Field(allow_inf_nan=False, ge=-MAX_WHOLE, le=MAX_WHOLE)]


def _check_address(address: str) -> str:
    split_address(address)
    return address


Address = Annotated[str, AfterValidator(_check_address)]


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Sizes(_Document):
    cpu: NonNegative = 0
    mem_mb: NonNegative = 0
    gpu: NonNegative = 0

    def resources(self) -> Resources:
        return Resources(self.cpu, self.mem_mb, self.gpu)


class _HostCapacity(_Sizes):
    model_config = ConfigDict(strict=True)

    cpu: Annotated[int, Field(ge=0, le=MAX_HOST_CPU_MILLI)] = 0
    mem_mb: Annotated[int, Field(ge=0, le=MAX_HOST_MEMORY_MB)] = 0
    gpu: Annotated[int, Field(ge=0, le=MAX_HOST_ACCELERATORS)] = 0


class _Phase(_Sizes):
    count: Annotated[int, Field(ge=1, le=MAX_TASKS)]
    estimate_ms: NonNegative = 0
    depends_on: tuple[NonNegative, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # A label that the minion must have.
    constraints: str = ""
    # The rack that holds the step's data.
    affinity: str = ""
    # Maximum number of the step's tasks on one minion; 0 means no limit.
    anti_affinity: NonNegative = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: NonNegative = 0
    fills: bool = False
    may_miss: NonNegative | None = None

    def step(self) -> Step:
        return Step(
            count=self.count,
            size=self.resources(),
            estimate_ms=self.estimate_ms,
            depends_on=self.depends_on,
            checkpointing=self.checkpointing,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.constraints,
            data_rack=self.affinity,
            most_per_minion=self.anti_affinity,
            speculative=self.speculative,
            lasting=self.long_running,
            image=self.image,
            tail_target_ms=self.target_ms,
            filler=self.fills,
            may_miss=self.may_miss,
        )


class _JobRequest(_Document):
    spec: Annotated[str, Field(max_length=MAX_SPEC_BYTES)] = ""
    # The steps of the job.
    phases: Annotated[tuple[_Phase, ...], Field(min_length=1, max_length=MAX_STEPS)]
    times: NonNegative = 0
    first_ms: NonNegative = 0
    interval_ms: NonNegative = 0


class _Route(_Document):
    name: str
    host: str
    path_prefix: str
    service: str
    # Priority of the jobs submitted on this route; 0 is scheduled first.
    priority: Whole = 0
    max_attempts: Annotated[int, Field(ge=1, le=MAX_WHOLE)] = 1
    stretch: Finite = 1.0
    target_latency_ms: NonNegative = 0
    public: bool = False
    hint: dict[str, Any] | None = None


class _Service(_Document):
    name: str
    # The machines of a standby pool are powered off.
    standby: bool = False


class _Tenant(_Document):
    name: str
    api_keys: tuple[str, ...] = ()
    weight: Finite = 1.0
    cap: _Sizes = _Sizes()


class _Limits(_Document):
    max_body_bytes: Whole = 262_144


class _Config(_Document):
    version: Whole
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = _Limits()


class _Wave(_Document):
    wave: Whole
    machines: tuple[str, ...]
    # Seconds after the record was written, not a point in time.
    finish_by_s: Finite
    # Maximum number of machines that may be down at the same time.
    cap: Annotated[int, Field(ge=1, le=MAX_WHOLE)]


class _Evacuation(_Document):
    """A request to evacuate the data centre that its key names."""


class _Server(_Document):
    """A minion's entry.

    One that lacks a field, or has one of another type, is another writer's.
    """

    model_config = ConfigDict(strict=True)

    service: str
    addr: Address
    zone: str
    version: str
    slots: Whole
    state: str
    cold_left_ms: Whole
    seq: Whole
    capacity: _HostCapacity
    labels: tuple[str, ...]
    # The start of the minion's process in Unix milliseconds.
    born: NonNegative
    remaining_ms: Whole | None = None


class _Report(_Document):
    born: NonNegative = 0
    clock_ms: Whole
    # Rows of task, run, checkpoint, percent and, on shared minions only, a measurement.
    running: tuple[tuple[Any, ...], ...] = ()
    # Completed runs: rows of sequence number, task, run, outcome, checkpoint.
    ended: tuple[tuple[Any, ...], ...] = ()
    remaining_ms: Whole | None = None


class _Machine(_Document):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: _HostCapacity = _HostCapacity()
    # The id of the machine's current minion; empty while the machine is off.
    id: str | None = None


class _Advice(_Document):
    # Rows of minion id and ticket.
    eligible: tuple[tuple[str, str], ...] = ()
    valid_ms: NonNegative = 0


class _Machines(_Document):
    machines: tuple[_Machine, ...] = ()
    next_token: str | None = None


SERVING_STATES = {"ready", "draining"}

ModelType = TypeVar("ModelType", bound=BaseModel)


def _load(model: type[ModelType], data: bytes, location: str) -> ModelType:
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        raise InvalidInputError(
            Finding(
                f"{location}.{'.'.join(str(part) for part in fault['loc'])}",
                fault["msg"],
            )
            for fault in error.errors(include_url=False, include_input=False)
        ) from error


def decode_job_request(
    data: bytes, job_id: str, queue: Queue, team: str | None, accepted_ms: int
) -> Job:
    """Decode a submitted job. Raises InvalidInputError with all findings."""
    request = _load(_JobRequest, data, "job")
    steps = tuple(phase.step() for phase in request.phases)
    findings = [
        Finding(f"job.phases.{number}.depends_on", "names no earlier step")
        for number, step in enumerate(steps)
        if any(needed >= number for needed in step.depends_on)
    ]
    if len(request.spec.encode()) > MAX_SPEC_BYTES:
        findings.append(Finding("job.spec", f"is longer than {MAX_SPEC_BYTES} bytes"))
    if request.times > 1 and request.interval_ms == 0:
        findings.append(Finding("job.interval_ms", "is missing"))
    if findings:
        raise InvalidInputError(findings)
    return Job(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        team=team,
        spec=request.spec,
        steps=steps,
        accepted_ms=accepted_ms,
        occurrences=request.times,
        first_ms=request.first_ms,
        interval_ms=request.interval_ms,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        target_latency_ms=queue.target_latency_ms,
        needs_advice=queue.needs_advice,
    )


def decode_configuration(data: bytes) -> Configuration:
    """Decode the operators' configuration. Raises InvalidInputError."""
    config = _load(_Config, data, "configuration")
    return Configuration(
        version=config.version,
        queues=tuple(
            Queue(
                name=route.name,
                host=route.host,
                path_prefix=route.path_prefix,
                service=route.service,
                priority=route.priority,
                max_attempts=route.max_attempts,
                stretch=route.stretch,
                target_latency_ms=route.target_latency_ms,
                open_to_all=route.public,
                needs_advice=route.hint is not None,
            )
            for route in config.routes
        ),
        service_by_name={
            service.name: Service(service.name, service.standby)
            for service in config.services
        },
        team_by_name={
            tenant.name: Team(
                tenant.name,
                frozenset(tenant.api_keys),
                tenant.weight,
                tenant.cap.resources(),
            )
            for tenant in config.tenants
        },
        max_body_bytes=config.limits.max_body_bytes,
    )


def decode_wave(data: bytes) -> MaintenanceWave:
    """Decode a maintenance wave. Raises InvalidInputError."""
    wave = _load(_Wave, data, "wave")
    return MaintenanceWave(wave.wave, wave.machines, wave.finish_by_s, wave.cap)


def decode_evacuation(data_centre: str, data: bytes) -> Evacuation:
    """Decode a request to evacuate a data centre, or its end if there is no data.

    Raises InvalidInputError.
    """
    if not data_centre:
        raise InvalidInputError([Finding("evacuation", "names no data centre")])
    if data:
        _load(_Evacuation, data, f"evacuation of {data_centre}")
    return Evacuation(data_centre, active=bool(data))


def decode_minion(minion_id: str, data: bytes) -> MinionListing:
    """Decode a minion's entry in the list. Raises InvalidInputError."""
    server = _load(_Server, data, f"minion {minion_id}")
    if server.state not in SERVING_STATES:
        raise InvalidInputError(
            [Finding(f"minion {minion_id}.state", f"unknown state {server.state!r}")]
        )
    return MinionListing(
        minion_id=minion_id,
        service=server.service,
        address=server.addr,
        data_centre=server.zone,
        draining=server.state == "draining",
        incarnation=server.born,
        capacity=server.capacity.resources(),
        labels=server.labels,
        remaining_ms=server.remaining_ms,
        cold_left_ms=server.cold_left_ms,
    )


def _whole(value: Any) -> int:
    number = int(value)
    if abs(number) > MAX_WHOLE:
        raise ValueError("a number is too large")
    return number


def _finite(value: Any) -> float:
    number = float(value)
    if not abs(number) <= MAX_WHOLE:
        raise ValueError("a number is too large or not finite")
    return number


def decode_report(data: bytes) -> MinionReport:
    """Decode a minion's response to a poll. Raises InvalidInputError."""
    report = _load(_Report, data, "report")
    try:
        running = tuple(
            RunningTask(
                str(row[0]),
                _whole(row[1]),
                str(row[2]),
                _whole(row[3]),
                _finite(row[4]) if len(row) > 4 else 0.0,
            )
            for row in report.running
        )
        ended = tuple(
            CompletedRun(
                _whole(row[0]), str(row[1]), _whole(row[2]), str(row[3]), str(row[4])
            )
            for row in report.ended
        )
    except (IndexError, TypeError, ValueError, OverflowError) as error:
        raise InvalidInputError([Finding("report", str(error))]) from error
    return MinionReport(
        report.born,
        report.clock_ms,
        running,
        ended,
        report.remaining_ms,
        ended_complete=len(ended) < MAX_ENDS_PER_REPORT,
    )


def decode_advice(data: bytes) -> tuple[dict[str, str], int]:
    """Decode the tickets by minion id and their validity in ms.

    Raises InvalidInputError.
    """
    advice = _load(_Advice, data, "advice")
    return dict(advice.eligible), advice.valid_ms


def decode_machines(data: bytes) -> tuple[tuple[MachineListing, ...], str | None]:
    """Decode a page of machines and the token of the next page, None for the last.

    Raises InvalidInputError.
    """
    page = _load(_Machines, data, "machines")
    machines = tuple(
        MachineListing(
            machine=machine.machine,
            pool=machine.pool,
            up=machine.state == "up",
            data_centre=machine.zone,
            labels=machine.labels,
            capacity=machine.capacity.resources(),
            minion_id=machine.id or None,
            in_maintenance=machine.state == "upkeep",
        )
        for machine in page.machines
    )
    return machines, page.next_token
