"""Cost of one process in memory, time and message sizes by the size of the fleet.

docs/CAPACITY.md extrapolates from these measurements. Each quantity is measured at
several sizes, to tell constant costs from those that grow.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import ClassVar

from geraniumshore import (
    Configuration,
    ControlState,
    Host,
    Items,
    Join,
    Key,
    LogEntry,
    MemberInfo,
    Minion,
    Pool,
    Queue,
    Release,
    ReleaseNote,
    Service,
    Team,
    apply_release,
    decode_message,
    decode_records,
    encode_message,
    encode_records,
    fold_entry,
)
from geraniumshore.internal.homes import assign_homes, service_ledger
from geraniumshore.internal.messages import Demand, HolderReport, UnitReport
from geraniumshore.internal.snapshot import encode_state
from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)

__all__ = ["CapacityExperiment"]

REPEATS = 5
MICROSECONDS_PER_SECOND = 1_000_000
BYTES_PER_KIBIBYTE = 1024


@dataclass(frozen=True, slots=True)
class Size:
    """One fleet size. Each pool has one service, with a minion on each host."""

    name: str
    hosts: int
    pools: int
    teams: int
    members: int


TODAY = Size("today, 40 hosts", hosts=40, pools=5, teams=6, members=9)
TENTH = Size("390 hosts", hosts=390, pools=8, teams=26, members=27)
TARGET = Size("target, 3,900 hosts", hosts=3_900, pools=31, teams=260, members=90)


@register
class CapacityExperiment(Experiment):
    """Memory, processor time and message sizes of one process by fleet size."""

    name: ClassVar[str] = "capacity"
    purpose: ClassVar[str] = "slopes for docs/CAPACITY.md"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the measurements for each size; ``seed`` has no effect."""
        for size in (TODAY, TENTH, TARGET):
            for measured in _measure(size):
                yield Measurement(
                    size.name, measured.name, measured.value, measured.unit
                )


def initial_items(size: Size) -> Items:
    """Return the items of a release note that configures a fleet of that size."""
    host_names = [f"host-{number}" for number in range(size.hosts)]
    return Items(
        pools={f"pool-{n}": Pool(max_away=4) for n in range(size.pools)},
        hosts={
            name: Host(
                pool=f"pool-{n % size.pools}",
                data_centre=f"dc-{n % 18}",
                rack=f"rack-{n // 4}",
            )
            for n, name in enumerate(host_names)
        },
        services={f"service-{n}": Service() for n in range(size.pools)},
        minions={
            f"minion-{n}": Minion(f"service-{n % size.pools}", "127.0.0.1:9000", name)
            for n, name in enumerate(host_names)
        },
        teams={f"team-{n}": Team(1.0, 400) for n in range(size.teams)},
        keys={
            f"key-{n}": Key(f"team-{n}", "0" * 32, "0" * 64) for n in range(size.teams)
        },
        queues={f"queue-{n}": Queue(service=f"service-{n}") for n in range(size.pools)},
    )


def folded_state(size: Size) -> ControlState:
    """Return the folded state once all members joined and the note was applied."""
    state = ControlState()
    for number in range(size.members):
        name = f"member-{number}"
        info = MemberInfo(name, name, "dc-1", "127.0.0.1:1", "127.0.0.1:2")
        endorsers = tuple(state.view.members)
        join = Join(f"join-{number}", state.view.number, info, endorsers)
        _fold(state, join)
    _fold(state, Release("release-1", ReleaseNote(base=0, added=initial_items(size))))
    return state


def _fold(state: ControlState, record: Join | Release) -> None:
    for verdict in fold_entry(state, LogEntry(state.position, 0, (record,))):
        if not verdict.accepted:
            raise ValueError(f"expected an accepted record, got {verdict.findings}")


def _measure(size: Size) -> Iterator[Measurement]:
    state, state_bytes = _with_allocated_bytes(lambda: folded_state(size))
    yield _measurement(
        "memory of the folded state", state_bytes / BYTES_PER_KIBIBYTE, "KiB"
    )
    yield _measurement(
        "whole snapshot", len(encode_state(state)) / BYTES_PER_KIBIBYTE, "KiB"
    )
    yield _measurement(
        "encode a snapshot", _shortest_us(lambda: encode_state(state)), "us"
    )
    yield _measurement(
        "apply a note that changes one team",
        _shortest_us(lambda: apply_release(state.configuration, _small_note(state))),
        "us",
    )
    yield _measurement(
        "assign all homes", _shortest_us(lambda: _assign_homes(state)), "us"
    )
    release = Release("r", _small_note(state))
    document = encode_records((release,))
    yield _measurement("a small note in the log", len(document), "B")
    yield _measurement(
        "decode it", _shortest_us(lambda: decode_records(document, "x")), "us"
    )
    yield from _measure_report(size)


def _measure_report(size: Size) -> Iterator[Measurement]:
    """Measure one entry host's report to a service's home, if all teams use it."""
    minions = size.hosts // size.pools
    teams = [f"team-{n}" for n in range(min(size.teams, 8 * minions))]
    report = HolderReport(
        ledger=service_ledger("service-1"),
        epoch=1,
        holder="member-1",
        holder_epoch=0,
        sequence=7,
        lanes=tuple(
            UnitReport(team, f"minion-{n % minions}", 1_000, 999)
            for n, team in enumerate(teams)
        ),
        demand=tuple(Demand(team, False, 3) for team in teams),
    )
    document = encode_message(report)
    yield _measurement("report of a service's holder", len(document), "B")
    yield _measurement("encode it", _shortest_us(lambda: encode_message(report)), "us")
    yield _measurement(
        "decode a report", _shortest_us(lambda: decode_message(document)), "us"
    )


def _small_note(state: ControlState) -> ReleaseNote:
    changed = Items(teams={"team-0": Team(2.0, 300)})
    return ReleaseNote(base=state.configuration.version, changed=changed)


def _assign_homes(state: ControlState) -> None:
    configuration: Configuration = state.configuration
    assign_homes(
        state.homes,
        state.view.members,
        configuration.services,
        configuration.pools,
        configuration.teams,
        epoch=state.homes_changes + 1,
    )


def _measurement(name: str, value: float, unit: str) -> Measurement:
    return Measurement("", name, value, unit)


def _with_allocated_bytes(
    build: Callable[[], ControlState],
) -> tuple[ControlState, int]:
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return built, kept


def _shortest_us(action: Callable[[], object]) -> float:
    """Return the shortest duration of several runs, in microseconds."""
    shortest = float("inf")
    for _ in range(REPEATS):
        began = time.perf_counter()
        action()
        shortest = min(shortest, time.perf_counter() - began)
    return shortest * MICROSECONDS_PER_SECOND
