"""Stateful test of limits and ledgers over real members, entries and homes."""

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from geraniumshore import Items, Team, Withdrawn
from tests.common.ledger_world import LIMITS, SERVICES, LedgerWorld

INDEX = st.integers(0, 20)
MAX_MEMBERS = 5
GRANT_RECOVERY_SECONDS = 10.0
WAIT_SECONDS = 6.0
# Enough for all waiting work to start and end and for every quarantine to expire.
QUIESCE_SECONDS = 25.0

CI_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
    max_examples=50,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)


class LedgerMachine(RuleBasedStateMachine):
    """Combines faults of every kind with work that starts and ends."""

    @initialize(members=st.integers(2, 4), seed=st.integers(0, 1000))
    def begin(self, members, seed):
        self.world = LedgerWorld(members, seed)
        self.services = set(SERVICES)

    def pick(self, index):
        names = self.world.active()
        return names[index % len(names)] if names else None

    @rule(
        index=INDEX,
        service=st.sampled_from(SERVICES),
        team=st.sampled_from(sorted(LIMITS)),
        count=st.integers(1, 4),
    )
    def submit(self, index, service, team, count):
        name = self.pick(index)
        for _ in range(count if name else 0):
            self.world.submit(name, service, team, WAIT_SECONDS)
        self.world.deliver()

    @rule(index=INDEX)
    def end_work(self, index):
        tickets = sorted(self.world.running)
        if tickets:
            self.world.end_run(tickets[index % len(tickets)])

    @rule(seconds=st.sampled_from((0.1, 0.3, 1.0, 4.0)))
    def wait(self, seconds):
        self.world.advance(seconds)

    @rule(
        lost=st.sampled_from((0.0, 0.3)),
        doubled=st.sampled_from((0.0, 0.3)),
        late=st.sampled_from((0.0, 0.2)),
    )
    def disturb_network(self, lost, doubled, late):
        faults = self.world.faults
        faults.lost, faults.doubled, faults.late = lost, doubled, late

    @rule(first=INDEX, second=INDEX)
    def cut_or_mend_pair(self, first, second):
        pair = frozenset((self.pick(first), self.pick(second)))
        if len(pair) == 2:
            self.world.faults.cut_pairs ^= {pair}

    @rule(index=INDEX)
    def cut_or_mend_log(self, index):
        self.world.faults.without_log ^= {self.pick(index)}

    @precondition(lambda self: len(self.world.members) < MAX_MEMBERS)
    @rule()
    def spawn(self):
        self.world.spawn()

    @precondition(lambda self: len(self.world.active()) > 1)
    @rule(index=INDEX, evicted=st.booleans())
    def crash(self, index, evicted):
        name = self.pick(index)
        self.world.crash(name)
        if evicted:
            self.evict(name)

    @precondition(lambda self: len(self.world.active()) > 1)
    @rule(index=INDEX, evicted=st.booleans())
    def pause(self, index, evicted):
        name = self.pick(index)
        self.world.paused.add(name)
        if evicted:
            self.evict(name)

    @precondition(lambda self: len(self.world.active()) > 1)
    @rule(index=INDEX)
    def evict_living(self, index):
        self.evict(self.pick(index))

    @precondition(lambda self: self.world.paused)
    @rule()
    def resume(self):
        self.world.paused.pop()

    def evict(self, name):
        newest = max(self.world.members.values(), key=lambda m: m.state.position)
        if len(newest.state.view.members) > 1:
            self.world.evict(name, newest.state.view.number)

    @rule(team=st.sampled_from(sorted(LIMITS)), limit=st.integers(1, 6))
    def change_limit(self, team, limit):
        if self.world.limit(team):
            self.world.release(changed=Items(teams={team: Team(1.0, limit)}))

    @rule(team=st.sampled_from(sorted(LIMITS)))
    def withdraw_or_add_team(self, team):
        if self.world.limit(team):
            self.world.release(withdrawn=Withdrawn(teams=[team]))
        else:
            self.world.release(added=Items(teams={team: Team(1.0, LIMITS[team])}))

    @rule(service=st.sampled_from(SERVICES))
    def withdraw_or_add_service(self, service):
        if service in self.services:
            self.world.withdraw_service(service)
        else:
            self.world.add_service(service)
        self.services ^= {service}

    @invariant()
    def ledgers_count_all_that_holders_have(self):
        if hasattr(self, "world"):
            self.world.check_ledgers_cover_holdings()

    def teardown(self):
        if not hasattr(self, "world") or not self.services:
            return
        self.world.heal()
        self.world.advance(QUIESCE_SECONDS)
        self.world.check_work_starts(GRANT_RECOVERY_SECONDS)


def test_no_team_exceeds_its_limit_and_no_unit_leaks_under_faults():
    run_state_machine_as_test(LedgerMachine, settings=CI_SETTINGS)
