"""A store that carries writes out and does not answer, or answers seconds late."""

from __future__ import annotations

import logging
import threading
import time
from collections import Counter

import pytest

from geraniumshore_scheduler import (
    PlatformUnavailableError,
    SequenceError,
    UnknownOutcomeError,
)
from geraniumshored.node.appender import Appender, AppendOutcome
from geraniumshored.node.hedging import OVERDUE_S, RepeatedCall, RepeatingStore
from geraniumshored.node.ports import (
    Appended,
    Membership,
    Record,
    Store,
    Stream,
    Writer,
)

# Far longer than any of these calls takes.
LONG_S = 30.0
SOON_S = 0.5


@pytest.fixture
def held():
    """Return an event that attempts without an answer wait for."""
    event = threading.Event()
    yield event
    event.set()


def make(outcomes, probe=lambda: None, give_up_s: float = LONG_S):
    """Make a call whose attempts have these outcomes, one after the other."""
    left = iter(outcomes)

    def attempt():
        outcome = next(left)
        if isinstance(outcome, threading.Event):
            outcome.wait(LONG_S)
            return "late"
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    call = RepeatedCall("test", attempt, probe, time.monotonic)
    return call.make(time.monotonic() + give_up_s)


def test_an_answer_that_does_not_come_is_not_waited_for(held):
    assert make([held, "second"]) == "second"


def test_the_log_tells_what_was_made_again(held, caplog):
    with caplog.at_level(logging.INFO):
        make([held, "second"])
    (line,) = [r for r in caplog.records if r.getMessage() == "answer overdue"]
    fields = line.__dict__["fields"]
    assert (fields["call"], fields["attempts"]) == ("test", 2)


def test_lost_answers_in_a_row_are_not_waited_for(held):
    assert make([held, held, held, "fourth"]) == "fourth"


def test_nothing_is_made_again_while_the_other_side_does_not_answer(held):
    probed = Counter[str]()

    def silent():
        probed["times"] += 1
        raise UnknownOutcomeError("silent")

    with pytest.raises(UnknownOutcomeError):
        make([held], probe=silent, give_up_s=SOON_S)
    assert probed["times"] >= 1


def test_it_is_made_again_as_soon_as_the_other_side_answers(held):
    refusals = iter([UnknownOutcomeError("silent")] * 3)

    def back_later():
        for refusal in refusals:
            raise refusal

    assert make([held, "second"], probe=back_later) == "second"


def test_a_slow_store_gets_no_second_write():
    answered = threading.Event()

    def slow():
        time.sleep(2 * OVERDUE_S)
        answered.set()
        return "slow"

    attempts = Counter[str]()

    def attempt():
        attempts["made"] += 1
        return slow()

    call = RepeatedCall("test", attempt, slow, time.monotonic)
    assert call.make(time.monotonic() + LONG_S) == "slow"
    assert attempts["made"] == 1


def test_an_answer_is_taken_that_comes_after_the_call_was_repeated(held):
    repeated = threading.Event()

    def attempt():
        if repeated.is_set():
            return held.wait(LONG_S)
        repeated.set()
        # The answer comes while the second attempt is open.
        time.sleep(3 * OVERDUE_S)
        return "first"

    call = RepeatedCall("test", attempt, lambda: None, time.monotonic)
    assert call.make(time.monotonic() + LONG_S) == "first"


def test_a_cut_connection_is_tried_again_at_once():
    assert make([UnknownOutcomeError("cut"), "second"]) == "second"


def test_a_refusal_alone_is_told_at_once():
    with pytest.raises(PlatformUnavailableError):
        make([PlatformUnavailableError("busy")])


def test_a_refusal_says_nothing_about_an_attempt_without_an_answer(held):
    refusals = [PlatformUnavailableError("busy")] * 1000
    with pytest.raises(UnknownOutcomeError):
        make([held, *refusals], give_up_s=SOON_S)


def test_a_cut_and_then_refusals_stay_unknown():
    refusals = [PlatformUnavailableError("busy")] * 1000
    with pytest.raises(UnknownOutcomeError):
        make([UnknownOutcomeError("cut"), *refusals], give_up_s=SOON_S)


def test_another_error_ends_the_call(held):
    with pytest.raises(SequenceError):
        make([held, SequenceError(3)])


class SilentStore(Store):
    """A store that does not answer the first write."""

    def __init__(self, held: threading.Event) -> None:
        self.held = held
        self.writes: list[object] = []

    def _write(self, written: object) -> None:
        self.writes.append(written)
        if len(self.writes) == 1:
            self.held.wait(LONG_S)

    def append(self, stream, records, writer=None):
        self._write((stream, list(records), writer))
        return Appended(0, 1)

    def join(self, member, generation):
        self._write(member)
        return Membership(generation + 1, 0)

    def read(self, stream, offset, wait_ms):
        raise NotImplementedError

    def newest(self, stream):
        raise NotImplementedError

    def members(self):
        return frozenset()

    def leave(self, member):
        raise NotImplementedError


RECORD = Record("j/1", b"job")


def test_a_job_is_accepted_though_the_first_append_has_no_answer(held):
    silent = SilentStore(held)
    appender = Appender(RepeatingStore(silent, time.monotonic), time.monotonic)
    appender.start()
    # Less than an append without an answer takes to time out.
    outcome = appender.append(RECORD, time.monotonic() + 1.8)
    assert outcome is AppendOutcome.DONE
    assert silent.writes[:2] == [(Stream.ACCEPTED, [RECORD], None)] * 2


def test_the_owner_s_append_is_repeated_under_its_number(held):
    silent = SilentStore(held)
    writer = Writer("owner", 3, 7)
    store = RepeatingStore(silent, time.monotonic)
    assert store.append(Stream.PROGRESS, [RECORD], writer) == Appended(0, 1)
    assert silent.writes[:2] == [(Stream.PROGRESS, [RECORD], writer)] * 2


def slow_clock() -> float:
    """Return a time in which a starved test process is not late."""
    return time.monotonic() / 10


def test_a_member_stays_in_the_group_though_a_join_has_no_answer(held):
    silent = SilentStore(held)
    store = RepeatingStore(silent, slow_clock)
    assert store.join("n0", 4) == Membership(5, 0)
    assert silent.writes[:2] == ["n0", "n0"]
