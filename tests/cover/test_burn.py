import pytest
from hypothesis import given, settings, strategies as st

from geraniumshore import Queue, ServiceLevelHistory, burn_by_queue, is_good_call
from geraniumshore.internal.service_levels import DAY_MS, HOUR_MS, MINUTE_MS, TIERS

QUEUE = Queue(service="s", objective=0.99, objective_ms=500)
NOW = 100 * DAY_MS


def burn_of(history):
    return next(burn_by_queue({"q": QUEUE}, {"q": history}, NOW))


def test_a_queue_without_calls_has_its_whole_budget_and_no_alert():
    burn = burn_of(ServiceLevelHistory())
    assert burn.budget_left == 1.0
    assert burn.alerts == ()


def test_bad_calls_at_the_objective_burn_at_rate_one():
    history = ServiceLevelHistory()
    history.add(NOW, good=99, bad=1)
    burn = burn_of(history)
    assert [round(w.rate, 6) for w in burn.windows] == [1.0] * 5
    assert burn.budget_left == pytest.approx(0.0)


def test_an_ongoing_fault_pages_and_a_past_one_does_not():
    history = ServiceLevelHistory()
    history.add(NOW - 50 * MINUTE_MS, good=50, bad=50)
    history.add(NOW, good=100, bad=0)
    assert all(alert.long != "1h" for alert in burn_of(history).alerts)
    history.add(NOW, good=0, bad=100)
    assert any(alert.long == "1h" for alert in burn_of(history).alerts)


@settings(derandomize=True)
@given(st.lists(st.integers(0, 40 * DAY_MS), max_size=200).map(sorted))
def test_history_stays_bounded_and_recent_calls_are_never_lost(times):
    history = ServiceLevelHistory()
    for at_ms in times:
        history.add(at_ms, good=1, bad=0)
    for tier, buckets in zip(TIERS, history.tiers, strict=True):
        assert len(buckets) <= tier.kept_ms // tier.width_ms + 2
    if times:
        recent = [t for t in times if t > times[-1] - HOUR_MS]
        assert history.since(times[-1], HOUR_MS)[0] >= len(recent)


@pytest.mark.parametrize(
    ("status", "seconds", "good"),
    [
        (200, 0.1, True),
        (200, 0.6, False),
        (429, 0.0, False),
        (503, 0.0, False),
        (401, 0.0, None),
        (413, 0.0, None),
    ],
)
def test_a_call_is_good_bad_or_a_callers_error(status, seconds, good):
    assert is_good_call(status, seconds, 500) is good
