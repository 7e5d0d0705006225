"""Targets for the roll-out time, moves and planning time of maintenance."""

import pytest

from geraniumshore_standins.internal.experiments.planner_scale import plan_figures
from geraniumshore_standins.internal.experiments.wave import (
    SIZES,
    move_figures,
    run_wave,
)

MAX_ROLL_OUT_RATIO = 1.5
MAX_MOVES_RATIO = 1.1
MAX_PLAN_MS = 2_000


@pytest.mark.parametrize("faults", [False, True])
@pytest.mark.parametrize("size", list(SIZES))
def test_a_wave_ends_within_its_bound_and_breaks_no_budget(size, faults):
    figures = run_wave(size, "rolling", "moves-are-dear", faults)
    assert figures.ended
    assert figures.budget_breaks == 0
    assert figures.minutes <= MAX_ROLL_OUT_RATIO * figures.bound_minutes


@pytest.mark.parametrize("size", list(SIZES))
def test_a_rolling_wave_is_no_slower_than_the_baselines(size):
    rolling = run_wave(size, "rolling", "moves-are-dear", False)
    for baseline in ("one at a time per pool", "largest batch"):
        other = run_wave(size, baseline, "moves-are-dear", False)
        assert rolling.minutes <= other.minutes
    assert rolling.moves == 0


def test_a_note_takes_no_more_moves_than_it_needs_plus_a_tenth():
    for figures in move_figures():
        assert figures.moves <= MAX_MOVES_RATIO * figures.least_moves
        assert figures.budget_breaks == 0


def test_a_plan_for_3900_hosts_is_made_in_time():
    largest = list(plan_figures())[-1]
    assert largest.hosts >= 3_900
    assert largest.first_plan_ms < MAX_PLAN_MS
