"""Bursts of similar size come again and again, in one pool and then in another."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import BurstHistory

STEP_S = 0.1
PEAK = 10.0
BURST_S = 4.5


def observe(history, pool, demand, offered, jobs, start, duration):
    """Observe a constant load; return the last load to prepare for."""
    prepared = 0.0
    for step in range(round(duration / STEP_S)):
        now = start + step * STEP_S
        prepared = history.anticipate(pool, demand, offered, jobs, now)
    return prepared


def after_a_burst(pool: str = "a") -> BurstHistory:
    """Return the history after one burst of a pool, which ended before 10 s."""
    history = BurstHistory()
    observe(history, pool, 0.0, 0.0, 0, 0.0, 2.0)
    observe(history, pool, PEAK, PEAK, 20, 2.0, BURST_S)
    observe(history, pool, 0.0, 0.0, 0, 2.0 + BURST_S, 3.0)
    return history


def test_without_former_bursts_the_arrivals_decide():
    history = BurstHistory()
    assert history.expected_peak("a") is None
    assert observe(history, "a", 3.0, 5.0, 6, 0.0, 0.5) == 5.0


def test_the_peak_of_a_burst_is_learned():
    assert after_a_burst().expected_peak("a") == pytest.approx(PEAK, rel=0.05)


def test_a_peak_of_a_fraction_of_a_second_counts_less():
    history = BurstHistory()
    observe(history, "a", 3.0, 3.0, 5, 0.0, 2.0)
    observe(history, "a", 4 * PEAK, 3.0, 5, 2.0, 2 * STEP_S)
    observe(history, "a", 3.0, 3.0, 5, 2.2, 1.0)
    observe(history, "a", 0.0, 0.0, 0, 3.2, 3.0)
    peak = history.expected_peak("a")
    assert peak is not None and peak < 2 * PEAK


def test_the_onset_of_a_burst_prepares_for_all_of_it():
    prepared = observe(after_a_burst(), "a", 2.0, 4.0, 3, 10.0, STEP_S)
    assert prepared == pytest.approx(PEAK, rel=0.05)


def test_a_pool_without_bursts_of_its_own_expects_those_of_others():
    prepared = observe(after_a_burst("a"), "b", 2.0, 4.0, 3, 10.0, STEP_S)
    assert prepared == pytest.approx(PEAK, rel=0.05)


def test_a_single_large_job_is_no_burst():
    assert observe(after_a_burst(), "a", 4.0, 6.0, 1, 10.0, STEP_S) == 6.0


def test_a_burst_that_does_not_grow_is_no_longer_prepared_for():
    assert observe(after_a_burst(), "a", 4.0, 4.0, 3, 10.0, 4.0) == 4.0


def test_an_estimate_far_above_former_bursts_is_limited():
    prepared = observe(after_a_burst(), "a", 5.0, 4 * PEAK, 6, 10.0, STEP_S)
    assert PEAK < prepared < 1.5 * PEAK


def test_demand_above_former_bursts_lifts_the_limit():
    prepared = observe(after_a_burst(), "a", 3 * PEAK, 3.5 * PEAK, 30, 10.0, 1.0)
    assert prepared == pytest.approx(3.5 * PEAK, rel=0.05)


def test_bursts_that_become_smaller_are_followed():
    history = after_a_burst()
    for number in range(4):
        start = 10.0 + 8 * number
        observe(history, "a", 5.0, 5.0, 8, start, BURST_S)
        observe(history, "a", 0.0, 0.0, 0, start + BURST_S, 3.0)
    assert history.expected_peak("a") == pytest.approx(5.0, rel=0.1)
