"""Jobs with real processes: every accepted job ends despite crashes and outages."""

import threading
import time
from http.client import HTTPException

import pytest

from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import wait_for
from tests.common.job_processes import jobs_call, start_job_fleet, submit, task_counts

ENTRIES = 3


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        start_job_fleet(fleet, ENTRIES, {"acme": 20})
        yield fleet


def jobs_on(entry):
    return jobs_call(entry, "GET", "").json()


class Submitter(threading.Thread):
    """Submits jobs until stopped; repeats each under the same key until accepted."""

    def __init__(self, fleet, name):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.name = name
        self.accepted = {}
        self.stopped = threading.Event()

    def run(self):
        number = 0
        while not self.stopped.is_set():
            number += 1
            queue = ("reports", "batches")[number % 2]
            self.submit_until_accepted(queue, f"{self.name}-{number}")

    def submit_until_accepted(self, queue, key):
        turn = 0
        while not self.stopped.is_set():
            entry = self.fleet.entry_by_name[f"e{turn % ENTRIES}"]
            turn += 1
            try:
                reply = submit(entry, queue, key)
            except (OSError, HTTPException):
                time.sleep(0.05)
                continue
            if reply.status == 202:
                job = reply.json()["job"]
                assert self.accepted.setdefault(key, job) == job
                return
            time.sleep(0.1)


def check_all_ended(fleet, submitters):
    accepted = {job for s in submitters for job in s.accepted.values()}
    assert accepted
    entry = next(e for e in fleet.entry_by_name.values() if e.process.poll() is None)

    def ended():
        counts = jobs_on(entry)["counts"]
        return not {"waiting", "running"} & set(counts)

    wait_for(ended, "end of every job", 60.0)
    listed = jobs_on(entry)
    phases = {job["job"]: job for job in listed["jobs"]}
    assert accepted <= set(phases)
    assert {job["phase"] for job in phases.values()} == {"succeeded"}, listed["counts"]
    starts = task_counts(fleet)["starts_by_job"]
    batches = [j for j, shown in phases.items() if shown["queue"] == "batches"]
    assert all(starts[job] == 1 for job in batches)
    assert task_counts(fleet)["most_running_by_team"]["acme"] <= 20
    return len(accepted)


def run_under(fleet, inject_fault):
    submitters = [Submitter(fleet, f"s{n}") for n in range(3)]
    for submitter in submitters:
        submitter.start()
    time.sleep(1.0)
    inject_fault()
    time.sleep(1.0)
    for submitter in submitters:
        submitter.stopped.set()
        submitter.join(30.0)
    print("accepted", check_all_ended(fleet, submitters))


def kill_and_restart(fleet, name):
    fleet.entry_by_name[name].kill()
    fleet.restart_entry(name)


def test_accepted_jobs_end_when_each_entry_host_is_killed_in_turn(fleet):
    def inject_fault():
        for name in fleet.entry_by_name:
            kill_and_restart(fleet, name)
            wait_for(fleet.entry_by_name[name].ready, f"ready {name}", 30.0)

    run_under(fleet, inject_fault)


def test_accepted_jobs_end_when_all_entry_hosts_are_killed_at_once(fleet):
    def inject_fault():
        for entry in fleet.entry_by_name.values():
            entry.kill()
        for name in fleet.entry_by_name:
            fleet.restart_entry(name)
        fleet.wait_until_ready()

    run_under(fleet, inject_fault)


def test_accepted_jobs_end_after_an_outage_of_the_platform(fleet):
    def inject_fault():
        fleet.set_faults(outage=True)
        began = time.monotonic()
        reply = submit(fleet.entry_by_name["e0"], "batches", "in-the-outage")
        assert time.monotonic() - began < 5.0
        assert reply.status in {503, 504}
        time.sleep(10.0)
        fleet.set_faults()
        fleet.wait_until_ready()

    run_under(fleet, inject_fault)


def test_lost_replies_of_starts_do_not_start_a_job_twice(fleet):
    run_under(fleet, lambda: fleet.set_faults(lost_task_replies=30, lost_replies=5))
