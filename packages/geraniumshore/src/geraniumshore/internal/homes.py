"""Homes: which member decides about which service, pool and team.

A home is chosen by rendezvous hashing, so that every member computes the same one
and a change of the view moves few of them. Homes of teams are placed, as far as
members allow, where no service has its home, nor would have it next: a home of a team
is then never at the same time a holder of that team's tokens, also after a loss, and
one crash cannot take with it both the ledger and an entry that only this ledger knew.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from typing import NewType

import xxhash

__all__ = [
    "Home",
    "LedgerKey",
    "assign_homes",
    "choose_member",
    "rank_members",
    "pool_ledger",
    "service_ledger",
    "team_ledger",
]

LedgerKey = NewType("LedgerKey", str)


@dataclass(frozen=True, slots=True)
class Home:
    """The member that keeps a ledger, since ``epoch``.

    ``previous`` kept it before, as its home of ``previous_epoch``; both are None where
    the ledger is new.
    """

    member: str
    epoch: int
    previous: str | None = None
    previous_epoch: int | None = None


def service_ledger(service: str) -> LedgerKey:
    """Name the ledger of the slots of a service's minions."""
    return LedgerKey(f"service/{service}")


def pool_ledger(pool: str) -> LedgerKey:
    """Name the ledger of a pool's job home."""
    return LedgerKey(f"pool/{pool}")


def team_ledger(team: str) -> LedgerKey:
    """Name the ledger of a team's upper limit."""
    return LedgerKey(f"team/{team}")


def choose_member(key: str, members: Iterable[str]) -> str:
    """Pick one of ``members`` for ``key`` by the highest random weight.

    Raises ValueError where there is no member.
    """
    return max(members, key=lambda member: (_weight(key, member), member))


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Order ``members`` for ``key``, the one of the highest random weight first."""
    return sorted(
        members, key=lambda member: (_weight(key, member), member), reverse=True
    )


def assign_homes(
    previous: Mapping[LedgerKey, Home],
    members: Iterable[str],
    services: Iterable[str],
    pools: Iterable[str],
    teams: Iterable[str],
    epoch: int,
    after_loss: bool = False,
) -> dict[LedgerKey, Home]:
    """Return the home of each ledger; one that did not move keeps its epoch.

    With ``after_loss``, some time after a service's home was lost, the homes of
    services and teams stay where their members are there, and a service whose home
    has to move goes, if it can, to a member that is home of no team. So a second loss
    soon after does not take a service's home and a team's together.
    Without members the homes stay as they were: whoever comes next must know that
    there was a home before, since work that it granted may still run.
    """
    all_members = frozenset(members)
    if not all_members:
        return dict(previous)
    kept = _homes_that_stay(previous, all_members) if after_loss else {}
    team_keys = [team_ledger(team) for team in teams]
    without_team = all_members - {kept[key] for key in team_keys if key in kept}
    chosen = {}
    for service in services:
        key = service_ledger(service)
        chosen[key] = kept.get(key) or choose_member(key, without_team or all_members)
    # What runs for a pool is in the log, so its home is no risk to a team's.
    without_service = all_members - set(chosen.values())
    successors = {
        choose_member(key, all_members - {home})
        for key, home in chosen.items()
        if len(all_members) > 1
    }
    clear = without_service - successors
    for pool in pools:
        key = pool_ledger(pool)
        chosen[key] = choose_member(key, all_members)
    for key in team_keys:
        chosen[key] = kept.get(key) or choose_member(
            key, clear or without_service or all_members
        )
    return {
        key: _keep_or_move(previous.get(key), member, epoch)
        for key, member in chosen.items()
    }


def _homes_that_stay(
    previous: Mapping[LedgerKey, Home], members: Container[str]
) -> dict[LedgerKey, str]:
    return {
        key: home.member for key, home in previous.items() if home.member in members
    }


def _keep_or_move(previous: Home | None, member: str, epoch: int) -> Home:
    if previous is not None and previous.member == member:
        return previous
    if previous is None:
        return Home(member, epoch)
    return Home(member, epoch, previous.member, previous.epoch)


def _weight(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())
