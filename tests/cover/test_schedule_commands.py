"""``geraniumshore schedule`` commands against real nodes and a simulated platform."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import PlatformFleet

MAIN_PROGRAM = "from geraniumshore_cli.internal.main import main; main()"
STEP = {"count": 2, "cpu": 500, "mem_mb": 10, "estimate_ms": 50}
JOB = {"spec": json.dumps({"work_ms": 50}), "phases": [STEP]}


def run(*arguments: str | Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-c", MAIN_PROGRAM, "schedule"]
    return subprocess.run(
        [*command, *map(str, arguments)], capture_output=True, text=True, check=False
    )


@pytest.fixture(scope="module")
def fleet():
    with PlatformFleet() as started:
        started.start()
        started.simulator.add_machine("m-off", "spare", "r1", off=True)
        assert started.submit("n0", "a" * 16, JOB).status == 200
        started.wait_for_state("n0", "a" * 16, "done")
        yield started


def query(fleet: PlatformFleet, *arguments: str):
    settings = fleet.folder / "n0.json"
    result = run(*arguments, "--settings", settings, "--json")
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)


def test_nodes_shows_the_owner_of_the_schedule(fleet):
    rows = query(fleet, "nodes")
    (owner,) = [row for row in rows if row["owns"]]
    assert owner["host"] == fleet.owner().name
    assert {row["host"] for row in rows} == {"n0", "n1"}


def test_queues_and_jobs_count_by_state(fleet):
    (queue,) = query(fleet, "queues")
    assert (queue["queue"], queue["done"], queue["queued"]) == ("q", 1, 0)
    (job,) = query(fleet, "jobs", "q")
    assert (job["job"], job["state"], job["placed"]) == ("a" * 16, "done", 0)
    assert query(fleet, "jobs", "other") == []


def test_machines_minions_teams_and_waves_are_listed(fleet):
    pools = {row["machine"]: row["pool"] for row in query(fleet, "machines")}
    assert pools["m-off"] == "spare"
    assert {row["service"] for row in query(fleet, "minions")} == {fleet.service}
    (team,) = query(fleet, "caps")
    assert (team["team"], team["weight"]) == ("team", 1)
    fleet.simulator.announce_wave(
        {"wave": 3, "machines": [], "finish_by_s": 9, "cap": 1}
    )
    (wave,) = query(fleet, "waves")
    assert (wave["wave"], wave["machines"], wave["most_at_once"]) == (3, 0, 1)


def test_evacuations_show_since_when_and_what_still_runs_there(fleet):
    """Guards against operators who cannot tell when a data centre is empty."""
    lasting = {**STEP, "long_running": True, "may_miss": 1}
    document = {"spec": json.dumps({"how": "lasts"}), "phases": [lasting]}
    assert fleet.submit("n0", "b" * 16, document).status == 200
    fleet.wait_for_state("n0", "b" * 16, "running")
    assert query(fleet, "evacuations") == []
    fleet.simulator.evacuate("a")
    fleet.simulator.evacuate("elsewhere")
    wait_for(lambda: all(r["since"] for r in query(fleet, "evacuations")), "recorded")
    here, elsewhere = query(fleet, "evacuations")
    shown = ("data_centre", "job", "queue", "batch_tasks", "long_running_tasks")
    assert [here[name] for name in shown] == ["a", "b" * 16, "q", 0, 2]
    assert [elsewhere[name] for name in shown] == ["elsewhere", None, None, 0, 0]
    for name in ("a", "elsewhere"):
        fleet.simulator.end_evacuation(name)
    assert query(fleet, "evacuations") == []
    assert fleet.call("n0", "DELETE", "b" * 16).status == 200


def test_default_output_is_a_table(fleet):
    result = run("queues", "--settings", fleet.folder / "n0.json")
    assert result.returncode == 0
    assert "cancelled" in result.stdout


def test_malformed_record_is_reported_as_a_finding(fleet):
    with fleet.simulator.lock:
        fleet.simulator.log.put("keyed.op", "wave/9", b"{not json")
    result = run("waves", "--settings", fleet.folder / "n0.json", "--json")
    with fleet.simulator.lock:
        fleet.simulator.log.put("keyed.op", "wave/9", b"")
    assert result.returncode == 1
    assert "wave/9" in result.stderr
    assert isinstance(json.loads(result.stdout), list)


def test_settings_check_reports_all_findings_and_explain_shows_sources(fleet, tmp_path):
    path = fleet.folder / "n0.json"
    assert run("settings", "check", path).returncode == 0
    rows = json.loads(run("settings", "explain", path, "--json").stdout)
    by_setting = {row["setting"]: row for row in rows}
    assert by_setting["node"] == {"setting": "node", "value": "n0", "from": "file"}
    assert by_setting["group_ttl_ms"]["from"] == "default"
    broken = tmp_path / "broken.json"
    broken.write_text(json.dumps({"node": "", "surplus": 1}))
    result = run("settings", "check", broken)
    assert result.returncode == 2
    for place in ("node", "surplus", "store"):
        assert place in result.stderr


def test_unreachable_store_is_reported(fleet, tmp_path):
    document = json.loads((fleet.folder / "n0.json").read_text())
    path = tmp_path / "away.json"
    path.write_text(json.dumps({**document, "store": "127.0.0.1:1"}))
    result = run("queues", "--settings", path)
    assert result.returncode == 3
    assert "no answer" in result.stderr
