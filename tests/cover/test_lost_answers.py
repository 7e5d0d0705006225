"""Hedged writes to a store that loses answers or answers seconds late.

The store carries a write out, but its answer is lost. Waiting for the timeout would
delay later writes, so the write is repeated and the first answer counts.
"""

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
from geraniumshored.node.hedging import HEDGE_DELAY_S, HedgedCall, HedgingStore
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
    """Return an event that unanswered attempts wait for."""
    event = threading.Event()
    yield event
    event.set()


def make(outcomes, probe=lambda: None, timeout_s: float = LONG_S):
    """Make a hedged call whose attempts have these outcomes, in sequence."""
    left = iter(outcomes)

    def attempt():
        outcome = next(left)
        if isinstance(outcome, threading.Event):
            outcome.wait(LONG_S)
            return "late"
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    call = HedgedCall("test", attempt, probe, time.monotonic)
    return call.make(time.monotonic() + timeout_s)


def test_a_lost_answer_is_not_waited_for(held):
    assert make([held, "second"]) == "second"


def test_repeated_calls_are_logged(held, caplog):
    with caplog.at_level(logging.INFO):
        make([held, "second"])
    (line,) = [r for r in caplog.records if r.getMessage() == "answer overdue"]
    fields = line.__dict__["fields"]
    assert (fields["call"], fields["attempts"]) == ("test", 2)


def test_several_lost_answers_are_not_waited_for(held):
    assert make([held, held, held, "fourth"]) == "fourth"


def test_a_call_is_not_repeated_while_probes_are_unanswered(held):
    probes = Counter[str]()

    def unanswered():
        probes["times"] += 1
        raise UnknownOutcomeError("silent")

    with pytest.raises(UnknownOutcomeError):
        make([held], probe=unanswered, timeout_s=SOON_S)
    assert probes["times"] >= 1


def test_a_call_is_repeated_as_soon_as_a_probe_is_answered(held):
    refusals = iter([UnknownOutcomeError("silent")] * 3)

    def answers_later():
        for refusal in refusals:
            raise refusal

    assert make([held, "second"], probe=answers_later) == "second"


def test_a_write_is_not_repeated_while_probes_are_slow():
    answered = threading.Event()

    def slow():
        time.sleep(2 * HEDGE_DELAY_S)
        answered.set()
        return "slow"

    attempts = Counter[str]()

    def attempt():
        attempts["made"] += 1
        return slow()

    call = HedgedCall("test", attempt, slow, time.monotonic)
    assert call.make(time.monotonic() + LONG_S) == "slow"
    assert attempts["made"] == 1


def test_an_answer_to_the_first_attempt_counts_after_a_repetition(held):
    repeated = threading.Event()

    def attempt():
        if repeated.is_set():
            return held.wait(LONG_S)
        repeated.set()
        # The answer comes while the second attempt is open.
        time.sleep(3 * HEDGE_DELAY_S)
        return "first"

    call = HedgedCall("test", attempt, lambda: None, time.monotonic)
    assert call.make(time.monotonic() + LONG_S) == "first"


def test_a_call_is_repeated_at_once_after_a_disconnection():
    assert make([UnknownOutcomeError("cut"), "second"]) == "second"


def test_a_refusal_of_all_attempts_is_raised_at_once():
    with pytest.raises(PlatformUnavailableError):
        make([PlatformUnavailableError("busy")])


def test_refusals_leave_the_outcome_of_an_unanswered_attempt_unknown(held):
    refusals = [PlatformUnavailableError("busy")] * 1000
    with pytest.raises(UnknownOutcomeError):
        make([held, *refusals], timeout_s=SOON_S)


def test_refusals_after_a_disconnection_leave_the_outcome_unknown():
    refusals = [PlatformUnavailableError("busy")] * 1000
    with pytest.raises(UnknownOutcomeError):
        make([UnknownOutcomeError("cut"), *refusals], timeout_s=SOON_S)


def test_another_error_ends_the_call(held):
    with pytest.raises(SequenceError):
        make([held, SequenceError(3)])


class UnansweredWriteStore(Store):
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

    def read(self, stream, offset, wait_ms, max_kb):
        raise NotImplementedError

    def newest(self, stream, after):
        raise NotImplementedError

    def members(self):
        return frozenset()

    def leave(self, member):
        raise NotImplementedError


RECORD = Record("j/1", b"job")


def test_a_job_is_accepted_if_the_first_append_is_unanswered(held):
    unanswered_store = UnansweredWriteStore(held)
    appender = Appender(HedgingStore(unanswered_store, time.monotonic), time.monotonic)
    appender.start()
    # Shorter than the timeout of an unanswered append.
    outcome = appender.append(RECORD, time.monotonic() + 1.8)
    assert outcome is AppendOutcome.DONE
    assert unanswered_store.writes[:2] == [(Stream.ACCEPTED, [RECORD], None)] * 2


def test_an_owner_s_append_is_repeated_with_the_same_number(held):
    unanswered_store = UnansweredWriteStore(held)
    writer = Writer("owner", 3, 7)
    store = HedgingStore(unanswered_store, time.monotonic)
    assert store.append(Stream.PROGRESS, [RECORD], writer) == Appended(0, 1)
    assert unanswered_store.writes[:2] == [(Stream.PROGRESS, [RECORD], writer)] * 2


def slow_clock() -> float:
    """Return a slowed time, so that a process short of CPU time meets its deadlines."""
    return time.monotonic() / 10


def test_a_member_stays_in_the_group_if_a_join_is_unanswered(held):
    unanswered_store = UnansweredWriteStore(held)
    store = HedgingStore(unanswered_store, slow_clock)
    assert store.join("n0", 4) == Membership(5, 0)
    assert unanswered_store.writes[:2] == ["n0", "n0"]
