"""A call that passed every check at the border."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from geraniumshore import Queue

__all__ = ["Work"]


@dataclass(frozen=True, slots=True)
class Work:
    """One admitted call. ``deadline`` is monotonic seconds.

    ``key`` is the caller's idempotency key; ``abandoned`` tells whether the caller's
    connection has ended.
    """

    request_id: str
    name: str
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
        """The service that answers; queues of kind ``request`` always name one."""
        assert self.queue.service is not None
        return self.queue.service
