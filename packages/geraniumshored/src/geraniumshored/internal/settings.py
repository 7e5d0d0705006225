"""The daemon's settings, read from one JSON file and validated before the start."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from geraniumshore import Finding, PlannerTimes, load_json, validation_findings
from geraniumshored.internal.client_budget import BudgetLimits
from geraniumshored.internal.machine_limits import MachineLimits

__all__ = ["Listen", "Operator", "PlatformSettings", "Settings", "load_settings"]

IPV4 = r"^\d{1,3}(\.\d{1,3}){3}$"
Port = Annotated[int, Field(ge=1, le=65_535)]


class _SettingsModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listen(_SettingsModel):
    """An IPv4 address of this host, and a port."""

    address: Annotated[str, Field(pattern=IPV4)]
    port: Port

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class PlatformSettings(_SettingsModel):
    """Address of the platform, and the timeout of a call to it."""

    address: Annotated[str, Field(pattern=IPV4)]
    port: Port
    timeout_ms: Annotated[int, Field(ge=100, le=60_000)] = 2_000


class PlannerSettings(_SettingsModel):
    """Time after which a drain is reported, and after which a reboot has failed."""

    drain_report_ms: Annotated[int, Field(ge=100)] = 60_000
    reboot_limit_ms: Annotated[int, Field(ge=100)] = 900_000

    def times(self) -> PlannerTimes:
        """Return the settings as planner times, in seconds."""
        return PlannerTimes(self.drain_report_ms / 1000, self.reboot_limit_ms / 1000)


class Operator(_SettingsModel):
    """Salted digest of an operator's key; ``geraniumshore keys make`` creates one."""

    salt: Annotated[str, Field(pattern=r"^[0-9a-f]{16,64}$")]
    digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Settings(_SettingsModel):
    """Settings of one process; all other configuration comes from the log.

    ``peer_advertised`` is the address that other members connect to, if it differs from
    ``peer``. ``notice_ms`` is how long the balancer may continue to send calls after
    ``/readyz`` fails; a graceful shutdown serves them for that time.
    ``snapshot_seconds`` is the interval of snapshots of the folded state in the log; it
    must be well below the log's retention.
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
    memory_mb: Annotated[float | None, Field(gt=0)] = None
    max_fds: Annotated[int | None, Field(ge=1)] = None

    def client_limits(self) -> BudgetLimits:
        """Return what callers may hold, by these settings and the process's limits."""
        machine = MachineLimits.from_settings(self.memory_mb, self.max_fds)
        return BudgetLimits.from_machine(machine.memory_bytes, machine.descriptors)


def load_settings(path: Path) -> Result[Settings, tuple[Finding, ...]]:
    """Read and validate a settings file; return all its faults if there are any."""
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
