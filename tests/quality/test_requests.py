"""Targets for requests under faults and overload, measured on real processes."""

from geraniumshore_standins.internal.experiments.faults import run_faults
from geraniumshore_standins.internal.experiments.overload import run_overload

MIN_GOODPUT_RATIO = 0.85
MAX_REFUSAL_P50_MS = 100.0


def test_no_request_is_lost_doubled_cut_or_crossed_under_faults():
    report = run_faults(requests=20_000, seed=1)
    assert report.requests == 20_000
    assert sum(report.faults.values()) >= 20
    assert report.passed, report.lines()


def test_goodput_stays_flat_under_overload_and_refusals_are_quick():
    report = run_overload()
    by_load = {(load.admission, load.times_capacity): load for load in report.loads}
    ordinary = by_load[True, 1.0].good
    for times in (2.0, 5.0):
        load = by_load[True, times]
        assert load.good >= MIN_GOODPUT_RATIO * ordinary, report.lines()
        assert load.refusal_p50_ms <= MAX_REFUSAL_P50_MS, report.lines()
        assert load.good > by_load[False, times].good
