"""Jobs submitted over HTTP and on the command line, from submission to result."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from geraniumshore import Items, ReleaseNote, Wave
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.operator_client import http_call
from tests.common.job_processes import (
    jobs_call,
    put_to_platform,
    start_job_fleet,
    submit,
    task_counts,
)
from tests.common.notes import bearer
from tests.common.processes import apply_note

CLI = Path(sys.executable).parent / "geraniumshore"


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        start_job_fleet(fleet, entries=2, limits={"acme": 5, "bolt": 5})
        yield fleet


@pytest.fixture
def entry(fleet):
    return fleet.entry_by_name["e0"]


def accepted_job(reply):
    assert reply.status == 202, reply.body
    return reply.json()["job"]


def problem_of(reply):
    return reply.status, reply.json()["type"].rpartition(":")[2]


def wait_for_phase(entry, job, phase):
    wait_for(
        lambda: jobs_call(entry, "GET", f"/{job}").json().get("phase") == phase,
        f"{phase} {job}",
        15.0,
    )


def run_cli(fleet, *arguments, key=None):
    entries = " ".join(entry.address for entry in fleet.entry_by_name.values())
    environment = {
        **os.environ,
        "GERANIUMSHORE_ENTRIES": entries,
        "GERANIUMSHORE_KEY": key or bearer("acme"),
    }
    return subprocess.run(
        [str(CLI), "jobs", *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_a_job_runs_and_any_entry_host_returns_its_complete_result(fleet, entry):
    job = accepted_job(submit(entry, "batches", "whole"))
    other = fleet.entry_by_name["e1"]
    wait_for_phase(other, job, "succeeded")
    result = jobs_call(other, "GET", f"/{job}/result").body
    assert result == job.encode()[:16]
    assert task_counts(fleet)["starts_by_job"][job] == 1


def test_the_same_key_gives_the_same_job_through_any_entry_host(fleet, entry):
    jobs = {
        accepted_job(submit(e, "batches", "again"))
        for e in fleet.entry_by_name.values()
    }
    assert len(jobs) == 1


def test_a_key_used_for_another_job_is_refused(entry):
    accepted_job(submit(entry, "batches", "reused"))
    assert problem_of(submit(entry, "batches", "reused", run_ms=7)) == (
        422,
        "key-reused",
    )


def test_faulty_sizes_are_refused_with_all_findings(entry):
    reply = submit(
        entry, "batches", "bad", Job_Processors="none", Job_Accelerators="-1"
    )
    assert problem_of(reply) == (400, "bad-sizes")
    assert len(reply.json()["findings"]) == 2


def test_a_body_over_the_limit_is_refused(entry):
    reply = entry.call("batches", bearer("acme"), b"x" * (64 * 1024 + 1))
    assert problem_of(reply) == (413, "body-too-large")


def test_a_job_without_a_key_is_refused(entry):
    assert problem_of(entry.call("batches", None)) == (401, "unknown-key")


def test_another_teams_job_is_not_shown(entry):
    job = accepted_job(submit(entry, "batches", "mine"))
    reply = jobs_call(entry, "GET", f"/{job}", team="bolt")
    assert problem_of(reply) == (404, "unknown-job")
    reply = jobs_call(entry, "POST", "/cancel", {"jobs": [job]}, team="bolt")
    assert reply.status == 409


def test_a_maintenance_wave_ends_no_job(fleet, entry):
    jobs = [
        accepted_job(submit(entry, "batches", f"w{n}", run_ms=4_000)) for n in range(4)
    ]
    version = entry.status()["version"]
    wave = Wave("new kernel", ["roasting"], parallel=1)
    note = ReleaseNote(base=version, added=Items(waves={"kernel": wave}))
    apply_note(fleet, note)
    path = "/test/platform-hosts"
    wait_for(
        lambda: http_call(fleet.platform_address, "GET", path).json()["reboots"] == 3,
        "reboot of every host",
        40.0,
    )
    for job in jobs:
        wait_for_phase(entry, job, "succeeded")
        assert task_counts(fleet)["starts_by_job"][job] == 1


def test_a_running_job_is_stopped_when_it_is_cancelled(fleet, entry):
    job = accepted_job(submit(entry, "reports", "long", run_ms=60_000))
    wait_for(
        lambda: task_counts(fleet)["starts_by_job"].get(job) == 1, "its start", 10.0
    )
    assert jobs_call(entry, "POST", "/cancel", {"jobs": [job]}).status == 200
    wait_for_phase(entry, job, "cancelled")
    assert task_counts(fleet)["states"]["stopped"] == 1


def test_the_command_line_submits_waits_and_fetches(fleet, tmp_path):
    submitted = run_cli(fleet, "submit", "batches", '{"run_ms": 3000}', "--wait")
    assert submitted.returncode == 0, submitted.stderr
    assert "running" in submitted.stderr
    job = submitted.stdout.strip()
    output = tmp_path / "result"
    fetched = run_cli(fleet, "result", job, "--output", str(output))
    assert fetched.returncode == 0
    assert output.read_bytes() == job.encode()[:16]
    assert run_cli(fleet, "list", "--queue", "batches").returncode == 0


def test_the_command_lines_exit_codes_say_what_became_of_a_job(fleet):
    entry = fleet.entry_by_name["e0"]
    assert run_cli(fleet, "status", "nowhere").returncode == 1
    assert run_cli(fleet, "cancel").returncode == 2
    failing = entry.call("batches", bearer("acme"), b'{"fail": true}')
    wait_for_phase(entry, accepted_job(failing), "failed")
    assert run_cli(fleet, "status", accepted_job(failing)).returncode == 1


def test_an_unknown_job_is_settled_by_a_person(fleet, entry):
    job = accepted_job(submit(entry, "batches", "lost", run_ms=60_000))
    wait_for_phase(entry, job, "running")
    wait_for(
        lambda: task_counts(fleet)["starts_by_job"].get(job) == 1, "its start", 10.0
    )
    host = jobs_call(entry, "GET", f"/{job}").json()["host"]
    put_to_platform(fleet, "/test/host-faults", {"fail": [host]})
    wait_for_phase(entry, job, "unknown")
    assert run_cli(fleet, "status", job).returncode == 3
    assert run_cli(fleet, "settle", job, "ran").returncode == 0
    wait_for_phase(entry, job, "succeeded")
    assert run_cli(fleet, "settle", job, "ran").returncode == 1
