from geraniumshore import Candidate, SlotRequest, WeightedShares
from geraniumshore.internal.entry import Entry
from geraniumshore.internal.shares import SHARE_ONLY_PERIOD_GRANTS, RecentUse


def candidate(team, in_use, urgent=False, share=1.0):
    return Candidate(team, share, in_use, urgent, 0.0, recent=float(in_use))


def choose(*candidates, turn=0):
    return WeightedShares().choose(candidates, turn).team


def test_the_team_furthest_below_its_share_goes_first():
    assert choose(candidate("a", 5, share=3.0), candidate("b", 2)) == "a"


def test_urgent_work_goes_first_near_its_share():
    assert choose(candidate("a", 5, urgent=True), candidate("b", 4)) == "a"


def test_urgent_work_far_above_its_share_does_not_go_first():
    assert choose(candidate("a", 20, urgent=True), candidate("b", 4)) == "b"


def test_a_flood_of_urgent_work_leaves_a_part_of_the_grants_to_others():
    flood = [candidate(f"t{i}", 4, urgent=True) for i in range(9)]
    others = candidate("b", 0)
    turns = range(10 * SHARE_ONLY_PERIOD_GRANTS)
    given = [choose(*flood, others, turn=turn) for turn in turns]
    assert given.count("b") >= 10


def test_recent_use_decays_within_seconds():
    recent = RecentUse()
    recent.update({"a": 10}, 0.0)
    recent.update({"a": 0}, 1.0)
    assert 4.0 < recent.by_team["a"] < 9.0
    recent.update({"a": 0}, 20.0)
    assert recent.by_team["a"] < 0.01


def test_one_team_cannot_fill_a_queue():
    entry = Entry("e")
    entry.switch_home("s", 1)
    admitted = {"greedy": 0, "other": 0}
    for team in ["greedy"] * 40 + ["other"]:
        ticket = f"{team}-{admitted[team]}"
        request = SlotRequest(ticket, "q", "s", team, False, 9.0, max_waiting=20)
        if entry.can_queue(request):
            entry.submit(request)
            admitted[team] += 1
    assert 16 <= admitted["greedy"] < 20
    assert admitted["other"] == 1
