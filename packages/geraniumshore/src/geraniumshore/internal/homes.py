"""Assignment of homes: which member decides for each service, pool and team.

Homes are chosen by rendezvous hashing, so that every member computes the same
assignment and a change of the view moves few of them. If there are enough members, a
team's home is placed on a member that is neither the home of a service nor the next
choice for one. A team's home is then never also a holder of the team's tokens, even
after a member is lost. Nor can one crash take away both a ledger and an entry member
whose units only that ledger knew.
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
    """The member that has been the home of a ledger since ``epoch``.

    ``previous`` was the home before, in ``previous_epoch``; both are None for a new
    ledger.
    """

    member: str
    epoch: int
    previous: str | None = None
    previous_epoch: int | None = None


def service_ledger(service: str) -> LedgerKey:
    """Return the key of the ledger of a service's minion slots."""
    return LedgerKey(f"service/{service}")


def pool_ledger(pool: str) -> LedgerKey:
    """Return the key of the ledger of a pool's job home."""
    return LedgerKey(f"pool/{pool}")


def team_ledger(team: str) -> LedgerKey:
    """Return the key of the ledger of a team's upper limit."""
    return LedgerKey(f"team/{team}")


def choose_member(key: str, members: Iterable[str]) -> str:
    """Return the member with the highest rendezvous weight for ``key``.

    Raises ValueError if there are no members.
    """
    return max(members, key=lambda member: (_weight(key, member), member))


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` by descending rendezvous weight for ``key``."""
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
    """Return the home of each ledger; a home that does not move keeps its epoch.

    ``after_loss`` is set for some time after a service's home was lost. Homes of
    services and teams whose members are still present then stay in place, and a
    service whose home must move goes, if possible, to a member that is the home of no
    team. A second loss soon after then cannot take a service's home and a team's home
    together.

    Without members the homes stay unchanged: the next home must know that there was a
    predecessor, since work that it granted may still run.
    """
    all_members = frozenset(members)
    if not all_members:
        return dict(previous)
    kept = _retained_homes(previous, all_members) if after_loss else {}
    team_keys = [team_ledger(team) for team in teams]
    without_team = all_members - {kept[key] for key in team_keys if key in kept}
    chosen = {}
    for service in services:
        key = service_ledger(service)
        chosen[key] = kept.get(key) or choose_member(key, without_team or all_members)
    # A pool's running work is in the log, so its home may share a member with a team's.
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


def _retained_homes(
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
