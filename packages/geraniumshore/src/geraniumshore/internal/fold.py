"""The fold of the control log: one state, the same on every member.

A record that the state forbids is void, in the same way everywhere. So operators and
members may race: which of them wins is settled by the order of the log alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from result import Err

from geraniumshore.errors import Finding
from geraniumshore.internal.claim_records import Answer, Claim
from geraniumshore.internal.claims import Claims, fold_answer, fold_claim
from geraniumshore.internal.configuration import Configuration, apply_release
from geraniumshore.internal.fleet_fold import (
    fold_fleet_record,
    follow_release,
)
from geraniumshore.internal.fleet_state import FleetState
from geraniumshore.internal.homes import (
    Home,
    LedgerKey,
    assign_homes,
    service_ledger,
)
from geraniumshore.internal.job_fold import (
    check_job_queues,
    fold_job_record,
    set_orphans_aside,
)
from geraniumshore.internal.job_records import (
    JobsCancelled,
    JobsEnded,
    JobSettled,
    JobsStarted,
    JobSubmitted,
)
from geraniumshore.internal.jobs import JobTable, KeptJobTable
from geraniumshore.internal.pending_withdrawals import Lingering
from geraniumshore.internal.records import (
    Evict,
    Join,
    Leave,
    LogEntry,
    Record,
    Release,
    SnapshotPart,
)
from geraniumshore.internal.service_levels import (
    ServiceLevelHistory,
    ServiceLevels,
    fold_service_levels,
)
from geraniumshore.internal.view import View, apply_evict, apply_join, apply_leave

__all__ = [
    "ControlState",
    "ReleaseSummary",
    "Verdict",
    "fold_entry",
    "following",
    "reopen_homes",
]

# Ids remembered to void a record that was appended twice. At 200 appends a second
# this covers more than a minute of late duplicates.
REMEMBERED_IDS = 16_384
# After a service's home was lost, homes of teams stay put for so long and a run limit.
SERVICES_SETTLE_MS = 10_000
REMEMBERED_RELEASES = 50
# Of each note, so many names of what it touched.
REMEMBERED_CHANGES = 100


@dataclass(frozen=True, slots=True)
class ReleaseSummary:
    """One accepted release note, for the operators' history."""

    version: int
    offset: int
    author: str
    note: str
    appended_at_ms: int
    changes: tuple[str, ...] = ()


