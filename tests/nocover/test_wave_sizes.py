"""Maintenance waves over all hosts, at the sizes of both deployments.

The planner is killed during the wave; another member must complete it.
"""

import pytest

from geraniumshore import Wave
from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.fleet_simulation import Deployment
from geraniumshore_standins.internal.platform_hosts_client import platform_hosts
from tests.common.waves import load, start_deployment, wave_of

SIZES = {
    "5 pools of 6 in 3 data centres": Deployment(5, 6, 3),
    "5 pools of 8 in 4 data centres": Deployment(5, 8, 4),
}
WAVE = Wave("kernel", pools=["p0", "p1", "p2", "p3", "p4"], parallel=40)
# Up to 8 rounds of about 7 s, the failover of the planner, and a margin for a busy
# machine.
WAVE_TIMEOUT_SECONDS = 240


@pytest.mark.parametrize("size", list(SIZES))
def test_a_wave_over_all_hosts_ends_though_its_planner_is_killed(size):
    deployment = SIZES[size]
    count = deployment.pools * deployment.hosts_per_pool
    with Fleet() as fleet:
        start_deployment(fleet, deployment, WAVE, entries=5, minions=8)
        planner = fleet.entry_by_name["e0"].operator.get("fleet")["planner"]
        victim = planner.rpartition("-")[0]
        others = [e for name, e in fleet.entry_by_name.items() if name != victim]
        with load(others) as running:
            wait_for(
                lambda: int(wave_of(others[0])["done"]) >= count // 4,  # type: ignore[call-overload]
                "first quarter",
                WAVE_TIMEOUT_SECONDS,
            )
            fleet.entry_by_name[victim].kill()
            wait_for(
                lambda: wave_of(others[0])["state"] == "done",
                "wave",
                WAVE_TIMEOUT_SECONDS,
            )
        refused = {status for status in running.statuses if status != 200}
        assert refused <= {503, 504}, running.statuses
        assert running.statuses[200] > 1000
        assert platform_hosts(fleet.platform_address)["reboots"] == count
