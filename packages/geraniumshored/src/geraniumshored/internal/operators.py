"""HTTP handlers for operators: status, fleet, releases and evictions."""

from __future__ import annotations

import hashlib
import hmac
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import asdict
from uuid import uuid4

from pydantic import TypeAdapter
from result import Err

from geraniumshore import (
    Configuration,
    Release,
    ServiceLevelHistory,
    UnknownOutcomeError,
    parse_release,
)
from geraniumshored.internal.fleet_report import (
    fleet_report,
    release_changes_since,
)
from geraniumshored.internal.follower import LogAppender
from geraniumshored.internal.forced_evictions import EvictionHandler
from geraniumshored.internal.http_types import (
    HttpAnswer,
    HttpRequest,
    answer_json,
    answer_problem,
)
from geraniumshored.internal.runtime import Runtime
from geraniumshored.internal.service_levels import ServiceLevelCounter
from geraniumshored.internal.settings import Operator

__all__ = ["OperatorHandler"]

RELEASE_TIMEOUT_SECONDS = 15.0
MAJORITY_TIMEOUT_SECONDS = 10.0
MAX_NOTE_BYTES = 8 * 1024 * 1024
_HISTORY: TypeAdapter[dict[str, ServiceLevelHistory]] = TypeAdapter(
    dict[str, ServiceLevelHistory]
)
_CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration)


class OperatorHandler:
    """Handles all paths below ``/operator``."""

    def __init__(
        self,
        runtime: Runtime,
        appender: LogAppender,
        operators: dict[str, Operator],
        levels: ServiceLevelCounter,
    ) -> None:
        self._levels = levels
        self._runtime = runtime
        self._appender = appender
        self._operators = operators
        self._evictions = EvictionHandler(runtime, appender)

    def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answer a call of an operator."""
        operator = self.identify(request.bearer)
        if operator is None:
            return answer_problem(401, "unknown-operator", "no such operator key")
        match (request.method, request.path[1:]):
            case ("GET", ("status",)):
                return answer_json(200, self._status())
            case ("GET", ("fleet",)):
                return answer_json(
                    200, self._runtime.perform(lambda m, _: fleet_report(m.state))
                )
            case ("GET", ("configuration",)):
                configuration = self._runtime.member.state.configuration
                return HttpAnswer(
                    200,
                    _CONFIGURATION.dump_json(configuration),
                    {"Content-Type": "application/json"},
                )
            case ("GET", ("service-levels",)):
                return self._service_levels()
            case ("GET", ("releases",)):
                releases = self._runtime.member.state.releases
                return answer_json(200, {"releases": [asdict(r) for r in releases]})
            case ("POST", ("releases",)):
                return self._release(request, operator)
            case ("POST", ("evictions",)):
                return self._evictions.handle(request, operator)
            case _:
                return answer_problem(404, "unknown-path", "/".join(request.path))

    def identify(self, bearer: str | None) -> str | None:
        """Return the name of the operator with this key, or None."""
        name, _, secret = (bearer or "").rpartition(".")
        operator = self._operators.get(name)
        if operator is None:
            return None
        digest = hmac.new(
            bytes.fromhex(operator.salt), secret.encode(), hashlib.sha256
        ).hexdigest()
        return name if hmac.compare_digest(digest, operator.digest) else None

    def _release(self, request: HttpRequest, operator: str) -> HttpAnswer:
        if request.content_length > MAX_NOTE_BYTES:
            return answer_problem(
                413, "body-too-large", f"want at most {MAX_NOTE_BYTES} bytes"
            )
        text = request.read_body().decode("utf-8", "replace")
        parsed = parse_release(text)
        if isinstance(parsed, Err):
            return answer_problem(
                400, "bad-note", "the note has faults", findings=parsed.err_value
            )
        record_id = request.headers.get("idempotency-key") or uuid4().hex
        record = Release(record_id, parsed.ok_value, operator)
        try:
            verdict = self._appender.append(record).result(RELEASE_TIMEOUT_SECONDS)
        except (UnknownOutcomeError, FutureTimeoutError):
            return answer_problem(
                504, "unknown", "the log did not confirm the note", outcome="unknown"
            )
        if not verdict.accepted:
            return answer_problem(
                409,
                "refused-note",
                "the note is void",
                findings=verdict.findings,
                since=release_changes_since(
                    self._runtime.member.state, parsed.ok_value.base
                ),
            )
        if not self._runtime.wait_until_folded_by_majority(
            verdict.offset, MAJORITY_TIMEOUT_SECONDS
        ):
            return answer_problem(
                504,
                "unknown",
                "the note is in the log, but no majority of members has confirmed it",
                outcome="unknown",
            )
        version = parsed.ok_value.base + 1
        return answer_json(200, {"version": version, "offset": verdict.offset})

    def _service_levels(self) -> HttpAnswer:
        """Return the folded history and the counts that only this member has so far."""
        history = self._runtime.perform(
            lambda member, _: _HISTORY.dump_python(
                member.state.service_levels, mode="json"
            )
        )
        document = {
            "history": history,
            "pending": [asdict(counts) for counts in self._levels.pending()],
            "latencies": self._runtime.metrics.encoded_latencies(),
        }
        return answer_json(200, document)

    def _status(self) -> dict[str, object]:
        return self._runtime.perform(
            lambda member, now: {
                "member": member.id,
                "host": member.info.host,
                "data_centre": member.info.data_centre,
                "authority": member.has_authority(now),
                "version": member.state.configuration.version,
                "standing": member.agreement.standing(member.state).value,
                "position": member.state.position,
                "view": member.state.view.number,
                "members": [
                    asdict(info) for info in member.state.view.members.values()
                ],
                "homes": {key: home.member for key, home in member.state.homes.items()},
                "running_by_team": {
                    team: home.ledger.total()
                    for team, home in member.team_homes.items()
                },
            }
        )
