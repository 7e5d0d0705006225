"""Members with an in-memory log and network, advanced by the test."""

from __future__ import annotations

import itertools

from geraniumshore import (
    LogEntry,
    Member,
    MemberInfo,
    Message,
    Record,
    Refuse,
    Release,
    ReleaseNote,
    SlotRequest,
    Start,
    decode_message,
    encode_message,
)


class Cluster:
    """A cluster that delivers every message immediately and in order.

    Members in ``cut`` neither read the log nor send or receive messages.
    """

    def __init__(self, *names: str) -> None:
        self.now = 100.0
        self.entries: list[LogEntry] = []
        self.ids = itertools.count()
        self.by_id: dict[str, Member] = {}
        self.starts: dict[str, Start] = {}
        self.refusals: dict[str, Refuse] = {}
        self.cut: set[str] = set()
        for name in names:
            self.spawn(name)
        self.run(3.0)

    def new_id(self) -> str:
        return f"id{next(self.ids)}"

    def spawn(self, name: str) -> Member:
        info = MemberInfo(name, name, "dc1", "127.0.0.1:1", "127.0.0.1:2")
        self.by_id[name] = Member(info, self.new_id)
        return self.by_id[name]

    def append(self, *records: Record) -> None:
        offset = len(self.entries)
        self.entries.append(LogEntry(offset, int(self.now * 1000), records))

    def release(self, note: ReleaseNote) -> None:
        self.append(Release(self.new_id(), note, "tester"))
        self.run(0.5)

    def run(self, seconds: float, step: float = 0.05) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for member in list(self.by_id.values()):
                if member.id not in self.cut:
                    member.on_entries(self.entries[member.state.position :], self.now)
                    member.on_tail(self.now, self.now)
                    member.on_tick(self.now)
            self.settle()

    def settle(self) -> None:
        for _ in range(200):
            deliveries: list[tuple[str, str, Message]] = []
            for member in self.by_id.values():
                effects = member.drain_effects()
                for record in effects.appends:
                    self.append(record)
                for decision in effects.decisions:
                    if isinstance(decision, Start):
                        self.starts[decision.ticket] = decision
                    else:
                        self.refusals[decision.ticket] = decision
                for target, messages in effects.messages_by_member.items():
                    deliveries.extend((member.id, target, m) for m in messages)
            if not deliveries:
                return
            for sender, target, message in deliveries:
                if {sender, target} & self.cut or target not in self.by_id:
                    continue
                decoded = decode_message(encode_message(message)).unwrap()
                self.by_id[target].on_message(sender, decoded, self.now)
        raise AssertionError("members keep sending messages")

    def submit(self, member: str, ticket: str, team: str, urgent: bool = False) -> None:
        request = SlotRequest(
            ticket, "count", "sorting", team, urgent, self.now + 1000.0
        )
        self.by_id[member].submit(request, self.now)
        self.settle()

    def finish(self, member: str, ticket: str) -> None:
        self.by_id[member].finish(ticket, self.now)
        self.settle()
