"""Relay of messages between members that cannot connect to each other."""

import pytest

from geraniumshore import Member, MemberInfo
from geraniumshore.internal.messages import Heartbeat
from geraniumshore.internal.view import View
from geraniumshore_standins.internal.fleet import free_port, wait_for
from geraniumshored.internal.metrics import Metrics
from geraniumshored.internal.peers import PeerNetwork, PeerServer
from geraniumshored.internal.runtime import Runtime

RELAY_TIMEOUT_SECONDS = 10.0


class RecordingRuntime(Runtime):
    def __init__(self, member, metrics):
        super().__init__(member, metrics)
        self.heard: set[str] = set()

    def deliver(self, sender, messages):
        self.heard.add(sender)


class Node:
    def __init__(self, name):
        self.address = f"127.0.0.1:{free_port()}"
        self.info = MemberInfo(name, name, "dc1", self.address, "127.0.0.1:1")
        self.runtime = RecordingRuntime(Member(self.info, lambda: "id"), Metrics())
        self.heard = self.runtime.heard
        self.network = PeerNetwork(self.runtime)
        self.server = PeerServer(self.runtime, self.network)
        self.server.start(self.address)

    def set_view(self, *others, unreachable=()):
        members = {other.info.member: other.info for other in others}
        for other in unreachable:
            address = f"127.0.0.1:{free_port()}"
            info = MemberInfo(other.info.member, "h", "dc1", address, "127.0.0.1:1")
            members[info.member] = info
        self.runtime.member.state.view = View(1, members)

    def send_heartbeats(self, *others):
        for other in others:
            self.network.send(other.info.member, [Heartbeat(0)])


@pytest.fixture
def nodes():
    nodes = [Node(name) for name in "abc"]
    yield nodes
    for node in nodes:
        node.network.stop()
        node.server.stop(0.1)


def test_a_message_is_relayed_through_a_member_that_both_can_reach(nodes):
    a, b, c = nodes
    a.set_view(b, unreachable=[c])
    b.set_view(a, c)
    c.set_view(b, unreachable=[a])
    b.send_heartbeats(a, c)

    def arrived():
        a.send_heartbeats(b, c)
        return "a" in c.heard

    wait_for(arrived, "relayed message", RELAY_TIMEOUT_SECONDS)


def test_a_message_to_a_member_that_nobody_can_reach_does_not_arrive(nodes):
    a, b, c = nodes
    a.set_view(b, unreachable=[c])
    b.set_view(a, unreachable=[c])
    with pytest.raises(TimeoutError):
        wait_for(lambda: a.send_heartbeats(b, c) or "a" in c.heard, "message", 2.0)
