"""Jobs in the fold and at a pool's home: one behaviour each."""

from dataclasses import replace

import pytest

from geraniumshore import (
    HostSeen,
    HostsObserved,
    Intent,
    IntentReport,
    Items,
    JobPhase,
    JobsStarted,
    JobStart,
    Phase,
    Pool,
    Queue,
    ReleaseNote,
    Sizes,
    Wave,
    Withdrawn,
)
from geraniumshore.internal.blame import HostHealth, JobKind
from geraniumshore.internal.snapshot import decode_state, encode_state
from geraniumshore_standins.internal.platform_tasks import TaskHost
from tests.common.job_world import JobWorld, job_note


@pytest.fixture
def world():
    return JobWorld("a", "b", "c", note=job_note({"acme": 5, "bolt": 50}))


def home_of(world):
    homes = world.reader().state.homes
    member = next(h.member for key, h in homes.items() if key.startswith("pool/"))
    return world.by_id[member]


def started(world, epoch, sequence, job, attempt=1, host="h0"):
    start = JobStart(job, attempt, host, f"{job}.{attempt}.x", Sizes())
    record = JobsStarted(world.new_id(), "roasting", epoch, sequence, (start,))
    world.append(record)
    world.run(0.05)


def test_a_job_runs_and_its_end_is_known_everywhere(world):
    world.submit_job("j", run_ms=300)
    world.run(3.0)
    phases = {m.state.jobs.by_id["j"].phase for m in world.by_id.values()}
    assert phases == {JobPhase.SUCCEEDED}


def test_a_doubled_submission_changes_nothing(world):
    record = world.submit_job("j", queue="batches")
    world.run(3.0)
    world.append(replace(record, id=world.new_id()))
    world.run(3.0)
    assert world.job("j").phase is JobPhase.SUCCEEDED
    assert world.board.starts_by_job()["j"] == 1


def test_a_job_larger_than_every_host_is_set_aside_however_many_wait(world):
    for number in range(150):
        world.submit_job(f"before{number}", run_ms=60_000)
    world.submit_job("j", sizes=Sizes(memory_mb=9_000, accelerators=1))
    world.run(0.2)
    assert world.job("j").phase is JobPhase.SET_ASIDE
    assert "9000 MB of memory" in world.job("j").reason
    assert "1 accelerators" in world.job("j").reason


def test_a_start_that_arrives_after_its_window_begins_nothing(world):
    world.starts_delayed = True
    world.submit_job("j", queue="batches")
    world.run(9.5)
    assert world.job("j").attempt == 1
    assert "never began" in world.job("j").reason
    world.deliver_delayed()
    world.run(5.0)
    assert world.job("j").phase is JobPhase.SUCCEEDED
    assert world.board.starts_by_job()["j"] == 1


def test_a_start_under_way_is_not_taken_for_one_that_never_was(world):
    world.starts_delayed = True
    world.submit_job("j", queue="batches")
    world.run(3.0)
    world.deliver_delayed()
    world.run(3.0)
    assert world.board.starts_by_job()["j"] == 1
    assert world.job("j").attempt == 1


def test_a_start_of_an_earlier_home_is_void(world):
    epoch = home_of(world).job_homes.by_pool["roasting"].epoch
    world.cut = set(world.by_id) - {"a"}
    world.submit_job("j")
    started(world, epoch - 1, 99, "j")
    assert world.job("j").phase is JobPhase.WAITING
    started(world, epoch, 99, "j")
    assert world.job("j").phase is JobPhase.RUNNING


def test_a_batch_of_starts_after_a_later_one_is_void(world):
    epoch = home_of(world).job_homes.by_pool["roasting"].epoch
    world.cut = set(world.by_id) - {"a"}
    world.submit_job("j")
    started(world, epoch, 7, "other")
    started(world, epoch, 6, "j")
    assert world.job("j").phase is JobPhase.WAITING


def test_a_start_in_flight_keeps_its_token_and_its_room(world):
    world.submit_job("first")
    world.run(3.0)
    world.held = []
    for number in range(8):
        world.submit_job(f"j{number}", sizes=Sizes(memory_mb=7_000))
    world.run(6.0)
    home = home_of(world).job_homes.by_pool["roasting"]
    assert len(home.starts.by_job) == 3
    assert home.tokens_by_team["acme"].held >= 3


def test_a_lost_record_of_starts_is_appended_again(world):
    world.held = []
    world.submit_job("j")
    world.run(0.5)
    assert world.held
    world.let_go(times=0)
    world.run(5.0)
    assert world.job("j").phase is JobPhase.SUCCEEDED


def test_the_next_home_holds_tokens_for_all_that_runs(world):
    for number in range(4):
        world.submit_job(f"j{number}", run_ms=30_000)
    world.run(2.0)
    home = home_of(world).id
    world.cut.add(home)
    world.evict(home)
    world.run(5.0)
    for _ in range(4):
        world.submit(min(set(world.by_id) - {home}), world.new_id(), "acme")
    world.run(2.0)
    assert world.board.running("acme") == 4
    assert len(world.starts) == 1


