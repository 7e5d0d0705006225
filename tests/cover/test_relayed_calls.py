"""Nodes that cannot answer a call by themselves let another node answer it.

Callers of a data centre whose nodes the store turned away were refused for seconds, and
a store with 0.15 s an append refused jobs that 29 nodes appended one by one.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
from dataclasses import replace
from types import SimpleNamespace

import pytest

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshore_standins.internal.fleet import free_port, wait_for
from geraniumshore_standins.internal.proxy import FaultProxy, HopFaults
from geraniumshore_standins.internal.users_platform import NodeProcess, PlatformFleet
from geraniumshored.internal.client_budget import BudgetLimits
from geraniumshored.node.answers import Answer, Caller, RequestHandler, Verdict
from geraniumshored.node.append_latency import (
    OBSERVATION_VALID_S,
    SLOW_APPEND_S,
    AppendLatency,
)
from geraniumshored.node.members import member_name
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import Peers, RelayedCall
from geraniumshored.node.relay import PEER_RETRY_S, CallRelay, KnownMembers
from geraniumshored.node.relayed_requests import RelayingRequestHandler
from geraniumshored.platform.http import HttpClient
from geraniumshored.platform.job_api import JobApiServer
from geraniumshored.platform.peers import HttpPeers

CALLER = Caller("h", "/q/" + "a" * 16, "key", 3.0)
OWN = member_name("own", "1", 1.0, "own:1")
OWNER = member_name("owner", "1", 1.0, "owner:1")
OTHER = member_name("other", "1", 1.0, "other:1")
NO_ANSWER = UnknownOutcomeError("no answer")
NOT_SENT = PlatformUnavailableError("refused")


class OwnRequests(RequestHandler):
    """Gives every caller the same answer."""

    def __init__(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self.calls = 0

    def submit(self, caller: Caller, body: bytes) -> Answer:
        return self.show(caller)

    def show(self, caller: Caller) -> Answer:
        self.calls += 1
        return Answer(self.verdict)

    cancel = show


class FakePeers(Peers):
    """Peers whose outcomes the test sets by address."""

    def __init__(self) -> None:
        self.outcome_by_address: dict[str, Verdict | Exception] = {}
        self.asked: list[str] = []
        self.callers: list[Caller] = []
        # How long an answer takes, and what makes the time pass.
        self.takes_s = 0.0
        self.wait = lambda seconds: None

    def relay(self, address: str, call: RelayedCall) -> Answer:
        self.asked.append(address)
        self.callers.append(call.caller)
        self.wait(self.takes_s)
        outcome = self.outcome_by_address.get(address, Verdict.OK)
        if isinstance(outcome, Exception):
            raise outcome
        return Answer(outcome)


class Members(KnownMembers):
    def owner(self) -> str | None:
        return OWNER

    def others(self) -> frozenset[str]:
        return frozenset({OWN, OWNER, OTHER})


class Relaying:
    """A node that relays, with its clock, peers and own answers."""

    def __init__(self, own: Verdict) -> None:
        self.now = 0.0
        self.own = OwnRequests(own)
        self.peers = FakePeers()
        self.peers.wait = self.pass_time
        self.latency = AppendLatency(self.clock)
        relay = CallRelay(self.peers, OWN, Members(), NodeMetrics(), self.clock)
        self.handler = RelayingRequestHandler(self.own, relay, self.latency, self.clock)

    def clock(self) -> float:
        return self.now

    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    def submit(self) -> Verdict:
        return self.handler.submit(CALLER, b"{}").verdict


def test_a_call_that_this_node_can_answer_is_not_relayed():
    node = Relaying(Verdict.OK)
    assert node.submit() is Verdict.OK
    assert not node.peers.asked


def test_a_call_that_this_node_refuses_is_answered_by_the_owner():
    node = Relaying(Verdict.NOT_RUN)
    assert node.submit() is Verdict.OK
    assert node.handler.show(CALLER).verdict is Verdict.OK
    assert node.handler.cancel(CALLER).verdict is Verdict.OK
    assert set(node.peers.asked) == {"owner:1"}


def test_a_relayed_call_is_not_relayed_again():
    """Two nodes that are both cut off would pass a call back and forth."""
    node = Relaying(Verdict.NOT_RUN)
    relayed = Caller("h", CALLER.path, "key", 3.0, relayed=True)
    assert node.handler.submit(relayed, b"{}").verdict is Verdict.NOT_RUN
    assert node.handler.show(relayed).verdict is Verdict.NOT_RUN
    assert node.handler.cancel(relayed).verdict is Verdict.NOT_RUN
    assert not node.peers.asked


def test_another_member_answers_if_the_owner_cannot_be_reached():
    node = Relaying(Verdict.NOT_RUN)
    node.peers.outcome_by_address["owner:1"] = NOT_SENT
    assert node.submit() is Verdict.OK
    assert node.peers.asked == ["owner:1", "other:1"]


def test_a_node_without_answer_is_passed_over_for_a_while():
    node = Relaying(Verdict.NOT_RUN)
    node.peers.outcome_by_address["owner:1"] = NO_ANSWER
    for _ in range(3):
        node.submit()
    assert node.peers.asked.count("owner:1") == 1
    node.now += PEER_RETRY_S
    node.submit()
    assert node.peers.asked.count("owner:1") == 2


@pytest.mark.parametrize("second", [Verdict.NOT_RUN, NOT_SENT, NO_ANSWER])
def test_a_job_that_another_node_may_have_accepted_is_not_refused(second):
    """A caller that is told "not run" may submit the same work again."""
    node = Relaying(Verdict.NOT_RUN)
    node.peers.outcome_by_address = {"owner:1": NO_ANSWER, "other:1": second}
    assert node.submit() is Verdict.UNCERTAIN


def test_a_refusal_stands_if_no_node_was_sent_the_call():
    node = Relaying(Verdict.NOT_RUN)
    node.peers.outcome_by_address = {"owner:1": NOT_SENT, "other:1": NOT_SENT}
    assert node.submit() is Verdict.NOT_RUN
    assert node.handler.show(CALLER).verdict is Verdict.NOT_RUN


def test_showing_a_job_is_refused_rather_than_uncertain():
    node = Relaying(Verdict.NOT_RUN)
    node.peers.outcome_by_address = {"owner:1": NO_ANSWER, "other:1": NO_ANSWER}
    assert node.handler.show(CALLER).verdict is Verdict.NOT_RUN


def test_jobs_go_to_the_owner_while_the_store_is_slow():
    """Single appends of 29 nodes filled the queue of a store with 0.15 s an append."""
    node = Relaying(Verdict.OK)
    node.latency.observe(2 * SLOW_APPEND_S)
    assert node.submit() is Verdict.OK
    assert (node.peers.asked, node.own.calls) == (["owner:1"], 0)
    node.now += OBSERVATION_VALID_S
    node.submit()
    assert node.own.calls == 1


def test_an_append_that_takes_long_shows_a_slow_store_before_it_ends():
    """Appends took up to 2 s in the store's queue, and none had ended by then."""
    node = Relaying(Verdict.OK)
    began = node.latency.begin()
    node.now += SLOW_APPEND_S / 2
    assert not node.latency.slow
    node.now += SLOW_APPEND_S
    assert node.latency.slow
    node.latency.end(began, refused=False)
    assert node.latency.slow


