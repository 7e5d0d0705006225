"""Which node may claim the schedule, when, and in which epoch."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace

from geraniumshore_scheduler import (
    OWNER_KEY,
    OWNER_RESIGNED_KEY,
    JobRegistry,
    OwnerRecord,
    UnknownOutcomeError,
    decode_owner,
    encode_owner,
)
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshored.node.members import member_name
from geraniumshored.node.ownership import (
    EPOCHS_PER_GENERATION,
    MAX_MEMBERS,
    MEMBERS_READ_INTERVAL_S,
    MIN_STRONG_MEMBERS,
    NON_MEMBER_INTERVAL_S,
    OWNER_RESTART_S,
    OWNER_TIMEOUT_S,
    WEAK_HOST_JOIN_DELAY_S,
    Ownership,
)
from geraniumshored.node.ports import Membership, Record
from tests.common.minions_list import MinionsList


class FakeStore:
    """A store whose group is set by the test."""

    def __init__(self) -> None:
        self.listed: set[str] = set()
        self.partition: int | None = 0
        self.generation = 7
        self.joins = 0
        self.left: list[str] = []
        self.appended: list[Record] = []

    def leave(self, member: str) -> None:
        self.left.append(member)

    def members(self):
        return frozenset(self.listed)

    def append(self, stream, records, writer=None) -> None:
        self.appended.extend(records)

    def join(self, member: str, generation: int) -> Membership:
        self.joins += 1
        return Membership(self.generation, self.partition)


class Bench:
    """The ownership of one node, and the epochs that it claimed."""

    def __init__(self, owner: str | None = None, processors: float = 1.0) -> None:
        self.now = 100.0
        self.log_age = 0.0
        self.store = FakeStore()
        self.registry = SimpleNamespace(
            owner=None if owner is None else OwnerRecord(owner, 3), resigned_epoch=-1
        )
        self.jobs = SimpleNamespace(
            registry=self.registry,
            age=lambda _: self.log_age,
            owner_seen_at=float("-inf"),
            read_now=lambda: None,
        )
        self.minions = MinionsList()
        self.claims: list[int] = []
        self.owners: list[SimpleNamespace] = []
        self.ownership = Ownership(
            self.store,  # type: ignore[arg-type]
            member_name("h1", "new", processors),
            self.jobs,  # type: ignore[arg-type]
            self.minions,  # type: ignore[arg-type]
            self._make_owner,
            lambda: True,
            lambda: self.now,
        )

    def _make_owner(self, epoch: int):
        self.claims.append(epoch)
        authority = SimpleNamespace(epoch=epoch)
        owner = SimpleNamespace(start=lambda: None, stopped=False, authority=authority)
        owner.stop = lambda why: setattr(owner, "stopped", True)
        self.owners.append(owner)
        return owner

    def step(self, later: float = 0.0):
        self.now += later
        self.ownership._step()
        return self.claims


def test_the_first_member_claims_a_schedule_without_owner():
    bench = Bench()
    assert bench.step() == [7 * EPOCHS_PER_GENERATION]


def test_a_member_other_than_the_first_does_not_claim():
    bench = Bench(member_name("h2", "old", 1.0))
    bench.store.partition = 3
    assert bench.step(10) == []


def test_an_owner_is_not_replaced_while_it_is_a_member():
    owner = member_name("h2", "old", 1.0)
    bench = Bench(owner)
    bench.store.listed = {owner}
    assert bench.step(10) == []
    bench.store.listed = set()
    assert len(bench.step()) == 1


def test_a_node_waits_after_its_start_for_the_owner_s_host_to_restart():
    bench = Bench(member_name("h2", "old", 1.0))
    assert bench.step() == []
    assert len(bench.step(OWNER_RESTART_S)) == 1


def test_a_node_that_has_just_started_takes_over_from_an_owner_that_resigned():
    # In a rolling restart the node that came up last may be the group's first member.
    bench = Bench(member_name("h2", "old", 1.0))
    bench.registry.resigned_epoch = 3
    assert len(bench.step()) == 1


def test_the_owner_s_host_claims_at_once_in_an_epoch_of_its_own():
    bench = Bench(member_name("h1", "old", 1.0))
    bench.store.partition = 3
    assert bench.step() == [7 * EPOCHS_PER_GENERATION + 3]


def test_two_hosts_that_claim_in_one_generation_do_so_in_different_epochs():
    # Each of them has read only its own last claim in the log.
    claims = []
    for partition in (0, 3):
        bench = Bench(member_name("h1", "old", 1.0))
        bench.store.partition = partition
        claims.extend(bench.step())
    assert len(set(claims)) == 2


def test_a_member_without_a_partition_does_not_claim():
    bench = Bench(member_name("h1", "old", 1.0))
    bench.store.partition = None
    assert bench.step(10) == []


def test_a_former_owner_reads_the_log_before_it_claims_again():
    bench = Bench()
    bench.step()
    bench.registry.owner = OwnerRecord(member_name("h1", "new", 1.0), bench.claims[0])
    bench.owners[0].stopped = True
    bench.store.generation = 8
    bench.log_age = 0.5
    assert len(bench.step(0.25)) == 1
    assert len(bench.step(0.5)) == 2


def test_an_epoch_is_never_claimed_twice():
    bench = Bench()
    bench.step()
    bench.owners[0].stopped = True
    bench.step()
    bench.step(1)
    assert len(bench.claims) == 1
    assert bench.store.left
    bench.store.generation = 8
    assert len(bench.step(1)) == 2


def test_a_weak_host_joins_only_after_a_delay():
    bench = Bench(processors=0.5)
    bench.step()
    assert bench.store.joins == 0
    bench.step(WEAK_HOST_JOIN_DELAY_S)
    assert bench.store.joins == 1


def test_a_node_does_not_join_a_full_group():
    bench = Bench()
    bench.store.listed = {member_name(f"x{n}", "1", 1.0) for n in range(MAX_MEMBERS)}
    bench.step()
    assert bench.store.joins == 0


def strong_members(count: int) -> set[str]:
    return {member_name(f"x{n}", "1", 2.0) for n in range(count)}


def test_a_weak_host_does_not_join_while_enough_strong_members_exist():
    bench = Bench(processors=0.5)
    bench.store.listed = strong_members(MIN_STRONG_MEMBERS)
    bench.step(WEAK_HOST_JOIN_DELAY_S)
    assert bench.store.joins == 0
    bench.store.listed = strong_members(MIN_STRONG_MEMBERS - 1)
    bench.step()
    assert bench.store.joins == 1


def test_a_weak_owner_steps_down_once_strong_hosts_are_back():
    bench = Bench(processors=0.5)
    assert len(bench.step(WEAK_HOST_JOIN_DELAY_S)) == 1
    bench.step(NON_MEMBER_INTERVAL_S)
    assert bench.store.left == []
    bench.store.listed = strong_members(MIN_STRONG_MEMBERS)
    bench.step(NON_MEMBER_INTERVAL_S)
    assert bench.owners[0].stopped
    assert bench.store.left == [member_name("h1", "new", 0.5)]
    joins = bench.store.joins
    bench.step(NON_MEMBER_INTERVAL_S)
    assert bench.store.joins == joins


def test_a_strong_host_joins_a_group_full_of_weak_members():
    bench = Bench()
    names = (member_name(f"x{n}", "1", 0.5) for n in range(MAX_MEMBERS))
    bench.store.listed = set(names)
    bench.step()
    assert bench.store.joins == 1


def test_a_weak_host_claims_and_stays_if_all_hosts_are_weak():
    bench = Bench(processors=0.5)
    bench.store.listed = {member_name(f"x{n}", "1", 0.5) for n in range(3)}
    assert len(bench.step(WEAK_HOST_JOIN_DELAY_S)) == 1
    bench.step(NON_MEMBER_INTERVAL_S)
    assert bench.store.left == []


def test_an_owner_outside_the_group_is_not_replaced_while_it_writes():
    bench = Bench(member_name("h2", "old", 0.12), processors=0.12)
    bench.jobs.owner_seen_at = bench.now + WEAK_HOST_JOIN_DELAY_S
    assert bench.step(WEAK_HOST_JOIN_DELAY_S) == []
    for _ in range(5):
        bench.jobs.owner_seen_at = bench.now
        assert bench.step(OWNER_TIMEOUT_S / 2) == []
    assert len(bench.step(OWNER_TIMEOUT_S)) == 1


def test_an_owner_that_has_left_is_replaced_without_delay():
    bench = Bench(member_name("h2", "old", 1.0))
    bench.now += OWNER_RESTART_S
    bench.jobs.owner_seen_at = bench.now
    bench.registry.resigned_epoch = 2
    assert bench.step() == [], "an earlier owner left"
    bench.registry.resigned_epoch = 3
    assert len(bench.step()) == 1


def test_the_owner_s_host_does_not_wait_for_its_previous_process():
    bench = Bench(member_name("h1", "old", 1.0))
    bench.jobs.owner_seen_at = bench.now
    assert len(bench.step()) == 1


def test_an_owner_that_leaves_records_it_in_the_log():
    bench = Bench()
    (epoch,) = bench.step()
    bench.ownership.leave()
    (record,) = bench.store.appended
    assert record.key == OWNER_RESIGNED_KEY
    assert decode_owner(record.value).epoch == epoch
    assert bench.owners[0].stopped
    assert bench.store.left


def test_a_node_that_is_not_the_owner_leaves_without_a_record():
    bench = Bench(member_name("h2", "old", 1.0))
    bench.ownership.leave()
    assert bench.store.appended == []


def test_a_weak_host_joins_without_delay_after_a_weak_owner():
    bench = Bench(member_name("h2", "old", 0.12), processors=0.12)
    assert len(bench.step(OWNER_RESTART_S)) == 1


def test_the_log_records_the_owner_and_the_epoch_that_was_left():
    registry = JobRegistry()
    record = encode_owner(OwnerRecord("h2/strong-1", 3))
    assert registry.resigned_epoch == -1
    registry.fold(OWNER_KEY, record, 0, 1.0)
    registry.fold(OWNER_RESIGNED_KEY, record, 1, 2.0)
    assert registry.owner == OwnerRecord("h2/strong-1", 3)
    assert registry.resigned_epoch == 3


def test_only_members_follow_the_list_of_minions():
    """300 nodes that all read the list take more than the store can deliver."""
    bench = Bench()
    bench.store.listed = {member_name(f"h{n}", "p", 1.0) for n in range(MAX_MEMBERS)}
    bench.step()
    assert not bench.minions.followed
    bench.store.listed.pop()
    bench.step()
    assert bench.minions.followed


def test_a_weak_host_that_steps_down_no_longer_follows_the_list_of_minions():
    bench = Bench(processors=0.5)
    bench.step(WEAK_HOST_JOIN_DELAY_S)
    assert bench.minions.followed
    bench.store.listed = {member_name(f"h{n}", "p", 1.0) for n in range(MAX_MEMBERS)}
    bench.step(NON_MEMBER_INTERVAL_S)
    bench.step(NON_MEMBER_INTERVAL_S)
    assert not bench.minions.followed


def test_a_member_claims_only_with_a_current_list_of_minions():
    """An owner that does not know the minions would start nothing."""
    bench = Bench()
    bench.minions.list_age = float("inf")
    assert bench.step(10) == []
    bench.minions.list_age = 0.1
    assert len(bench.step()) == 1


def test_a_member_knows_who_joined_after_it():
    """The first of two nodes knew no other, so it relayed to nobody when cut off."""
    bench = Bench()
    bench.step()
    bench.store.listed = {member_name("h2", "p", 1.0)}
    bench.step(MEMBERS_READ_INTERVAL_S)
    wait_for(lambda: bench.ownership.others() == bench.store.listed, "it was read", 5.0)


def test_a_member_stays_in_the_group_while_the_list_of_members_is_unanswered():
    """An owner that waits 0.8 s for the list is no member after 1 s without a join."""
    bench = Bench()
    bench.step()
    answered = threading.Event()
    bench.store.members = lambda: answered.wait(5.0) and frozenset()  # type: ignore[method-assign]
    began = time.monotonic()
    for _ in range(3):
        bench.step(MEMBERS_READ_INTERVAL_S)
    assert time.monotonic() - began < 2.0
    assert bench.store.joins == 4
    answered.set()


def test_a_member_without_the_list_of_members_is_not_cut_off():
    """Each such failure delayed claims as if the group had been lost."""
    bench = Bench()
    bench.minions.list_age = float("inf")
    bench.step()

    def fail() -> frozenset[str]:
        raise UnknownOutcomeError("no answer")

    bench.store.members = fail  # type: ignore[method-assign]
    bench.ownership._ready = lambda: True
    leaving = iter([False, False, True])
    bench.ownership._leaving = SimpleNamespace(  # type: ignore[assignment]
        wait=lambda _: next(leaving), is_set=lambda: False
    )
    bench.now += MEMBERS_READ_INTERVAL_S
    bench.ownership._run()
    assert not bench.ownership._disconnected
    bench.minions.list_age = 0.0
    assert len(bench.step()) == 1
