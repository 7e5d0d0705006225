"""HTTP client for the platform's task service, described in docs/PROTOCOLS.md."""

from __future__ import annotations

import base64
import binascii
from typing import Any

from pydantic import TypeAdapter, ValidationError

from geraniumshore import (
    TaskReports,
    TaskService,
    TaskStart,
    UnknownOutcomeError,
)
from geraniumshored.internal.platform_http import PlatformCaller

__all__ = ["HttpTaskService"]

_STARTS: TypeAdapter[tuple[TaskStart, ...]] = TypeAdapter(tuple[TaskStart, ...])
_REPORTS: TypeAdapter[TaskReports] = TypeAdapter(TaskReports)


class HttpTaskService(TaskService):
    """Client of the platform's task service."""

    def __init__(self, caller: PlatformCaller) -> None:
        self._caller = caller

    def start(self, starts: tuple[TaskStart, ...], lease_ms: int) -> TaskReports:
        """Start tasks, each with a lease."""
        listed = _STARTS.dump_python(starts, mode="json")
        return self._post("start", {"starts": listed, "lease_ms": lease_ms})

    def renew(self, tasks: tuple[str, ...], lease_ms: int) -> TaskReports:
        """Renew the leases of running tasks, and return reports on all of them."""
        return self._post("renew", {"tasks": tasks, "lease_ms": lease_ms})

    def stop(self, tasks: tuple[str, ...]) -> TaskReports:
        """Stop running tasks."""
        return self._post("stop", {"tasks": tasks})

    def checkpoint(self, tasks: tuple[str, ...]) -> TaskReports:
        """Save the progress of running tasks, and end them."""
        return self._post("checkpoint", {"tasks": tasks})

    def throttle(self, tasks: tuple[str, ...], fraction: float) -> TaskReports:
        """Limit tasks to a fraction of their processors."""
        return self._post("throttle", {"tasks": tasks, "fraction": fraction})

    def result(self, task: str) -> bytes | None:
        """Return a task's complete result, or None if it is no longer kept."""
        answer = self._caller.call("POST", "/tasks/result", {"task": task})
        try:
            encoded = answer["result"]
            return None if encoded is None else base64.b64decode(encoded, validate=True)
        except (KeyError, TypeError, binascii.Error) as error:
            raise UnknownOutcomeError(f"result of {task}: {error!r}") from error

    def _post(self, action: str, document: Any) -> TaskReports:
        answer = self._caller.call("POST", f"/tasks/{action}", document)
        try:
            return _REPORTS.validate_python(answer)
        except ValidationError as error:
            raise UnknownOutcomeError(f"tasks/{action}: {error}") from error
