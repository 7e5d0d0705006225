"""Tests of single rules of the fleet fold and of release notes about the fleet."""

import json
from dataclasses import replace
from pathlib import Path

import pytest
from result import Err, Ok

from geraniumshore import (
    Configuration,
    HostSeen,
    HostsObserved,
    Intent,
    IntentReport,
    Items,
    Minion,
    PlannerTimes,
    Pool,
    Queue,
    ReleaseNote,
    Service,
    ServiceQuiet,
    Team,
    Wave,
    Weights,
    Withdrawn,
    apply_release,
    buffer_needed,
    preview,
    quiet_service_records,
    replacement_delay_seconds,
    unusable_minions,
)
from geraniumshore.internal.snapshot import decode_state, encode_state
from geraniumshore_standins.internal.fleet_simulation import (
    Deployment,
    FleetSimulation,
)
from geraniumshore_standins.internal.platform_hosts import HostTimes
from tests.common.cluster import Cluster
from tests.common.notes import first_note

SMALL = Deployment(pools=3, hosts_per_pool=4, data_centres=2)
WAVE = Wave("kernel", pools=["p0"], parallel=2)
TIMES = HostTimes(drain=1, reboot=4, move=1, list_lag=1)


def make_sim():
    sim = FleetSimulation(SMALL.note({"w": WAVE}), TIMES, PlannerTimes(5, 20))
    seen = tuple(HostSeen(name, "live", "b1") for name in SMALL.hosts())
    sim.append(HostsObserved("o", 1, seen))
    return sim


@pytest.fixture
def sim():
    return make_sim()


def drain(sim, host, wave="w", **kwargs):
    return sim.append(Intent(sim.new_id(), host, "drain", wave, **kwargs))[0]


def test_the_second_drain_beyond_a_budget_is_void(sim):
    assert drain(sim, "h0000").accepted
    verdict = drain(sim, "h0001")
    assert [f.place for f in verdict.findings] == ["host"]
    assert "want at most 1" in verdict.findings[0].problem


def test_a_host_that_failed_by_itself_uses_the_budget(sim):
    sim.append(HostsObserved("x", 1, (HostSeen("h0003", "missing"),)))
    assert not drain(sim, "h0000").accepted


def test_an_observation_of_a_planner_of_another_view_is_void(sim):
    record = HostsObserved("x", 0, (HostSeen("h0003", "missing"),))
    assert not sim.append(record)[0].accepted


def test_a_drain_by_a_wave_that_does_not_cover_the_host_is_void(sim):
    assert not drain(sim, "h0004").accepted
    assert not drain(sim, "h0000", "unknown").accepted


def test_a_host_is_back_only_with_a_new_boot_after_the_reboot_ended(sim):
    intent = drain(sim, "h0000").record.id
    sim.append(IntentReport("r1", intent, "h0000", "done"))
    sim.append(Intent("re", "h0000", "reboot", "w"))
    sim.append(HostsObserved("o2", 1, (HostSeen("h0000", "live", "b2"),)))
    sim.append(IntentReport("r2", "re", "h0000", "done", boot="b2"))
    assert sim.state.fleet.by_host["h0000"].phase.value == "rebooting"
    sim.append(HostsObserved("o3", 1, (HostSeen("h0000", "live", "b3"),)))
    assert sim.state.fleet.by_host["h0000"].phase.value == "rebooted"


@pytest.mark.parametrize("action", ["reboot", "move", "return"])
def test_a_host_that_serves_is_not_rebooted_moved_or_returned(sim, action):
    record = Intent("x", "h0000", action, "w", "p1")
    assert [f.place for f in sim.append(record)[0].findings] == ["action"]


def test_a_spare_host_stands_in_only_for_a_pool_that_is_short(sim):
    assert not drain(sim, "h0008", None, pool="p0").accepted
    sim.append(HostsObserved("x", 1, (HostSeen("h0003", "missing"),)))
    assert drain(sim, "h0008", None, pool="p0").accepted
    assert not drain(sim, "h0009", None, pool="p0").accepted
    assert not drain(sim, "h0004", None, pool="p0").accepted


