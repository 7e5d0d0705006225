"""Fault sequences that broke a team's limit, or would without one of the rules."""

import dataclasses

import pytest

from geraniumshore import Items, Team, Withdrawn
from geraniumshore.internal import service_home, team_home
from geraniumshore.internal.homes import assign_homes, service_ledger, team_ledger
from geraniumshore.internal.ledger import Holding
from geraniumshore.internal.messages import GrantNotice, UnitGrant
from tests.common.ledger_world import LIMITS, RUN_LIMIT_SECONDS, SERVICES, LedgerWorld

SORTING = service_ledger("sorting")
RECOVERY_SECONDS = 2.0
LONG_WAIT_SECONDS = 1000.0


def start_up_to_limit(world, team="acme", service="sorting", avoid=frozenset()):
    """Use a team's whole limit through a member that is not the service's home."""
    home = world.home_of(service_ledger(service)).member
    name = next(n for n in world.active() if n != home and n not in avoid)
    for _ in range(world.limit(team)):
        world.submit(name, service, team, LONG_WAIT_SECONDS)
    world.advance(0.5)
    assert world.running_of(team) == world.limit(team)
    return name


def request_from_every_member(world, team="acme", service="sorting"):
    """Request a slot from every member; the simulation checks each start."""
    for name in world.active():
        world.submit(name, service, team, seconds=1.0)
    world.advance(0.5)


def crash_member_and_homes(world, *ledgers):
    """Crash and evict a member that runs work and the homes of ``ledgers``."""
    homes = {world.home_of(ledger).member for ledger in ledgers}
    name = start_up_to_limit(world, avoid=homes)
    for gone in (name, *homes):
        world.crash(gone)
    world.heal()
    return name


def test_work_of_a_member_that_crashed_with_the_home_counts_until_it_ends():
    world = LedgerWorld(5)
    crash_member_and_homes(world, SORTING)
    request_from_every_member(world)
    world.advance(RUN_LIMIT_SECONDS + 6.0)
    world.check_work_starts(RECOVERY_SECONDS)


def test_work_counts_when_both_homes_crash_with_the_member_that_runs_it():
    world = LedgerWorld(6)
    crash_member_and_homes(world, SORTING, team_ledger("acme"))
    request_from_every_member(world)


def test_raising_a_limit_frees_no_unaccounted_units():
    world = LedgerWorld(6)
    world.release(changed=Items(teams={"acme": Team(1.0, 4)}))
    world.advance(0.5)
    crash_member_and_homes(world, SORTING, team_ledger("acme"))
    for limit in (2, 4):
        world.release(changed=Items(teams={"acme": Team(1.0, limit)}))
        world.advance(0.3)
    request_from_every_member(world)


def test_work_of_a_withdrawn_service_counts_after_the_teams_home_moves():
    world = LedgerWorld(3)
    start_up_to_limit(world)
    world.withdraw_service("sorting")
    world.advance(0.3)
    gone = world.home_of(team_ledger("acme")).member
    runs_there = [t for t, run in world.running.items() if run.member == gone]
    world.crash(gone)
    world.heal()
    assert world.running_of("acme") >= len(runs_there)
    request_from_every_member(world, service="cutting")


def test_work_counts_when_its_team_is_withdrawn_and_added_again():
    world = LedgerWorld(3)
    start_up_to_limit(world)
    world.release(withdrawn=Withdrawn(teams=["acme"]))
    world.advance(0.3)
    world.release(added=Items(teams={"acme": Team(1.0, 3)}))
    world.advance(0.3)
    request_from_every_member(world)
    request_from_every_member(world, service="cutting")


def test_a_lowered_run_limit_does_not_shorten_what_departed_work_may_take():
    world = LedgerWorld(4)
    name = start_up_to_limit(world)
    queues = {
        name: dataclasses.replace(queue, run_limit_ms=1)
        for name, queue in world.members[name].state.configuration.queues.items()
    }
    world.release(changed=Items(queues=queues))
    world.advance(0.3)
    world.crash(name)
    world.heal()
    request_from_every_member(world)
    world.advance(RUN_LIMIT_SECONDS - 2.0)


def test_nothing_starts_above_a_lowered_limit_as_work_ends():
    world = LedgerWorld(3)
    world.release(changed=Items(teams={"bolt": Team(1.0, 4)}))
    world.advance(0.5)
    for service in ("sorting", "cutting"):
        for _ in range(4):
            world.submit(world.active()[0], service, "bolt", LONG_WAIT_SECONDS)
    world.advance(0.5)
    world.release(changed=Items(teams={"bolt": Team(1.0, 1)}))
    world.advance(0.5)
    while world.running_of("bolt") > 1:
        before = world.running_of("bolt")
        world.end_run(sorted(world.running)[0])
        world.advance(0.2)
        assert world.running_of("bolt") < before
    world.advance(RUN_LIMIT_SECONDS + 0.5)
    assert world.running_of("bolt") == 1


