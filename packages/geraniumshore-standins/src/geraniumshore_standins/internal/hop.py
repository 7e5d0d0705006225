"""Client that controls one hop of the fault proxy."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from geraniumshore_standins.internal.operator_client import http_call

__all__ = ["Hop"]


@dataclass(frozen=True, slots=True)
class Hop:
    """One hop. Connections to ``address`` are forwarded to the hop's target."""

    address: str
    control_address: str

    def set_faults(self, **faults: Any) -> None:
        """Set the fields of :class:`HopFaults`; fields not named get their defaults."""
        self._control("PUT", "faults", faults)

    def silence(self) -> None:
        """Stop forwarding on the open connections without closing them.

        New connections are not affected.
        """
        self._control("POST", "silence", {})

    def reset(self) -> None:
        """Reset the open connections with RST."""
        self._control("POST", "reset", {})

    def state(self) -> dict[str, Any]:
        """Return the faults and the counts of accepted and open connections."""
        return self._control("GET", "state", None)

    def _control(self, method: str, operation: str, document: Any) -> dict[str, Any]:
        port = self.address.partition(":")[2]
        body = None if document is None else json.dumps(document).encode()
        reply = http_call(
            self.control_address, method, f"/hops/{port}/{operation}", body
        )
        if reply.status != 200:
            raise ValueError(
                f"{method} {operation}: expected status 200, got {reply.status}"
            )
        state: dict[str, Any] = reply.json()
        return state
