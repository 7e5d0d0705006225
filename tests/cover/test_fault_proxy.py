"""The fault proxy brings about what it says, so that tests behind it can be trusted."""

import http.client
import time

import pytest

from geraniumshore_standins import Fleet
from geraniumshore_standins.internal.operator_client import http_call


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.start_proxy()
        yield fleet


@pytest.fixture
def hop(fleet):
    return fleet.open_hop(fleet.platform_address)


def get(hop, timeout=1.0):
    return http_call(hop.address, "GET", "/hosts", timeout=timeout)


def test_a_hop_without_faults_forwards_whole_answers(hop):
    assert get(hop).json() == {"hosts": []}


def test_a_refusing_hop_cannot_be_connected_to_until_it_is_mended(hop):
    hop.set_faults(refuse=True)
    with pytest.raises(ConnectionRefusedError):
        get(hop)
    hop.set_faults()
    assert get(hop).status == 200


@pytest.mark.parametrize("faults", [{"cut_after": 0}, {"reset_after": 30}])
def test_an_answer_is_ended_after_so_many_bytes(hop, faults):
    hop.set_faults(**faults)
    with pytest.raises((OSError, http.client.HTTPException)):
        get(hop)


@pytest.mark.parametrize("way", ["silent_to_target", "silent_to_caller"])
def test_a_silent_way_neither_forwards_nor_closes(hop, way):
    hop.set_faults(**{way: True})
    with pytest.raises(TimeoutError):
        get(hop, timeout=0.3)


def test_open_connections_go_silent_while_new_ones_work(hop):
    connection = http.client.HTTPConnection(hop.address, timeout=0.3)
    connection.request("GET", "/hosts")
    connection.getresponse().read()
    hop.silence()
    connection.request("GET", "/hosts")
    with pytest.raises(TimeoutError):
        connection.getresponse()
    connection.close()
    assert get(hop).status == 200


def test_a_delay_holds_back_both_ways(hop):
    hop.set_faults(delay_ms=100)
    began = time.monotonic()
    assert get(hop).status == 200
    assert time.monotonic() - began >= 0.2


def test_a_fraction_of_the_connections_is_faulty(hop):
    hop.set_faults(cut_after=0, fraction=0.5)
    results = []
    for _ in range(40):
        try:
            results.append(get(hop).status == 200)
        except (OSError, http.client.HTTPException):
            results.append(False)
    assert any(results)
    assert not all(results)
