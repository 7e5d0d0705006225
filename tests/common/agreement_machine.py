"""A Hypothesis state machine that combines faults over real members."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.common.agreement import FAST_RATE, SLOW_RATE, World

PLACES = "abcde"
places = st.sampled_from(PLACES)
links = st.sets(
    st.tuples(places, places).map(frozenset).filter(lambda pair: len(pair) == 2)
)
groups = st.sets(places, min_size=1, max_size=len(PLACES) - 1)


class AgreementMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @initialize(
        rates=st.lists(
            st.sampled_from([SLOW_RATE, 1.0, FAST_RATE]), min_size=3, max_size=5
        ),
        relays_lost=st.booleans(),
    )
    def start_fleet(self, rates, relays_lost):
        for place, rate in zip(PLACES, rates, strict=False):
            self.world.start(place, rate)
        self.world.run(4.0)
        self.world.relays_lost = relays_lost

    def process(self, place):
        return self.world.process_by_place.get(place)

    @rule(seconds=st.sampled_from([0.25, 1.0, 2.5, 3.5, 5.0]))
    def time_passes(self, seconds):
        self.world.run(seconds)

    @rule(appends_take_effect=st.booleans())
    def log_goes_down(self, appends_take_effect):
        self.world.log_goes_down(appends_take_effect)

    @rule()
    def log_comes_back(self):
        self.world.log_up = True

    @rule(reachable=st.sets(places))
    def log_is_reached_by_some(self, reachable):
        for place, process in self.world.live():
            process.log_reachable = place in reachable

    @rule(place=places, peers=st.sets(places))
    def place_reaches_only_some_peers(self, place, peers):
        if self.process(place):
            self.process(place).log_reachable = False
        others = set(PLACES) - peers - {place}
        self.world.cut = {frozenset((place, other)) for other in others}

    @rule(held=st.booleans(), doubled=st.booleans())
    def appends_come_late_or_twice(self, held, doubled):
        self.world.appends_held = held
        self.world.doubled_appends = doubled

    @rule(place=places, held=st.booleans())
    def log_replies_come_late(self, place, held):
        if self.process(place):
            self.process(place).reads_held = held

    @rule(group=groups)
    def network_splits(self, group):
        others = set(PLACES) - group
        self.world.cut = {frozenset((a, b)) for a in group for b in others}

    @rule(cut=links, held=links, doubled=st.booleans())
    def links_lose_delay_or_double(self, cut, held, doubled):
        self.world.cut, self.world.held = cut, held
        self.world.doubled_messages = doubled

    @rule(observers=st.one_of(st.just(set(PLACES)), st.sets(places)), suspect=places)
    def member_is_taken_for_silent(self, observers, suspect):
        self.world.suspected = {(observer, suspect) for observer in observers}

    @rule(order=st.randoms(use_true_random=False))
    def messages_are_reordered(self, order):
        order.shuffle(self.world.undelivered)

    @rule(place=places, paused=st.booleans())
    def process_pauses_or_wakes(self, place, paused):
        if self.process(place):
            self.process(place).paused = paused

    @rule(place=places)
    def process_is_killed(self, place):
        if place in self.world.process_by_place:
            self.world.process_by_place[place] = None

    @rule(place=places, rate=st.sampled_from([SLOW_RATE, 1.0, FAST_RATE]))
    def process_starts(self, place, rate):
        if self.process(place) is None:
            self.world.start(place, rate)

    @rule(place=places)
    def operator_sends_a_note(self, place):
        if self.process(place):
            self.world.send_release(place)

    @rule()
    def log_is_trimmed(self):
        self.world.trim_log()

    @precondition(lambda self: self.world.majority_lives())
    @rule(appends_take_effect=st.booleans())
    def log_is_down_for_longer_than_its_retention(self, appends_take_effect):
        self.world.log_goes_down(appends_take_effect)
        self.world.run(4.0)
        if self.world.majority_lives():
            self.world.expire_log()
            self.world.heal()
            self.world.check_healed()

    def teardown(self):
        self.world.heal()
        self.world.check_healed()