def test_a_wave_halts_after_max_failures_and_resumes_by_a_note(sim):
    wave = replace(WAVE, max_failures=1)
    sim.release(ReleaseNote(base=1, changed=Items(waves={"w": wave})))
    sim.run(2, 0.5)
    victim = next(n for n, h in sim.state.fleet.by_host.items() if h.wave)
    while sim.state.fleet.by_host[victim].phase.value != "rebooting":
        sim.step(0.5)
    sim.hosts.fail(victim, sim.now)
    sim.run(60, 0.5)
    assert sim.state.fleet.by_wave["w"].halted
    assert sim.remaining_hosts("w") == 4
    sim.hosts.repair(victim, sim.now)
    sim.run(20, 0.5)
    sim.release(ReleaseNote(base=2, changed=Items(waves={"w": wave})))
    sim.run(120, 0.5)
    assert sim.remaining_hosts("w") == 0


def test_a_slow_drain_is_reported_with_the_tasks_that_block_it(sim):
    sim.hosts.by_host["h0000"].tasks.add("task-7")
    assert drain(sim, "h0000").accepted
    sim.run(20, 0.5)
    host = sim.state.fleet.by_host["h0000"]
    assert (host.phase.value, host.reason) == ("draining", "held by task-7")
    sim.hosts.by_host["h0000"].tasks.clear()
    sim.run(10, 0.5)
    assert sim.state.fleet.by_host["h0000"].phase.value != "draining"


def test_a_missing_host_is_replaced_by_a_spare_of_its_data_centre_until_repaired(sim):
    weights = {"default": Weights(moves=0.001, roll_out=1, buffer=0)}
    sim.release(
        ReleaseNote(
            base=1,
            added=Items(weights=weights),
            withdrawn=Withdrawn(waves=["w"]),
        )
    )
    sim.hosts.fail("h0001", sim.now)
    sim.run(60, 0.5)
    pools = {name: host.pool for name, host in sim.state.fleet.by_host.items()}
    (stand_in,) = [n for n in ("h0008", "h0009", "h0010", "h0011") if pools[n] == "p0"]
    assert sim.state.fleet.by_host[stand_in].data_centre == "dc1"
    sim.hosts.repair("h0001", sim.now)
    sim.run(60, 0.5)
    assert sim.state.fleet.by_host[stand_in].pool == "p2"
    assert sim.hosts.moves == 2


def test_the_folded_fleet_survives_a_snapshot(sim):
    sim.run(10, 0.5)
    decoded = decode_state(encode_state(sim.state))
    assert isinstance(decoded, Ok)
    assert decoded.ok_value.fleet == sim.state.fleet


def test_the_replacement_delay_grows_with_the_weight_of_moves():
    cheap = Weights.from_preset("spare-is-cheap")
    dear = Weights.from_preset("moves-are-dear")
    assert 0 < replacement_delay_seconds(cheap) < replacement_delay_seconds(dear)
    assert replacement_delay_seconds(Weights(1, 1, 1)) > 24 * 3600


def test_a_drained_host_gets_no_slots_and_is_quiet_once_its_requests_end():
    cluster = Cluster("a", "b", "c")
    note = first_note({"bolt": 100}, {}, slots=4)
    hosts = SMALL.note({"w": WAVE}).added
    minions = {
        f"m{i}": Minion("sorting", f"127.0.0.1:{9000 + i}", f"h000{i}", slots=4)
        for i in range(2)
    }
    added = note.added.model_copy(
        update={
            "pools": hosts.pools,
            "hosts": hosts.hosts,
            "waves": hosts.waves,
            "minions": minions,
        }
    )
    cluster.release(note.model_copy(update={"added": added}))
    for i in range(8):
        cluster.submit("abc"[i % 3], f"t{i}", "bolt")
    view = cluster.by_id["a"].state.view.number
    seen = tuple(HostSeen(name, "live", "b1") for name in hosts.hosts)
    cluster.append(HostsObserved("o", view, seen))
    cluster.append(Intent("d", "h0000", "drain", "w"))
    cluster.run(0.5)
    assert unusable_minions(cluster.by_id["b"].state) == {"m0"}
    on_host = [t for t, s in cluster.starts.items() if s.minion == "m0"]
    assert len(on_host) == 4
    assert quiet_records(cluster) == []
    cluster.append(IntentReport("r1", "d", "h0000", "done"))
    cluster.run(0.5)
    assert cluster.by_id["a"].state.fleet.by_host["h0000"].phase.value == "draining"
    for ticket in on_host:
        cluster.finish("abc"[int(ticket[1:]) % 3], ticket)
    cluster.submit("a", "late", "bolt")
    cluster.run(0.5)
    assert "late" not in cluster.starts
    (quiet,) = quiet_records(cluster)
    assert (quiet.host, quiet.service) == ("h0000", "sorting")
    cluster.append(quiet, IntentReport("r2", "d", "h0000", "done"))
    cluster.run(0.5)
    assert cluster.by_id["a"].state.fleet.by_host["h0000"].phase.value == "drained"


