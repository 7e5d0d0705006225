"""Tests of single rules of the job fold and of a pool's home."""

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
from geraniumshore.internal.failure_attribution import HostHealth, JobKind
from geraniumshore.internal.snapshot import decode_state, encode_state
from geraniumshore_standins.internal.platform_tasks import TaskHost
from tests.common.job_cluster import JobCluster, job_note


@pytest.fixture
def cluster():
    return JobCluster("a", "b", "c", note=job_note({"acme": 5, "bolt": 50}))


def home_of(cluster):
    homes = cluster.reader().state.homes
    member = next(h.member for key, h in homes.items() if key.startswith("pool/"))
    return cluster.by_id[member]


def started(cluster, epoch, sequence, job, attempt=1, host="h0"):
    start = JobStart(job, attempt, host, f"{job}.{attempt}.x", Sizes())
    record = JobsStarted(cluster.new_id(), "roasting", epoch, sequence, (start,))
    cluster.append(record)
    cluster.run(0.05)


def test_a_job_runs_and_its_end_is_known_everywhere(cluster):
    cluster.submit_job("j", run_ms=300)
    cluster.run(3.0)
    phases = {m.state.jobs.by_id["j"].phase for m in cluster.by_id.values()}
    assert phases == {JobPhase.SUCCEEDED}


def test_a_duplicate_submission_changes_nothing(cluster):
    record = cluster.submit_job("j", queue="batches")
    cluster.run(3.0)
    cluster.append(replace(record, id=cluster.new_id()))
    cluster.run(3.0)
    assert cluster.job("j").phase is JobPhase.SUCCEEDED
    assert cluster.board.starts_by_job()["j"] == 1


def test_a_job_larger_than_every_host_is_set_aside_however_many_wait(cluster):
    for number in range(150):
        cluster.submit_job(f"before{number}", run_ms=60_000)
    cluster.submit_job("j", sizes=Sizes(memory_mb=9_000, accelerators=1))
    cluster.run(0.2)
    assert cluster.job("j").phase is JobPhase.SET_ASIDE
    assert "9000 MB of memory" in cluster.job("j").reason
    assert "1 accelerators" in cluster.job("j").reason


def test_a_start_that_arrives_after_its_window_begins_nothing(cluster):
    cluster.starts_delayed = True
    cluster.submit_job("j", queue="batches")
    cluster.run(9.5)
    assert cluster.job("j").attempt == 1
    assert "never began" in cluster.job("j").reason
    cluster.deliver_delayed()
    cluster.run(5.0)
    assert cluster.job("j").phase is JobPhase.SUCCEEDED
    assert cluster.board.starts_by_job()["j"] == 1


def test_a_delayed_start_within_its_window_is_not_reported_as_not_run(cluster):
    cluster.starts_delayed = True
    cluster.submit_job("j", queue="batches")
    cluster.run(3.0)
    cluster.deliver_delayed()
    cluster.run(3.0)
    assert cluster.board.starts_by_job()["j"] == 1
    assert cluster.job("j").attempt == 1


def test_a_start_of_an_earlier_home_is_void(cluster):
    epoch = home_of(cluster).job_homes.by_pool["roasting"].epoch
    cluster.cut = set(cluster.by_id) - {"a"}
    cluster.submit_job("j")
    started(cluster, epoch - 1, 99, "j")
    assert cluster.job("j").phase is JobPhase.WAITING
    started(cluster, epoch, 99, "j")
    assert cluster.job("j").phase is JobPhase.RUNNING


def test_a_batch_of_starts_after_a_later_one_is_void(cluster):
    epoch = home_of(cluster).job_homes.by_pool["roasting"].epoch
    cluster.cut = set(cluster.by_id) - {"a"}
    cluster.submit_job("j")
    started(cluster, epoch, 7, "other")
    started(cluster, epoch, 6, "j")
    assert cluster.job("j").phase is JobPhase.WAITING


def test_an_unfolded_start_keeps_its_token_and_its_capacity(cluster):
    cluster.submit_job("first")
    cluster.run(3.0)
    cluster.held = []
    for number in range(8):
        cluster.submit_job(f"j{number}", sizes=Sizes(memory_mb=7_000))
    cluster.run(6.0)
    home = home_of(cluster).job_homes.by_pool["roasting"]
    assert len(home.starts.by_job) == 3
    assert home.tokens_by_team["acme"].held >= 3


def test_a_lost_record_of_starts_is_appended_again(cluster):
    cluster.held = []
    cluster.submit_job("j")
    cluster.run(0.5)
    assert cluster.held
    cluster.release_held(times=0)
    cluster.run(5.0)
    assert cluster.job("j").phase is JobPhase.SUCCEEDED


