"""State machine test of the election of an owner among strong and weak hosts.

Hosts start, stop, are suspended and lose the connection to the store, whose group is
simulated. After a time without faults, exactly one host must own the schedule and keep
it: a strong host if enough of them are alive.
"""

from __future__ import annotations

from types import SimpleNamespace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from geraniumshore_scheduler import (
    OWNER_RESIGNED_KEY,
    OwnerRecord,
    PlatformUnavailableError,
    decode_owner,
)
from geraniumshore_standins.internal.users_platform import LogModel
from geraniumshored.node.members import is_strong, member_name
from geraniumshored.node.ownership import JOIN_INTERVAL_S, MIN_STRONG_MEMBERS, Ownership
from geraniumshored.node.ports import Membership, Record, Stream
from tests.common.inline_workers import InlineWorkers
from tests.common.minions_list import MinionsList

STRONG, WEAK = 2.0, 0.5
HOSTS = {"s0": STRONG, "s1": STRONG, "s2": STRONG, "w0": WEAK, "w1": WEAK, "w2": WEAK}
TTL_S = 1.0
# Weak hosts wait after their start and then check once a second, and several takeovers
# may follow each other.
CALM_S = 15.0
STABLE_S = 5.0
# Interval between a node's reads of the log, by which it lags behind at most.
READ_EACH_S = 0.3
# Within this time all connected nodes have read the records written before.
LOG_READ_BY_ALL_S = 0.5


class Node:
    """One process of a host, with its connection to the store and its ownership."""

    def __init__(self, machine: GroupMachine, host: str) -> None:
        self.machine = machine
        self.cut = False
        self.frozen_until = 0.0
        self.owner: SimpleNamespace | None = None
        # The log as read by this node, outdated while it is disconnected or suspended.
        self.registry = SimpleNamespace(
            owner=machine.registry.owner, resigned_epoch=machine.registry.resigned_epoch
        )
        self.read_at = machine.now
        self.owner_seen_at = float("-inf")
        self.joins_late_until = 0.0
        self.next_step = machine.now
        self.member = member_name(host, str(machine.processes), HOSTS[host])
        self.ownership = Ownership(
            self,  # type: ignore[arg-type]
            self.member,
            self,  # type: ignore[arg-type]
            MinionsList(),  # type: ignore[arg-type]
            self._make_owner,  # type: ignore[arg-type]
            lambda: True,
            lambda: machine.now,
        )
        # A thread of its own would read the simulation's state while a step changes it.
        self.ownership._workers = InlineWorkers()  # type: ignore[assignment]

    def age(self, now: float) -> float:
        return now - self.read_at

    def read_now(self) -> None:
        self.read_at = min(self.read_at, self.machine.now - READ_EACH_S)

    @property
    def owns(self) -> bool:
        return self.owner is not None and not self.owner.stopped

    @property
    def writes(self) -> bool:
        """Whether this node can append records as the owner at present."""
        return self.owns and not self.cut and self.machine.now >= self.frozen_until

    # The store's calls, as made by this node.

    def _reach(self) -> LogModel:
        if self.cut:
            raise PlatformUnavailableError("unreachable")
        return self.machine.log

    def join(self, member: str, generation: int) -> Membership:
        reply = self._reach().join("g", member, TTL_S, generation, self.machine.now)
        rows = reply.document["parts"]
        place = min((number for _, number, _ in rows), default=None)
        return Membership(reply.document["generation"], place)

    def members(self) -> frozenset[str]:
        return frozenset(str(row[2]) for row in self._parts())

    def _parts(self) -> list[list[object]]:
        reply = self._reach().owners("g", self.machine.now)
        return list(reply.document["parts"])

    def leave(self, member: str) -> None:
        self._reach().leave("g", member)

    def append(self, stream: Stream, records: list[Record]) -> None:
        self._reach()
        (record,) = records
        assert record.key == OWNER_RESIGNED_KEY
        left = decode_owner(record.value).epoch
        self.machine.registry.resigned_epoch = max(
            self.machine.registry.resigned_epoch, left
        )

    def _make_owner(self, epoch: int) -> SimpleNamespace:
        assert epoch not in self.machine.epochs, "two owners with the same epoch"
        self.machine.epochs.add(epoch)

        def start() -> None:
            known = self.machine.registry.owner
            if known is not None and known.epoch >= epoch:
                owner.stopped = True
                return
            for other in self.machine.nodes.values():
                if other.owner is not None:
                    # Its next append or order is rejected by the fencing token.
                    other.owner.stopped = True
            self.machine.registry.owner = OwnerRecord(self.member, epoch)
            self.machine.taken_at = self.machine.now
            self.owner = owner

        def stop(_: str) -> None:
            owner.stopped = True

        authority = SimpleNamespace(epoch=epoch)
        owner = SimpleNamespace(
            start=start, stop=stop, stopped=False, authority=authority
        )
        return owner

    def step(self) -> None:
        now = self.machine.now
        if now < self.frozen_until:
            return
        if now >= max(self.next_step, self.joins_late_until):
            try:
                self.next_step = now + self.ownership._step()
            except PlatformUnavailableError:
                self.next_step = now + JOIN_INTERVAL_S
        if not self.cut and now >= self.read_at + READ_EACH_S:
            self.registry.owner = self.machine.registry.owner
            self.registry.resigned_epoch = self.machine.registry.resigned_epoch
            if self.machine.written_at > self.read_at:
                self.owner_seen_at = now
            self.read_at = now


