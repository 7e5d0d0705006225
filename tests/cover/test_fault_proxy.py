"""The fault proxy injects the faults that tests of the product rely on."""

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


def test_a_hop_refuses_connections_until_the_fault_is_removed(hop):
    hop.set_faults(refuse=True)
    with pytest.raises(ConnectionRefusedError):
        get(hop)
    hop.set_faults()
    assert get(hop).status == 200


@pytest.mark.parametrize("faults", [{"cut_after": 0}, {"reset_after": 30}])
def test_an_answer_is_cut_after_a_number_of_bytes(hop, faults):
    hop.set_faults(**faults)
    with pytest.raises((OSError, http.client.HTTPException)):
        get(hop)


@pytest.mark.parametrize("direction", ["silent_to_target", "silent_to_caller"])
def test_a_silent_direction_neither_forwards_nor_closes(hop, direction):
    hop.set_faults(**{direction: True})
    with pytest.raises(TimeoutError):
        get(hop, timeout=0.3)


def test_silencing_open_connections_does_not_affect_new_ones(hop):
    connection = http.client.HTTPConnection(hop.address, timeout=0.3)
    connection.request("GET", "/hosts")
    connection.getresponse().read()
    hop.silence()
    connection.request("GET", "/hosts")
    with pytest.raises(TimeoutError):
        connection.getresponse()
    connection.close()
    assert get(hop).status == 200


def test_a_delay_applies_in_both_directions(hop):
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
