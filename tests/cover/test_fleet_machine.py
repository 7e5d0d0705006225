"""Stateful test of maintenance with the real fold and planners, under faults."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from geraniumshore import (
    Intent,
    Items,
    ListedHost,
    PlannerTimes,
    ReleaseNote,
    Wave,
    Weights,
    Withdrawn,
)
from geraniumshore_standins.internal.fleet_simulation import (
    Deployment,
    FleetSimulation,
)
from geraniumshore_standins.internal.platform_hosts import HostTimes

TIMES = HostTimes(drain=1.0, reboot=4.0, move=1.0, list_lag=2.0)
DEPLOYMENT = Deployment(pools=3, hosts_per_pool=4, data_centres=2, max_away=2)
WAVE = Wave("kernel", pools=["p0", "p1"], parallel=3, max_failures=2)
HOSTS = sorted(DEPLOYMENT.hosts())
NOTE = DEPLOYMENT.note({"kernel": WAVE})
QUICK_REPLACEMENT = Weights(moves=0.001, roll_out=1.0, buffer=0.0)


class FleetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        note = NOTE.model_copy(
            update={
                "added": NOTE.added.model_copy(
                    update={"weights": {"default": QUICK_REPLACEMENT}}
                )
            }
        )
        self.sim = FleetSimulation(note, TIMES, PlannerTimes(5, 20), planners=2)
        self.sim.run(5, 0.5)
        self.boots_at_reboot = {}

    @property
    def listed(self):
        return [ListedHost(**e) for e in self.sim.hosts.listed(self.sim.now)]

    @rule(seconds=st.sampled_from([0.5, 2.0, 10.0]))
    def time_passes(self, seconds):
        self.sim.run(seconds, 0.5)

    @rule(number=st.integers(0, 1))
    def a_planner_acts_on_stale_state(self, number):
        self.sim.plan_without_reading_log(self.sim.planners[number], self.listed)

    @rule(
        host=st.sampled_from(HOSTS),
        action=st.sampled_from(["drain", "reboot", "return"]),
    )
    def a_planner_appends_an_unchecked_intent(self, host, action):
        wave = None if action == "return" else "kernel"
        self.sim.append(Intent(self.sim.new_id(), host, action, wave))

    @rule(number=st.integers(0, 1))
    def a_planner_pauses_or_resumes(self, number):
        member = self.sim.planners[number]
        member.paused = not member.paused

    @rule(number=st.integers(0, 1))
    def a_planner_is_replaced(self, number):
        old = self.sim.planners[number]
        fresh = FleetSimulation(NOTE, TIMES, PlannerTimes(5, 20)).planners[0]
        fresh.planner.new_id = old.planner.new_id
        fresh.state = old.state
        self.sim.planners[number] = fresh

    @rule(host=st.sampled_from(HOSTS), broken=st.booleans())
    def a_host_fails(self, host, broken):
        self.sim.hosts.fail(host, self.sim.now, broken)

    @rule(rack=st.sampled_from(sorted({h.rack for h in DEPLOYMENT.hosts().values()})))
    def a_rack_is_lost(self, rack):
        for name, host in self.sim.hosts.by_host.items():
            if host.rack == rack:
                self.sim.hosts.fail(name, self.sim.now)

    @rule(host=st.sampled_from(HOSTS))
    def a_host_is_repaired(self, host):
        self.sim.hosts.repair(host, self.sim.now)

    @rule(count=st.integers(1, 4))
    def replies_are_lost(self, count):
        self.sim.replies_to_lose += count

    @rule(host=st.sampled_from(HOSTS))
    def the_list_flaps(self, host):
        self.sim.hosts.unlisted ^= {host}

    @rule()
    def a_platform_outage_begins_or_ends(self):
        self.sim.hosts.outage = not self.sim.hosts.outage

    @rule(paused=st.booleans())
    def operators_change_the_wave(self, paused):
        wave = Wave("kernel", ["p0", "p1"], [], 3, 2, paused)
        self.change(waves={"kernel": wave})

    @rule(host=st.sampled_from(HOSTS[:8]), pool=st.sampled_from(["p0", "p1"]))
    def operators_move_a_host(self, host, pool):
        item = self.sim.state.configuration.hosts[host]
        changed = type(item)(pool, item.data_centre, item.rack)
        self.change(hosts={host: changed})

    @rule(host=st.sampled_from(HOSTS))
    def operators_withdraw_a_host_and_add_it_again(self, host):
        item = self.sim.state.configuration.hosts[host]
        base = self.sim.state.configuration.version
        withdrawn = ReleaseNote(base=base, withdrawn=Withdrawn(hosts=[host]))
        assert self.sim.release(withdrawn).accepted
        self.sim.run(1, 0.5)
        again = ReleaseNote(base=base + 1, added=Items(hosts={host: item}))
        assert self.sim.release(again).accepted

    @rule()
    def operators_withdraw_the_wave_and_add_it_again(self):
        base = self.sim.state.configuration.version
        withdrawn = ReleaseNote(base=base, withdrawn=Withdrawn(waves=["kernel"]))
        assert self.sim.release(withdrawn).accepted
        self.sim.run(3, 0.5)
        again = ReleaseNote(base=base + 1, added=Items(waves={"kernel": WAVE}))
        assert self.sim.release(again).accepted

    def change(self, **items):
        base = self.sim.state.configuration.version
        note = ReleaseNote(base=base, changed=Items(**items))
        assert self.sim.release(note).accepted

    @invariant()
    def no_budget_is_broken(self):
        assert self.sim.violations == []

    @invariant()
    def the_log_and_the_platform_agree_on_pools(self):
        for name, host in self.sim.state.fleet.by_host.items():
            actual = self.sim.hosts.by_host[name].pool
            assert actual == host.pool or actual == host.to_pool

    @invariant()
    def a_host_serves_only_while_it_is_not_drained(self):
        for name, host in self.sim.state.fleet.by_host.items():
            if host.phase.value == "serving":
                assert not self.sim.hosts.by_host[name].drained

    @invariant()
    def a_host_is_back_only_with_another_boot(self):
        last_reboot = {
            action.host: action
            for action in self.sim.hosts.by_action.values()
            if action.action == "reboot"
        }
        for name, host in self.sim.state.fleet.by_host.items():
            if host.phase.value == "rebooted":
                assert self.sim.hosts.by_host[name].boot != last_reboot[name].boot

    def teardown(self):
        """Check that without faults the wave completes and hosts are in their pools."""
        self.sim.hosts.outage = False
        self.sim.hosts.unlisted.clear()
        self.sim.replies_to_lose = 0
        for name in HOSTS:
            self.sim.hosts.repair(name, self.sim.now)
        for member in self.sim.planners:
            member.paused = False
        self.sim.run(60, 0.5)
        self.operators_change_the_wave(False)
        self.sim.run(400, 0.5)
        assert self.sim.remaining_hosts("kernel") == 0
        for name, host in self.sim.state.fleet.by_host.items():
            assert host.serving, (name, host)
            assert host.pool == self.sim.state.configuration.hosts[name].pool
        assert self.sim.violations == []


FleetMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None, derandomize=True
)
TestFleet = FleetMachine.TestCase
