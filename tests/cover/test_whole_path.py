"""Requests from the caller's HTTP call through an entry host to a minion."""

import pytest

from geraniumshore import Key, ReleaseNote, Withdrawn
from geraniumshore_cli import Client, ClientSettings
from geraniumshore_cli.internal.burn_report import gather_burn_report
from geraniumshore_standins import Fleet
from tests.common.notes import bearer
from tests.common.processes import apply_note, start_fleet


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        start_fleet(fleet, entries=3, minions=2, limits={"acme": 3, "bolt": 8})
        yield fleet


@pytest.fixture
def entry(fleet):
    return fleet.entry_by_name["e1"]


def problem(reply):
    document = reply.json()
    return reply.status, document["type"].rpartition(":")[2], document["outcome"]


def test_every_entry_host_returns_the_minions_complete_answer(fleet):
    for entry in fleet.entry_by_name.values():
        reply = entry.call("count", bearer("acme"), b"12345")
        assert reply.status == 200
        assert reply.headers["outcome"] == "ran"
        assert reply.json()["bytes"] == 5


def test_an_unknown_queue_is_refused_and_not_run(entry):
    reply = entry.call("nowhere", bearer("acme"))
    assert problem(reply) == (404, "unknown-queue", "not-run")


@pytest.mark.parametrize("key", [None, "", "acme-1", "acme-1.wrong", "x.y", ".", "é.ü"])
def test_a_wrong_key_is_refused_and_not_run(entry, key):
    encoded = None if key is None else key.encode().decode("latin-1")
    reply = entry.call("count", encoded)
    assert problem(reply) == (401, "unknown-key", "not-run")


@pytest.mark.parametrize("deadline", ["soon", "-1", "1.5", "", "١"])
def test_a_deadline_that_is_no_number_is_refused(entry, deadline):
    headers = {"Deadline-Ms": deadline.encode().decode("latin-1")}
    reply = entry.call("count", bearer("acme"), headers=headers)
    assert problem(reply) == (400, "bad-deadline", "not-run")


def test_an_expired_deadline_is_refused_and_not_run(entry):
    reply = entry.call("count", bearer("acme"), headers={"Deadline-Ms": "0"})
    assert problem(reply) == (504, "expired", "not-run")


def test_a_body_over_the_queues_limit_is_refused_and_not_run(entry):
    reply = entry.call("count", bearer("acme"), b"x" * (1024 * 1024 + 1))
    assert problem(reply) == (413, "body-too-large", "not-run")


def test_a_note_with_faults_reports_all_of_them_with_their_places(entry):
    document = {"base": 1, "added": {"teams": {"A b": {"share": 0, "limit": -1}}}}
    reply = entry.operator.post("releases", document)
    assert reply.status == 400
    assert len(reply.json()["findings"]) >= 3


def test_a_withdrawn_key_is_refused_by_every_entry_host(fleet):
    apply_note(fleet, ReleaseNote(base=1, withdrawn=Withdrawn(keys=["bolt-1"])))
    for entry in fleet.entry_by_name.values():
        reply = entry.call("count", bearer("bolt"))
        assert problem(reply) == (401, "unknown-key", "not-run")


def test_keys_are_kept_only_as_digests(fleet):
    log = (fleet.directory / "processes.log").read_text()
    secret = bearer("acme").partition(".")[2]
    assert secret not in log
    assert secret not in str(fleet.entry_by_name["e0"].operator.get("configuration"))
    assert set(Key.__dataclass_fields__) == {"team", "salt", "digest"}


def test_the_burn_report_counts_every_members_calls(fleet):
    first = fleet.entry_by_name["e0"]
    settings = ClientSettings((first.address,), first.operator.bearer)
    before = {b.queue: b.good for b in gather_burn_report(Client(settings)).queues}
    for entry in fleet.entry_by_name.values():
        assert entry.call("count", bearer("acme")).status == 200
    report = gather_burn_report(Client(settings))
    after = {b.queue: b.good for b in report.queues}
    assert after["count"] == before["count"] + 3
    assert report.silent == ()
    assert "<svg" in report.html()
