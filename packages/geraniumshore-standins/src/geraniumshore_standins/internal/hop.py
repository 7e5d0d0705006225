"""A test's handle on one hop of the fault proxy."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from geraniumshore_standins.internal.operator_client import http_call

__all__ = ["Hop"]


@dataclass(frozen=True, slots=True)
class Hop:
    """One hop: connect to ``address`` to pass through the proxy to the target."""

    address: str
    control_address: str

    def set_faults(self, **faults: Any) -> None:
        """Switch the faults of :class:`HopFaults`; those not named are off."""
        self._control("PUT", "faults", faults)

    def silence(self) -> None:
        """Let the connections that are open now go silent for good; new ones work."""
        self._control("POST", "silence", {})

    def reset(self) -> None:
        """Reset the connections that are open now."""
        self._control("POST", "reset", {})

    def state(self) -> dict[str, Any]:
        """Return the faults, and how many connections were accepted and are open."""
        return self._control("GET", "state", None)

    def _control(self, method: str, what: str, document: Any) -> dict[str, Any]:
        port = self.address.partition(":")[2]
        body = None if document is None else json.dumps(document).encode()
        reply = http_call(self.control_address, method, f"/hops/{port}/{what}", body)
        if reply.status != 200:
            raise ValueError(f"{method} {what}: got status {reply.status}, want 200")
        state: dict[str, Any] = reply.json()
        return state
