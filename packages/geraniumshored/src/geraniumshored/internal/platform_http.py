"""HTTP clients for the platform's log, host list and host control.

The protocol is described in docs/PROTOCOLS.md.
"""

from __future__ import annotations

import http.client
import json
import threading
from typing import Any
from urllib.parse import urlencode

from geraniumshore import (
    ActionStatus,
    ControlLog,
    HostControl,
    HostList,
    ListedHost,
    LogRead,
    PlatformUnavailableError,
    RawEntry,
    UnknownOutcomeError,
)
from geraniumshored.internal.settings import PlatformSettings
from geraniumshored.internal.sockets import enable_keepalive

__all__ = ["HttpControlLog", "HttpHostControl", "HttpHostList", "PlatformCaller"]

MAX_ENTRIES_PER_READ = 500


class PlatformCaller:
    """Calls the platform over one connection per thread, replaced after an error."""

    def __init__(self, address: str, port: int, timeout: float) -> None:
        self._address = address
        self._port = port
        self._timeout = timeout
        self._local = threading.local()

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> PlatformCaller:
        """Return a caller for the platform in the daemon's settings."""
        return cls(settings.address, settings.port, settings.timeout_ms / 1000)

    def call(
        self, method: str, path: str, document: Any = None, extra_seconds: float = 0
    ) -> Any:
        """Call the platform and return its JSON answer.

        Raises PlatformUnavailableError if the call certainly had no effect, and
        UnknownOutcomeError if it may have had one.
        """
        connection = self._connect(extra_seconds)
        body = None if document is None else json.dumps(document).encode()
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException) as error:
            self._drop()
            raise UnknownOutcomeError(f"{method} {path}: {error!r}") from error
        if response.status >= 400:
            raise PlatformUnavailableError(
                f"{method} {path}: got status {response.status}, want 200"
            )
        return json.loads(answer)

    def _connect(self, extra_seconds: float) -> http.client.HTTPConnection:
        connection: http.client.HTTPConnection | None = getattr(
            self._local, "connection", None
        )
        timeout = self._timeout + extra_seconds
        if connection is None:
            connection = http.client.HTTPConnection(
                self._address, self._port, timeout=timeout
            )
            try:
                connection.connect()
            except OSError as error:
                raise PlatformUnavailableError(f"connect: {error!r}") from error
            enable_keepalive(connection.sock)
            self._local.connection = connection
        if connection.sock is None:
            self._drop()
            return self._connect(extra_seconds)
        connection.sock.settimeout(timeout)
        return connection

    def _drop(self) -> None:
        connection = getattr(self._local, "connection", None)
        if connection is not None:
            connection.close()
        self._local.connection = None


class HttpControlLog(ControlLog):
    """Client of the platform's log service."""

    def __init__(self, caller: PlatformCaller) -> None:
        self._caller = caller

    def append(self, document: str) -> int:
        """Append a document and return its offset."""
        answer = self._caller.call("POST", "/log/records", {"document": document})
        return int(answer["offset"])

    def read(self, offset: int, wait_seconds: float) -> LogRead:
        """Read entries from ``offset`` on by long polling."""
        query = urlencode(
            {
                "from": offset,
                "wait_ms": int(wait_seconds * 1000),
                "max": MAX_ENTRIES_PER_READ,
            }
        )
        try:
            answer = self._caller.call(
                "GET", f"/log/records?{query}", extra_seconds=wait_seconds
            )
        except UnknownOutcomeError as error:
            raise PlatformUnavailableError(str(error)) from error
        return LogRead(
            first=int(answer["first"]),
            tail=int(answer["tail"]),
            entries=tuple(
                RawEntry(int(r["offset"]), int(r["at_ms"]), str(r["document"]))
                for r in answer["records"]
            ),
        )


class HttpHostList(HostList):
    """Client of the platform's list of hosts."""

    def __init__(self, caller: PlatformCaller) -> None:
        self._caller = caller

    def list_hosts(self) -> tuple[ListedHost, ...]:
        """Return all hosts on the list."""
        try:
            answer = self._caller.call("GET", "/hosts")
        except UnknownOutcomeError as error:
            raise PlatformUnavailableError(str(error)) from error
        return tuple(
            ListedHost(h["host"], h["data_centre"], h["rack"], h["state"], h["boot"])
            for h in answer["hosts"]
        )


class HttpHostControl(HostControl):
    """Client of the platform's host control."""

    def __init__(self, caller: PlatformCaller) -> None:
        self._caller = caller

    def ensure(
        self, action_id: str, host: str, action: str, pool: str | None
    ) -> ActionStatus:
        """Start an action unless it was started before, and return its status."""
        document = {"host": host, "action": action, "pool": pool}
        answer = self._caller.call("PUT", f"/host-actions/{action_id}", document)
        return ActionStatus(
            state=answer["state"],
            boot=str(answer.get("boot", "")),
            holding=tuple(answer.get("holding", ())),
            reason=str(answer.get("reason", "")),
        )
