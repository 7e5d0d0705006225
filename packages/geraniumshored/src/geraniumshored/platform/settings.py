"""The settings that the platform fills in from ``deploy/node.json``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from geraniumshore_scheduler import Finding, InvalidInputError, OwnershipTimes
from geraniumshored.node.settings import NodeSettings

__all__ = ["PlatformSettings", "load_platform_settings", "settings_path"]

PATH_VARIABLE = "GERANIUMSHORE_NODE_FILE"
MS = 1000.0
# How long an owner goes on without the store. Leases that it renews meanwhile carry
# the work on for ``longest_lease`` more, and a successor waits this long before it
# restarts what ran on minions that it cannot reach.
GRACE_S = 2.0


class PlatformSettings(BaseModel):
    """One node's settings, checked whole. Names end with the unit."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: str = Field(min_length=1)
    data_centre: str
    front: str
    ready: str
    metrics: str
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

    def node_settings(self) -> NodeSettings:
        """Return the part that does not concern addresses of the platform."""
        return NodeSettings(
            node=self.node,
            data_centre=self.data_centre,
            times=OwnershipTimes(
                ttl=self.group_ttl_ms / MS,
                grace=GRACE_S,
                longest_lease=self.longest_lease_ms / MS,
                longest_stop=self.longest_stop_ms / MS,
            ),
            leaving_s=self.leaving_s,
            duty_lease_s=self.duty_lease_ms / MS,
            status_kept_s=float(self.status_kept_s),
            # The platform gives a share of a core that is so many times as fast.
            processors=self.cpu_share * self.cpu_speed,
        )


def settings_path() -> Path:
    """Return where the platform has put the settings. Raises InvalidInputError."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise InvalidInputError([Finding(PATH_VARIABLE, "is not set")])
    return Path(path)


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check the settings. Raises InvalidInputError with all findings."""
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
