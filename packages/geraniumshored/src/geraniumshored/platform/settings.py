"""Loading and validation of the settings file generated from ``deploy/node.json``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from geraniumshore_scheduler import Finding, InvalidInputError, OwnershipTimes
from geraniumshored.internal.client_budget import BudgetLimits
from geraniumshored.internal.machine_limits import MachineLimits
from geraniumshored.node.settings import NodeSettings

__all__ = ["PlatformSettings", "load_platform_settings", "settings_path"]

PATH_VARIABLE = "GERANIUMSHORE_NODE_FILE"
MS_PER_SECOND = 1000.0
# How long an owner keeps sending orders while the store is unreachable. Leases renewed
# in that time keep runs alive for up to ``LEASE_S`` more. A successor waits as long
# before it restarts the runs of minions that it cannot reach.
STORE_OUTAGE_GRACE_S = 2.0
# The length of leases. They outlast a poll, a restart of all processes and a takeover.
# The runs of a minion that falls silent start elsewhere only after it.
LEASE_S = 4.0


class PlatformSettings(BaseModel):
    """The settings of one node. Names of durations end with their unit."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: str = Field(min_length=1)
    data_centre: str
    front: str
    ready: str
    metrics: str
    # Where other nodes relay calls to; without it no calls are relayed.
    peers: str = ""
    store: str
    machines: str = ""
    advice: str = ""
    group_ttl_ms: Annotated[int, Field(ge=1)] = 1000
    longest_lease_ms: Annotated[int, Field(ge=1)] = 6000
    longest_stop_ms: Annotated[int, Field(ge=0)] = 1000
    leaving_s: Annotated[float, Field(ge=0)] = 6.0
    duty_lease_ms: Annotated[int, Field(ge=0)] = 3000
    status_kept_s: Annotated[int, Field(ge=1)] = 120
    cpu_share: Annotated[float, Field(gt=0)] = 1.0
    cpu_speed: Annotated[float, Field(gt=0)] = 1.0
    append_bytes: Annotated[int, Field(ge=1)] = 2_097_152
    record_bytes: Annotated[int, Field(ge=1)] = 262_144
    memory_mb: Annotated[float | None, Field(gt=0)] = None
    max_fds: Annotated[int | None, Field(ge=1)] = None

    def node_settings(self) -> NodeSettings:
        """Return the settings without the platform's addresses."""
        return NodeSettings(
            node=self.node,
            data_centre=self.data_centre,
            times=OwnershipTimes(
                ttl=self.group_ttl_ms / MS_PER_SECOND,
                grace=STORE_OUTAGE_GRACE_S,
                longest_lease=self.longest_lease_ms / MS_PER_SECOND,
                longest_stop=self.longest_stop_ms / MS_PER_SECOND,
                lease=LEASE_S,
            ),
            leaving_s=self.leaving_s,
            ownership_lease_s=self.duty_lease_ms / MS_PER_SECOND,
            status_kept_s=float(self.status_kept_s),
            # ``cpu_share`` of a core that is ``cpu_speed`` times as fast as usual.
            processors=self.cpu_share * self.cpu_speed,
            append_bytes=self.append_bytes,
            record_bytes=self.record_bytes,
            peers=self.peers,
        )

    def client_limits(self) -> BudgetLimits:
        """Return what callers may hold, by these settings and the process's limits."""
        machine = MachineLimits.from_settings(self.memory_mb, self.max_fds)
        return BudgetLimits.from_machine(machine.memory_bytes, machine.descriptors)


def settings_path() -> Path:
    """Return the path of the settings file. Raises InvalidInputError if unset."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise InvalidInputError([Finding(PATH_VARIABLE, "is not set")])
    return Path(path)


def load_platform_settings(path: Path) -> PlatformSettings:
    """Load and validate the settings. Raises InvalidInputError with all findings."""
    try:
        return PlatformSettings.model_validate_json(path.read_bytes())
    except OSError as error:
        raise InvalidInputError(
            [Finding(path.name, f"cannot be read: {error.strerror}")]
        ) from error
    except ValidationError as error:
        raise InvalidInputError(
            Finding(
                ".".join(str(part) for part in fault["loc"]) or path.name, fault["msg"]
            )
            for fault in error.errors(include_url=False, include_input=False)
        ) from error
