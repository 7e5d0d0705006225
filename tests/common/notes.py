"""Release notes and keys for tests."""

from __future__ import annotations

from geraniumshore import (
    Items,
    Key,
    Minion,
    Queue,
    ReleaseNote,
    Service,
    Team,
    make_key,
)

SALT = "00112233445566778899aabbccddeeff"
SECRET = "f" * 32


def bearer(team: str) -> str:
    return make_key(f"{team}-1", team, SECRET, SALT).bearer


def key_of(team: str) -> Key:
    return make_key(f"{team}-1", team, SECRET, SALT).key


def first_note(
    limits: dict[str, int],
    minions: dict[str, str],
    slots: int = 8,
    run_limit_ms: int = 30_000,
) -> ReleaseNote:
    """Return a note with one service, ``minions`` by address, teams, keys, queues."""
    return ReleaseNote(
        base=0,
        note="first",
        added=Items(
            services={"sorting": Service()},
            minions={
                name: Minion("sorting", address, slots=slots)
                for name, address in minions.items()
            },
            teams={name: Team(1.0, limit) for name, limit in limits.items()},
            keys={f"{name}-1": key_of(name) for name in limits},
            queues={
                "count": Queue(
                    service="sorting", idempotent=True, run_limit_ms=run_limit_ms
                ),
                "billing": Queue(service="sorting", run_limit_ms=run_limit_ms),
            },
        ),
    )
