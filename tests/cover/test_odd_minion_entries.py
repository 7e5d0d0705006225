"""An entry of another writer in the list of minions harms nothing but itself.

Operators of a similar system saw their nodes end, or stop following the list, after
one entry that was deeply nested, had a number too large or a port out of range.
"""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any

import pytest

from geraniumshore_scheduler import (
    InvalidInputError,
    PlatformUnavailableError,
    Step,
    UnknownOutcomeError,
)
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import PlatformFleet
from geraniumshored.node.ports import NewestPage, Record
from geraniumshored.node.views import MinionsView
from geraniumshored.platform.documents import decode_minion, decode_report
from geraniumshored.platform.http import HttpClient, HttpReply
from tests.common.schedule_parts import SMALL, Fleet, job

DEPTH = 100_000
SOUND: dict[str, Any] = {
    "service": "s",
    "addr": "127.0.0.1:8000",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "capacity": {"cpu": 16_000, "mem_mb": 32_000, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1,
}


def entry(**fields: Any) -> bytes:
    return json.dumps({**SOUND, **fields}).encode()


def entry_with(raw_field: bytes) -> bytes:
    return entry()[:-1] + b", " + raw_field + b"}"


def amounts(number: int) -> dict[str, int]:
    return {"cpu": number, "mem_mb": number, "gpu": number}


ODD_ENTRIES = {
    "nested lists": b'{"labels": ' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "nested, in an unknown field": entry_with(
        b'"x": ' + b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
    ),
    "capacity beyond a float": entry(capacity=amounts(10**400)),
    "capacity beyond 64 bits": entry(capacity=amounts(1 << 63)),
    "negative capacity": entry(capacity=amounts(-1)),
    "start time beyond a float": entry(born=10**400),
    "start time of thousands of digits": entry_with(b'"born": ' + b"9" * 5_000),
    "start time not finite": entry_with(b'"born": 1e999'),
    "start time before 1970": entry(born=-1),
    "time left beyond a float": entry(remaining_ms=10**400),
    "negative time left": entry(remaining_ms=-(10**400)),
    "port beyond 16 bits": entry(addr="127.0.0.1:99999"),
    "port beyond 64 bits": entry(addr="127.0.0.1:" + "9" * 30),
    "port of thousands of digits": entry(addr="127.0.0.1:" + "9" * 5_000),
    "port zero": entry(addr="127.0.0.1:0"),
    "negative port": entry(addr="127.0.0.1:-1"),
    "port in other digits": entry(addr="127.0.0.1:\u0663\u0663"),
    "port not a number": entry(addr="127.0.0.1:http"),
    "no port": entry(addr="127.0.0.1"),
    "no host": entry(addr=":8000"),
    "host with a line break": entry(addr="127.0.0.1\r\nX: y:80"),
    "host with a zero byte": entry(addr="127.0.0.1\0:80"),
    "host name too long": entry(addr="a" * 300 + ":80"),
    "unpaired surrogate": entry_with(b'"zone": "\\ud800"'),
    "no text": b"\xff\xfe",
    "other type": b"[]",
    **{
        f"without {name}": json.dumps(
            {other: value for other, value in SOUND.items() if other != name}
        ).encode()
        for name in SOUND
    },
    **{
        f"{name} is {odd!r}": entry(**{name: odd})
        for name, value in SOUND.items()
        for odd in ([1] if isinstance(value, str) else [str(value), True, None])
    },
}


@pytest.mark.parametrize("data", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
def test_an_odd_entry_names_no_minion(data):
    with pytest.raises(InvalidInputError):
        decode_minion("odd", data)


def test_a_sound_entry_names_one():
    assert decode_minion("i-0", entry()).address == SOUND["addr"]


@pytest.mark.parametrize("data", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
def test_all_decisions_are_taken_beside_an_odd_entry(data):
    records = [Record("odd", data, 0)]
    records += [Record(f"i-{n}", entry(addr=f"10.0.0.{n}:80"), n + 1) for n in range(2)]
    page = NewestPage(tuple(records), len(records))
    store = SimpleNamespace(newest=lambda stream, after: page)
    platform = SimpleNamespace(
        store=store,
        decode_minion=lambda record: decode_minion(record.key, record.value),
    )
    view = MinionsView(platform, lambda: 0.0)  # type: ignore[arg-type]
    assert view.read_once()
    fleet = Fleet(minions=0)
    fleet.scheduler.set_listings(view.listing_by_id, 0.0)
    for minion_id in ("i-0", "i-1"):
        fleet.report(minion_id)
    fleet.add(job("a" * 16, Step(40, SMALL, 500)))
    assert len(fleet.plan()) == 32
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.has_unplaced_tasks
    for minion_id, listed in view.listing_by_id.items():
        assert minion_id != "odd", listed


@pytest.mark.parametrize("port", ["99999", "0", "-1", "9" * 30, "9" * 5_000, "\u0663"])
def test_the_client_sends_nothing_to_an_address_that_cannot_be_one(port, monkeypatch):
    connects: list[object] = []
    monkeypatch.setattr(
        "geraniumshored.platform.http.socket.create_connection",
        lambda address, timeout: connects.append(address),
    )
    with pytest.raises(PlatformUnavailableError):
        HttpClient().request(f"127.0.0.1:{port}", "GET", "/x", 0.1)
    assert connects == []


def test_a_nested_response_has_an_unknown_outcome():
    body = b'{"reason": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"
    with pytest.raises(UnknownOutcomeError):
        HttpReply(409, body).document()


ROW = ["a.0.0.0", 1, "", 50, 0]
END = [1, "a.0.0.0", 1, "done", ""]


@pytest.mark.parametrize(
    "report",
    [
        {"clock_ms": 10**400},
        {"born": 10**400},
        {"remaining_ms": 10**400},
        {"running": [["a.0.0.0", 10**400, "", 50, 0]]},
        {"running": [["a.0.0.0", 1, "", 10**400, 0]]},
        {"running": [["a.0.0.0", 1, "", 50, float("nan")]]},
        {"running": [["a.0.0.0", 1, "", 50, float("inf")]]},
        {"running": [["a.0.0.0", 1, "", 50, 10**400]]},
        {"ended": [[10**400, "a.0.0.0", 1, "done", ""]]},
    ],
    ids=str,
)
def test_a_report_with_impossible_numbers_is_refused(report):
    sound = {"born": 1, "clock_ms": 5, "running": [ROW], "ended": [END]}
    decode_report(json.dumps(sound).encode())
    with pytest.raises(InvalidInputError):
        decode_report(json.dumps({**sound, **report}).encode())


def test_nodes_serve_jobs_and_waves_beside_odd_entries():
    """No thread and no kind of decision fails, and each oddity is logged once."""
    with PlatformFleet() as fleet:
        fleet.start()
        for number, data in enumerate(ODD_ENTRIES.values()):
            fleet.simulator.log.put("keyed.servers", f"odd-{number}", data)
        step = {"count": 3, "cpu": 500, "mem_mb": 10, "estimate_ms": 50}
        machines = list(fleet.simulator.machine_by_name)
        fleet.simulator.announce_wave(
            {"wave": 1, "machines": machines, "finish_by_s": 20, "cap": 1}
        )
        for number in range(3):
            fleet.submit("n0", f"{number:016x}", {"spec": "{}", "phases": [step]})
            fleet.wait_for_state("n1", f"{number:016x}", "done")
        wait_for(
            lambda: fleet.simulator.log.newest("keyed.status", 0, None).document[
                "items"
            ],
            "the wave is reported",
            10,
        )
        for number, data in enumerate(ODD_ENTRIES.values()):
            fleet.simulator.log.put("keyed.servers", f"odd-{number}", data)
        wait_for(
            lambda: all(m.wave == 1 for m in fleet.simulator.machine_by_name.values()),
            "all machines are maintained",
            20,
        )
        for node in fleet.node_by_name.values():
            events = node.events()
            assert [event for event in events if event["level"] == "error"] == []
            ignored = [e["key"] for e in events if e["event"] == "record ignored"]
            assert sorted(ignored) == sorted(
                f"odd-{n}" for n in range(len(ODD_ENTRIES))
            )
