import pytest

from tests.common.cluster import Cluster
from tests.common.notes import first_note

MINIONS = {f"m{i}": f"127.0.0.1:{9000 + i}" for i in range(2)}


@pytest.fixture
def cluster():
    cluster = Cluster("a", "b", "c")
    cluster.release(first_note({"acme": 3, "bolt": 100}, MINIONS, slots=4))
    return cluster


def test_members_that_start_together_agree_on_one_view(cluster):
    views = {tuple(sorted(m.state.view.members)) for m in cluster.by_id.values()}
    assert views == {("a", "b", "c")}


def test_every_member_serves_requests(cluster):
    for name in ("a", "b", "c"):
        cluster.submit(name, f"t-{name}", "bolt")
    assert set(cluster.starts) == {"t-a", "t-b", "t-c"}


def test_a_team_never_runs_more_than_its_limit_across_members(cluster):
    for i in range(9):
        cluster.submit("abc"[i % 3], f"t{i}", "acme")
    cluster.run(1.0)
    assert len(cluster.starts) == 3
    started = next(iter(cluster.starts))
    cluster.finish("abc"[int(started[1:]) % 3], started)
    cluster.run(1.0)
    assert len(cluster.starts) == 4


def test_slots_of_all_minions_are_used_and_not_more(cluster):
    for i in range(20):
        cluster.submit("abc"[i % 3], f"t{i}", "bolt")
    cluster.run(1.0)
    by_minion = [start.minion for start in cluster.starts.values()]
    assert sorted(by_minion) == ["m0"] * 4 + ["m1"] * 4


def test_urgent_work_starts_before_other_work_of_the_same_team(cluster):
    for i in range(8):
        cluster.submit("a", f"t{i}", "bolt")
    cluster.submit("a", "later", "bolt")
    cluster.submit("a", "urgent", "bolt", urgent=True)
    cluster.finish("a", "t0")
    cluster.run(0.5)
    assert "urgent" in cluster.starts
    assert "later" not in cluster.starts


def test_a_member_cut_off_from_the_log_starts_nothing(cluster):
    cluster.cut.add("a")
    cluster.run(4.0)
    cluster.submit("a", "t", "bolt")
    assert "t" in cluster.refusals


def test_a_joining_member_takes_over_homes_with_what_is_held(cluster):
    for i in range(3):
        cluster.submit("abc"[i], f"t{i}", "acme")
    for name in ("d", "e", "f", "g"):
        cluster.spawn(name)
        cluster.run(2.0)
    for i in range(3, 10):
        cluster.submit("abc"[i % 3], f"t{i}", "acme")
    cluster.run(1.0)
    assert len(cluster.starts) == 3
    for i in range(3):
        cluster.finish("abc"[i], f"t{i}")
    cluster.run(1.0)
    assert len(cluster.starts) == 6
