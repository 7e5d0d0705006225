"""Who may claim the schedule, and in which epoch."""

from __future__ import annotations

from types import SimpleNamespace

from geraniumshore_scheduler import OwnerRecord
from geraniumshored.node.members import member_name
from geraniumshored.node.ownership import (
    CLAIMS_PER_GENERATION,
    ENOUGH_STRONG,
    MOST_MEMBERS,
    OUTSIDE_PAUSE_S,
    OWNER_BACK_S,
    WEAK_HOST_S,
    Ownership,
)
from geraniumshored.node.ports import Membership


class FakeStore:
    """A group whose answers the test sets."""

    def __init__(self) -> None:
        self.listed: set[str] = set()
        self.place: int | None = 0
        self.generation = 7
        self.joins = 0
        self.left: list[str] = []

    def leave(self, member: str) -> None:
        self.left.append(member)

    def members(self):
        return frozenset(self.listed)

    def join(self, member: str, generation: int) -> Membership:
        self.joins += 1
        return Membership(self.generation, self.place)


class Bench:
    """One node's ownership, and the claims that it made."""

    def __init__(self, owner: str | None = None, processors: float = 1.0) -> None:
        self.now = 100.0
        self.store = FakeStore()
        self.book = SimpleNamespace(
            owner=None if owner is None else OwnerRecord(owner, 3)
        )
        self.log_age = 0.0
        self.claims: list[int] = []
        self.owners: list[SimpleNamespace] = []
        self.ownership = Ownership(
            self.store,  # type: ignore[arg-type]
            member_name("h1", "new", processors),
            SimpleNamespace(book=self.book, age=lambda _: self.log_age),  # type: ignore[arg-type]
            self._make_owner,
            lambda: True,
            lambda: self.now,
        )

    def _make_owner(self, epoch: int):
        self.claims.append(epoch)
        owner = SimpleNamespace(start=lambda: None, stopped=False)
        owner.stop = lambda why: setattr(owner, "stopped", True)
        self.owners.append(owner)
        return owner

    def step(self, later: float = 0.0):
        self.now += later
        self.ownership._step()
        return self.claims


def test_the_first_member_claims_a_schedule_that_nobody_owned():
    bench = Bench()
    assert bench.step() == [7 * CLAIMS_PER_GENERATION]


def test_others_do_not_claim():
    bench = Bench(member_name("h2", "old", 1.0))
    bench.store.place = 3
    assert bench.step(10) == []


def test_an_owner_stays_while_it_is_a_member():
    owner = member_name("h2", "old", 1.0)
    bench = Bench(owner)
    bench.store.listed = {owner}
    assert bench.step(10) == []
    bench.store.listed = set()
    assert len(bench.step()) == 1


def test_a_fresh_node_leaves_the_owner_s_host_time_to_return():
    bench = Bench(member_name("h2", "old", 1.0))
    assert bench.step() == []
    assert len(bench.step(OWNER_BACK_S)) == 1


def test_the_owner_s_host_claims_at_once_in_an_epoch_of_its_own():
    bench = Bench(member_name("h1", "old", 1.0))
    bench.store.place = 3
    assert bench.step() == [7 * CLAIMS_PER_GENERATION + 3]


def test_two_hosts_that_claim_in_one_generation_do_so_in_different_epochs():
    # Each has read of its own last claim only.
    claims = []
    for place in (0, 3):
        bench = Bench(member_name("h1", "old", 1.0))
        bench.store.place = place
        claims.extend(bench.step())
    assert len(set(claims)) == 2


def test_a_member_without_a_place_does_not_claim():
    bench = Bench(member_name("h1", "old", 1.0))
    bench.store.place = None
    assert bench.step(10) == []


def test_who_lost_the_schedule_reads_the_log_before_it_claims_again():
    bench = Bench()
    bench.step()
    bench.book.owner = OwnerRecord(member_name("h1", "new", 1.0), bench.claims[0])
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


def test_a_weak_host_leaves_the_places_to_others_at_first():
    bench = Bench(processors=0.5)
    bench.step()
    assert bench.store.joins == 0
    bench.step(WEAK_HOST_S)
    assert bench.store.joins == 1


def test_a_full_group_is_left_alone():
    bench = Bench()
    bench.store.listed = {member_name(f"x{n}", "1", 1.0) for n in range(MOST_MEMBERS)}
    bench.step()
    assert bench.store.joins == 0


def strong_members(count: int) -> set[str]:
    return {member_name(f"x{n}", "1", 2.0) for n in range(count)}


def test_a_weak_host_stays_out_while_enough_strong_ones_are_members():
    bench = Bench(processors=0.5)
    bench.store.listed = strong_members(ENOUGH_STRONG)
    bench.step(WEAK_HOST_S)
    assert bench.store.joins == 0
    bench.store.listed = strong_members(ENOUGH_STRONG - 1)
    bench.step()
    assert bench.store.joins == 1


def test_a_weak_owner_hands_over_once_strong_hosts_are_back():
    bench = Bench(processors=0.5)
    assert len(bench.step(WEAK_HOST_S)) == 1
    bench.step(OUTSIDE_PAUSE_S)
    assert bench.store.left == []
    bench.store.listed = strong_members(ENOUGH_STRONG)
    bench.step(OUTSIDE_PAUSE_S)
    assert bench.owners[0].stopped
    assert bench.store.left == [member_name("h1", "new", 0.5)]
    joins = bench.store.joins
    bench.step(OUTSIDE_PAUSE_S)
    assert bench.store.joins == joins


def test_a_strong_host_finds_a_place_in_a_group_full_of_weak_ones():
    bench = Bench()
    names = (member_name(f"x{n}", "1", 0.5) for n in range(MOST_MEMBERS))
    bench.store.listed = set(names)
    bench.step()
    assert bench.store.joins == 1


def test_weak_hosts_stand_in_for_each_other_where_all_are_weak():
    bench = Bench(processors=0.5)
    bench.store.listed = {member_name(f"x{n}", "1", 0.5) for n in range(3)}
    assert len(bench.step(WEAK_HOST_S)) == 1
    bench.step(OUTSIDE_PAUSE_S)
    assert bench.store.left == []
