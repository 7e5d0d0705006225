from hypothesis import given, settings, strategies as st

from geraniumshore.internal.homes import assign_homes, service_ledger, team_ledger

TEAMS = ("acme", "bolt", "cove", "dell", "eyre", "firs")
members = st.sets(st.text("abcdefgh", min_size=2, max_size=4), min_size=5, max_size=9)


def assigned(previous, present, epoch, after_loss):
    return assign_homes(previous, present, ["s"], [], TEAMS, epoch, after_loss)


@settings(derandomize=True)
@given(members, st.text("xyz", min_size=3, max_size=3))
def test_two_losses_in_a_row_never_take_a_services_home_and_a_teams_together(
    present, newcomer
):
    homes = assigned({}, present, 1, after_loss=False)
    for epoch in (2, 4):
        lost = homes[service_ledger("s")].member
        assert lost not in {homes[team_ledger(team)].member for team in TEAMS}
        present = present - {lost}
        homes = assigned(homes, present, epoch, after_loss=True)
        present = present | {newcomer + str(epoch)}
        homes = assigned(homes, present, epoch + 1, after_loss=True)


@settings(derandomize=True)
@given(members)
def test_after_a_loss_only_the_lost_homes_move(present):
    homes = assigned({}, present, 1, after_loss=False)
    lost = homes[service_ledger("s")].member
    after = assigned(homes, present - {lost}, 2, after_loss=True)
    assert {key for key in after if after[key] != homes[key]} == {service_ledger("s")}
