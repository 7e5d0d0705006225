"""The HTTP implementation of the node's ``Platform`` port."""

from __future__ import annotations

import json

from geraniumshore_scheduler import MinionListing
from geraniumshored.node.ports import OperatorRecord, Platform, Record
from geraniumshored.platform.advice import HttpAdvisers
from geraniumshored.platform.documents import (
    decode_configuration,
    decode_evacuation,
    decode_minion,
    decode_wave,
)
from geraniumshored.platform.explanations import HttpExplanationPeers
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.http_multiplexer import HttpMultiplexer
from geraniumshored.platform.machines import HttpMachines
from geraniumshored.platform.minions import HttpMinions
from geraniumshored.platform.peers import HttpPeers
from geraniumshored.platform.settings import PlatformSettings
from geraniumshored.platform.store import LogStore

__all__ = ["HttpPlatform"]

CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
EVACUATION_PREFIX = "evacuate/"


class HttpPlatform(Platform):
    """Groups all platform clients, which share one connection pool."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.http = HttpClient()
        self.store = LogStore(self.http, settings.store, settings.group_ttl_ms)
        self.minions = HttpMinions(self.http, HttpMultiplexer())
        self.peers = HttpPeers(self.http)
        self.explanations = HttpExplanationPeers(self.http)
        self.advisers = HttpAdvisers(self.http, settings.advice)
        self.machines = HttpMachines(self.http, settings.machines, settings.node)

    def decode_operator_record(self, record: Record) -> OperatorRecord | None:
        """Decode an operators' record; return None for any other record.

        Without a value a record ends an evacuation. Configurations and waves outlive
        their records.
        """
        if record.key.startswith(EVACUATION_PREFIX):
            data_centre = record.key.removeprefix(EVACUATION_PREFIX)
            return decode_evacuation(data_centre, record.value)
        if not record.value:
            return None
        if record.key == CONFIGURATION_KEY:
            return decode_configuration(record.value)
        if record.key.startswith(WAVE_PREFIX):
            return decode_wave(record.value)
        return None

    def decode_minion(self, record: Record) -> MinionListing:
        """Decode a minion's entry. The record's key is the minion's id."""
        return decode_minion(record.key, record.value)

    def wave_status(self, wave: int, done: bool) -> Record:
        """Return the status record that shows operators a wave's progress."""
        state = "done" if done else "running"
        document = {"wave": wave, "state": state}
        return Record(f"{WAVE_PREFIX}{wave}", json.dumps(document).encode())
