"""Fault sequences that break the agreement if one of its rules is disabled."""

import pytest

from geraniumshore.internal import authority, eviction, membership, view
from geraniumshore.internal.snapshot import decode_state, encode_state
from tests.common.agreement import World


def links(*pairs):
    return {frozenset(pair) for pair in pairs}


def fleet_of(places="abc"):
    world = World()
    for place in places:
        world.start(place)
    world.run(6.0)
    return world


def evicted_right_after_its_last_read():
    world = fleet_of()
    world.suspected = {("a", "c"), ("b", "c")}
    world.run(0.75)
    world.process_by_place["c"].log_reachable = False
    world.cut = links("ac", "bc")
    world.run(6.0)
    return world


def evicted_by_the_last_append_before_an_outage(places="abc", observers="ab"):
    world = fleet_of(places)
    world.relays_lost = True
    world.suspected = {(observer, "c") for observer in observers}
    world.process_by_place["c"].log_reachable = False
    world.appends_held = True
    world.run(1.0)
    world.log_goes_down(appends_take_effect=True)
    world.run(8.0)
    return world


def evicted_on_one_members_word():
    return evicted_by_the_last_append_before_an_outage("abcde", "a")


def evicted_by_members_that_it_never_heard_of():
    world = fleet_of()
    world.process_by_place["b"].log_reachable = False
    world.process_by_place["c"].log_reachable = False
    world.cut = links("ab", "ac", "bd", "be", "cd", "ce")
    world.start("d")
    world.start("e")
    world.run(1.0)
    world.suspected = {(observer, "c") for observer in "ade"}
    world.run(8.0)
    return world


def note_that_one_member_cannot_read():
    world = fleet_of()
    world.process_by_place["c"].log_reachable = False
    world.relays_lost = True
    world.send_release("a")
    world.run(8.0)
    return world


def lengthen_authority(patch):
    patch.setattr(authority, "AUTHORITY_SECONDS", 4.0)


def drop_promise(patch):
    patch.setattr(eviction.Evictions, "_promise", lambda *_: None)


def drop_eviction_majority(patch):
    patch.setattr(eviction, "is_majority", lambda *_: True)
    patch.setattr(view, "is_majority", lambda *_: True)


def drop_join_majority(patch):
    patch.setattr(membership, "is_majority", lambda *_: True)
    patch.setattr(view, "_check_majority", lambda *_: [])


def drop_catch_up(patch):
    patch.setattr(authority.Authority, "_caught_up", lambda *_: True)


CASES = [
    (evicted_right_after_its_last_read, lengthen_authority),
    (evicted_by_the_last_append_before_an_outage, drop_promise),
    (evicted_on_one_members_word, drop_eviction_majority),
    (evicted_by_members_that_it_never_heard_of, drop_join_majority),
    (note_that_one_member_cannot_read, drop_catch_up),
]


@pytest.mark.parametrize(("faults", "drop_rule"), CASES)
def test_faults_break_the_agreement_only_without_the_rule(
    faults, drop_rule, monkeypatch
):
    faults()
    drop_rule(monkeypatch)
    with pytest.raises(AssertionError, match="has authority"):
        faults()


def test_a_fleet_restarted_at_once_heals_and_keeps_its_version():
    world = fleet_of("abcde")
    world.send_release("a")
    world.run(1.0)
    for place in world.process_by_place:
        world.process_by_place[place] = None
    for place in world.process_by_place:
        world.start(place)
    world.run(6.0)
    world.check_healed()
    assert world.truth.configuration.version == 1


def test_members_on_removed_hosts_are_evicted_even_if_they_were_the_majority():
    world = fleet_of("abcde")
    for place in "cde":
        world.process_by_place[place] = None
    for _ in range(100):
        for _, process in world.live():
            state = process.member.state
            process.member.agreement.liveness.on_hosts(
                ["a", "b"], state.view.members, world.clock(process)
            )
        world.run(0.5)
    assert {info.host for info in world.truth.view.members.values()} == {"a", "b"}


