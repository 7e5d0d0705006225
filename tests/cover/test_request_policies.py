"""Outlier ejection, retries, admission and wait estimates, without I/O."""

import pytest
from hypothesis import given, settings, strategies as st

from geraniumshore import (
    Admission,
    Flow,
    NotRun,
    OutlierDetector,
    Ran,
    RetryBudget,
    Unknown,
    WaitEstimator,
    backoff_seconds,
    may_repeat,
)
from geraniumshore.internal.outliers import (
    FIRST_EJECTION_SECONDS,
    MAX_EJECTION_SECONDS,
    ejected_minions,
)
from geraniumshore.internal.retries import (
    INITIAL_RETRIES,
    MAX_ATTEMPTS,
    MAX_BACKOFF_SECONDS,
    RETRIES_PER_SUCCESS,
)

MINIONS = ["m0", "m1", "m2", "m3"]


def feed(detector, outcomes, now=0.0, start=0):
    for number, (minion, good) in enumerate(outcomes, start):
        detector.on_result(minion, f"work{number}", good, now)


def healthy(count):
    return [(minion, True) for minion in MINIONS for _ in range(count)]


def test_a_minion_that_fails_good_work_is_ejected_and_readmitted_on_probation():
    detector = OutlierDetector()
    feed(detector, healthy(3) + [("m0", False)] * 3)
    assert detector.suspects(0.5) == {"m0"}
    assert detector.suspects(FIRST_EJECTION_SECONDS) == frozenset()
    detector.on_result("m0", "next", False, FIRST_EJECTION_SECONDS)
    assert detector.suspects(2.9 * FIRST_EJECTION_SECONDS) == {"m0"}


def test_an_ejection_is_never_longer_than_its_bound():
    detector = OutlierDetector()
    feed(detector, healthy(3))
    now = 0.0
    for number in range(40):
        detector.on_result("m0", f"again{number}", False, now)
        while detector.suspects(now):
            now += 1.0
    feed(detector, [("m0", False)] * 3, now, start=1000)
    assert detector.suspects(now) == {"m0"}
    assert detector.suspects(now + MAX_EJECTION_SECONDS) == frozenset()


def test_work_that_fails_everywhere_ejects_no_minion():
    detector = OutlierDetector()
    feed(detector, healthy(3))
    for number in range(10):
        for minion in MINIONS[:2]:
            detector.on_result(minion, f"bad{number}", False, 1.0)
    assert detector.suspects(1.0) == frozenset()


def test_an_ejection_caused_by_bad_work_is_revoked():
    detector = OutlierDetector()
    feed(detector, healthy(3))
    for number in range(3):
        detector.on_result("m0", f"bad{number}", False, 1.0)
    assert detector.suspects(1.0) == {"m0"}
    for number in range(3):
        detector.on_result("m1", f"bad{number}", False, 1.0)
    assert detector.suspects(1.0) == frozenset()


def test_failures_that_all_minions_share_eject_none():
    detector = OutlierDetector()
    for number in range(40):
        for minion in MINIONS:
            work = f"{minion}-{number}"
            detector.on_result(minion, work, number % 2 == 0, 1.0)
    assert detector.suspects(1.0) == frozenset()


@settings(derandomize=True)
@given(
    st.sets(st.sampled_from("abcdef")),
    st.dictionaries(st.sampled_from("xyz"), st.sets(st.sampled_from("abcdefgh"))),
)
def test_at_most_half_of_the_minions_are_ejected(minions, suspects):
    ejected = ejected_minions(minions, suspects)
    assert ejected <= minions
    assert len(ejected) <= len(minions) / 2
    assert ejected <= set().union(*suspects.values())


@settings(derandomize=True)
@given(st.lists(st.booleans()))
def test_retries_stay_a_fraction_of_successes(steps):
    budget = RetryBudget()
    successes = retries = 0
    for success in steps:
        if success:
            budget.on_success()
            successes += 1
        else:
            retries += budget.take()
    assert retries <= INITIAL_RETRIES + successes * RETRIES_PER_SUCCESS + 1e-9


@pytest.mark.parametrize(
    ("outcome", "idempotent", "repeats"),
    [
        (NotRun("refused"), False, True),
        (NotRun("key withdrawn", retriable=False), True, False),
        (Unknown("cut"), False, False),
        (Unknown("cut"), True, True),
        (Ran(200, "text/plain", None, b""), True, False),
        (Ran(500, "text/plain", None, b""), True, True),
        (Ran(500, "text/plain", None, b""), False, False),
    ],
)
def test_only_safe_attempts_are_repeated(outcome, idempotent, repeats):
    assert may_repeat(outcome, idempotent, 1) is repeats
    assert not may_repeat(outcome, idempotent, MAX_ATTEMPTS)


@settings(derandomize=True)
@given(st.integers(1, 50), st.floats(0, 1, exclude_max=True))
def test_the_pause_between_attempts_is_bounded(attempts, draw):
    assert 0 <= backoff_seconds(attempts, draw) <= MAX_BACKOFF_SECONDS


@settings(derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.booleans())))
def test_open_calls_stay_within_every_bound(steps):
    admission = Admission.from_threads(32)
    calls = []
    for team, urgent, opens in steps * 3:
        if opens and admission.enter(team, urgent):
            calls.append((team, urgent))
        elif not opens and calls:
            admission.leave(*calls.pop())
        assert admission.open == len(calls) <= admission.limit < 32
        deferrable = sum(not u for _, u in calls)
        assert admission.open_deferrable == deferrable < admission.limit


def test_urgent_calls_are_admitted_when_deferrable_ones_are_at_their_limit():
    admission = Admission.from_threads(96)
    while admission.enter("bulk", urgent=False):
        pass
    assert admission.enter("line", urgent=True)


def test_work_that_would_expire_while_it_waits_is_refused_at_once():
    waits, flow = WaitEstimator(), Flow("count", "acme")
    assert waits.enter(flow, 0.0, deadline=100.0)
    for number in range(10):
        assert waits.enter(flow, number * 0.1, deadline=100.0)
        waits.leave(flow, number * 0.1, started=True)
    admitted = 0
    while waits.enter(flow, 1.0, deadline=2.0):
        admitted += 1
    # One start per 0.1 s allows ten within the deadline; the margin reduces that.
    assert 6 <= admitted <= 8
    assert waits.enter(flow, 1.0, deadline=10.0)
    assert waits.enter(Flow("count", "bolt"), 1.0, deadline=1.1)


def test_a_burst_after_sparse_calls_is_admitted():
    waits, flow = WaitEstimator(), Flow("count", "acme")
    for number in range(20):
        assert waits.enter(flow, number * 5.0, deadline=1000.0)
        waits.leave(flow, number * 5.0, started=True)
    for _ in range(30):
        assert waits.enter(flow, 96.0, deadline=97.0)


def test_a_stale_start_rate_refuses_nothing():
    waits, flow = WaitEstimator(), Flow("count", "acme")
    waits.enter(flow, 0.0, deadline=100.0)
    for number in range(10):
        waits.enter(flow, 0.0, deadline=100.0)
        waits.leave(flow, number * 0.1, started=True)
    assert waits.enter(flow, 60.0, deadline=60.1)
    assert waits.enter(flow, 60.0, deadline=60.1)