def test_the_next_home_adopts_tasks_without_a_new_start(world):
    world.submit_job("j", queue="batches", run_ms=25_000)
    world.run(2.0)
    home = home_of(world).id
    world.cut.add(home)
    world.evict(home)
    world.run(30.0)
    assert world.job("j").phase is JobPhase.SUCCEEDED
    assert world.board.starts_by_job()["j"] == 1


@pytest.mark.parametrize(
    ("queue", "phase"),
    [("batches", JobPhase.UNKNOWN), ("reports", JobPhase.SUCCEEDED)],
)
def test_a_lapsed_lease_ends_the_task_and_the_state_follows(world, queue, phase):
    world.submit_job("j", queue=queue, run_ms=30_000)
    world.run(2.0)
    world.cut = set(world.by_id)
    world.run(25.0)
    world.cut = set()
    world.run(40.0)
    assert world.job("j").phase is phase
    assert (world.board.starts_by_job()["j"] == 1) is (queue == "batches")


@pytest.mark.parametrize(
    ("ran", "phase"), [(True, JobPhase.SUCCEEDED), (False, JobPhase.WAITING)]
)
def test_only_a_person_settles_an_unknown_job(world, ran, phase):
    world.submit_job("j", queue="batches", run_ms=30_000)
    world.run(2.0)
    world.board.kill_host(world.job("j").host)
    world.run(20.0)
    assert world.job("j").phase is JobPhase.UNKNOWN
    world.cut = set(world.by_id) - {"a"}
    world.settle_job("j", ran)
    world.run(0.1)
    assert world.job("j").phase is phase


def test_a_cancellation_wave_is_one_record_and_few_calls(world):
    note = ReleaseNote(
        base=1,
        added=Items(
            queues={
                "wave": Queue(
                    pool="roasting", kind="job", idempotent=True, max_waiting=10_000
                )
            }
        ),
    )
    world.release(note)
    for number in range(10_000):
        world.submit_job(f"w{number}", queue="wave", run_ms=60_000)
    world.run(2.0)
    assert world.board.running("acme") == 5
    appends = len(world.entries)
    world.cancel_jobs(queue="wave")
    world.run(3.0)
    jobs = world.reader().state.jobs.by_id.values()
    assert {job.phase for job in jobs} == {JobPhase.CANCELLED}
    assert len(world.entries) - appends < 10
    assert world.board.calls["stop"] <= 2


def test_a_job_that_fails_on_several_good_hosts_is_set_aside(world):
    world.submit_job("good", run_ms=50)
    world.submit_job("bad", queue="reports", run_ms=50, fail=True)
    world.run(60.0)
    assert world.job("bad").phase is JobPhase.SET_ASIDE
    assert len(world.job("bad").failed_on) == 3


def test_a_host_that_fails_all_it_starts_is_avoided_and_comes_back(world):
    world.board.hosts["h0"].broken = True
    for number in range(60):
        world.submit_job(f"j{number}", team="bolt", run_ms=400)
        world.run(0.2)
    world.run(30.0)
    jobs = world.reader().state.jobs.by_id.values()
    assert {job.phase for job in jobs} == {JobPhase.SUCCEEDED}
    on_broken = sum(t.start.host == "h0" for t in world.board.tasks.values())
    assert on_broken <= 10
    world.board.hosts["h0"].broken = False
    world.run(60.0)
    for number in range(30):
        world.submit_job(f"k{number}", team="bolt", run_ms=400)
        world.run(0.2)
    world.run(10.0)
    assert any(
        t.start.host == "h0" and t.state == "succeeded"
        for t in world.board.tasks.values()
    )


def test_a_job_killed_for_memory_is_granted_more_the_next_time(world):
    world.board.hosts = {f"h{n}": TaskHost(8.0, 8_000) for n in range(3)}
    for number in range(24):
        sizes = Sizes(memory_mb=500)
        world.submit_job(f"j{number}", "bolt", sizes=sizes, run_ms=500, memory_mb=2_000)
    world.run(120.0)
    jobs = world.reader().state.jobs.by_id.values()
    assert {job.phase for job in jobs} == {JobPhase.SUCCEEDED}
    kills = world.board.kills
    for number in range(24):
        sizes = Sizes(memory_mb=500)
        world.submit_job(f"k{number}", "bolt", sizes=sizes, run_ms=500, memory_mb=2_000)
    world.run(60.0)
    assert world.board.kills == kills


def test_a_job_that_outgrows_every_host_is_set_aside_after_one_kill(world):
    world.submit_job("j", sizes=Sizes(memory_mb=500), memory_mb=9_000, run_ms=500)
    world.run(10.0)
    assert world.board.kills == 1
    assert world.job("j").phase is JobPhase.SET_ASIDE


