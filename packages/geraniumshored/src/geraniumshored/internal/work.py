"""A validated call that is ready to run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from geraniumshore import Queue

__all__ = ["Work"]


@dataclass(frozen=True, slots=True)
class Work:
    """A validated call to a request queue.

    ``deadline`` is in seconds of the monotonic clock. ``key`` is the caller's
    idempotency key. ``abandoned`` returns whether the caller has disconnected.
    """

    request_id: str
    queue_name: str
    queue: Queue
    team: str
    bearer: str | None
    body: bytes
    content_type: str
    content_encoding: str | None
    deadline: float
    key: str | None
    abandoned: Callable[[], bool]

    @property
    def service(self) -> str:
        """The service that runs the queue; every queue of kind ``request`` has one."""
        assert self.queue.service is not None
        return self.queue.service
