"""The fold of the control log into one state that is the same on every member.

A record that conflicts with the state is void, and every member finds it void. So
operators and members may race: the order of the log alone decides who wins.
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
    apply_release_to_fleet,
    fold_fleet_record,
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
    set_aside_unserved_jobs,
)
from geraniumshore.internal.job_records import (
    JobsCancelled,
    JobsEnded,
    JobSettled,
    JobsStarted,
    JobSubmitted,
)
from geraniumshore.internal.jobs import JobTable, SerializedJobTable
from geraniumshore.internal.pending_withdrawals import PendingWithdrawals
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
    "contiguous_entries",
    "start_new_home_epochs",
]

# Record ids kept to detect duplicate appends. At 200 appends per second this covers
# more than a minute of late duplicates.
MAX_RECENT_IDS = 16_384
# After the loss of a service's home, team homes stay in place for this time plus the
# longest run limit.
TEAM_HOMES_STAY_MS = 10_000
MAX_RELEASES_KEPT = 50
# Names of changed items kept for each release note.
MAX_CHANGES_KEPT = 100


@dataclass(frozen=True, slots=True)
class ReleaseSummary:
    """An accepted release note as kept in the operators' history."""

    version: int
    offset: int
    author: str
    note: str
    appended_at_ms: int
    changes: tuple[str, ...] = ()


@dataclass(slots=True)
class ControlState:
    """The folded state. ``position`` is the next offset to fold."""

    position: int = 0
    view: View = field(default_factory=View)
    configuration: Configuration = field(default_factory=Configuration)
    homes: dict[LedgerKey, Home] = field(default_factory=dict)
    homes_changes: int = 0
    services_moved_ms: int = 0
    fleet: FleetState = field(default_factory=FleetState)
    lingering: PendingWithdrawals = field(default_factory=PendingWithdrawals)
    releases: list[ReleaseSummary] = field(default_factory=list)
    recent_ids: dict[str, None] = field(default_factory=dict)
    jobs: SerializedJobTable = field(default_factory=JobTable)
    claims: Claims = field(default_factory=Claims)
    service_levels: dict[str, ServiceLevelHistory] = field(default_factory=dict)

    def services_with_homes(self) -> list[str]:
        """Return the services with homes, including withdrawn ones that linger."""
        return [*self.configuration.services, *self.lingering.until_by_service]


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of folding one record, which is void if there are findings."""

    record: Record
    offset: int
    findings: tuple[Finding, ...]

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return not self.findings


def fold_entry(state: ControlState, entry: LogEntry) -> Iterator[Verdict]:
    """Fold one log entry into ``state`` and yield a verdict for each record.

    The iterator must be exhausted. An entry below ``state.position`` was already folded
    and yields nothing. A gap before the entry raises ValueError, since records are
    missing.
    """
    if entry.offset < state.position:
        return
    if entry.offset > state.position:
        raise ValueError(f"expected offset {state.position}, got {entry.offset}")
    state.position = entry.offset + 1
    for record in entry.records:
        yield Verdict(record, entry.offset, _fold_record(state, record, entry))


def contiguous_entries(
    entries: Iterable[LogEntry], position: int
) -> Iterator[LogEntry]:
    """Yield the entries from ``position`` on, up to the first gap."""
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
        return (Finding("id", f"record {record.id} was already appended"),)
    _record_id(state, record.id)
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
    set_aside_unserved_jobs(state.jobs, state.configuration, entry.appended_at_ms)
    apply_release_to_fleet(
        state.fleet, before, state.configuration, record.note.changed.waves
    )
    state.lingering.update(before, state.configuration, entry.appended_at_ms)
    state.releases.append(
        ReleaseSummary(
            state.configuration.version,
            entry.offset,
            record.author,
            record.note.note,
            entry.appended_at_ms,
            tuple(islice(record.note.changes(), MAX_CHANGES_KEPT)),
        )
    )
    del state.releases[:-MAX_RELEASES_KEPT]
    return ()


def _update_homes(state: ControlState, at_ms: int) -> None:
    # If a team's home moved soon after a service's home, the new service home could not
    # yet report all that its predecessor granted, and the team's home would have to
    # withhold part of the limit.
    longest = state.lingering.longest_run_ms(state.configuration)
    hold_ms = TEAM_HOMES_STAY_MS + longest
    homes = assign_homes(
        state.homes,
        state.view.members,
        state.services_with_homes(),
        state.configuration.job_pools(),
        state.configuration.teams,
        epoch=state.homes_changes + 1,
        after_loss=_service_home_left(state)
        or at_ms < state.services_moved_ms + hold_ms,
    )
    if homes != state.homes:
        if _service_home_left(state):
            state.services_moved_ms = at_ms
        state.homes = homes
        state.homes_changes += 1


def _service_home_left(state: ControlState) -> bool:
    """Return whether the home of any service is no longer a member."""
    return any(
        state.homes[key].member not in state.view.members
        for key in map(service_ledger, state.services_with_homes())
        if key in state.homes
    )


def start_new_home_epochs(state: ControlState) -> None:
    """Start a new epoch of every home, so that all holders report again."""
    state.homes_changes += 1
    state.homes = {
        key: Home(home.member, state.homes_changes, previous=home.member)
        for key, home in state.homes.items()
    }


def _record_id(state: ControlState, record_id: str) -> None:
    state.recent_ids[record_id] = None
    if len(state.recent_ids) > MAX_RECENT_IDS:
        del state.recent_ids[next(iter(state.recent_ids))]
