"""Maintenance waves, host moves and fleet commands with real processes."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from geraniumshore import Items, ReleaseNote, Wave
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import OPERATOR, wait_for
from geraniumshore_standins.internal.fleet_simulation import Deployment
from geraniumshore_standins.internal.platform_hosts_client import (
    platform_hosts,
    set_host_faults,
)
from tests.common.waves import load, start_deployment, wave_of

SMALL = Deployment(pools=3, hosts_per_pool=2, data_centres=2)
WAVE = Wave("kernel", pools=["p0", "p1"], parallel=4)
# Two rounds of drain, reboot, delayed host list and stable observation, with a margin
# for a busy machine.
WAVE_TIMEOUT_SECONDS = 60


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        start_deployment(fleet, SMALL, WAVE, entries=3, minions=2)
        yield fleet


def test_a_wave_with_lost_replies_reboots_each_host_once_and_cuts_no_request(fleet):
    set_host_faults(fleet.platform_address, lost_replies=3)
    entry = fleet.entry_by_name["e0"]
    with load(list(fleet.entry_by_name.values())) as running:
        wait_for(
            lambda: wave_of(entry)["state"] == "done", "wave", WAVE_TIMEOUT_SECONDS
        )
    assert set(running.statuses) == {200}
    assert running.statuses[200] > 50
    assert platform_hosts(fleet.platform_address)["reboots"] == 4


def test_a_moved_host_reaches_its_new_pool(fleet):
    entry = fleet.entry_by_name["e1"]
    host = SMALL.hosts()["h0004"]
    moved = type(host)("p0", host.data_centre, host.rack)
    note = ReleaseNote(base=1, changed=Items(hosts={"h0004": moved}))
    assert entry.operator.post("releases", note.model_dump(mode="json")).status == 200

    def pool() -> object:
        hosts = platform_hosts(fleet.platform_address)["hosts"]
        return next(h["pool"] for h in hosts if h["host"] == "h0004")

    wait_for(lambda: pool() == "p0", "move", WAVE_TIMEOUT_SECONDS)
    assert platform_hosts(fleet.platform_address)["moves"] == 1


def test_the_operator_who_loses_a_race_is_shown_what_changed(fleet):
    note = ReleaseNote(base=0, note="late")
    reply = fleet.entry_by_name["e2"].operator.post(
        "releases", note.model_dump(mode="json")
    )
    assert reply.status == 409
    since = reply.json()["since"]
    assert "added.pools.p0" in since[0]["changes"]
    assert [release["version"] for release in since][0] == 1


def run_cli(fleet, *arguments):
    environment = {
        **os.environ,
        "GERANIUMSHORE_ENTRIES": " ".join(
            e.address for e in fleet.entry_by_name.values()
        ),
        "GERANIUMSHORE_KEY": OPERATOR.bearer,
    }
    binary = Path(sys.executable).parent / "geraniumshore"
    return subprocess.run(
        [binary, *arguments], env=environment, capture_output=True, text=True
    )


@pytest.mark.parametrize("command", ["status", "waves", "plan", "history"])
def test_the_fleet_commands_show_tables_and_json(fleet, command):
    table = run_cli(fleet, "fleet", command)
    assert table.returncode == 0, table.stderr
    assert ("pool" if command == "status" else "w") in table.stdout
    assert json.loads(run_cli(fleet, "fleet", command, "--json").stdout)


def test_a_dry_run_prints_the_plan_and_applies_nothing(fleet, tmp_path):
    version = fleet.entry_by_name["e0"].status()["version"]
    note = ReleaseNote(base=version, added=Items(waves={"again": WAVE}))
    path = tmp_path / "note.json"
    path.write_text(note.model_dump_json())
    done = run_cli(fleet, "release", "apply", str(path), "--dry-run", "--json")
    assert done.returncode == 0, done.stderr
    assert len(json.loads(done.stdout)["drains"]) >= 4
    assert fleet.entry_by_name["e0"].status()["version"] == version
    path.write_text(note.model_copy(update={"base": 0}).model_dump_json())
    lost = run_cli(fleet, "release", "apply", str(path))
    assert lost.returncode != 0
    assert "version 1 by ops: added.pools.p0" in lost.stderr