def test_a_service_without_minions_holds_no_idle_tokens():
    world = LedgerWorld(3)
    world.release(changed=Items(teams={"acme": Team(1.0, 1)}))
    world.release(withdrawn=Withdrawn(minions=["cutting-0", "cutting-1"]))
    world.advance(0.5)
    name = world.active()[0]
    world.submit(name, "cutting", "acme", LONG_WAIT_SECONDS)
    world.advance(1.0)
    ticket = world.submit(name, "sorting", "acme", LONG_WAIT_SECONDS)
    world.advance(1.0)
    assert ticket in world.started


@pytest.mark.parametrize("members", [3, 4, 5, 6, 7])
def test_grants_resume_immediately_after_a_services_home_is_lost(members):
    world = LedgerWorld(members)
    start_up_to_limit(world)
    world.advance(RUN_LIMIT_SECONDS + 1.0)
    world.crash(world.home_of(SORTING).member)
    world.heal()
    world.spawn()
    world.advance(1.0)
    world.check_work_starts(RECOVERY_SECONDS)


def deliver_stale_grant_after_home_moved():
    """Deliver a home's grants after its ledger has moved to a new home."""
    world = LedgerWorld(3)
    name = start_up_to_limit(world)
    home = world.home_of(SORTING)
    old = world.members[home.member].service_homes["sorting"]
    grants = [
        UnitGrant(unit_kind.team, unit_kind.minion, counts.granted)
        for unit_kind, counts in old.ledger.by_holder[name].counts_by_kind.items()
    ]
    assert sum(grant.granted for grant in grants) == world.limit("acme")
    stale = GrantNotice(SORTING, home.epoch, name, 0, tuple(grants))
    for ticket in sorted(world.running):
        world.end_run(ticket)
    world.advance(0.5)
    world.move_home(SORTING)
    start_up_to_limit(world, avoid={name})
    for _ in range(3):
        world.submit(name, "sorting", "acme", LONG_WAIT_SECONDS)
    now = world.clock_by_member[name].at(world.now)
    world.members[name].on_message(home.member, stale, now)
    world.apply_effects(name)


def move_home_while_a_holder_is_unreachable():
    """Move a home while a member that uses the whole limit cannot report."""
    world = LedgerWorld(7)
    survivors = set(world.members) - {world.home_of(SORTING).member}
    homes = assign_homes({}, survivors, SERVICES, [], LIMITS, epoch=1)
    name = start_up_to_limit(world, avoid={home.member for home in homes.values()})
    for other in list(world.members):
        world.faults.cut_pairs.add(frozenset((name, other)))
    world.crash(world.home_of(SORTING).member)
    world.faults.without_log = {name}
    world.evict(
        next(
            m for m in world.members[name].state.view.members if m not in world.members
        ),
        world.members[name].state.view.number,
    )
    world.advance(1.0)
    others = [other for other in world.active() if other != name]
    for other in others:
        world.submit(other, "sorting", "acme", LONG_WAIT_SECONDS)
    world.advance(1.0)


def crash_a_member_and_the_home():
    """Crash a home together with the only member that could report its grants."""
    world = LedgerWorld(5)
    crash_member_and_homes(world, SORTING)
    request_from_every_member(world)


def test_a_grant_of_the_old_home_is_ignored_after_the_move():
    deliver_stale_grant_after_home_moved()


def test_a_home_grants_nothing_before_every_member_has_reported():
    move_home_while_a_holder_is_unreachable()


def receive_any_epoch(holding, notice, receive=Holding.receive):
    changed = dataclasses.replace(
        notice, epoch=holding.epoch, holder_epoch=holding.holder_epoch
    )
    return receive(holding, changed)


class TestEachRuleIsNeeded:
    """Disables one rule at a time; the scenario that depends on it must fail."""

    def test_checking_the_epoch_is_needed(self, monkeypatch):
        monkeypatch.setattr(Holding, "receive", receive_any_epoch)
        with pytest.raises(AssertionError, match="running, want"):
            deliver_stale_grant_after_home_moved()

    def test_waiting_for_reports_is_needed(self, monkeypatch):
        always = property(lambda home: True)
        monkeypatch.setattr(service_home.ServiceHome, "ready", always)
        monkeypatch.setattr(service_home.ServiceHome, "complete", lambda *_: True)
        with pytest.raises(AssertionError, match="running, want"):
            move_home_while_a_holder_is_unreachable()

    def test_completeness_is_needed(self, monkeypatch):
        monkeypatch.setattr(service_home.ServiceHome, "complete", lambda *_: True)
        with pytest.raises(AssertionError, match="running, want"):
            crash_a_member_and_the_home()

    def test_the_quarantine_is_needed(self, monkeypatch):
        for module in (service_home, team_home):
            monkeypatch.setattr(module, "quarantine_until", lambda now, _: now)
        with pytest.raises(AssertionError, match="running, want"):
            crash_a_member_and_the_home()
