"""Handles evictions forced by an operator: ``POST /operator/evictions``."""

from __future__ import annotations

from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Annotated
from uuid import uuid4

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from geraniumshore import Evict, UnknownOutcomeError, Verdict, validation_findings
from geraniumshored.internal.follower import LogAppender
from geraniumshored.internal.http_types import (
    HttpAnswer,
    HttpRequest,
    answer_json,
    answer_problem,
)
from geraniumshored.internal.runtime import Runtime

__all__ = ["EvictionHandler"]

VERDICT_TIMEOUT_SECONDS = 12.0
# The record is void if another change of the view is folded before it.
MAX_ATTEMPTS = 3


class ForcedEviction(BaseModel):
    """Body of the call; ``member`` is a member's id or the name of its host."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    member: Annotated[str, Field(min_length=1)]


class EvictionHandler:
    """Evicts a member at an operator's request, without votes of other members."""

    def __init__(self, runtime: Runtime, appender: LogAppender) -> None:
        self._runtime = runtime
        self._appender = appender

    def handle(self, request: HttpRequest, operator: str) -> HttpAnswer:
        """Evict the member that the call names, and answer with the verdict."""
        try:
            wanted = ForcedEviction.model_validate_json(request.read_body())
        except ValidationError as error:
            findings = validation_findings(error, "eviction")
            return answer_problem(
                400, "bad-eviction", "the call has faults", findings=findings
            )
        member = self._resolve(wanted.member)
        if member is None:
            return answer_problem(404, "unknown-member", f"no member {wanted.member!r}")
        try:
            verdict = self._evict(member, operator)
        except (UnknownOutcomeError, FutureTimeoutError):
            return answer_problem(
                504, "unknown", "the log did not confirm it", outcome="unknown"
            )
        if not verdict.accepted:
            return answer_problem(
                409, "refused-eviction", "it is void", findings=verdict.findings
            )
        return answer_json(200, {"evicted": member, "offset": verdict.offset})

    def _resolve(self, name: str) -> str | None:
        members = self._runtime.member.state.view.members
        if name in members:
            return name
        on_host = [member for member, info in members.items() if info.host == name]
        return on_host[0] if len(on_host) == 1 else None

    def _evict(self, member: str, operator: str) -> Verdict:
        for _ in range(MAX_ATTEMPTS):
            view = self._runtime.member.state.view
            record = Evict(uuid4().hex, view.number, member, forced_by=operator)
            verdict = self._appender.append(record).result(VERDICT_TIMEOUT_SECONDS)
            if verdict.accepted or member not in view.members:
                break
        return verdict
