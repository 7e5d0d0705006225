"""A caller cancels a job that another node has accepted a moment ago."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import JobState
from geraniumshored.node.job_requests import Verdict
from tests.common.lagging_node import JOB, PAGE, LaggingNode, caller


@pytest.mark.parametrize("others", [0, 2 * PAGE])
def test_a_job_accepted_elsewhere_a_moment_ago_can_be_cancelled(others):
    """It was answered 410 until the node's next read, and ran on."""
    node = LaggingNode()
    for number in range(others):
        node.accept_elsewhere(f"{number:016x}")
    node.accept_elsewhere()
    assert node.handler.cancel(caller()).verdict is Verdict.OK
    node.read()
    node.read()
    node.read()
    state = node.jobs.registry.job_by_id[JOB].state
    assert state is JobState.CANCELLED
    assert len(node.jobs.registry.job_by_id) == others + 1


def test_a_job_that_is_not_in_the_log_cannot_be_cancelled():
    assert LaggingNode().handler.cancel(caller()).verdict is Verdict.UNKNOWN_JOB


def test_a_node_that_cannot_read_the_log_does_not_say_that_a_job_is_unknown():
    node = LaggingNode()
    node.accept_elsewhere()
    node.store.reachable = False
    answer = node.handler.cancel(caller())
    assert answer.verdict is Verdict.NOT_RUN
    assert answer.retry_after_s