def test_a_refused_append_shows_that_others_wait_in_the_store():
    node = Relaying(Verdict.OK)
    node.latency.end(node.latency.begin(), refused=True)
    node.submit()
    assert (node.peers.asked, node.own.calls) == (["owner:1"], 0)


def test_quick_answers_of_the_owner_show_that_the_store_is_quick_again():
    node = Relaying(Verdict.OK)
    node.latency.observe(2 * SLOW_APPEND_S)
    for _ in range(5):
        node.submit()
    assert not node.latency.slow
    assert node.own.calls


@pytest.mark.parametrize("fault", [NOT_SENT, NO_ANSWER, Verdict.NOT_RUN])
def test_a_job_that_the_owner_did_not_confirm_is_recorded_here(fault):
    node = Relaying(Verdict.OK)
    node.latency.observe(2 * SLOW_APPEND_S)
    node.peers.outcome_by_address["owner:1"] = fault
    assert node.submit() is Verdict.OK
    assert node.own.calls == 1


@pytest.mark.parametrize("own", [Verdict.OK, Verdict.NOT_RUN])
def test_a_caller_that_hardly_waits_does_not_discredit_the_owner(own):
    """One job with a deadline of 20 ms ended the relaying of all jobs for 2 s."""
    node = Relaying(own)
    node.latency.observe(2 * SLOW_APPEND_S)
    node.peers.outcome_by_address["owner:1"] = NO_ANSWER
    for timeout_s in (0.02, 0.29, 0.9):
        node.handler.submit(replace(CALLER, timeout_s=timeout_s), b"{}")
    node.peers.outcome_by_address.clear()
    node.peers.asked.clear()
    assert node.submit() is Verdict.OK
    assert node.peers.asked == ["owner:1"]


