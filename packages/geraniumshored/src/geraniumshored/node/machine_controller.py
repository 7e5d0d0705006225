"""Executes the owner's decisions on machines: moves between pools and maintenance."""

from __future__ import annotations

import logging
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from itertools import islice

from geraniumshore_scheduler import (
    ANNOUNCEMENT_VALID_S,
    MACHINE_ORDERS_KEY,
    AnnouncedWave,
    CordonMachine,
    MachineListing,
    MachineMaintenance,
    MachineOrders,
    MoveMachine,
    OwnerReplacedError,
    PlatformUnavailableError,
    PoolMachines,
    PoolOrder,
    PoolPolicy,
    Scheduler,
    UncordonMachine,
    UnknownOutcomeError,
    WaveProgress,
    WaveRegistry,
    encode_machine_orders,
    encode_wave_progress,
    wave_key,
)
from geraniumshored.node.clock import wall_ms
from geraniumshored.node.logs import log_event
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import Platform, Stream
from geraniumshored.node.settings import NodeSettings
from geraniumshored.node.views import OperatorsView

__all__ = ["MachineController"]

logger = logging.getLogger(__name__)

# The orders that are announced together. They are sent one after the other, and an
# announcement is valid for a second: with 1,900 moves in one announcement, each one
# after the first hundred or so was announced again by itself. Every node reads all of
# these records, which at 300 nodes took more than the store can deliver.
MAX_ORDERS_PER_STEP = 100
MS_PER_S = 1000.0
# Interval between decision rounds. A move takes over a second, so shorter is no use.
DECISION_INTERVAL_S = 0.1
# Interval between reads of the machine list while there is work, and when idle.
BUSY_LIST_INTERVAL_S = 0.5
IDLE_LIST_INTERVAL_S = 2.0
# How often to check whether an announcement is in the log, which takes some 20 ms.
DURABLE_CHECK_INTERVAL_S = 0.005


