"""HTTP client for the platform's machines API."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from geraniumshore_scheduler import (
    InvalidInputError,
    MachineListing,
    OwnerReplacedError,
    PlatformUnavailableError,
    UnknownOutcomeError,
)
from geraniumshored.node.ports import Machines
from geraniumshored.platform.documents import decode_machines
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.idle_timeout import GROWING_ANSWER_TIMEOUT_S

__all__ = ["HttpMachines"]

CALL_TIMEOUT_SECONDS = 1.0
# The list grows with the fleet, so its time limit is one on the time without a byte.
LIST_IDLE_TIMEOUT_SECONDS = 1.0


class HttpMachines(Machines):
    """Lists, moves and maintains machines.

    Commands carry this node's name and, as fencing token, the epoch of its ownership.
    """

    def __init__(self, http: HttpClient, address: str, node: str) -> None:
        self._http = http
        self._address = address
        self._node = node

    def list(self) -> tuple[MachineListing, ...]:
        """Return all machines, read page by page."""
        machines: list[MachineListing] = []
        token: str | None = None
        while True:
            target = "/v1/machines"
            if token is not None:
                target += f"?page_token={quote(token)}"
            reply = self._http.request(
                self._address,
                "GET",
                target,
                GROWING_ANSWER_TIMEOUT_S,
                idle_timeout=LIST_IDLE_TIMEOUT_SECONDS,
            )
            if reply.status != 200:
                raise PlatformUnavailableError(
                    f"machine call failed: HTTP {reply.status}"
                )
            try:
                page, token = decode_machines(reply.body)
            except InvalidInputError as error:
                raise UnknownOutcomeError(f"invalid machine list: {error}") from error
            machines.extend(page)
            if not token:
                return tuple(machines)

    def move(self, machine: str, pool: str, epoch: int, send_by: float) -> bool:
        """Move a machine to a pool. Returns whether the platform accepted it."""
        document = {"machine": machine, "pool": pool}
        return self._order("/v1/machine-move", document, epoch, send_by)

    def maintain(self, machine: str, wave: int, epoch: int, send_by: float) -> bool:
        """Start a machine's maintenance. Returns whether the platform accepted it."""
        document = {"machine": machine, "wave": wave}
        return self._order("/v1/machine-upkeep", document, epoch, send_by)

    def _order(
        self, path: str, document: dict[str, Any], epoch: int, send_by: float
    ) -> bool:
        headers = {
            "Geraniumshore-Lease-Holder": self._node,
            "Geraniumshore-Fencing-Token": str(epoch),
        }
        reply = self._http.post_json(
            self._address, path, document, CALL_TIMEOUT_SECONDS, headers, send_by
        )
        if reply.status == 200:
            return True
        if reply.status == 409 and reply.document().get("reason") == "fence":
            raise OwnerReplacedError(
                "machine command rejected: a newer fencing token is known"
            )
        if reply.status in (400, 409):
            return False
        raise PlatformUnavailableError(f"machine call failed: HTTP {reply.status}")
