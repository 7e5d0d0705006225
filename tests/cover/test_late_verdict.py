from geraniumshore import Leave, LogEntry, Member, MemberInfo, UnknownOutcomeError
from geraniumshored.internal.metrics import Metrics
from geraniumshored.internal.runtime import Messenger, RecordAppender, Runtime


class UnusedTransport(Messenger, RecordAppender):
    def send(self, member, messages):
        raise AssertionError("nothing is to be sent")

    def submit(self, record):
        raise AssertionError("nothing is to be appended")

    append = submit


def test_a_record_with_unknown_outcome_may_still_be_folded():
    info = MemberInfo("m", "h", "dc1", "127.0.0.1:1", "127.0.0.1:2")
    runtime = Runtime(Member(info, new_id=lambda: "id"), Metrics())
    runtime.connect(UnusedTransport(), UnusedTransport())
    record = Leave("leave", "m")
    runtime.await_verdict(record).set_exception(UnknownOutcomeError("given up"))
    entries = [LogEntry(0, 1, (record,))]
    runtime.perform(lambda member, now: member.on_entries(entries, now))
    assert runtime.member.state.position == 1
