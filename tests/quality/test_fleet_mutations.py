"""Mutation tests: the fleet's tests fail if a rule of fold or planner is removed."""

from dataclasses import replace

import pytest
from hypothesis import Phase as RunPhase, settings
from hypothesis.stateful import run_state_machine_as_test

from geraniumshore.internal import fleet_fold, planner
from geraniumshore.internal.fleet_state import Phase, PoolUse
from tests.cover import test_fleet_fold as rules
from tests.cover.test_fleet_machine import FleetMachine

MACHINE_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[RunPhase.generate],
)


def no_findings(*_):
    return iter(())


def without_budget_check(patch):
    patch.setattr(fleet_fold, "_check_budget", no_findings)


def without_rack_budget(patch):
    original = PoolUse.allows_drain
    patch.setattr(
        PoolUse,
        "allows_drain",
        lambda use, max_away, _, rack: original(use, max_away, None, rack),
    )


def back_with_any_boot(patch):
    def complete_reboot(host, at_ms):
        if host.phase is not Phase.REBOOTING or host.seen != "live":
            return host
        return replace(host, phase=Phase.REBOOTED, intent=None, rebooted=True)

    patch.setattr(fleet_fold, "_complete_reboot", complete_reboot)


def any_phase_may_begin_any_action(patch):
    every = frozenset(Phase)
    before = dict.fromkeys(fleet_fold.PHASES_BEFORE, every)
    patch.setattr(fleet_fold, "PHASES_BEFORE", before)


def hosts_are_never_rebooted(patch):
    patch.setattr(planner, "_may_reboot", lambda *_: False)


def run_machine():
    run_state_machine_as_test(FleetMachine, settings=MACHINE_SETTINGS)


def run_boot_rule():
    rules.test_a_host_is_back_only_with_a_new_boot_after_the_reboot_ended(
        rules.make_sim()
    )


def run_phase_rule():
    rules.test_a_host_that_serves_is_not_rebooted_moved_or_returned(
        rules.make_sim(), "reboot"
    )


@pytest.mark.parametrize(
    ("mutation", "run"),
    [
        (without_budget_check, run_machine),
        (without_rack_budget, run_machine),
        (hosts_are_never_rebooted, run_machine),
        (back_with_any_boot, run_boot_rule),
        (any_phase_may_begin_any_action, run_machine),
        (any_phase_may_begin_any_action, run_phase_rule),
    ],
)
def test_a_removed_rule_is_detected(monkeypatch, mutation, run):
    run()
    mutation(monkeypatch)
    with pytest.raises((AssertionError, KeyError, ExceptionGroup)):
        run()
