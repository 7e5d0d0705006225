"""Configurations and jobs, as the operator and the callers write them."""

from __future__ import annotations

import json
from typing import Any

__all__ = ["configuration", "job", "job_id", "step"]


def configuration(
    version: int,
    routes: dict[str, str],
    tenants: dict[str, int] | None = None,
    max_attempts: int = 3,
) -> dict[str, Any]:
    """Return a configuration: routes with their services, tenants with their caps.

    The route ``name`` has the prefix ``/name/``. The tenants' keys are key-1, key-2 and
    so on. A cap of 0 means no limit.
    """
    tenants = tenants or {"tenant-1": 0}
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": "queues.example",
                "path_prefix": f"/{name}/",
                "service": service,
                "priority": 0,
                "max_attempts": max_attempts,
                "stretch": 1.6,
                "target_latency_ms": 600,
            }
            for name, service in routes.items()
        ],
        "services": [{"name": name} for name in sorted(set(routes.values()))],
        "tenants": [
            {
                "name": name,
                "api_keys": [f"key-{number}"],
                "weight": 1,
                "cap": {"cpu": cap, "mem_mb": 0, "gpu": 0},
            }
            for number, (name, cap) in enumerate(tenants.items(), 1)
        ],
        "limits": {"max_body_bytes": 262_144},
    }


def job_id(number: int) -> str:
    """Return a job's id of 16 hexadecimal digits."""
    return f"{0x5C0E_0000_0000_0000 + number:016x}"


def step(
    count: int, cpu: int, mem_mb: int, estimate_ms: int, **more: Any
) -> dict[str, Any]:
    """Return a step of a job."""
    sizes = {"count": count, "cpu": cpu, "mem_mb": mem_mb, "estimate_ms": estimate_ms}
    return {**sizes, **more}


def job(plan: dict[str, Any], *steps: dict[str, Any], **more: Any) -> dict[str, Any]:
    """Return a job. ``plan`` tells the stand-in minions what its tasks do."""
    return {"spec": json.dumps(plan), "phases": list(steps), **more}
