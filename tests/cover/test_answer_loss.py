"""Minions that leave some calls unanswered and carry them out seconds later.

With 6.6 % of the calls unanswered, jobs whose tasks all started at once took 3.6 s
instead of 1.3 s: each minion lost the answer to a poll about once a second, and its
completions stayed unseen until that poll timed out after 1.7 s.
"""

from __future__ import annotations

import random

import pytest

from geraniumshore_scheduler import StartOutcome, Step
from geraniumshore_scheduler.internal.answer_loss import (
    HALF_LIFE_S,
    LOSSY_TIMES,
    MIN_UNANSWERED,
    USUAL_TIMES,
    AnswerLoss,
)
from tests.common.schedule_parts import CAPACITY, Fleet, job

CALLS_PER_S = 500


def observe(loss: AnswerLoss, share: float, seconds: float, now: float = 0.0) -> float:
    rng = random.Random(1)
    for number in range(int(seconds * CALLS_PER_S)):
        loss.observe(rng.random() >= share, now + number / CALLS_PER_S)
    return now + seconds


@pytest.mark.parametrize("share", [0.03, 0.066, 0.35])
def test_lost_answers_are_noticed_within_a_second(share):
    loss = AnswerLoss()
    now = observe(loss, share, 1.0, observe(loss, 0.0, 10.0))
    assert loss.call_times(now) == LOSSY_TIMES


def test_calls_take_their_usual_times_again_after_the_losses():
    loss = AnswerLoss()
    now = observe(loss, 0.0, 5 * HALF_LIFE_S, observe(loss, 0.066, 5.0))
    assert loss.call_times(now) == USUAL_TIMES


@pytest.mark.parametrize("share", [0.0, 0.002])
def test_single_losses_change_nothing(share):
    loss = AnswerLoss()
    assert not loss.is_lossy(observe(loss, share, 20.0))


def test_a_few_calls_show_nothing():
    """The first calls of a new owner may all go to minions that are gone."""
    loss = AnswerLoss()
    for _ in range(int(MIN_UNANSWERED) - 1):
        loss.observe(False, 0.0)
    assert loss.call_times(0.0) == USUAL_TIMES


def test_starts_without_an_answer_shorten_the_next_calls():
    fleet = Fleet(minions=6)
    fleet.add(job("a" * 16, Step(6, CAPACITY, 500)))
    batch = fleet.scheduler.plan(fleet.now, 0.0)
    assert batch is not None
    fleet.scheduler.on_durable(batch)
    assert fleet.poll("i-0").wait_ms == USUAL_TIMES.poll_wait_ms
    for order in batch.starts[:4]:
        fleet.scheduler.prepare_start(order.run, fleet.now)
        fleet.scheduler.on_start_answer(order.run, StartOutcome.NO_ANSWER, fleet.now)
    idle = batch.starts[5].run.minion_id
    request = fleet.poll(idle)
    assert (request.wait_ms, request.answer_s) == (
        LOSSY_TIMES.poll_wait_ms,
        LOSSY_TIMES.answer_s,
    )
    assert fleet.scheduler.order_timeout_s(fleet.now) == LOSSY_TIMES.answer_s


def test_a_minion_that_stays_silent_counts_once():
    """A rack that goes dark is no reason to poll all other minions more often."""
    fleet = Fleet(minions=1)
    for _ in range(10):
        fleet.scheduler.on_poll_unanswered(fleet.poll("i-0"), fleet.now)
    assert fleet.scheduler.order_timeout_s(fleet.now) == USUAL_TIMES.answer_s