class GroupMachine(RuleBasedStateMachine):
    """Runs the hosts in steps of the clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.taken_at = 0.0
        self.processes = 0
        self.log = LogModel()
        self.registry = SimpleNamespace(owner=None, resigned_epoch=-1)
        self.written_at = float("-inf")
        self.epochs: set[int] = set()
        self.nodes: dict[str, Node] = {}
        for host in HOSTS:
            self._start(host)

    def _start(self, host: str) -> None:
        self.processes += 1
        self.nodes[host] = Node(self, host)

    def _run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for node in list(self.nodes.values()):
                node.step()
            if any(node.writes for node in self.nodes.values()):
                self.written_at = self.now

    @rule(seconds=st.floats(0.1, 4.0))
    def time_passes(self, seconds: float) -> None:
        self._run(seconds)

    @rule(host=st.sampled_from(sorted(HOSTS)))
    def kill(self, host: str) -> None:
        self.nodes.pop(host, None)

    @rule(host=st.sampled_from(sorted(HOSTS)))
    def start_again(self, host: str) -> None:
        if host not in self.nodes:
            self._start(host)

    @rule()
    def all_strong_hosts_go(self) -> None:
        for host, processors in HOSTS.items():
            if processors == STRONG:
                self.nodes.pop(host, None)

    @rule()
    def all_hosts_start(self) -> None:
        for host in HOSTS:
            self.start_again(host)

    @rule()
    def the_owner_starts_again(self) -> None:
        for host, node in list(self.nodes.items()):
            if node.owns:
                self._start(host)

    @rule(host=st.sampled_from(sorted(HOSTS)), cut=st.booleans())
    def cut_or_mend(self, host: str, cut: bool) -> None:
        if host in self.nodes:
            self.nodes[host].cut = cut

    @rule(host=st.sampled_from(sorted(HOSTS)), seconds=st.floats(0.5, 4.0))
    def freeze(self, host: str, seconds: float) -> None:
        if host in self.nodes:
            self.nodes[host].frozen_until = self.now + seconds

    @rule(seconds=st.floats(0.5, 8.0))
    def the_owner_is_short_of_processor_time(self, seconds: float) -> None:
        """An owner that joins late but writes and reads keeps the schedule."""
        for node in list(self.nodes.values()):
            if node.owns and not node.cut and self.now >= node.frozen_until:
                self._run(LOG_READ_BY_ALL_S)
                if not node.writes or not is_strong(node.member):
                    return
                node.joins_late_until = self.now + seconds
                self._run(seconds)
                assert node.owns

    @rule()
    def leave(self) -> None:
        for host, node in list(self.nodes.items()):
            if node.owns and not node.cut:
                node.ownership.leave()
                del self.nodes[host]

    @precondition(lambda self: self.nodes)
    @rule()
    def calm_brings_one_lasting_owner(self) -> None:
        for node in self.nodes.values():
            node.cut = False
        self._run(CALM_S)
        owners = [node for node in self.nodes.values() if node.owns]
        assert len(owners) == 1
        strong = sum(is_strong(node.member) for node in self.nodes.values())
        if strong >= MIN_STRONG_MEMBERS:
            assert is_strong(owners[0].member)
        assert self.now - self.taken_at >= STABLE_S

    @invariant()
    def at_most_one_owner_is_not_fenced(self) -> None:
        active = [node for node in self.nodes.values() if node.owns]
        assert len(active) <= 1


TestGroup = GroupMachine.TestCase
TestGroup.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None, derandomize=True
)


def test_strong_hosts_replace_weak_owners_after_restart():
    machine = GroupMachine()
    machine.calm_brings_one_lasting_owner()
    machine.all_strong_hosts_go()
    machine.calm_brings_one_lasting_owner()
    machine.all_hosts_start()
    machine.calm_brings_one_lasting_owner()
