"""The items of a configuration that release notes name: teams, hosts, queues etc."""

from __future__ import annotations

from dataclasses import field
from typing import Annotated, Literal

from pydantic import AwareDatetime, ConfigDict, Field, StringConstraints
from pydantic.dataclasses import dataclass

__all__ = [
    "Address",
    "Host",
    "Key",
    "Minion",
    "Name",
    "Pool",
    "Queue",
    "Service",
    "Team",
    "Wave",
    "Weights",
]

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"

Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
Address = Annotated[str, StringConstraints(pattern=ADDRESS_PATTERN)]
Digest = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Salt = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{16,64}$")]
Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]

STRICT = ConfigDict(extra="forbid")


@dataclass(frozen=True, slots=True, config=STRICT)
class Pool:
    """A set of hosts with one availability budget.

    ``max_away`` is the maximum number of hosts of the pool that may be away at once,
    whether drained or failed; ``max_away_per_rack`` limits it within one rack as well.
    ``size``, ``min_racks`` and ``min_data_centres`` are checked against the hosts
    configured for the pool. Hosts of a ``spare`` pool replace failed hosts of others.
    """

    max_away: Annotated[int, Field(ge=0)] = 1
    max_away_per_rack: Annotated[int, Field(ge=1)] | None = None
    spare: bool = False
    size: Annotated[int, Field(ge=0)] | None = None
    min_racks: Annotated[int, Field(ge=1)] | None = None
    min_data_centres: Annotated[int, Field(ge=1)] | None = None


@dataclass(frozen=True, slots=True, config=STRICT)
class Host:
    """A machine of the fleet. It belongs to exactly one pool."""

    pool: Name
    data_centre: Name
    rack: Name
    processors: Annotated[float, Field(gt=0)] = 16.0
    memory_mb: Annotated[int, Field(gt=0)] = 32_768
    accelerators: Annotated[int, Field(ge=0)] = 0


@dataclass(frozen=True, slots=True, config=STRICT)
class Service:
    """A back end that is served by its minions."""

    pool: Name | None = None


@dataclass(frozen=True, slots=True, config=STRICT)
class Minion:
    """One endpoint of a service. ``slots`` is the maximum that it runs at once."""

    service: Name
    address: Address
    host: Name | None = None
    data_centre: Name | None = None
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 64


@dataclass(frozen=True, slots=True, config=STRICT)
class Team:
    """A customer. ``share`` is its weight under contention, ``limit`` a hard cap."""

    share: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    limit: Annotated[int, Field(ge=0)]


@dataclass(frozen=True, slots=True, config=STRICT)
class Key:
    """A caller's key, stored as a salted digest; see :func:`make_key`."""

    team: Name
    salt: Salt
    digest: Digest


@dataclass(frozen=True, slots=True, config=STRICT)
class Queue:
    """A queue to which callers send work.

    A ``request`` queue names the service that answers while the caller waits; a
    ``job`` queue names the pool whose hosts run the job as a platform task. ``open``
    admits work without a key, which then counts for ``open_team``. ``run_limit_ms``
    limits one run, and ``wait_limit_ms`` the time in the queue. ``objective`` is the
    fraction of calls that must be good, that is, answered within ``objective_ms``.
    """

    service: Name | None = None
    pool: Name | None = None
    kind: Literal["request", "job"] = "request"
    idempotent: bool = False
    urgent: bool = False
    open: bool = False
    open_team: Name | None = None
    max_waiting: Annotated[int, Field(ge=0, le=1_000_000)] = 200
    wait_limit_ms: Milliseconds = 10_000
    run_limit_ms: Milliseconds = 30_000
    max_body_bytes: Annotated[int, Field(ge=0, le=64 * 1024 * 1024)] = 1024 * 1024
    objective: Annotated[float, Field(gt=0, lt=1)] = 0.99
    objective_ms: Milliseconds = 2_000


@dataclass(frozen=True, slots=True, config=STRICT)
class Wave:
    """Maintenance that drains, reboots and returns each of its hosts once.

    It covers all hosts of ``pools`` and those named in ``hosts``. ``parallel`` is the
    maximum number of hosts away for it at once. After ``max_failures`` hosts have not
    come back, it is halted until a release note names or withdraws it. ``by`` is its
    deadline.
    """

    purpose: str
    pools: list[Name] = field(default_factory=list)
    hosts: list[Name] = field(default_factory=list)
    parallel: Annotated[int, Field(ge=1)] = 1
    max_failures: Annotated[int, Field(ge=1)] = 2
    paused: bool = False
    by: AwareDatetime | None = None


@dataclass(frozen=True, slots=True, config=STRICT)
class Weights:
    """The costs that the planner weighs; the entry named ``default`` is in force.

    ``moves`` is the cost of one move of a host, ``roll_out`` that of an hour in which
    a pool lacks a host, ``buffer`` that of an hour in which a spare host is used.
    """

    moves: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.5
    roll_out: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1.0
    buffer: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.2

    @classmethod
    def from_preset(cls, preset: Preset) -> Weights:
        """Return the weights of a preset."""
        return _WEIGHTS_BY_PRESET[preset]


Preset = Literal["spare-is-cheap", "moves-are-dear"]

_WEIGHTS_BY_PRESET: dict[Preset, Weights] = {
    "spare-is-cheap": Weights(moves=0.05, roll_out=1.0, buffer=0.05),
    "moves-are-dear": Weights(moves=1.0, roll_out=4.0, buffer=1.0),
}
