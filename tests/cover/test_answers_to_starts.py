"""What the minions' client makes of answers to starts."""

import json

import pytest

from geraniumshore_scheduler import (
    StartAnswer,
    StartOrder,
    StartOutcome,
    Step,
    TaskKey,
    UnknownOutcomeError,
)
from geraniumshore_scheduler.internal.runs import Run, RunState
from geraniumshored.platform.http import HttpReply
from geraniumshored.platform.minions import HttpMinions
from tests.common.schedule_parts import SMALL

TASK = TaskKey("a" * 16, 0, 0, 0)
RUN = Run(TASK, 1, "i-0", Step(1, SMALL, 500), None, RunState.SENT, 0.0)


class OneAnswer:
    """An HTTP client whose only call gets a given answer."""

    def __init__(self, status: int, body: bytes) -> None:
        self.reply = HttpReply(status, body)

    def post_json(self, *_) -> HttpReply:
        return self.reply


def start(status: int, body: bytes) -> StartAnswer:
    minions = HttpMinions(OneAnswer(status, body))  # type: ignore[arg-type]
    return minions.start(StartOrder(RUN, "127.0.0.1:1", "spec", "", 5), 1000)


def test_a_confirmed_start_has_the_minions_clock():
    body = json.dumps({"clock_ms": 482_113}).encode()
    assert start(200, body) == StartAnswer(StartOutcome.STARTED, 482_113)


@pytest.mark.parametrize(
    "body", [b"", b"{}", b"[1]", b'{"clock_ms": "soon"}', b'{"clock_ms": null}']
)
def test_a_start_is_confirmed_without_a_clock_too(body):
    assert start(200, body) == StartAnswer(StartOutcome.STARTED)


@pytest.mark.parametrize(
    ("status", "reason", "outcome"),
    [
        (409, "old", StartOutcome.OLD_RUN),
        (409, "late", StartOutcome.LATE),
        (409, "room", StartOutcome.NO_ROOM),
        (409, "ticket", StartOutcome.NO_TICKET),
        (409, "other", StartOutcome.REFUSED),
        (400, "", StartOutcome.REFUSED),
        (429, "", StartOutcome.UNHEALTHY),
        (503, "", StartOutcome.UNHEALTHY),
        (500, "", StartOutcome.NO_ANSWER),
    ],
)
def test_a_refused_start_has_its_reason(status, reason, outcome):
    body = json.dumps({"clock_ms": 5, "reason": reason}).encode()
    assert start(status, body) == StartAnswer(outcome)


def test_a_refusal_that_cannot_be_read_has_no_known_outcome():
    with pytest.raises(UnknownOutcomeError):
        start(409, b"{")