class MachineController:
    """Sends one owner's orders to machines.

    The platform may have no fence for these orders. They are therefore sent only while
    the log is certain to count this process as the owner, and only to machines that
    were announced in the log before.
    """

    def __init__(
        self,
        settings: NodeSettings,
        platform: Platform,
        operators: OperatorsView,
        progress_by_wave: Mapping[int, WaveProgress],
        orders: MachineOrders,
        scheduler: Scheduler,
        lock: threading.RLock,
        stopped: threading.Event,
        metrics: NodeMetrics,
        now: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._operators = operators
        self._progress_by_wave = progress_by_wave
        self._orders = orders
        self._scheduler = scheduler
        self._lock = lock
        self._stopped = stopped
        self._metrics = metrics
        self._now = now
        self._on_change = on_change
        self._waves = WaveRegistry()
        self._pools = PoolPolicy()
        self._machine_by_name: dict[str, MachineListing] = {}
        self._listed_at = float("-inf")
        # Ordered moves and the former minions, by machine, until the list shows the new
        # minion in the target pool.
        self._moving: dict[str, tuple[MoveMachine, str | None]] = {}
        # Machines, with their minions, that are cordoned in order to be moved.
        self._cordoned: dict[str, str | None] = {}
        # Minions that an order ends, by machine, until the list no longer has them. An
        # accepted order is no proof that its minion ended: the platform also accepts an
        # order that was carried out before, on an earlier minion.
        self._ending_minion_by_machine: dict[str, str] = {}

    def start(self) -> None:
        """Start the thread that takes decisions."""
        threading.Thread(target=self._run, name="machines", daemon=True).start()

    def _run(self) -> None:
        while not self._stopped.wait(DECISION_INTERVAL_S):
            try:
                if self._may_send_orders():
                    self._step()
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                log_event(logger, "machines unanswered", cause=str(error))
            except OwnerReplacedError as error:
                log_event(logger, "machines have another owner", cause=str(error))
            except Exception:
                logger.exception("fault in the decisions on machines")

    def _may_send_orders(self) -> bool:
        with self._lock:
            if self._scheduler.unread_jobs:
                # Tasks of jobs that are not known yet cannot be spared.
                return False
            times = self._settings.times
            return self._scheduler.authority.holds_unfenced(self._now(), times)

    def _prepare_order(self, machine: str) -> bool:
        """Announce an order if needed; return whether it may be sent now."""
        if not self._may_send_orders():
            return False
        if not self._orders.may_send(machine, self._now()):
            self._announce([machine])
        return self._may_send_orders() and self._orders.may_send(machine, self._now())

    def _send_by(self, machine: str) -> float:
        """Return the time until which an order to a machine may be sent."""
        with self._lock:
            ends_at = self._scheduler.authority.unfenced_until(self._settings.times)
        return min(ends_at, self._orders.sendable_until(machine))

    def _announce(self, machines: Iterable[str]) -> None:
        """Record in the log which machines are about to get orders."""
        announced_at = self._now()
        free = [m for m in machines if self._orders.may_announce(m, announced_at)]
        if not free:
            return
        announced = self._orders.announce(free, announced_at)
        with self._lock:
            batch = self._scheduler.record(
                MACHINE_ORDERS_KEY, encode_machine_orders(announced, announced_at)
            )
        self._on_change()
        while self._now() < announced_at + ANNOUNCEMENT_VALID_S:
            with self._lock:
                if self._scheduler.is_durable(batch):
                    self._orders.on_announcement_durable(free, announced_at)
                    return
            if self._stopped.wait(DURABLE_CHECK_INTERVAL_S):
                return

    @staticmethod
    def _send_order(what: str, machine: str, order: Callable[[], bool]) -> bool | None:
        """Send an order once; return whether it was accepted, or None if unanswered."""
        try:
            return order()
        except PlatformUnavailableError:
            return False
        except UnknownOutcomeError as error:
            log_event(logger, f"{what} unanswered", machine=machine, cause=str(error))
            return None

    def _step(self) -> None:
        self._refresh_machines()
        self._plan_waves()
        self._plan_moves()
        self._report_waves()

    def _refresh_machines(self) -> None:
        busy = self._waves.busy or self._moving or self._scheduler.has_waiting_tasks()
        interval = BUSY_LIST_INTERVAL_S if busy else IDLE_LIST_INTERVAL_S
        if self._now() < self._listed_at + interval:
            return
        machines = self._platform.machines.list()
        self._listed_at = self._now()
        self._machine_by_name = {machine.machine: machine for machine in machines}
        with self._lock:
            self._waves.update_machines(self._machine_by_name)
            self._reconcile_ended_minions()
        standby = self._scheduler.standby_pool()
        for name, (move, former) in list(self._moving.items()):
            listed = self._machine_by_name.get(name)
            if listed is None:
                del self._moving[name]
                continue
            # A machine in the standby pool is off and has no minion.
            has_new_minion = (
                listed.minion_id not in (None, former) or move.pool == standby
            )
            if listed.up and listed.pool == move.pool and has_new_minion:
                del self._moving[name]

    def _reconcile_ended_minions(self) -> None:
        for name, minion_id in list(self._ending_minion_by_machine.items()):
            listed = self._machine_by_name.get(name)
            if listed is None or listed.minion_id != minion_id:
                del self._ending_minion_by_machine[name]
                self._scheduler.on_minion_replaced(minion_id, self._now())
            elif listed.up and name not in self._moving:
                # The order did not end this minion.
                del self._ending_minion_by_machine[name]
                self._set_cordoned(minion_id, False)

    def _set_cordoned(self, minion_id: str | None, cordoned: bool) -> None:
        self._scheduler.set_cordoned(minion_id or "", cordoned)

    # Maintenance.

    def _plan_waves(self) -> None:
        with self._lock:
            for announced in list(self._operators.wave_by_number.values()):
                self._register_wave(announced)
            standby = self._scheduler.standby_pool()
            orders = list(self._waves.unanswered())
            orders.extend(
                self._waves.plan(
                    self._machine_by_name,
                    self._scheduler.view_by_id,
                    self._scheduler.job_by_id,
                    [standby] if standby else [],
                    self._now(),
                    self._orders.maybe_ordered_by_former_owner(self._now()),
                )
            )
        self._on_change()
        for first in range(0, len(orders), MAX_ORDERS_PER_STEP):
            group = orders[first : first + MAX_ORDERS_PER_STEP]
            self._announce(maintenance.machine for maintenance in group)
            for maintenance in group:
                if self._prepare_order(maintenance.machine):
                    self._maintain(maintenance)

    def _register_wave(self, announced: AnnouncedWave) -> None:
        wave = announced.wave
        progress = self._progress_by_wave.get(wave.number, WaveProgress())
        end_at = None
        if progress.end_wall_ms is not None:
            end_at = self._now() + (progress.end_wall_ms - wall_ms()) / MS_PER_S
        announced_at = announced.announced_at(end_at)
        if self._waves.announce(wave, announced_at, progress.begun):
            self._record_progress(wave.number)

    def _record_progress(self, number: int) -> None:
        left_s = self._waves.end_at(number) - self._now()
        progress = WaveProgress(
            tuple(self._waves.maintained(number)), wall_ms() + int(left_s * MS_PER_S)
        )
        self._scheduler.record(wave_key(number), encode_wave_progress(progress))

    def _maintain(self, maintenance: MachineMaintenance) -> None:
        epoch = self._scheduler.authority.epoch
        begun = self._send_order(
            "upkeep",
            maintenance.machine,
            lambda: self._platform.machines.maintain(
                maintenance.machine,
                maintenance.wave,
                epoch,
                self._send_by(maintenance.machine),
            ),
        )
        self._metrics.count("upkeeps", str(begun))
        log_event(
            logger,
            "upkeep ordered",
            machine=maintenance.machine,
            wave=maintenance.wave,
            minion=maintenance.minion_id,
            begun=begun,
        )
        with self._lock:
            self._waves.on_answer(maintenance, begun)
            if begun:
                self._record_progress(maintenance.wave)
                if maintenance.minion_id is not None:
                    self._ending_minion_by_machine[maintenance.machine] = (
                        maintenance.minion_id
                    )
                self._listed_at = float("-inf")

    def _report_waves(self) -> None:
        for number, done in list(self._waves.unreported_waves()):
            record = self._platform.wave_status(number, done)
            self._platform.store.append(Stream.STATUS, [record])
            self._waves.mark_reported(number, done)
            log_event(logger, "wave told", wave=number, done=done)

    # Moves.

    def _plan_moves(self) -> None:
        with self._lock:
            now = self._now()
            standby = self._scheduler.standby_pool()
            machines = self._classify_machines(standby, now)
            loads = self._scheduler.pool_loads(now)
            orders = self._pools.plan(loads, machines, standby, now)
            applied = (self._apply_pool_order(order) for order in orders)
            moves = list(islice(filter(None, applied), MAX_ORDERS_PER_STEP))
        self._announce(move.machine for move in moves)
        for move in moves:
            self._move(move)

    def _classify_machines(self, standby: str | None, now: float) -> PoolMachines:
        """Return which machines may be moved, and which cordoned for a move."""
        in_maintenance = self._waves.unavailable_machines()
        inbound_by_pool = Counter(
            move.pool
            for name, (move, _) in self._moving.items()
            if not self._is_evacuated(name)
        )
        size_by_pool: Counter[str] = Counter()
        idle_by_pool: dict[str, list[MachineListing]] = defaultdict(list)
        cordonable_by_pool: dict[str, list[MachineListing]] = defaultdict(list)
        for name, machine in self._machine_by_name.items():
            if name in self._moving:
                continue
            # An evacuated machine stays where it is and counts for no pool.
            evacuated = self._is_evacuated(name)
            size_by_pool[machine.pool] += not evacuated
            if name in in_maintenance:
                # Its maintenance wave drains it now.
                self._cordoned.pop(name, None)
            elif evacuated or not self._orders.may_announce(name, now):
                self._uncordon(name)
            elif self._is_idle(machine, standby):
                idle_by_pool[machine.pool].append(machine)
            elif name not in self._cordoned and self._can_cordon(machine):
                cordonable_by_pool[machine.pool].append(machine)
        for machines in cordonable_by_pool.values():
            machines.sort(key=self._estimated_free_in_s)
        return PoolMachines(
            size_by_pool,
            idle_by_pool,
            cordonable_by_pool,
            inbound_by_pool,
            self._cordoned_machines(),
        )

    def _is_evacuated(self, name: str) -> bool:
        machine = self._machine_by_name.get(name)
        return machine is not None and (
            machine.data_centre in self._scheduler.evacuated
        )

    def _is_idle(self, machine: MachineListing, standby: str | None) -> bool:
        if not machine.up:
            return False
        if machine.pool == standby:
            return True
        view = self._scheduler.view_by_id.get(machine.minion_id or "")
        return (
            view is not None
            and view.responsive
            and not view.runs
            and not view.untracked_runs
        )

    def _can_cordon(self, machine: MachineListing) -> bool:
        """Return whether a machine accepts work and will become free by itself.

        It does not if it has a long-running task.
        """
        view = self._scheduler.view_by_id.get(machine.minion_id or "")
        return (
            machine.up
            and view is not None
            and view.accepts(self._now())
            and not any(run.step.lasting for run in view.runs.values())
        )

    def _estimated_free_in_s(self, machine: MachineListing) -> float:
        """Return the estimated time in seconds until a machine's tasks complete."""
        view = self._scheduler.view_by_id[machine.minion_id or ""]
        return max(
            (
                self._scheduler.estimate_s(run) * (1 - run.percent / 100)
                for run in view.runs.values()
            ),
            default=0.0,
        )

    def _cordoned_machines(self) -> dict[str, MachineListing]:
        """Return the cordoned machines that still have the same minion.

        The others' minions are uncordoned: one that was away may come back under its
        ID, and nothing would release it then.
        """
        listed = self._machine_by_name
        for name, minion_id in list(self._cordoned.items()):
            if name not in listed or listed[name].minion_id != minion_id:
                self._uncordon(name)
        return {name: listed[name] for name in self._cordoned}

    def _apply_pool_order(self, order: PoolOrder) -> MoveMachine | None:
        """Apply a decision on a machine; return the move to order, if it is one."""
        if isinstance(order, CordonMachine):
            minion_id = self._machine_by_name[order.machine].minion_id
            self._cordoned[order.machine] = minion_id
            self._set_cordoned(minion_id, True)
        elif isinstance(order, UncordonMachine):
            self._uncordon(order.machine)
        else:
            self._cordoned.pop(order.machine, None)
            self._start_move(order)
            return order
        return None

    def _uncordon(self, machine: str) -> None:
        """Let a machine that was cordoned for a move accept work again."""
        if machine in self._cordoned:
            self._set_cordoned(self._cordoned.pop(machine), False)

    def _start_move(self, move: MoveMachine) -> None:
        minion_id = self._machine_by_name[move.machine].minion_id
        self._moving[move.machine] = move, minion_id
        self._set_cordoned(minion_id, True)

    def _move(self, move: MoveMachine) -> None:
        """Order a move, and repeat the same order while there is no answer.

        The move is cancelled if the authority to order it ends.
        """
        machine = self._machine_by_name[move.machine]
        moved: bool | None = None
        epoch = self._scheduler.authority.epoch
        if self._is_evacuated(move.machine):
            # It was planned before the evacuation. An order without an answer is
            # repeated all the same, as it may be carried out.
            moved = False
        while moved is None and self._prepare_order(move.machine):
            moved = self._send_order(
                "move",
                move.machine,
                lambda: self._platform.machines.move(
                    move.machine, move.pool, epoch, self._send_by(move.machine)
                ),
            )
        self._metrics.count("moves", str(moved))
        log_event(
            logger,
            "machine moved",
            machine=move.machine,
            before=machine.pool,
            pool=move.pool,
            minion=machine.minion_id,
            moved=moved,
        )
        with self._lock:
            if moved:
                self._pools.record_move(move.machine, self._now())
                if machine.minion_id is not None:
                    self._ending_minion_by_machine[move.machine] = machine.minion_id
            else:
                self._moving.pop(move.machine, None)
                self._set_cordoned(machine.minion_id, False)