def test_the_next_home_holds_tokens_for_all_running_jobs(cluster):
    for number in range(4):
        cluster.submit_job(f"j{number}", run_ms=30_000)
    cluster.run(2.0)
    home = home_of(cluster).id
    cluster.cut.add(home)
    cluster.evict(home)
    cluster.run(5.0)
    for _ in range(4):
        cluster.submit(min(set(cluster.by_id) - {home}), cluster.new_id(), "acme")
    cluster.run(2.0)
    assert cluster.board.running("acme") == 4
    assert len(cluster.starts) == 1


def test_the_next_home_adopts_tasks_without_a_new_start(cluster):
    cluster.submit_job("j", queue="batches", run_ms=25_000)
    cluster.run(2.0)
    home = home_of(cluster).id
    cluster.cut.add(home)
    cluster.evict(home)
    cluster.run(30.0)
    assert cluster.job("j").phase is JobPhase.SUCCEEDED
    assert cluster.board.starts_by_job()["j"] == 1


@pytest.mark.parametrize(
    ("queue", "phase"),
    [("batches", JobPhase.UNKNOWN), ("reports", JobPhase.SUCCEEDED)],
)
def test_a_lapsed_lease_ends_the_task_and_the_state_follows(cluster, queue, phase):
    cluster.submit_job("j", queue=queue, run_ms=30_000)
    cluster.run(2.0)
    cluster.cut = set(cluster.by_id)
    cluster.run(25.0)
    cluster.cut = set()
    cluster.run(40.0)
    assert cluster.job("j").phase is phase
    assert (cluster.board.starts_by_job()["j"] == 1) is (queue == "batches")


@pytest.mark.parametrize(
    ("ran", "phase"), [(True, JobPhase.SUCCEEDED), (False, JobPhase.WAITING)]
)
def test_only_a_person_settles_an_unknown_job(cluster, ran, phase):
    cluster.submit_job("j", queue="batches", run_ms=30_000)
    cluster.run(2.0)
    cluster.board.kill_host(cluster.job("j").host)
    cluster.run(20.0)
    assert cluster.job("j").phase is JobPhase.UNKNOWN
    cluster.cut = set(cluster.by_id) - {"a"}
    cluster.settle_job("j", ran)
    cluster.run(0.1)
    assert cluster.job("j").phase is phase


def test_cancelling_a_whole_queue_takes_one_record_and_few_calls(cluster):
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
    cluster.release(note)
    for number in range(10_000):
        cluster.submit_job(f"w{number}", queue="wave", run_ms=60_000)
    cluster.run(2.0)
    assert cluster.board.running("acme") == 5
    appends = len(cluster.entries)
    cluster.cancel_jobs(queue="wave")
    cluster.run(3.0)
    jobs = cluster.reader().state.jobs.by_id.values()
    assert {job.phase for job in jobs} == {JobPhase.CANCELLED}
    assert len(cluster.entries) - appends < 10
    assert cluster.board.calls["stop"] <= 2


def test_a_job_that_fails_on_several_good_hosts_is_set_aside(cluster):
    cluster.submit_job("good", run_ms=50)
    cluster.submit_job("bad", queue="reports", run_ms=50, fail=True)
    cluster.run(60.0)
    assert cluster.job("bad").phase is JobPhase.SET_ASIDE
    assert len(cluster.job("bad").failed_on) == 3


def test_a_host_on_which_all_jobs_fail_is_avoided_until_it_is_repaired(cluster):
    cluster.board.hosts["h0"].broken = True
    for number in range(60):
        cluster.submit_job(f"j{number}", team="bolt", run_ms=400)
        cluster.run(0.2)
    cluster.run(30.0)
    jobs = cluster.reader().state.jobs.by_id.values()
    assert {job.phase for job in jobs} == {JobPhase.SUCCEEDED}
    on_broken = sum(t.start.host == "h0" for t in cluster.board.tasks.values())
    assert on_broken <= 10
    cluster.board.hosts["h0"].broken = False
    cluster.run(60.0)
    for number in range(30):
        cluster.submit_job(f"k{number}", team="bolt", run_ms=400)
        cluster.run(0.2)
    cluster.run(10.0)
    assert any(
        t.start.host == "h0" and t.state == "succeeded"
        for t in cluster.board.tasks.values()
    )


def test_a_job_killed_for_memory_is_granted_more_the_next_time(cluster):
    cluster.board.hosts = {f"h{n}": TaskHost(8.0, 8_000) for n in range(3)}
    for number in range(24):
        sizes = Sizes(memory_mb=500)
        cluster.submit_job(
            f"j{number}", "bolt", sizes=sizes, run_ms=500, memory_mb=2_000
        )
    cluster.run(120.0)
    jobs = cluster.reader().state.jobs.by_id.values()
    assert {job.phase for job in jobs} == {JobPhase.SUCCEEDED}
    kills = cluster.board.kills
    for number in range(24):
        sizes = Sizes(memory_mb=500)
        cluster.submit_job(
            f"k{number}", "bolt", sizes=sizes, run_ms=500, memory_mb=2_000
        )
    cluster.run(60.0)
    assert cluster.board.kills == kills


