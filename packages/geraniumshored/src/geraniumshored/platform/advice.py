"""The platform's advice on minions, spoken over HTTP."""

from __future__ import annotations

from geraniumshore_scheduler import (
    AdviceRequest,
    InvalidInputError,
    PlatformUnavailableError,
    UnknownOutcomeError,
)
from geraniumshored.node.ports import Advised, Advisers
from geraniumshored.platform.documents import decode_advice
from geraniumshored.platform.http import HttpClient

__all__ = ["HttpAdvisers"]

# An answer takes some time for each minion that is named.
ADVICE_SECONDS = 5.0
MS = 1000


class HttpAdvisers(Advisers):
    """Asks the one service that the settings name."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    def advise(self, request: AdviceRequest) -> Advised:
        """Ask for one step."""
        if not self._address:
            raise PlatformUnavailableError("the settings name no service for advice")
        document = {"step": str(request.step), "workers": list(request.life_by_minion)}
        reply = self._http.post_json(
            self._address, "/v1/advise", document, ADVICE_SECONDS
        )
        if reply.status != 200:
            raise PlatformUnavailableError(f"the advice got {reply.status}")
        try:
            ticket_by_minion, valid_ms = decode_advice(reply.body)
        except InvalidInputError as error:
            raise UnknownOutcomeError(f"unreadable advice: {error}") from error
        return Advised(ticket_by_minion, valid_ms / MS)
