"""The daemon's settings: one JSON file, checked whole before anything starts."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from geraniumshore import Finding, PlannerTimes, load_json, validation_findings

__all__ = ["Listen", "Operator", "PlatformSettings", "Settings", "load_settings"]

IPV4 = r"^\d{1,3}(\.\d{1,3}){3}$"
Port = Annotated[int, Field(ge=1, le=65_535)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listen(_Part):
    """An address of this host, by IP number, and a port."""

    address: Annotated[str, Field(pattern=IPV4)]
    port: Port

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class PlatformSettings(_Part):
    """Where the platform answers, and how long a call to it may take."""

    address: Annotated[str, Field(pattern=IPV4)]
    port: Port
    timeout_ms: Annotated[int, Field(ge=100, le=60_000)] = 2_000


class PlannerSettings(_Part):
    """How long a drain may take before it is reported, a reboot before it failed."""

    drain_report_ms: Annotated[int, Field(ge=100)] = 60_000
    reboot_limit_ms: Annotated[int, Field(ge=100)] = 900_000

    def times(self) -> PlannerTimes:
        """Return the planner's bounds."""
        return PlannerTimes(self.drain_report_ms / 1000, self.reboot_limit_ms / 1000)


class Operator(_Part):
    """An operator's key, as a salted digest; ``geraniumshore keys make`` makes one."""

    salt: Annotated[str, Field(pattern=r"^[0-9a-f]{16,64}$")]
    digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Settings(_Part):
    """All that a process learns from its host. The rest comes from the log.

    ``peer_advertised`` is where other members connect to, where that is not ``peer``
    itself. ``notice_ms`` is how long the balancer may go on sending after ``/readyz``
    fails; a graceful shutdown serves on for that time. ``snapshot_seconds`` is how
    often the folded state goes into the log; want well below the log's retention.
    """

    host: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    http: Listen
    peer: Listen
    peer_advertised: Listen | None = None
    platform: PlatformSettings
    operators: dict[str, Operator] = {}
    planner: PlannerSettings = PlannerSettings()
    threads: Annotated[int, Field(ge=4, le=1_000)] = 96
    snapshot_seconds: Annotated[int, Field(ge=1, le=86_400)] = 240
    notice_ms: Annotated[int, Field(ge=0, le=120_000)] = 2_000


def load_settings(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """Read and check a settings file; on a fault, return all of them."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err((Finding(path.name, f"cannot be read: {error.strerror}"),))
    loaded = load_json(text, path.name)
    if isinstance(loaded, Err):
        return loaded
    try:
        return Ok(Settings.model_validate(loaded.ok_value))
    except ValidationError as error:
        return Err(validation_findings(error, path.name))
