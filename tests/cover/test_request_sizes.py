"""A submission that the store cannot hold is refused at once and delays no other."""

from __future__ import annotations

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from geraniumshore_scheduler import PlatformUnavailableError
from geraniumshore_standins.internal.users_platform import PlatformFleet
from geraniumshored.node.appender import Appender, AppendOutcome
from geraniumshored.node.ports import Appended, Record

MAX_APPEND_BYTES = 10_000
RECORD_BYTES = 2_000


class BoundedStore:
    """Refuses appends that are too large, after a pause in which others gather."""

    def __init__(self) -> None:
        self.appends: list[int] = []
        self.lock = threading.Lock()

    def append(self, stream, records, writer=None) -> Appended:
        time.sleep(0.05)
        size = sum(record.size for record in records)
        if size > MAX_APPEND_BYTES:
            raise PlatformUnavailableError("HTTP 413")
        with self.lock:
            self.appends.append(len(records))
        return Appended(0, 0)


def test_concurrent_submissions_are_divided_into_appends_that_fit():
    """One append with all of them was refused, and so were all callers."""
    store = BoundedStore()
    appender = Appender(store, time.monotonic, MAX_APPEND_BYTES)  # type: ignore[arg-type]
    appender.start()
    deadline = time.monotonic() + 5.0
    records = [Record(f"j/{n}", b"x" * 1_900) for n in range(60)]
    with ThreadPoolExecutor(60) as pool:
        outcomes = pool.map(lambda record: appender.append(record, deadline), records)
        assert set(outcomes) == {AppendOutcome.DONE}
    assert sum(store.appends) == 60
    assert max(store.appends) > 1


@pytest.fixture(scope="module")
def fleet():
    with PlatformFleet(record_bytes=RECORD_BYTES) as started:
        started.start(nodes=1, minions=1)
        yield started


def document(steps: int):
    step = {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 50}
    return {"spec": json.dumps({"work_ms": 50}), "phases": [step] * steps}


def test_a_job_beyond_a_record_is_refused_and_nothing_of_it_is_kept(fleet):
    assert fleet.submit("n0", "0" * 16, document(100)).status == 400
    assert fleet.call("n0", "GET", "0" * 16).status == 410
    assert fleet.submit("n0", "1" * 16, document(2)).status == 200
    fleet.wait_for_state("n0", "1" * 16, "done")


@pytest.mark.parametrize(
    "job_id",
    ["", "x", "0" * 15, "0" * 17, "0" * 300, "0.0.0.0.00000000", "a/5", "g" * 16],
)
def test_a_path_without_a_job_id_is_refused(fleet, job_id):
    """IDs are parts of task names and record keys, which a longer one would break."""
    assert fleet.submit("n0", job_id, document(1)).status == 400
    assert fleet.submit("n0", "2" * 16, document(1)).status == 200
