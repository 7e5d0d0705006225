"""Carries out the owner's decisions on machines: moves between pools, and upkeep."""

from __future__ import annotations

import logging
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

from geraniumshore_scheduler import (
    ANNOUNCED_S,
    MACHINE_ORDERS_KEY,
    AnnouncedWave,
    Empty,
    Keep,
    MachineListing,
    MachineOrders,
    Move,
    OwnerReplacedError,
    PlatformUnavailableError,
    PoolMachines,
    PoolOrder,
    PoolPolicy,
    Scheduler,
    UnknownOutcomeError,
    Upkeep,
    WaveBook,
    WaveProgress,
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

__all__ = ["Machinist"]

logger = logging.getLogger(__name__)

MS = 1000.0
# Decisions on machines are taken so often: a move takes over a second anyway.
TICK_S = 0.1
# The list of machines is read so often while something is under way, and at rest.
BUSY_LIST_S = 0.5
IDLE_LIST_S = 2.0
# How often to look whether an announcement is in the log, which takes some 20 ms.
RECORD_PAUSE_S = 0.005


class Machinist:
    """One owner's orders to machines.

    No fence may guard them, so they are given only while the log surely counts this
    process as the owner, and after it says which machines they are for.
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
        self._waves = WaveBook()
        self._pools = PoolPolicy()
        self._machine_by_name: dict[str, MachineListing] = {}
        self._listed_at = float("-inf")
        # Moves that were ordered, until the list shows a new minion in the pool.
        self._moving: dict[str, tuple[Move, str | None]] = {}
        # Machines that take no work, to move once they are free, and their minions.
        self._emptying: dict[str, str | None] = {}
        # Minions that an order ends, by machine, until the list no longer has them. The
        # platform says yes also where the same was done before, to an earlier minion.
        self._ending: dict[str, str] = {}

    def start(self) -> None:
        """Begin to decide, in a thread of its own."""
        threading.Thread(target=self._run, name="machines", daemon=True).start()

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            try:
                if self._may_order():
                    self._step()
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                log_event(logger, "machines unanswered", cause=str(error))
            except OwnerReplacedError as error:
                log_event(logger, "machines have another owner", cause=str(error))
            except Exception:
                logger.exception("fault in the decisions on machines")

    def _may_order(self) -> bool:
        with self._lock:
            times = self._settings.times
            return self._scheduler.authority.holds_unfenced(self._now(), times)

    def _may_order_to(self, machine: str) -> bool:
        """Tell whether an order to a machine may be sent; announce it if need be."""
        if not self._may_order():
            return False
        if not self._orders.may_send(machine, self._now()):
            self._announce([machine])
        return self._may_order() and self._orders.may_send(machine, self._now())

    def _send_by(self, machine: str) -> float:
        """Return until when an order to a machine may leave this process."""
        with self._lock:
            ends_at = self._scheduler.authority.unfenced_until(self._settings.times)
        return min(ends_at, self._orders.sendable_until(machine))

    def _announce(self, machines: Iterable[str]) -> None:
        """Write down in the log which machines are about to be ordered."""
        announced_at = self._now()
        free = [m for m in machines if self._orders.is_free(m, announced_at)]
        if not free:
            return
        announced = self._orders.announce(free, announced_at)
        with self._lock:
            batch = self._scheduler.record(
                MACHINE_ORDERS_KEY, encode_machine_orders(announced, announced_at)
            )
        self._on_change()
        while self._now() < announced_at + ANNOUNCED_S:
            with self._lock:
                if self._scheduler.is_durable(batch):
                    self._orders.note_written(free, announced_at)
                    return
            if self._stopped.wait(RECORD_PAUSE_S):
                return

    @staticmethod
    def _order(what: str, machine: str, order: Callable[[], bool]) -> bool | None:
        """Give an order once; tell whether it was taken, None without an answer."""
        try:
            return order()
        except PlatformUnavailableError:
            return False
        except UnknownOutcomeError as error:
            log_event(logger, f"{what} unanswered", machine=machine, cause=str(error))
            return None

    def _step(self) -> None:
        self._list()
        self._plan_waves()
        self._plan_moves()
        self._tell()

    def _list(self) -> None:
        busy = self._waves.busy or self._moving or self._scheduler.has_work()
        interval = BUSY_LIST_S if busy else IDLE_LIST_S
        if self._now() < self._listed_at + interval:
            return
        machines = self._platform.machines.list()
        self._listed_at = self._now()
        self._machine_by_name = {machine.machine: machine for machine in machines}
        with self._lock:
            self._waves.follow(self._machine_by_name)
            self._note_ended()
        standby = self._scheduler.standby_pool()
        for name, (move, former) in list(self._moving.items()):
            listed = self._machine_by_name.get(name)
            if listed is None:
                del self._moving[name]
                continue
            # A machine in the standby pool is off and has no minion.
            born = listed.minion_id not in (None, former) or move.pool == standby
            if listed.up and listed.pool == move.pool and born:
                del self._moving[name]

    def _note_ended(self) -> None:
        for name, minion_id in list(self._ending.items()):
            listed = self._machine_by_name.get(name)
            if listed is None or listed.minion_id != minion_id:
                del self._ending[name]
                self._scheduler.on_gone(minion_id, self._now())
            elif listed.up and name not in self._moving:
                # It was not ended after all.
                del self._ending[name]
                self._set_cordoned(minion_id, False)

    def _set_cordoned(self, minion_id: str | None, cordoned: bool) -> None:
        self._scheduler.set_cordoned(minion_id or "", cordoned)

    # Upkeep.

    def _plan_waves(self) -> None:
        with self._lock:
            for announced in list(self._operators.wave_by_number.values()):
                self._take_on(announced)
            standby = self._scheduler.standby_pool()
            orders = list(self._waves.unanswered())
            orders.extend(
                self._waves.plan(
                    self._machine_by_name,
                    self._scheduler.view_by_id,
                    self._scheduler.job_by_id,
                    [standby] if standby else [],
                    self._now(),
                    self._orders.formerly_ordered(self._now()),
                )
            )
        self._on_change()
        self._announce(upkeep.machine for upkeep in orders)
        for upkeep in orders:
            if self._may_order_to(upkeep.machine):
                self._maintain(upkeep)

    def _take_on(self, announced: AnnouncedWave) -> None:
        wave = announced.wave
        progress = self._progress_by_wave.get(wave.number, WaveProgress())
        end_at = None
        if progress.end_wall_ms is not None:
            end_at = self._now() + (progress.end_wall_ms - wall_ms()) / MS
        announced_at = announced.announced_at(end_at)
        if self._waves.announce(wave, announced_at, progress.begun):
            self._record_progress(wave.number)

    def _record_progress(self, number: int) -> None:
        left_s = self._waves.end_at(number) - self._now()
        progress = WaveProgress(
            tuple(self._waves.maintained(number)), wall_ms() + int(left_s * MS)
        )
        self._scheduler.record(wave_key(number), encode_wave_progress(progress))

    def _maintain(self, upkeep: Upkeep) -> None:
        epoch = self._scheduler.authority.epoch
        begun = self._order(
            "upkeep",
            upkeep.machine,
            lambda: self._platform.machines.maintain(
                upkeep.machine, upkeep.wave, epoch, self._send_by(upkeep.machine)
            ),
        )
        self._metrics.count("upkeeps", str(begun))
        log_event(
            logger,
            "upkeep ordered",
            machine=upkeep.machine,
            wave=upkeep.wave,
            minion=upkeep.minion_id,
            begun=begun,
        )
        with self._lock:
            self._waves.on_answer(upkeep, begun)
            if begun:
                self._record_progress(upkeep.wave)
                if upkeep.minion_id is not None:
                    self._ending[upkeep.machine] = upkeep.minion_id
                self._listed_at = float("-inf")

    def _tell(self) -> None:
        for number, done in list(self._waves.news()):
            record = self._platform.wave_status(number, done)
            self._platform.store.append(Stream.STATUS, [record])
            self._waves.note_told(number, done)
            log_event(logger, "wave told", wave=number, done=done)

    # Moves.

    def _plan_moves(self) -> None:
        with self._lock:
            now = self._now()
            standby = self._scheduler.standby_pool()
            machines = self._sort_machines(standby, now)
            loads = self._scheduler.pool_loads(now)
            orders = self._pools.plan(loads, machines, standby, now)
            moves = [move for order in orders if (move := self._take_up(order))]
        self._announce(move.machine for move in moves)
        for move in moves:
            self._move(move)

    def _sort_machines(self, standby: str | None, now: float) -> PoolMachines:
        """Tell which machines may be moved, and which emptied for a move."""
        in_upkeep = self._waves.due_machines()
        coming = Counter(move.pool for move, _ in self._moving.values())
        sizes: Counter[str] = Counter()
        idle: dict[str, list[MachineListing]] = defaultdict(list)
        busy: dict[str, list[MachineListing]] = defaultdict(list)
        for name, machine in self._machine_by_name.items():
            if name in self._moving:
                continue
            sizes[machine.pool] += 1
            if name in in_upkeep:
                # Its wave empties it now.
                self._emptying.pop(name, None)
            elif not self._orders.is_free(name, now):
                self._keep(name)
            elif self._idle(machine, standby):
                idle[machine.pool].append(machine)
            elif name not in self._emptying and self._may_empty(machine):
                busy[machine.pool].append(machine)
        for machines in busy.values():
            machines.sort(key=self._free_in_s)
        return PoolMachines(sizes, idle, busy, coming, self._still_emptying())

    def _idle(self, machine: MachineListing, standby: str | None) -> bool:
        if not machine.up:
            return False
        if machine.pool == standby:
            return True
        view = self._scheduler.view_by_id.get(machine.minion_id or "")
        return view is not None and view.reached and not view.runs and not view.strays

    def _may_empty(self, machine: MachineListing) -> bool:
        """Tell whether all that runs on a machine ends by itself, and soon."""
        view = self._scheduler.view_by_id.get(machine.minion_id or "")
        return (
            machine.up
            and view is not None
            and view.accepts(self._now())
            and not any(run.step.lasting for run in view.runs.values())
        )

    def _free_in_s(self, machine: MachineListing) -> float:
        """Return when a machine's tasks should have ended, from their estimates."""
        view = self._scheduler.view_by_id[machine.minion_id or ""]
        return max(
            (
                run.step.estimate_ms / MS * (1 - run.percent / 100)
                for run in view.runs.values()
            ),
            default=0.0,
        )

    def _still_emptying(self) -> dict[str, MachineListing]:
        """Return the machines that are being emptied and that the list still has."""
        listed = self._machine_by_name
        self._emptying = {
            name: minion_id
            for name, minion_id in self._emptying.items()
            if name in listed and listed[name].minion_id == minion_id
        }
        return {name: listed[name] for name in self._emptying}

    def _take_up(self, order: PoolOrder) -> Move | None:
        """Note what was decided on a machine; return the move to order."""
        if isinstance(order, Empty):
            minion_id = self._machine_by_name[order.machine].minion_id
            self._emptying[order.machine] = minion_id
            self._set_cordoned(minion_id, True)
        elif isinstance(order, Keep):
            self._keep(order.machine)
        else:
            self._emptying.pop(order.machine, None)
            self._cordon(order)
            return order
        return None

    def _keep(self, machine: str) -> None:
        """Let a machine that was being emptied take work again."""
        if machine in self._emptying:
            self._set_cordoned(self._emptying.pop(machine), False)

    def _cordon(self, move: Move) -> None:
        minion_id = self._machine_by_name[move.machine].minion_id
        self._moving[move.machine] = move, minion_id
        self._set_cordoned(minion_id, True)

    def _move(self, move: Move) -> None:
        """Order a move, again and again in the same words while there is no answer.

        Without the authority to order it, the move is taken back.
        """
        machine = self._machine_by_name[move.machine]
        moved: bool | None = None
        epoch = self._scheduler.authority.epoch
        while moved is None and self._may_order_to(move.machine):
            moved = self._order(
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
                self._pools.note_moved(move.machine, self._now())
                if machine.minion_id is not None:
                    self._ending[move.machine] = machine.minion_id
            else:
                self._moving.pop(move.machine, None)
                self._set_cordoned(machine.minion_id, False)