def test_a_node_is_not_asked_for_an_answer_that_cannot_be_in_time():
    """The other node would carry the call out for a caller that is gone."""
    node = Relaying(Verdict.OK)
    node.latency.observe(2 * SLOW_APPEND_S)
    node.handler.submit(replace(CALLER, timeout_s=0.1), b"{}")
    assert not node.peers.asked


@pytest.mark.parametrize(
    "odd", [{"key": "k\xe9y"}, {"key": "k\ty"}, {"host": "h\xe9"}], ids=str
)
def test_a_header_that_cannot_be_relayed_does_not_discredit_the_owner(odd):
    """One client's key with a letter beyond ASCII ended the relaying of all jobs."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        owner = member_name("owner", "1", 1.0, address)
        known = SimpleNamespace(owner=lambda: owner, others=lambda: frozenset())
        peers = HttpPeers(HttpClient())
        relay = CallRelay(peers, OWN, known, NodeMetrics(), lambda: 0.0)  # type: ignore[arg-type]
        with pytest.raises(PlatformUnavailableError):
            relay.relay(RelayedCall("GET", replace(CALLER, **odd)))
        assert relay.has_owner_elsewhere()


def test_a_job_that_the_owner_is_uncertain_about_is_recorded_here():
    """The owner gives up after 1 s, while the caller still waits."""
    node = Relaying(Verdict.OK)
    node.latency.observe(2 * SLOW_APPEND_S)
    node.peers.outcome_by_address["owner:1"] = Verdict.UNCERTAIN
    assert node.submit() is Verdict.OK
    node.own.verdict = Verdict.NOT_RUN
    node.peers.outcome_by_address["other:1"] = Verdict.NOT_RUN
    assert node.submit() is Verdict.UNCERTAIN


@pytest.mark.parametrize("unconfirmed", [NO_ANSWER, Verdict.UNCERTAIN], ids=str)
@pytest.mark.parametrize("slow", [False, True])
def test_a_job_that_may_have_been_accepted_is_not_rejected_by_another_node(
    slow, unconfirmed
):
    """A key may have been withdrawn for one of two nodes, and the job would run."""
    node = Relaying(Verdict.UNKNOWN_KEY if slow else Verdict.NOT_RUN)
    if slow:
        node.latency.observe(2 * SLOW_APPEND_S)
    node.peers.outcome_by_address = {
        "owner:1": unconfirmed,
        "other:1": Verdict.UNKNOWN_KEY,
    }
    assert node.submit() is Verdict.UNCERTAIN


def test_a_job_that_the_owner_held_back_for_a_busy_store_is_not_appended_here():
    """Appends of 29 nodes kept the queue full in which the owner's append waited."""
    node = Relaying(Verdict.OK)
    node.latency.observe(2 * SLOW_APPEND_S)
    node.peers.outcome_by_address["owner:1"] = Verdict.NOT_RUN
    node.peers.takes_s = 0.5
    assert node.submit() is Verdict.NOT_RUN
    assert node.own.calls == 0


def test_the_owner_may_answer_after_its_append_has_waited_in_the_store():
    """It was given 1.2 s and passed over then, while appends waited for 2 s."""
    node = Relaying(Verdict.NOT_RUN)
    node.latency.observe(2 * SLOW_APPEND_S)
    node.submit()
    (caller,) = node.peers.callers
    assert caller.timeout_s > 2.0


