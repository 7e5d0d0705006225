"""Jobs of a queue that a configuration opens to callers without a key."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import JobState
from geraniumshored.node.job_requests import Verdict
from tests.common.lagging_node import LaggingNode, caller

OTHER_TEAM = "other"


@pytest.mark.parametrize("key", [None, "key", "of nobody"])
def test_jobs_of_a_queue_that_became_open_are_shown_to_all(key):
    """They had been submitted with a key and were answered 410 to callers without."""
    node = LaggingNode(open_to_all=True)
    node.accept_elsewhere(team=OTHER_TEAM)
    node.read()
    assert node.handler.show(caller(key)).state is JobState.QUEUED
    assert node.handler.cancel(caller(key)).verdict is Verdict.OK


def test_jobs_of_another_team_are_unknown_on_a_queue_with_keys():
    node = LaggingNode()
    node.accept_elsewhere(team=OTHER_TEAM)
    node.read()
    assert node.handler.show(caller()).verdict is Verdict.UNKNOWN_JOB
    assert node.handler.cancel(caller()).verdict is Verdict.UNKNOWN_JOB
    assert node.handler.show(caller(None)).verdict is Verdict.UNKNOWN_KEY
