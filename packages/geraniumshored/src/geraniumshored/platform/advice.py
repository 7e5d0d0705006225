"""HTTP client for the platform's advice service.

The service answers which minions are eligible for a step.
"""

from __future__ import annotations

from geraniumshore_scheduler import (
    AdviceRequest,
    InvalidInputError,
    PlatformUnavailableError,
    UnknownOutcomeError,
)
from geraniumshored.node.ports import Advice, Advisers
from geraniumshored.platform.documents import decode_advice
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.idle_timeout import GROWING_ANSWER_TIMEOUT_S

__all__ = ["HttpAdvisers"]

# The response time grows with the number of minions in the request, and so does the
# response.
ADVICE_IDLE_TIMEOUT_SECONDS = 5.0
MS_PER_SECOND = 1000


class HttpAdvisers(Advisers):
    """Requests advice from the service that the settings name."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    def advise(self, request: AdviceRequest) -> Advice:
        """Return a ticket for each eligible minion and for how long they are valid."""
        if not self._address:
            raise PlatformUnavailableError("no advice service is configured")
        document = {
            "step": str(request.step),
            "workers": list(request.incarnation_by_minion),
        }
        reply = self._http.post_json(
            self._address,
            "/v1/advise",
            document,
            GROWING_ANSWER_TIMEOUT_S,
            idle_timeout=ADVICE_IDLE_TIMEOUT_SECONDS,
        )
        if reply.status != 200:
            raise PlatformUnavailableError(
                f"advice request failed: HTTP {reply.status}"
            )
        try:
            ticket_by_minion, valid_ms = decode_advice(reply.body)
        except InvalidInputError as error:
            raise UnknownOutcomeError(f"invalid advice: {error}") from error
        return Advice(ticket_by_minion, valid_ms / MS_PER_SECOND)
