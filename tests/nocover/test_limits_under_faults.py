"""Team limits, as counted by the minions, while entry hosts are killed and paused."""

import signal
import time

from geraniumshore import make_key
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.experiments.processes import (
    LoadGenerator,
)
from tests.common.notes import SALT, SECRET
from tests.common.processes import start_fleet

LIMITS = {"acme": 3, "bolt": 5}
FROZEN_SECONDS = 5.0
GRANTS_AGAIN_SECONDS = 10.0


def test_no_limit_is_exceeded_while_hosts_are_killed_and_frozen():
    with Fleet() as fleet:
        start_fleet(fleet, entries=5, minions=2, limits=LIMITS)
        entries = list(fleet.entry_by_name.values())
        home = entries[0].status()["homes"]["service/sorting"].rpartition("-")[0]
        killed = fleet.entry_by_name[home]
        frozen, *alive = [entry for entry in entries if entry is not killed]
        keys = {team: make_key(f"{team}-1", team, SECRET, SALT) for team in LIMITS}
        load = LoadGenerator(alive, ["count"], keys)
        load.run(per_second=60.0, seconds=2.0)
        assert load.count_by_status[200] > 0
        killed.kill()
        frozen.kill(signal.SIGSTOP)
        load.run(per_second=60.0, seconds=FROZEN_SECONDS)
        frozen.kill(signal.SIGCONT)
        time.sleep(GRANTS_AGAIN_SECONDS - FROZEN_SECONDS)
        before = load.count_by_status[200]
        load.run(per_second=60.0, seconds=3.0)
        assert load.count_by_status[200] > before
        for team, limit in LIMITS.items():
            assert 0 < fleet.max_concurrent_runs(team) <= limit