def test_a_kind_of_job_that_fails_everywhere_puts_no_blame_on_hosts():
    health = HostHealth()
    kind = JobKind("reports", "acme")
    hosts = ["h0", "h1", "h2"] * 4
    assert not any(health.on_failed(host, kind, 0.0) for host in hosts)
    assert all(health.accepts(host, 5, 1.0) for host in hosts)


def test_a_bad_host_gets_nothing_for_a_time_and_then_one_job_at_a_time():
    health = HostHealth()
    kind = JobKind("reports", "acme")
    health.on_succeeded("good", kind)
    assert [health.on_failed("bad", kind, 0.0) for _ in range(2)] == [False, True]
    assert not health.accepts("bad", 0, 4.9)
    assert health.accepts("bad", 0, 5.1)
    assert not health.accepts("bad", 1, 5.1)
    assert health.on_failed("bad", kind, 6.0)
    assert not health.accepts("bad", 0, 15.9)
    health.on_succeeded("bad", kind)
    assert health.accepts("bad", 8, 16.0)


def test_deferrable_jobs_are_throttled_while_urgent_ones_lack_processors():
    world = JobWorld("a", note=job_note({"bolt": 50}, hosts=1))
    for number in range(7):
        world.submit_job(f"j{number}", "bolt", processors=2.0, run_ms=20_000)
    world.submit_job("u", "bolt", "urgent", processors=4.0, run_ms=5_000)
    world.run(3.0)
    task = world.board.tasks[world.job("j0").task]
    assert world.job("u").phase is JobPhase.RUNNING
    assert task.throttle < 1.0
    world.run(20.0)
    assert world.job("u").phase is JobPhase.SUCCEEDED
    assert task.throttle == 1.0


def test_a_draining_host_gives_its_jobs_to_others_by_checkpoint(world):
    world.submit_job("j", queue="batches", run_ms=6_000)
    world.run(3.0)
    host = world.job("j").host
    for member in world.by_id.values():
        member.set_unusable_hosts([host], world.now)
    world.run(6.0)
    assert world.job("j").phase is JobPhase.SUCCEEDED
    assert world.job("j").host != host
    assert world.board.starts_by_job()["j"] == 1


def test_a_host_is_drained_only_when_no_job_runs_there(world):
    world.submit_job("j", queue="batches", run_ms=30_000)
    world.run(2.0)
    host = world.job("j").host
    state = world.reader().state
    seen = tuple(HostSeen(name, "live", "boot1") for name in state.fleet.by_host)
    world.append(HostsObserved(world.new_id(), state.view.number, seen))
    world.release(
        ReleaseNote(base=1, added=Items(waves={"w": Wave("fix", ["roasting"])}))
    )
    world.platform_down = True
    world.append(Intent("drain-1", host, "drain", wave="w"))
    world.append(IntentReport(world.new_id(), "drain-1", host, "done"))
    world.run(0.5)
    assert world.reader().state.fleet.by_host[host].phase is Phase.DRAINING
    world.platform_down = False
    world.run(3.0)
    world.append(IntentReport(world.new_id(), "drain-1", host, "done"))
    world.run(0.5)
    assert world.reader().state.fleet.by_host[host].phase is Phase.DRAINED
    assert world.job("j").host != host


def test_a_pool_with_running_jobs_keeps_its_queues(world):
    world.submit_job("j", run_ms=60_000)
    world.run(2.0)
    world.release(
        ReleaseNote(
            base=1, withdrawn=Withdrawn(queues=["reports", "batches", "urgent"])
        )
    )
    assert world.reader().state.configuration.version == 1


def test_jobs_that_wait_for_a_pool_without_queues_are_set_aside(world):
    note = ReleaseNote(
        base=1,
        added=Items(
            pools={"empty": Pool()}, queues={"q": Queue(pool="empty", kind="job")}
        ),
    )
    world.release(note)
    world.submit_job("j", queue="q")
    world.run(0.3)
    assert world.job("j").phase is JobPhase.WAITING
    world.release(ReleaseNote(base=2, withdrawn=Withdrawn(queues=["q"])))
    assert world.job("j").phase is JobPhase.SET_ASIDE


def test_a_key_withdrawn_in_between_is_refused(world):
    world.release(ReleaseNote(base=1, withdrawn=Withdrawn(keys=["acme-1"])))
    world.submit_job("j")
    world.run(0.3)
    assert "j" not in world.reader().state.jobs.by_id


def test_jobs_survive_a_snapshot(world):
    for number in range(12):
        world.submit_job(f"j{number}", run_ms=1_000)
    world.run(2.3)
    state = world.reader().state
    kept = decode_state(encode_state(state)).unwrap().jobs
    assert kept == replace(state.jobs, changes=kept.changes)
    assert kept.running_by_team["acme"] > 0