def test_members_of_former_releases_are_passed_over():
    peers = FakePeers()
    former = member_name("old", "1", 1.0)
    known = SimpleNamespace(owner=lambda: former, others=lambda: frozenset({former}))
    relay = CallRelay(peers, OWN, known, NodeMetrics(), lambda: 0.0)  # type: ignore[arg-type]
    assert not relay.has_owner_elsewhere()
    with pytest.raises(PlatformUnavailableError):
        relay.relay(RelayedCall("GET", CALLER))


def test_a_node_does_not_relay_to_its_own_address():
    """The log names the node's former process as the owner after a restart.

    The node passed slow jobs on to itself, where they were recorded one by one as
    before, or refused by the node that had relayed them.
    """
    peers = FakePeers()
    former = member_name("own", "0", 1.0, "own:1")
    known = SimpleNamespace(owner=lambda: former, others=lambda: frozenset({former}))
    relay = CallRelay(peers, OWN, known, NodeMetrics(), lambda: 0.0)  # type: ignore[arg-type]
    assert not relay.has_owner_elsewhere()
    with pytest.raises(PlatformUnavailableError):
        relay.relay(RelayedCall("GET", CALLER))
    assert not peers.asked


@pytest.mark.parametrize("deadline", ["\xb2", "9" * 400, "9" * 5_000, "-1", "x"])
def test_a_malformed_deadline_counts_as_none(deadline):
    """Digits beyond ASCII and very large numbers ended the call with a fault."""
    limits = BudgetLimits.from_machine(200_000_000, 1_000)
    own = OwnRequests(Verdict.OK)
    server = JobApiServer(own, NodeMetrics(), lambda: True, limits)
    addresses = [f"127.0.0.1:{free_port()}" for _ in range(4)]
    server.start(*addresses)
    for address in (addresses[0], addresses[3]):
        connection = http.client.HTTPConnection(address, timeout=5)
        with contextlib.closing(connection):
            headers = {"Geraniumshore-Deadline-Ms": deadline}
            connection.request("POST", CALLER.path, b"{}", headers)
            assert connection.getresponse().status == 200


class ProxiedFleet(PlatformFleet):
    """A fleet of which one node reaches the store through a proxy."""

    PROXIED = "n1"

    def __init__(self) -> None:
        super().__init__()
        self._proxy = FaultProxy()
        self._port = free_port()
        self._proxy.open_hop(self._port, f"127.0.0.1:{self.simulator.store_port}")

    def store_address(self, name: str) -> str:
        if name == self.PROXIED:
            return f"127.0.0.1:{self._port}"
        return super().store_address(name)

    def cut_off(self) -> None:
        """Reset the node's connections to the store, and refuse new ones."""
        self._proxy.set_faults(self._port, HopFaults(refuse=True))
        self._proxy.reset(self._port)


def knows_members(node: NodeProcess) -> bool:
    connection = http.client.HTTPConnection(node.metrics, timeout=5)
    with contextlib.closing(connection):
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    return "geraniumshore_known_members 1.0" in text


def test_a_node_that_the_store_turns_away_still_serves_callers():
    """Real nodes: a job is accepted, shown and cancelled through a cut-off node."""
    with ProxiedFleet() as fleet:
        fleet.start()
        node = fleet.node_by_name["n1"]
        wait_for(lambda: knows_members(node), "the node knows the other one")
        fleet.cut_off()
        wait_for(lambda: not node.is_ready(), "the node notices that it is cut off")
        job = f"{1:016x}"
        spec = json.dumps({"work_ms": 100})
        document = {"spec": spec, "phases": [{"count": 1, "cpu": 500, "mem_mb": 10}]}
        wait_for(lambda: fleet.submit("n1", job, document).status == 200, "accepted")
        fleet.wait_for_state("n1", job, "done")
        assert fleet.call("n1", "DELETE", job).status == 200
        # A busy node may refuse a count for a moment, as its last read is too old.
        wait_for(lambda: fleet.call("n1", "GET", "").status == 200, "counted")