def test_a_job_that_outgrows_every_host_is_set_aside_after_one_kill(cluster):
    cluster.submit_job("j", sizes=Sizes(memory_mb=500), memory_mb=9_000, run_ms=500)
    cluster.run(10.0)
    assert cluster.board.kills == 1
    assert cluster.job("j").phase is JobPhase.SET_ASIDE


def test_failures_of_a_job_kind_on_all_hosts_are_not_attributed_to_hosts():
    health = HostHealth()
    kind = JobKind("reports", "acme")
    hosts = ["h0", "h1", "h2"] * 4
    assert not any(health.on_failed(host, kind, 0.0) for host in hosts)
    assert all(health.accepts(host, 5, 1.0) for host in hosts)


def test_a_faulty_host_gets_no_jobs_for_a_time_and_then_one_at_a_time():
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
    cluster = JobCluster("a", note=job_note({"bolt": 50}, hosts=1))
    for number in range(7):
        cluster.submit_job(f"j{number}", "bolt", processors=2.0, run_ms=20_000)
    cluster.submit_job("u", "bolt", "urgent", processors=4.0, run_ms=5_000)
    cluster.run(3.0)
    task = cluster.board.tasks[cluster.job("j0").task]
    assert cluster.job("u").phase is JobPhase.RUNNING
    assert task.throttle < 1.0
    cluster.run(20.0)
    assert cluster.job("u").phase is JobPhase.SUCCEEDED
    assert task.throttle == 1.0


def test_jobs_of_a_draining_host_are_checkpointed_and_moved(cluster):
    cluster.submit_job("j", queue="batches", run_ms=6_000)
    cluster.run(3.0)
    host = cluster.job("j").host
    for member in cluster.by_id.values():
        member.set_unusable_hosts([host], cluster.now)
    cluster.run(6.0)
    assert cluster.job("j").phase is JobPhase.SUCCEEDED
    assert cluster.job("j").host != host
    assert cluster.board.starts_by_job()["j"] == 1


def test_a_host_is_drained_only_once_no_job_runs_on_it(cluster):
    cluster.submit_job("j", queue="batches", run_ms=30_000)
    cluster.run(2.0)
    host = cluster.job("j").host
    state = cluster.reader().state
    seen = tuple(HostSeen(name, "live", "boot1") for name in state.fleet.by_host)
    cluster.append(HostsObserved(cluster.new_id(), state.view.number, seen))
    cluster.release(
        ReleaseNote(base=1, added=Items(waves={"w": Wave("fix", ["roasting"])}))
    )
    cluster.platform_down = True
    cluster.append(Intent("drain-1", host, "drain", wave="w"))
    cluster.append(IntentReport(cluster.new_id(), "drain-1", host, "done"))
    cluster.run(0.5)
    assert cluster.reader().state.fleet.by_host[host].phase is Phase.DRAINING
    cluster.platform_down = False
    cluster.run(3.0)
    cluster.append(IntentReport(cluster.new_id(), "drain-1", host, "done"))
    cluster.run(0.5)
    assert cluster.reader().state.fleet.by_host[host].phase is Phase.DRAINED
    assert cluster.job("j").host != host


def test_a_pool_with_running_jobs_keeps_its_queues(cluster):
    cluster.submit_job("j", run_ms=60_000)
    cluster.run(2.0)
    cluster.release(
        ReleaseNote(
            base=1, withdrawn=Withdrawn(queues=["reports", "batches", "urgent"])
        )
    )
    assert cluster.reader().state.configuration.version == 1


def test_jobs_that_wait_for_a_pool_without_queues_are_set_aside(cluster):
    note = ReleaseNote(
        base=1,
        added=Items(
            pools={"empty": Pool()}, queues={"q": Queue(pool="empty", kind="job")}
        ),
    )
    cluster.release(note)
    cluster.submit_job("j", queue="q")
    cluster.run(0.3)
    assert cluster.job("j").phase is JobPhase.WAITING
    cluster.release(ReleaseNote(base=2, withdrawn=Withdrawn(queues=["q"])))
    assert cluster.job("j").phase is JobPhase.SET_ASIDE


def test_a_job_is_refused_if_its_key_was_withdrawn_before_the_fold(cluster):
    cluster.release(ReleaseNote(base=1, withdrawn=Withdrawn(keys=["acme-1"])))
    cluster.submit_job("j")
    cluster.run(0.3)
    assert "j" not in cluster.reader().state.jobs.by_id


def test_jobs_survive_a_snapshot(cluster):
    for number in range(12):
        cluster.submit_job(f"j{number}", run_ms=1_000)
    cluster.run(2.3)
    state = cluster.reader().state
    kept = decode_state(encode_state(state)).unwrap().jobs
    assert kept == replace(state.jobs, changes=kept.changes)
    assert kept.running_by_team["acme"] > 0
