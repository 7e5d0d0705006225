"""The platform as one object, and the decoding of what others write in its store."""

from __future__ import annotations

import json

from geraniumshore_scheduler import MinionListing
from geraniumshored.node.ports import OperatorRecord, Platform, Record
from geraniumshored.platform.advice import HttpAdvisers
from geraniumshored.platform.documents import (
    decode_configuration,
    decode_minion,
    decode_wave,
)
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.machines import HttpMachines
from geraniumshored.platform.minions import HttpMinions
from geraniumshored.platform.settings import PlatformSettings
from geraniumshored.platform.store import LogStore

__all__ = ["HttpPlatform"]

CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"


class HttpPlatform(Platform):
    """All clients of the platform over one pool of connections."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.http = HttpClient()
        self.store = LogStore(self.http, settings.store, settings.group_ttl_ms)
        self.minions = HttpMinions(self.http)
        self.advisers = HttpAdvisers(self.http, settings.advice)
        self.machines = HttpMachines(self.http, settings.machines, settings.node)

    def decode_operator_record(self, record: Record) -> OperatorRecord | None:
        """Decode a configuration or a wave; None for what a node does not use."""
        if record.key == CONFIGURATION_KEY:
            return decode_configuration(record.value)
        if record.key.startswith(WAVE_PREFIX):
            return decode_wave(record.value)
        return None

    def decode_minion(self, record: Record) -> MinionListing:
        """Decode a minion's entry; its key is the minion's id."""
        return decode_minion(record.key, record.value)

    def wave_status(self, wave: int, done: bool) -> Record:
        """Return the record that tells operators how far a wave is."""
        state = "done" if done else "running"
        document = {"wave": wave, "state": state}
        return Record(f"{WAVE_PREFIX}{wave}", json.dumps(document).encode())