def quiet_records(cluster) -> list[ServiceQuiet]:
    return [
        quiet
        for member in cluster.by_id.values()
        for quiet in quiet_service_records(member, cluster.new_id, cluster.now)
    ]


def applied(note, before=None) -> Configuration:
    result = apply_release(before or Configuration(), note)
    assert isinstance(result, Ok), result
    return result.ok_value


def places(note, before=None):
    result = apply_release(before or Configuration(), note)
    assert isinstance(result, Err)
    return {finding.place for finding in result.err_value}


def test_errors_in_several_sections_are_reported_together():
    before = applied(SMALL.note({}))
    note = ReleaseNote(
        base=0,
        added=Items(
            pools={"p9": Pool(max_away=0, size=3, min_racks=2)},
            services={"s": Service("p2"), "t": Service("p1")},
            minions={"m": Minion("t", "127.0.0.1:1", "h0000")},
            queues={"q": Queue(service="s", open=True, open_team="gone")},
            waves={"w": Wave("x", pools=["p9"]), "v": Wave("y")},
        ),
        withdrawn=Withdrawn(teams=["gone"]),
    )
    assert places(note, before) >= {
        "base",
        "withdrawn.teams.gone",
        "pools.p9.size",
        "pools.p9.min_racks",
        "services.s.pool",
        "minions.m.host",
        "queues.q.open_team",
        "waves.w",
        "waves.v",
    }


def test_a_withdrawn_team_that_keys_and_queues_still_name_is_refused():
    note = first_note({"acme": 1}, {"m": "127.0.0.1:1"})
    queue = replace(note.added.queues["count"], open=True, open_team="acme")
    before = applied(
        note.model_copy(
            update={
                "added": note.added.model_copy(
                    update={"queues": {"count": queue}, "teams": {"acme": Team(1, 1)}}
                )
            }
        )
    )
    withdraw = ReleaseNote(base=1, withdrawn=Withdrawn(teams=["acme"]))
    assert places(withdraw, before) == {"keys.acme-1.team", "queues.count.open_team"}


def test_a_host_cannot_be_moved_out_of_a_pool_with_max_away_zero():
    before = applied(replace(SMALL, max_away=0).note({}))
    moved = replace(before.hosts["h0000"], pool="p1")
    note = ReleaseNote(base=1, changed=Items(hosts={"h0000": moved}))
    assert places(note, before) == {"hosts.h0000.pool"}


def test_a_preview_names_moves_drains_rounds_and_buffer():
    before = applied(SMALL.note({}))
    moved = replace(before.hosts["h0000"], pool="p1")
    after = applied(
        ReleaseNote(
            base=1,
            changed=Items(hosts={"h0000": moved}),
            added=Items(waves={"w": WAVE}),
        ),
        before,
    )
    found = preview(before, after, maintenance_seconds=60)
    assert [move.host for move in found.moves] == ["h0000"]
    assert found.drains == ("h0000", "h0001", "h0002", "h0003")
    assert found.roll_out_seconds == 4 * 60
    assert found.buffer_hosts == buffer_needed(after) > 0


def test_the_committed_schema_of_release_notes_is_current():
    schema = Path(__file__).parents[2] / "schemas" / "release-note.json"
    assert json.loads(schema.read_text()) == ReleaseNote.model_json_schema()
