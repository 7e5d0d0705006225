"""Demo of one service behind three entry hosts, with checks of the guarantees.

``make demo`` runs it. It prints each check, exits with status 0 only if all of them
pass, and kills every process that it started.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from geraniumshore import GeneratedKey
from geraniumshore_standins.internal.balancer import Balancer
from geraniumshore_standins.internal.fleet import OPERATOR, Fleet

MINIONS = 6
ENTRIES = 3
LIMIT_BY_TEAM = {"photos": 20, "archive": 5, "search": 40}
LOAD_THREADS = 24
LOAD_SECONDS = 4.0


@dataclass(slots=True)
class Checks:
    """Results of the demo's checks; the demo fails if any check failed."""

    failed: list[str] = field(default_factory=list)

    def expect(self, holds: bool, what: str) -> None:
        """Print the result of a check and record a failure."""
        print(f"  {'ok  ' if holds else 'FAIL'} {what}")
        if not holds:
            self.failed.append(what)


def first_note(fleet: Fleet, keys: dict[str, GeneratedKey]) -> dict[str, Any]:
    """Return the release note with the demo's initial configuration."""
    return {
        "base": 0,
        "note": "first service",
        "added": {
            "services": {"thumbnails": {}},
            "minions": {
                name: {"service": "thumbnails", "address": address}
                for name, address in fleet.address_by_minion.items()
            },
            "teams": {
                team: {"share": 1, "limit": limit}
                for team, limit in LIMIT_BY_TEAM.items()
            },
            "keys": {
                made.key_id: {
                    "team": team,
                    "salt": made.key.salt,
                    "digest": made.key.digest,
                }
                for team, made in keys.items()
            },
            "queues": {
                "count": {
                    "service": "thumbnails",
                    "idempotent": True,
                    "urgent": True,
                }
            },
        },
    }


def command(fleet: Fleet, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the ``geraniumshore`` command line and print its output."""
    binary = Path(sys.executable).parent / "geraniumshore"
    entries = " ".join(entry.address for entry in fleet.entry_by_name.values())
    print(f"$ geraniumshore {' '.join(arguments)}")
    done = subprocess.run(
        [str(binary), *arguments],
        env={
            **os.environ,
            "GERANIUMSHORE_ENTRIES": entries,
            "GERANIUMSHORE_KEY": OPERATOR.bearer,
        },
        capture_output=True,
        text=True,
        timeout=30,
    )
    print(done.stdout + done.stderr, end="")
    return done


def write_note(fleet: Fleet, name: str, document: dict[str, Any]) -> str:
    """Write a release note to a file and return its path."""
    path = fleet.directory / name
    path.write_text(json.dumps(document, indent=2))
    return str(path)


def call_until_stopped(
    balancer: Balancer, bearer: str, stop: threading.Event
) -> Counter[str]:
    """Call through the balancer until stopped and count the answers by status."""
    results: Counter[str] = Counter()
    while not stop.is_set():
        try:
            reply = balancer.next().call("count", bearer)
        except (OSError, http.client.HTTPException) as error:
            results[f"cut: {error!r}"] += 1
        else:
            results[str(reply.status)] += 1
    return results


def run_load(fleet: Fleet, keys: dict[str, GeneratedKey], checks: Checks) -> None:
    """Send load for all teams while one entry host shuts down gracefully."""
    entries = list(fleet.entry_by_name.values())
    stop = threading.Event()
    bearers = [made.bearer for made in keys.values()]
    with (
        Balancer(fleet.entry_by_name) as balancer,
        ThreadPoolExecutor(LOAD_THREADS) as pool,
    ):
        loads = [
            pool.submit(
                call_until_stopped, balancer, bearers[turn % len(bearers)], stop
            )
            for turn in range(LOAD_THREADS)
        ]
        time.sleep(LOAD_SECONDS / 2)
        command(fleet, "teams")
        leaving = entries[-1]
        leaving.kill(signal.SIGTERM)
        time.sleep(LOAD_SECONDS / 2)
        stop.set()
    results = sum((load.result() for load in loads), Counter())
    leaving.process.wait(30)
    print(f"  answers: {dict(results)}")
    checks.expect(
        set(results) == {"200"}, f"{leaving.name} left under load, no request was cut"
    )
    checks.expect(leaving.process.returncode == 0, f"{leaving.name} ended by itself")


def check_limits(fleet: Fleet, checks: Checks) -> None:
    """Check the runs that the minions counted against the teams' limits."""
    for team, limit in LIMIT_BY_TEAM.items():
        ran = sum(
            fleet.minion_counts(minion)["runs_by_team"].get(team, 0)
            for minion in fleet.address_by_minion
        )
        most = fleet.max_concurrent_runs(team)
        print(f"  {team}: {ran} runs, at most {most} at once, limit {limit}")
        checks.expect(ran > 0, f"{team} was served")
        checks.expect(most <= limit, f"{team} stayed within its limit")


def run(fleet: Fleet) -> Checks:
    """Run the whole demo."""
    checks = Checks()
    fleet.start_platform()
    for number in range(MINIONS):
        fleet.start_minion(f"minion-{number + 1}")
    for number in range(ENTRIES):
        fleet.start_entry(f"entry-{number + 1}")
    fleet.wait_for_minions()
    fleet.wait_until_ready()
    keys = {team: fleet.make_key(team) for team in LIMIT_BY_TEAM}
    note = write_note(fleet, "first.json", first_note(fleet, keys))
    checks.expect(command(fleet, "release", "check", note).returncode == 0, "checked")
    applied = command(fleet, "release", "apply", note, "--wait")
    checks.expect(applied.returncode == 0, "in force on every entry host")
    command(fleet, "members")

    entry = fleet.entry_by_name["entry-1"]
    reply = entry.call("count", keys["search"].bearer, b'{"image": 7}')
    print(f"  answer: {reply.body.decode()}")
    checks.expect(reply.status == 200, "a keyed request got its whole answer")
    reply = entry.call("count", "search-1.not-the-secret")
    print(f"  answer: {reply.body.decode()}")
    checks.expect(reply.status == 401, "a wrong key is refused")
    checks.expect(reply.json()["outcome"] == "not-run", "and nothing was run for it")

    run_load(fleet, keys, checks)
    check_limits(fleet, checks)

    key_id = keys["archive"].key_id
    withdrawal = {"base": 1, "note": "key lost", "withdrawn": {"keys": [key_id]}}
    note = write_note(fleet, "withdraw.json", withdrawal)
    began = time.monotonic()
    applied = command(fleet, "release", "apply", note, "--wait")
    print(f"  in force everywhere after {time.monotonic() - began:.2f} s")
    for name in ("entry-1", "entry-2"):
        reply = fleet.entry_by_name[name].call("count", keys["archive"].bearer)
        checks.expect(reply.status == 401, f"{name} refuses the withdrawn key")
    stale = write_note(fleet, "stale.json", withdrawal)
    checks.expect(
        command(fleet, "release", "apply", stale).returncode == 1,
        "a second note on the same base is refused",
    )
    return checks


def main() -> int:
    """Run the demo and return its exit status."""
    with Fleet() as fleet:
        checks = run(fleet)
    if checks.failed:
        print(f"{len(checks.failed)} promises were not kept")
        return 1
    print("every promise that the demo looks at was kept")
    return 0


if __name__ == "__main__":
    sys.exit(main())
