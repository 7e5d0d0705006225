"""Client of the platform stand-in's test interface for hosts."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from geraniumshore import Host
from geraniumshore_standins.internal.operator_client import http_call
from geraniumshore_standins.internal.platform_hosts import HostTimes

__all__ = ["platform_hosts", "put_hosts", "set_host_faults"]


def put_hosts(
    platform_address: str, hosts: Mapping[str, Host], times: HostTimes
) -> None:
    """Add ``hosts`` to the platform stand-in, all of them up."""
    document = {
        "times": asdict(times),
        "hosts": [
            {
                "host": name,
                "data_centre": host.data_centre,
                "rack": host.rack,
                "pool": host.pool,
            }
            for name, host in hosts.items()
        ],
    }
    _put(platform_address, "/test/platform-hosts", document)


def set_host_faults(platform_address: str, **faults: Any) -> None:
    """Fail or repair hosts, lose replies to host actions, or refuse the actions."""
    _put(platform_address, "/test/host-faults", faults)


def platform_hosts(platform_address: str) -> Any:
    """Return the platform's hosts and its counts of reboots and moves."""
    return http_call(platform_address, "GET", "/test/platform-hosts").json()


def _put(platform_address: str, path: str, document: Any) -> None:
    body = json.dumps(document).encode()
    reply = http_call(platform_address, "PUT", path, body)
    if reply.status != 200:
        raise ValueError(f"PUT {path}: expected status 200, got {reply.status}")
