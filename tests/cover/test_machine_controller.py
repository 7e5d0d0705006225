"""Orders to machines that cannot be fenced and may be accepted without effect.

An accepted order is no proof that a minion has ended, and an order that is sent too
late could end the work of a later owner.
"""

from __future__ import annotations

import threading
from dataclasses import replace
from types import SimpleNamespace

import pytest

from geraniumshore_scheduler import (
    ANNOUNCEMENT_VALID_S,
    AnnouncedOrder,
    AnnouncedWave,
    CordonMachine,
    MachineListing,
    MachineMaintenance,
    MachineOrders,
    MaintenanceWave,
    MoveMachine,
    PlatformUnavailableError,
    Step,
    UnknownOutcomeError,
    WaveProgress,
    decode_wave_progress,
    wave_key,
)
from geraniumshored.node.machine_controller import (
    MAX_ORDERS_PER_STEP,
    MachineController,
)
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.settings import NodeSettings
from tests.common.schedule_parts import CAPACITY, SMALL, TIMES, Fleet, job

SETTINGS = NodeSettings("n", "a", TIMES, 6, 3, 120, 1.0)


class FakeMachines:
    """Accepts every order; the test decides what the list shows."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.paused_s = 0.0
        self.orders: list[tuple[str, str]] = []
        self.lost_answers = 0
        self.listed = {
            f"m-{n}": MachineListing(
                f"m-{n}", "s", True, "a", ("a", "r1"), CAPACITY, f"i-{n}"
            )
            for n in range(len(fleet.scheduler.view_by_id))
        }

    def list(self):
        return tuple(self.listed.values())

    def _order(self, kind: str, machine: str, send_by: float) -> bool:
        # The process may be suspended between its last check and the sending.
        self.fleet.now += self.paused_s
        if self.fleet.now >= send_by:
            raise PlatformUnavailableError("too late to send")
        self.orders.append((kind, machine))
        if self.lost_answers:
            self.lost_answers -= 1
            raise UnknownOutcomeError("lost")
        return True

    def move(self, machine: str, pool: str, epoch: int, send_by: float) -> bool:
        return self._order("move", machine, send_by)

    def maintain(self, machine: str, wave: int, epoch: int, send_by: float) -> bool:
        return self._order("maintain", machine, send_by)


class Bench:
    """A machine controller with fakes around it."""

    def __init__(self, minions: int = 2) -> None:
        self.fleet = Fleet(minions)
        self.machines = FakeMachines(self.fleet)
        self.waves: dict[int, AnnouncedWave] = {}
        self.recorded: dict[int, WaveProgress] = {}
        self.orders = MachineOrders("h", SETTINGS.ownership_lease_s)
        self.log_answers = True
        platform = SimpleNamespace(
            machines=self.machines,
            store=SimpleNamespace(append=lambda *_: None),
            wave_status=lambda wave, done: (wave, done),
        )
        self.controller = MachineController(
            SETTINGS,
            platform,  # type: ignore[arg-type]
            SimpleNamespace(wave_by_number=self.waves),  # type: ignore[arg-type]
            self.recorded,
            self.orders,
            self.fleet.scheduler,
            threading.RLock(),
            threading.Event(),
            NodeMetrics(),
            self._now,
            self._record,
        )

    def _now(self) -> float:
        # The clock advances at each call, so that waits for the log end.
        self.fleet.now += 0.001
        return self.fleet.now

    def _record(self) -> None:
        if self.log_answers:
            self.fleet.plan()

    def pass_time(self, seconds: float) -> None:
        self.fleet.now += seconds
        self.fleet.scheduler.authority.confirm(self.fleet.now)

    def run_one(self) -> str:
        self.fleet.add(job("a" * 16, Step(1, SMALL, 500)))
        (order,) = self.fleet.plan()
        return str(order.run.minion_id)


def test_no_orders_without_authority():
    bench = Bench()
    bench.pass_time(5)
    assert bench.controller._may_send_orders()
    bench.fleet.now += TIMES.ttl + 0.1
    assert not bench.controller._may_send_orders()


def test_only_machines_announced_by_a_former_owner_wait_for_its_lease():
    bench = Bench()
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.orders.take_over({"m-0": AnnouncedOrder("other", bench.fleet.now)})
    assert not bench.controller._prepare_order("m-0")
    assert bench.controller._prepare_order("m-1")
    bench.pass_time(ANNOUNCEMENT_VALID_S + SETTINGS.ownership_lease_s)
    assert not bench.controller._prepare_order("m-0")
    bench.pass_time(1)
    assert bench.controller._prepare_order("m-0")


def test_no_order_is_sent_before_the_log_has_its_announcement():
    bench = Bench()
    bench.waves[1] = AnnouncedWave(MaintenanceWave(1, ("m-0",), 30, 1), 0.0, 0.0)
    bench.log_answers = False
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.controller._move(MoveMachine("m-1", "spare"))
    bench.controller._step()
    assert bench.machines.orders == []
    bench.log_answers = True
    bench.pass_time(1)
    bench.controller._step()
    assert bench.machines.orders == [("maintain", "m-0")]


def test_runs_are_ended_only_once_the_list_shows_that_the_minion_is_gone():
    bench = Bench()
    minion = bench.run_one()
    machine = f"m-{minion[2:]}"
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.controller._waves.announce(MaintenanceWave(1, (machine,), 30, 1), 0.0)
    bench.controller._maintain(MachineMaintenance(machine, 1, minion_id=minion))
    bench.controller._refresh_machines()
    assert bench.fleet.scheduler.job_by_id["a" * 16].runs
    bench.controller._ending_minion_by_machine[machine] = minion
    bench.machines.listed[machine] = replace(
        bench.machines.listed[machine], up=False, minion_id=None
    )
    bench.pass_time(5)
    bench.controller._refresh_machines()
    assert not bench.fleet.scheduler.job_by_id["a" * 16].runs


@pytest.mark.parametrize("listed", [True, False])
def test_a_cordoned_minion_that_was_away_for_a_moment_takes_work_again(listed):
    """Guards against LOST: it stayed cordoned for good, with nothing on it."""
    bench = Bench()
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.controller._pools = SimpleNamespace(  # type: ignore[assignment]
        plan=lambda *_: [CordonMachine("m-0")]
    )
    bench.controller._plan_moves()
    view = bench.fleet.scheduler.view_by_id["i-0"]
    assert view.cordoned
    # It starts again under its ID, and the list lacks the minion or the whole machine.
    present = bench.machines.listed.pop("m-0")
    if listed:
        bench.machines.listed["m-0"] = replace(present, up=False, minion_id=None)
    bench.controller._pools = SimpleNamespace(  # type: ignore[assignment]
        plan=lambda *_: []
    )
    for machine in (None, present):
        if machine is not None:
            bench.machines.listed["m-0"] = machine
        bench.pass_time(5)
        bench.controller._refresh_machines()
        bench.controller._plan_moves()
    assert not view.cordoned
    assert bench.controller._cordoned == {}


def test_an_unanswered_move_is_repeated_unchanged():
    bench = Bench()
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.machines.lost_answers = 2
    bench.controller._move(MoveMachine("m-0", "spare"))
    assert bench.machines.orders == [("move", "m-0")] * 3


def test_a_planned_move_is_cancelled_if_authority_ends_before_its_order():
    bench = Bench()
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.controller._pools = SimpleNamespace(  # type: ignore[assignment]
        plan=lambda *_: [MoveMachine("m-0", "spare")]
    )
    bench.fleet.now += TIMES.ttl + 0.1
    bench.controller._plan_moves()
    assert bench.machines.orders == []
    assert bench.controller._moving == {}
    assert not bench.fleet.scheduler.view_by_id["i-0"].cordoned


@pytest.mark.parametrize("paused_s", [TIMES.ttl, ANNOUNCEMENT_VALID_S, 30.0])
def test_no_order_is_sent_after_a_pause_between_check_and_order(paused_s):
    bench = Bench()
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.machines.paused_s = paused_s
    bench.controller._move(MoveMachine("m-0", "spare"))
    assert bench.machines.orders == []
    assert bench.controller._moving == {}


def test_an_order_may_be_sent_while_announced_and_under_confirmed_ownership():
    bench = Bench()
    bench.pass_time(5)
    bench.controller._refresh_machines()
    assert bench.controller._prepare_order("m-0")
    confirmed_at = bench.fleet.scheduler.authority.confirmed_at
    send_by = bench.controller._send_by("m-0")
    assert send_by <= confirmed_at + TIMES.ttl
    assert send_by == pytest.approx(bench.orders.sendable_until("m-0"), abs=0.1)
    assert bench.controller._send_by("m-1") == float("-inf")


def test_a_new_owner_does_not_repeat_maintenance():
    bench = Bench()
    wave = MaintenanceWave(1, ("m-0", "m-1"), 30, 2)
    bench.waves[1] = AnnouncedWave(wave, 0.0, 0.0)
    bench.recorded[1] = WaveProgress(("m-0",))
    bench.pass_time(5)
    for _ in range(3):
        bench.controller._step()
    assert bench.machines.orders == [("maintain", "m-1")]


def test_a_new_owner_counts_a_former_owner_s_orders_in_the_wave_s_limit():
    bench = Bench()
    wave = MaintenanceWave(1, ("m-0", "m-1"), 30, 1)
    bench.waves[1] = AnnouncedWave(wave, 0.0, 0.0)
    bench.recorded[1] = WaveProgress(("m-0",))
    bench.pass_time(5)
    bench.orders.take_over({"m-0": AnnouncedOrder("h", bench.fleet.now)})
    bench.controller._step()
    assert bench.machines.orders == []
    bench.pass_time(bench.orders.retention_s)
    bench.controller._step()
    assert bench.machines.orders == [("maintain", "m-1")]


def test_a_new_owner_uses_the_wave_end_that_a_former_owner_recorded():
    former = Bench()
    wave = MaintenanceWave(1, ("m-0", "m-1"), 30, 1)
    former.waves[1] = AnnouncedWave(wave, former.fleet.now, former.fleet.now)
    former.log_answers = False
    former.pass_time(20)
    former.controller._plan_waves()
    value = former.fleet.scheduler._records[wave_key(1)]
    new = Bench()
    new.recorded[1] = decode_wave_progress(value)
    new.waves[1] = AnnouncedWave(wave, float("-inf"), new.fleet.now)
    new.controller._plan_waves()
    left_s = new.controller._waves.end_at(1) - new.fleet.now
    assert left_s == pytest.approx(10, abs=1)


@pytest.mark.parametrize("machines", [50, 500])
def test_moves_of_many_machines_are_announced_in_groups(machines, monkeypatch):
    """With a record for each machine, 300 nodes could not read the log any more."""
    bench = Bench(machines)
    bench.run_one()
    bench.fleet.scheduler.cancel_job("a" * 16)
    # An order takes some 10 ms, and the announcement is valid for a second.
    bench.machines.paused_s = 0.005
    announced: list[int] = []
    announce = bench.controller._announce

    def count(names):
        names = list(names)
        announced.append(len(names))
        announce(names)

    monkeypatch.setattr(bench.controller, "_announce", count)
    bench.pass_time(5)
    bench.controller._refresh_machines()
    bench.controller._plan_moves()
    moved = [machine for kind, machine in bench.machines.orders if kind == "move"]
    assert moved
    # One announcement for all; a group that takes too long would be announced again.
    assert len(announced) == 1
    assert announced[0] <= MAX_ORDERS_PER_STEP
    # The others are moved by the next steps.
    bench.pass_time(0.1)
    bench.controller._plan_moves()
    assert len(bench.machines.orders) > len(moved) or machines < MAX_ORDERS_PER_STEP
