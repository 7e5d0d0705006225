"""The decisions of one member as a deterministic state machine.

Inputs and the current time go in, effects come out. Nothing here does I/O, reads a
clock, draws random numbers or starts threads, so tests, the daemon and benchmarks run
the same code.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import chain

from result import Err

from geraniumshore.internal.agreement import Agreement
from geraniumshore.internal.bridge import bridged_state
from geraniumshore.internal.claim_records import Answer, Claim
from geraniumshore.internal.entry import (
    Decision,
    Entry,
    Refusal,
    Refuse,
    SlotRequest,
)
from geraniumshore.internal.fleet_state import unusable_minions
from geraniumshore.internal.fold import (
    ControlState,
    Verdict,
    contiguous_entries,
    fold_entry,
)
from geraniumshore.internal.homes import (
    LedgerKey,
    pool_ledger,
    service_ledger,
    team_ledger,
)
from geraniumshore.internal.job_homes import JobHomes
from geraniumshore.internal.messages import (
    Endorsement,
    GrantNotice,
    Handover,
    HolderReport,
    Message,
    Relay,
    StateTransfer,
)
from geraniumshore.internal.platform_tasks import TaskReports
from geraniumshore.internal.records import LogEntry, MemberInfo, Record, Release
from geraniumshore.internal.repeats import HeartbeatSchedule, Repeat
from geraniumshore.internal.service_home import ServiceHome
from geraniumshore.internal.shares import SharePolicy, WeightedShares
from geraniumshore.internal.snapshot import CatchUp, WholeSnapshot, decode_state
from geraniumshore.internal.task_watch import TaskCalls
from geraniumshore.internal.team_home import TeamHome
from geraniumshore.internal.tokens import TeamTerms, TokenHolder

__all__ = ["Effects", "Member"]


@dataclass(slots=True)
class Effects:
    """What the caller must do: send messages, append records, deliver decisions."""

    messages_by_member: dict[str, list[Message]] = field(default_factory=dict)
    appends: list[Record] = field(default_factory=list)
    decisions: list[Decision] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)


class Member:
    """The decisions of one process. Not thread-safe."""

    def __init__(
        self,
        info: MemberInfo,
        new_id: Callable[[], str],
        policy: SharePolicy | None = None,
    ) -> None:
        self.info = info
        self.state = ControlState()
        self.agreement = Agreement(info, new_id)
        self.entry = Entry(info.member)
        self.service_homes: dict[str, ServiceHome] = {}
        self.team_homes: dict[str, TeamHome] = {}
        self.token_holders: dict[LedgerKey, TokenHolder] = {}
        self.unusable_minions: frozenset[str] = frozenset()
        self.unusable_hosts: frozenset[str] = frozenset()
        self._policy = policy or WeightedShares()
        self.job_homes = JobHomes(info.member, new_id, self._policy)
        self._retired_homes: dict[str, ServiceHome] = {}
        self._effects = Effects()
        self._own_messages: list[Message] = []
        self._heartbeats = HeartbeatSchedule()

    @property
    def id(self) -> str:
        """The id of this process incarnation."""
        return self.info.member

    def has_authority(self, now: float) -> bool:
        """Return whether this member may start work and grant units at ``now``."""
        return self.agreement.holds_authority(self.state, now)

    def on_entries(self, entries: Iterable[LogEntry], now: float) -> list[Verdict]:
        """Fold log entries in order and return the verdicts on their records.

        Entries that were already folded, or that follow a gap, are skipped.
        """
        new = list(contiguous_entries(entries, self.state.position))
        verdicts = [
            verdict for entry in new for verdict in fold_entry(self.state, entry)
        ]
        self._effects.verdicts.extend(verdicts)
        self.agreement.on_folded(new, self.state, now)
        # Claims are frequent and change nothing that homes or holdings depend on.
        if any(
            verdict.accepted and not isinstance(verdict.record, Claim | Answer)
            for verdict in verdicts
        ):
            self._update_homes_and_holdings(now)
            self._make_decisions(now)
        if any(v.accepted and isinstance(v.record, Release) for v in verdicts):
            # Other members wait until a majority is known to have folded the note.
            self._send_all(self.agreement.heartbeats(self.state))
        return verdicts

    def next_offset(self) -> int:
        """Return the offset from which to read the log."""
        catch_up = self.agreement.catch_up
        return self.state.position if catch_up is None else catch_up.next_offset

    def on_read(
        self,
        asked: int,
        first: int,
        tail: int,
        entries: Iterable[LogEntry],
        sent_at: float,
        now: float,
    ) -> list[Verdict]:
        """Process a log read from offset ``asked`` that was sent at ``sent_at``.

        ``first`` is the oldest offset that the log still keeps, ``tail`` the next one
        that it will assign.
        """
        # Records from peers may have advanced the position since, so ``asked`` counts.
        if tail < asked:
            self.agreement.log_reset = True
            return []
        self.agreement.snapshots.on_log_start(first, now)
        read = list(entries)
        if first > self.state.position:
            read = self._entries_after_gap(first, tail, read, now)
        else:
            self.agreement.catch_up = None
        if read and read[0].offset > self.state.position:
            # The offset was chosen before records or state arrived from peers.
            return []
        verdicts = self.on_entries(read, now)
        if self.agreement.catch_up is None and self.state.position >= tail:
            self.on_tail(sent_at, now)
        return verdicts

    def on_tail(self, sent_at: float, now: float) -> None:
        """Process that a read sent at ``sent_at`` reached the tail and was folded."""
        self.agreement.authority.confirm_tail(sent_at)
        self._make_decisions(now)

    def on_message(self, sender: str, message: Message, now: float) -> None:
        """Process a message from another member."""
        self._handle(sender, message, now)
        self._make_decisions(now)

    def on_messages(self, sender: str, messages: Iterable[Message], now: float) -> None:
        """Process messages that arrived together, and decide once."""
        for message in messages:
            self._handle(sender, message, now)
        self._make_decisions(now)

    def on_tick(self, now: float) -> None:
        """Do what is due at ``now``; call it several times per heartbeat interval."""
        self._effects.decisions.extend(self.entry.expire(now))
        self._send_all(self.agreement.on_tick(self.state, now))
        self._effects.appends.extend(self.agreement.records(self.state, now))
        self._make_decisions(now)

    def submit(self, request: SlotRequest, now: float) -> None:
        """Request a slot; a decision with the same ticket follows."""
        if not self.has_authority(now):
            refusal = Refusal.NO_AUTHORITY
        elif request.service not in self.entry.by_service:
            refusal = Refusal.NO_SERVICE
        elif not self.entry.can_queue(request):
            refusal = Refusal.QUEUE_FULL
        else:
            self.entry.submit(request)
            self._make_decisions(now)
            return
        self._effects.decisions.append(Refuse(request.ticket, refusal))

    def finish(self, ticket: str, now: float) -> None:
        """Return the slot of a started request."""
        self.entry.finish(ticket)
        self._make_decisions(now)

    def cancel(self, ticket: str, now: float) -> bool:
        """Remove a waiting request; False means that it was started or is unknown."""
        cancelled = self.entry.cancel(ticket)
        self._make_decisions(now)
        return cancelled

    def set_unusable_minions(self, minions: Iterable[str], now: float) -> None:
        """Set the minions that get no new work: leaving, draining or failed ones."""
        self.unusable_minions = frozenset(minions)
        self._configure_homes(now)
        self._make_decisions(now)

    def set_unusable_hosts(self, hosts: Iterable[str], now: float) -> None:
        """Set the hosts that get no new jobs; their running jobs are moved."""
        self.unusable_hosts = frozenset(hosts)
        self._update_pool_homes()
        self._make_decisions(now)

    def job_work(self, now: float) -> list[TaskCalls]:
        """Return the platform calls about tasks that this member must make now."""
        return self.job_homes.due_calls(now) if self.has_authority(now) else []

    def on_task_reports(self, pool: str, reports: TaskReports, now: float) -> None:
        """Process the platform's reports on a pool's tasks."""
        self.job_homes.on_reports(pool, reports, now)
        self._make_decisions(now)

    def set_suspected_minions(
        self, service: str, minions: frozenset[str], now: float
    ) -> None:
        """Report to a service's home which minions this host suspects of failing."""
        self.entry.set_suspects(service, minions)
        self._make_decisions(now)

    def max_call_seconds(self) -> float:
        """Return the maximum duration in seconds of an admitted call."""
        limits = (
            (queue.wait_limit_ms + queue.run_limit_ms) / 1000
            for queue in self.state.configuration.queues.values()
            if queue.kind == "request"
        )
        return max(limits, default=0.0)

    def drain_effects(self) -> Effects:
        """Return and clear the effects since the last call."""
        effects, self._effects = self._effects, Effects()
        return effects

    def _entries_after_gap(
        self, first: int, tail: int, entries: list[LogEntry], now: float
    ) -> list[LogEntry]:
        """Continue from a snapshot or a bridge: entries before ``first`` are lost."""
        catch_up = self.agreement.catch_up
        if catch_up is None or catch_up.first != first:
            kept = [] if catch_up is None else catch_up.entries
            stuck_since = None if catch_up is None else catch_up.stuck_since
            catch_up = CatchUp(first, stuck_since=stuck_since)
            catch_up.add(entry for entry in kept if entry.offset >= first)
            self.agreement.catch_up = catch_up
        catch_up.add(entries)
        if catch_up.newest is not None and self._adopt_if_newer(
            catch_up.newest.document, now
        ):
            return catch_up.entries
        if catch_up.bridge is not None:
            return self._apply_bridge(catch_up, catch_up.bridge, now)
        if catch_up.stuck_since is None and catch_up.next_offset >= tail:
            catch_up.stuck_since = now
        return []

    def _apply_bridge(
        self, catch_up: CatchUp, bridge: WholeSnapshot, now: float
    ) -> list[LogEntry]:
        state = bridged_state(bridge, self.state)
        if state is None:
            # This member has folded records that a majority has skipped since.
            self.agreement.lost_membership = True
            return []
        self._replace_state(state, now)
        return [entry for entry in catch_up.entries if entry.offset >= state.position]

    def _adopt_if_newer(self, document: str, now: float) -> bool:
        """Replace the folded state if the document's is further on; never go back."""
        decoded = decode_state(document)
        if isinstance(decoded, Err):
            return False
        state = decoded.ok_value
        behind = state.position <= self.state.position
        if behind or state.configuration.version < self.state.configuration.version:
            return False
        self._replace_state(state, now)
        return True

    def _replace_state(self, state: ControlState, now: float) -> None:
        self.state = state
        self.agreement.on_state_replaced(state)
        self._update_homes_and_holdings(now)

    def _handle(self, sender: str, message: Message, now: float) -> None:
        match message:
            case HolderReport():
                self._on_report(message, now)
            case GrantNotice():
                self._on_notice(message, now)
            case Relay():
                if self.agreement.bridging.may_fold_peer_records(self.state):
                    self._fold_relayed(message, now)
            case StateTransfer():
                if self.agreement.bridging.may_fold_peer_records(self.state):
                    self._adopt_if_newer(message.document, now)
            case Endorsement():
                self.agreement.on_endorsement(message)
                self._effects.appends.extend(self.agreement.records(self.state, now))
        self._send_all(self.agreement.on_message(sender, message, self.state, now))

    def _fold_relayed(self, relay: Relay, now: float) -> None:
        if relay.entries and relay.entries[0].offset <= self.state.position:
            self.on_entries(relay.entries, now)

    def _on_report(self, report: HolderReport, now: float) -> None:
        kind, _, name = report.ledger.partition("/")
        if kind == "service" and name in self.service_homes:
            self.service_homes[name].on_report(report, now)
        elif kind == "team" and name in self.team_homes:
            self.team_homes[name].on_report(report, now)

    def _on_notice(self, notice: GrantNotice, now: float) -> None:
        kind, _, name = notice.ledger.partition("/")
        if kind == "team":
            holder = self.token_holders.get(LedgerKey(notice.holder))
            if holder is not None:
                holder.on_tokens(name, notice, now)
        elif name in self.entry.by_service and notice.holder == self.id:
            decisions = self.entry.on_notice(name, notice, self.has_authority(now))
            self._effects.decisions.extend(decisions)

    def _make_decisions(self, now: float) -> None:
        """Make all decisions that are possible now and send the resulting messages."""
        repeat = self._heartbeats.due(now)
        self._report_as_entry(repeat, now)
        self._decide_as_home(repeat, now)
        while self._own_messages:
            pending, self._own_messages = self._own_messages, []
            for message in pending:
                self._handle(self.id, message, now)
            self._report_as_entry(Repeat.NOTHING, now)
            self._decide_as_home(Repeat.NOTHING, now)

    def _report_as_entry(self, repeat: Repeat, now: float) -> None:
        for service, entry in self.entry.by_service.items():
            key = service_ledger(service)
            if key not in self.state.homes or not entry.report_due(repeat):
                continue
            handover = self._handover(service, now)
            report = self.entry.report(service, key, handover)
            self._send(self.state.homes[key].member, report)

    def _decide_as_home(self, repeat: Repeat, now: float) -> None:
        if not self.has_authority(now):
            return
        for team_home in self.team_homes.values():
            if repeat or team_home.dirty:
                team_home.grant(now)
            for notice in team_home.notices(repeat):
                self._send_to_home(LedgerKey(notice.holder), notice)
        for service_home in self.service_homes.values():
            if repeat or service_home.dirty:
                service_home.grant(now)
            for notice in service_home.notices(repeat):
                self._send(notice.holder, notice)
        self._effects.appends.extend(self.job_homes.decide(now))
        for holder in self.token_holders.values():
            for report in holder.token_reports(repeat, now):
                self._send_to_home(report.ledger, report)

    def _handover(self, service: str, now: float) -> Handover | None:
        home = self.state.homes[service_ledger(service)]
        retired = self._retired_homes.get(service)
        if retired is None or home.previous != self.id:
            return None
        if retired.home.epoch != home.previous_epoch:
            # The previous epoch began and ended within one fold here, so nothing is
            # known about its grants.
            return None
        return retired.handover(now)

    def _update_homes_and_holdings(self, now: float) -> None:
        """Open, keep and retire homes and holdings according to the folded state."""
        self._update_service_homes(now)
        self._update_pool_homes()
        self._update_team_homes()
        self._configure_homes(now)

    def _update_service_homes(self, now: float) -> None:
        members = self.state.view.members
        for service in self.state.services_with_homes():
            home = self.state.homes.get(service_ledger(service))
            if home is None:
                continue
            current = self.service_homes.get(service)
            if current is not None and current.home.epoch != home.epoch:
                current.on_members(members, now)
                self._retired_homes[service] = self.service_homes.pop(service)
                del self.token_holders[service_ledger(service)]
            if home.member == self.id and service not in self.service_homes:
                opened = ServiceHome(
                    service, home, self._policy, set(members), now, self._run_limit()
                )
                self.service_homes[service] = opened
                self.token_holders[service_ledger(service)] = opened
            self.entry.switch_home(service, home.epoch)
        for service in set(self.service_homes) - set(self.state.services_with_homes()):
            del self.service_homes[service]
            del self.token_holders[service_ledger(service)]
        self.entry.retain_services(self.state.services_with_homes())

    def _update_pool_homes(self) -> None:
        for key in self.job_homes.holders():
            del self.token_holders[key]
        self.job_homes.follow(self.state, self._terms_by_team(), self.unusable_hosts)
        self.token_holders.update(self.job_homes.holders())

    def _update_team_homes(self) -> None:
        epochs = self._epoch_by_holder()
        run_limit = self._run_limit()
        for name, team in self.state.configuration.teams.items():
            home = self.state.homes.get(team_ledger(name))
            if home is None or home.member != self.id:
                self.team_homes.pop(name, None)
                continue
            current = self.team_homes.get(name)
            if current is None or current.epoch != home.epoch:
                self.team_homes[name] = TeamHome(
                    name, home.epoch, team.limit, run_limit, epochs
                )
        for name in set(self.team_homes) - set(self.state.configuration.teams):
            del self.team_homes[name]

    def _configure_homes(self, now: float) -> None:
        epochs = self._epoch_by_holder()
        run_limit = self._run_limit()
        terms = self._terms_by_team()
        for name, team_home in self.team_homes.items():
            limit = self.state.configuration.teams[name].limit
            team_home.configure(limit, run_limit, epochs, now)
        for service, service_home in self.service_homes.items():
            service_home.on_members(self.state.view.members, now)
            service_home.configure(self._slots_by_minion(service), terms, run_limit)

    def _epoch_by_holder(self) -> dict[LedgerKey, int]:
        configuration = self.state.configuration
        services = map(service_ledger, self.state.services_with_homes())
        pools = map(pool_ledger, configuration.job_pools())
        return {
            key: self.state.homes[key].epoch
            for key in chain(services, pools)
            if key in self.state.homes
        }

    def _terms_by_team(self) -> dict[str, TeamTerms]:
        return {
            name: TeamTerms(
                team.share, self.state.homes[team_ledger(name)].epoch, team.limit
            )
            for name, team in self.state.configuration.teams.items()
            if team_ledger(name) in self.state.homes
        }

    def _slots_by_minion(self, service: str) -> dict[str, int]:
        unusable = self.unusable_minions | unusable_minions(self.state)
        return {
            name: minion.slots
            for name, minion in self.state.configuration.minions.items()
            if minion.service == service and name not in unusable
        }

    def _run_limit(self) -> float:
        """Return the longest time in seconds that a run in progress may take."""
        return self.state.lingering.longest_run_ms(self.state.configuration) / 1000

    def _send_to_home(self, ledger: LedgerKey, message: Message) -> None:
        home = self.state.homes.get(ledger)
        if home is not None:
            self._send(home.member, message)

    def _send_all(self, messages: Iterable[tuple[str, Message]]) -> None:
        for member, message in messages:
            self._send(member, message)

    def _send(self, member: str, message: Message) -> None:
        if member == self.id:
            self._own_messages.append(message)
        else:
            outbox = self._effects.messages_by_member.setdefault(member, [])
            outbox.append(message)