@dataclass(slots=True)
class ControlState:
    """What the log says. ``position`` is the next offset to fold."""

    position: int = 0
    view: View = field(default_factory=View)
    configuration: Configuration = field(default_factory=Configuration)
    homes: dict[LedgerKey, Home] = field(default_factory=dict)
    homes_changes: int = 0
    services_moved_ms: int = 0
    fleet: FleetState = field(default_factory=FleetState)
    lingering: Lingering = field(default_factory=Lingering)
    releases: list[ReleaseSummary] = field(default_factory=list)
    recent_ids: dict[str, None] = field(default_factory=dict)
    jobs: KeptJobTable = field(default_factory=JobTable)
    claims: Claims = field(default_factory=Claims)
    service_levels: dict[str, ServiceLevelHistory] = field(default_factory=dict)

    def served(self) -> list[str]:
        """Return the services that have homes, withdrawn ones that linger included."""
        return [*self.configuration.services, *self.lingering.until_by_service]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of one record; it is void where there are findings."""

    record: Record
    offset: int
    findings: tuple[Finding, ...]

    @property
    def accepted(self) -> bool:
        """Tell whether the record took effect."""
        return not self.findings


def fold_entry(state: ControlState, entry: LogEntry) -> Iterator[Verdict]:
    """Fold one log entry into ``state`` and yield the verdict on each record.

    The iterator must be exhausted. An entry below ``state.position`` was folded
    before and yields nothing; a gap raises ValueError, since records are missing.
    """
    if entry.offset < state.position:
        return
    if entry.offset > state.position:
        raise ValueError(f"got offset {entry.offset}, want {state.position}")
    state.position = entry.offset + 1
    for record in entry.records:
        yield Verdict(record, entry.offset, _fold_record(state, record, entry))


def following(entries: Iterable[LogEntry], position: int) -> Iterator[LogEntry]:
    """Yield the entries that follow on ``position``, up to the first gap."""
    for entry in entries:
        if entry.offset > position:
            return
        if entry.offset == position:
            position += 1
            yield entry


def _fold_record(
    state: ControlState, record: Record, entry: LogEntry
) -> tuple[Finding, ...]:
    if isinstance(record, SnapshotPart):
        return ()
    if record.id in state.recent_ids:
        return (Finding("id", f"{record.id} was appended before"),)
    _remember(state, record.id)
    match record:
        case Join():
            state.view, findings = apply_join(state.view, record)
        case Leave():
            state.view, findings = apply_leave(state.view, record)
        case Evict():
            state.view, findings = apply_evict(state.view, record)
        case Release():
            findings = _fold_release(state, record, entry)
        case (
            JobSubmitted()
            | JobsStarted()
            | JobsEnded()
            | JobsCancelled()
            | JobSettled()
        ):
            return fold_job_record(
                state.jobs,
                state.configuration,
                state.fleet,
                state.homes,
                record,
                entry.appended_at_ms,
            )
        case Claim():
            return fold_claim(state.claims, record, entry.appended_at_ms)
        case Answer():
            return fold_answer(state.claims, record, entry.appended_at_ms)
        case ServiceLevels():
            findings = ()
            fold_service_levels(
                state.service_levels,
                record,
                entry.appended_at_ms,
                state.configuration.queues,
            )
        case _:
            return fold_fleet_record(state, record, entry.appended_at_ms)
    if not findings:
        state.lingering.expire(entry.appended_at_ms)
        _update_homes(state, entry.appended_at_ms)
    return findings


def _fold_release(
    state: ControlState, record: Release, entry: LogEntry
) -> tuple[Finding, ...]:
    applied = apply_release(state.configuration, record.note)
    if isinstance(applied, Err):
        return applied.err_value
    findings = tuple(check_job_queues(state.jobs, applied.ok_value))
    if findings:
        return findings
    before, state.configuration = state.configuration, applied.ok_value
    set_orphans_aside(state.jobs, state.configuration, entry.appended_at_ms)
    follow_release(state.fleet, before, state.configuration, record.note.changed.waves)
    state.lingering.update(before, state.configuration, entry.appended_at_ms)
    state.releases.append(
        ReleaseSummary(
            state.configuration.version,
            entry.offset,
            record.author,
            record.note.note,
            entry.appended_at_ms,
            tuple(islice(record.note.changes(), REMEMBERED_CHANGES)),
        )
    )
    del state.releases[:-REMEMBERED_RELEASES]
    return ()


def _update_homes(state: ControlState, at_ms: int) -> None:
    # A team's home that moves soon after a service's would meet a home that cannot
    # yet tell what its predecessor had granted, and would have to hold the limit back.
    longest = state.lingering.longest_run_ms(state.configuration)
    hold_ms = SERVICES_SETTLE_MS + longest
    homes = assign_homes(
        state.homes,
        state.view.members,
        state.served(),
        state.configuration.job_pools(),
        state.configuration.teams,
        epoch=state.homes_changes + 1,
        after_loss=_service_leaves(state) or at_ms < state.services_moved_ms + hold_ms,
    )
    if homes != state.homes:
        if _service_leaves(state):
            state.services_moved_ms = at_ms
        state.homes = homes
        state.homes_changes += 1


def _service_leaves(state: ControlState) -> bool:
    """Tell whether a service's home is no member any more, so that it has to move."""
    return any(
        state.homes[key].member not in state.view.members
        for key in map(service_ledger, state.served())
        if key in state.homes
    )


def reopen_homes(state: ControlState) -> None:
    """Begin a new epoch of every home, so that each asks its holders again."""
    state.homes_changes += 1
    state.homes = {
        key: Home(home.member, state.homes_changes, previous=home.member)
        for key, home in state.homes.items()
    }


def _remember(state: ControlState, record_id: str) -> None:
    state.recent_ids[record_id] = None
    if len(state.recent_ids) > REMEMBERED_IDS:
        del state.recent_ids[next(iter(state.recent_ids))]
