"""A minion: leases, fencing tokens, runs and their ends, as PROTOCOL.md has them."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from standins.web import Call, Reply, Server, json_reply

__all__ = ["Minion"]

HEARTBEAT_S = 1.5
TICK_S = 0.005
STARTUP_MS = 300.0
ENDS_PER_REPORT = 500


@dataclass
class _Run:
    number: int
    began_ms: float
    work_ms: float
    how: str
    checkpoint: str
    stop_at_ms: float | None = None


class Minion:
    """One machine's minion, which may crash and start again under its id.

    A job's spec says how long its tasks work and how they end: ``{"work_ms": 500}``,
    with ``"how": "lasts"`` for tasks that run until they are stopped, and with
    ``"fails": 1`` for tasks whose first run fails. ``work_ms`` may be a list, by the
    task's index. ``note`` is called with the kind and the fields of each event.
    """

    def __init__(
        self,
        minion_id: str,
        service: str,
        rack: str,
        capacity: dict[str, int],
        longest_lease_ms: int,
        stop_ms: int,
        note: Callable[..., None],
        publish: Callable[[str, bytes], None],
        fails: dict[str, int],
    ) -> None:
        self.minion_id, self.service, self.rack = minion_id, service, rack
        self.capacity = capacity
        self.unhealthy = False
        self.up = False
        self._longest_lease_ms, self._stop_ms = longest_lease_ms, stop_ms
        self._note, self._publish = note, publish
        self._failed_by_task = fails
        self._server = Server(minion_id, self._answer)
        self._tasks: list[asyncio.Task[None]] = []
        self.run_by_task: dict[str, _Run] = {}

    async def start(self) -> None:
        """Begin a life: nothing runs, no token was seen, the clock starts anew."""
        self._born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._fence = 0
        self._lease_until = 0.0
        self._ends: list[list[Any]] = []
        self._end_count = 0
        self._lapsed_after = 0
        self._leaves_at: float | None = None
        self._highest_run_by_task: dict[str, int] = {}
        self._ended = asyncio.Event()
        self.run_by_task = {}
        await self._server.open()
        self.up = True
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._heartbeat()),
        ]

    def drain(self, for_s: float) -> None:
        """Report that the minion drains, and leave after a time."""
        self._leaves_at = time.monotonic() + for_s
        self._write_entry()
        self._tasks.append(asyncio.create_task(self._leave()))

    async def _leave(self) -> None:
        assert self._leaves_at is not None
        await asyncio.sleep(self._leaves_at - time.monotonic())
        self._note("minion leaves", minion=self.minion_id)
        self._publish(self.minion_id, b"")
        self._tasks.remove(asyncio.current_task())  # type: ignore[arg-type]
        self.crash()

    def crash(self) -> None:
        """End without a word; the entry stays until the platform removes it."""
        self.up = False
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for task, run in self.run_by_task.items():
            self._event("end", task, run.number, how="crash")
        self.run_by_task = {}

    def close(self) -> None:
        """Stop serving."""
        if self.up:
            self.up = False
            self._server.close()
            for task in self._tasks:
                task.cancel()

    def withdraw(self) -> None:
        """Remove the entry, as the platform does after three heartbeats of silence."""
        self._publish(self.minion_id, b"")

    def _event(self, kind: str, task: str, run: int, **fields: object) -> None:
        self._note(kind, minion=self.minion_id, task=task, run=run, **fields)

    def _clock_ms(self) -> float:
        return (time.monotonic() - self._started_at) * 1000

    async def _heartbeat(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _write_entry(self) -> None:
        entry = {
            "service": self.service,
            "addr": self._server.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready" if self._leaves_at is None else "draining",
            "cold_left_ms": 0,
            "seq": int(self._clock_ms()),
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "born": self._born,
            **self._remaining(),
        }
        self._publish(self.minion_id, json.dumps(entry).encode())

    def _remaining(self) -> dict[str, int]:
        if self._leaves_at is None:
            return {}
        left_s = max(0.0, self._leaves_at - time.monotonic())
        return {"remaining_ms": int(left_s * 1000)}

    async def _tick(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(TICK_S)

    def _advance(self) -> None:
        clock = self._clock_ms()
        lapsed = clock >= self._lease_until
        if lapsed:
            # Ends from before a lapse don't count as taken note of any more.
            self._lapsed_after = self._end_count + len(self.run_by_task)
        for task, run in list(self.run_by_task.items()):
            if lapsed:
                self._end(task, run, "lapsed")
            elif run.stop_at_ms is not None and clock >= run.stop_at_ms:
                self._end(task, run, "stopped")
            elif run.how != "lasts" and clock - run.began_ms >= run.work_ms:
                self._end(task, run, run.how)

    def _end(self, task: str, run: _Run, how: str) -> None:
        del self.run_by_task[task]
        self._end_count += 1
        self._ends.append([self._end_count, task, run.number, how, ""])
        self._refuse_up_to(task, run.number)
        self._event("end", task, run.number, how=how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _refuse_up_to(self, task: str, number: int) -> None:
        highest = self._highest_run_by_task
        highest[task] = max(number, highest.get(task, 0))

    async def _answer(self, call: Call) -> Reply | None:
        if not self.up:
            return None
        if call.headers.get("geraniumshore-expect-instance") != self.minion_id:
            return Reply(421)
        name, document = call.path.rpartition("/")[2], call.document()
        if self.unhealthy and name == "run-start":
            return Reply(503)
        self._advance()
        if document["fence"] < self._fence:
            return self._refuse("fence")
        self._fence = document["fence"]
        if name == "hold":
            return await self._hold(document)
        if name == "run-start":
            return self._start_run(document)
        if name == "run-stop":
            return self._stop_run(document)
        return json_reply({"clock_ms": int(self._clock_ms())})

    def _refuse(self, reason: str) -> Reply:
        return json_reply({"clock_ms": int(self._clock_ms()), "reason": reason}, 409)

    def _renew(self, until_ms: float | None) -> None:
        if until_ms is not None:
            longest = self._clock_ms() + self._longest_lease_ms
            self._lease_until = max(self._lease_until, min(until_ms, longest))

    async def _hold(self, document: dict[str, Any]) -> Reply | None:
        self._renew(document.get("until_ms"))
        acked = document["acked_upto"]
        for number, task, run, how, _ in self._ends:
            if self._lapsed_after < number <= acked:
                self._event("noted", task, run, how=how)
        self._ends = [end for end in self._ends if end[0] > acked]
        if not self._ends and document.get("wait_ms"):
            try:
                wait_s = document["wait_ms"] / 1000
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                pass
            if not self.up:
                return None
        clock = self._clock_ms()
        return json_reply(
            {
                "born": self._born,
                "clock_ms": int(clock),
                "running": [
                    [task, run.number, run.checkpoint, self._percent(run, clock), 0]
                    for task, run in self.run_by_task.items()
                ],
                "ended": self._ends[:ENDS_PER_REPORT],
                **self._remaining(),
            }
        )

    @staticmethod
    def _percent(run: _Run, clock: float) -> int:
        whole = STARTUP_MS if run.how == "lasts" else run.work_ms
        return min(100, int(100 * (clock - run.began_ms) / whole))

    def _start_run(self, document: dict[str, Any]) -> Reply:
        task, number = document["task"], document["run"]
        running = self.run_by_task.get(task)
        if running is not None and running.number == number:
            return json_reply({"clock_ms": int(self._clock_ms())})
        if document["until_ms"] <= self._clock_ms():
            return self._refuse("late")
        self._renew(document["until_ms"])
        if running is not None or number <= self._highest_run_by_task.get(task, 0):
            return self._refuse("old")
        plan = json.loads(document["spec"])
        work_ms, how = plan.get("work_ms", 500), plan.get("how", "done")
        if isinstance(work_ms, list):
            work_ms = work_ms[int(task.rpartition(".")[2])]
        if self._failed_by_task.get(task, 0) < plan.get("fails", 0):
            self._failed_by_task[task] = self._failed_by_task.get(task, 0) + 1
            how = "failed"
        checkpoint = document.get("checkpoint", "")
        self.run_by_task[task] = _Run(
            number, self._clock_ms(), work_ms, how, checkpoint
        )
        self._event("start", task, number, fence=document["fence"])
        return json_reply({"clock_ms": int(self._clock_ms())})

    def _stop_run(self, document: dict[str, Any]) -> Reply:
        task, number = document["task"], document["run"]
        run = self.run_by_task.get(task)
        if run is not None and run.number <= number and run.stop_at_ms is None:
            run.stop_at_ms = self._clock_ms() + self._stop_ms
            self._event("stop", task, run.number, fence=document["fence"])
        self._refuse_up_to(task, number)
        return json_reply({"clock_ms": int(self._clock_ms())})