def test_a_host_list_without_the_own_host_evicts_nobody():
    world = fleet_of("abcde")
    for place in "cde":
        world.process_by_place[place] = None
    for _ in range(100):
        for _, process in world.live():
            members = process.member.state.view.members
            liveness = process.member.agreement.liveness
            liveness.on_hosts([], members, world.clock(process))
        world.run(0.5)
    assert len(world.truth.view.members) == 5


def test_members_keep_authority_through_an_outage_and_the_minority_loses_it():
    world = fleet_of("abcde")
    world.log_up = False
    world.cut = links("ac", "ad", "ae", "bc", "bd", "be")
    world.run(30.0)
    able = {p for p, x in world.live() if x.member.has_authority(world.clock(x))}
    assert able == {"c", "d", "e"}


def test_a_new_process_starts_from_the_snapshot_of_a_trimmed_log():
    world = fleet_of()
    world.send_release("a")
    world.run(40.0)
    world.trim_log()
    assert world.first > 0
    world.start("d")
    world.run(3.0)
    assert world.process_by_place["d"].member.state.configuration.version == 1
    world.check_healed()


def test_members_append_the_snapshot_again_after_an_outage_longer_than_retention():
    world = fleet_of()
    world.send_release("a")
    world.run(1.0)
    world.log_up = False
    world.run(20.0)
    world.expire_log()
    world.log_up = True
    world.run(15.0)
    world.start("d")
    world.run(3.0)
    world.check_healed()
    assert world.process_by_place["d"].member.state.configuration.version == 1


@pytest.mark.parametrize(
    ("reader", "version"), [("nobody", 1), ("present", 2), ("away", 1)]
)
def test_an_expired_record_survives_only_if_a_member_present_has_read_it(
    reader, version
):
    world = fleet_of()
    world.send_release("a")
    world.run(1.0)
    world.appends_held = True
    world.relays_lost = True
    world.send_release("a")
    world.run(0.5)
    world.log_goes_down(appends_take_effect=True)
    first = world.process_by_place["a"]
    if reader != "nobody":
        first.member.on_entries(world.entries, world.clock(first))
    world.run(10.0)
    world.expire_log()
    world.log_up, world.appends_held = True, False
    world.relays_lost = False
    if reader == "away":
        first.log_reachable = False
        world.cut = links("ab", "ac")
    world.run(10.0)
    first.log_reachable = True
    world.run(1.0)
    assert (world.process_by_place["a"] is None) == (reader == "away")
    world.heal()
    world.check_healed()
    assert world.truth.configuration.version == version


def test_a_trimmed_log_without_a_snapshot_gives_no_authority():
    world = fleet_of()
    world.send_release("a")
    world.run(1.0)
    for place in world.process_by_place:
        world.process_by_place[place] = None
    world.expire_log()
    process = world.start("a")
    world.run(10.0)
    assert process.member.agreement.standing(process.member.state) == "no-snapshot"
    assert not process.member.has_authority(world.clock(process))
    assert len(world.truth.view.members) == 3


def test_a_log_with_its_tail_below_the_position_ends_authority():
    world = fleet_of()
    process = world.process_by_place["a"]
    asked = process.member.next_offset()
    process.member.on_read(asked, 0, 0, [], world.clock(process), world.clock(process))
    assert process.member.agreement.standing(process.member.state) == "log-reset"
    assert not process.member.has_authority(world.clock(process))


def test_a_decoded_snapshot_equals_the_encoded_state():
    world = fleet_of()
    for _ in range(3):
        world.send_release("a")
        world.run(0.5)
    state = world.process_by_place["a"].member.state
    assert decode_state(encode_state(state)).unwrap() == state
    assert state.configuration.version == 3


def test_a_log_reply_older_than_relayed_records_is_not_taken_for_a_reset():
    world = fleet_of()
    process = world.process_by_place["a"]
    process.reads_held = True
    world.run(0.5)
    world.send_release("b")
    world.run(3.0)
    assert process.member.state.configuration.version == 1
    process.reads_held = False
    world.run(1.0)
    assert process.member.agreement.standing(process.member.state) == "member"
