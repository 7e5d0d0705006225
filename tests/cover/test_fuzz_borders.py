"""Fuzz tests: external input is accepted as a whole or refused with findings."""

import json
from copy import deepcopy
from functools import cache
from typing import Any

from hypothesis import given, settings, strategies as st
from pydantic import TypeAdapter
from result import Ok

from geraniumshore import (
    Configuration,
    ControlState,
    Items,
    LogEntry,
    Message,
    Queue,
    Record,
    ReleaseNote,
    Service,
    Team,
    Withdrawn,
    apply_release,
    decode_message,
    decode_records,
    encode_message,
    encode_records,
    fold_entry,
    parse_release,
)
from geraniumshore.internal.snapshot import decode_state, encode_state
from geraniumshored import load_settings
from tests.common.cluster import Cluster
from tests.common.notes import first_note, key_of

FUZZ = settings(derandomize=True, deadline=None, max_examples=100)

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
fields = st.sampled_from(
    ["base", "note", "added", "changed", "withdrawn", *Items.model_fields, "x", "limit"]
)
documents = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(fields, inner, max_size=4)
    ),
    max_leaves=12,
)
names = st.sampled_from(["acme", "bolt", "sorting", "m0", "count", "a", "b", "nobody"])


items = st.builds(
    Items,
    teams=st.dictionaries(names, st.builds(Team, st.just(1.0), st.integers(0, 3))),
    services=st.dictionaries(names, st.builds(Service)),
    queues=st.dictionaries(names, st.builds(Queue, service=names | st.none())),
    keys=st.dictionaries(names, st.builds(key_of, names)),
)
notes = st.builds(
    ReleaseNote,
    base=st.integers(0, 2),
    added=items,
    changed=items,
    withdrawn=st.builds(
        Withdrawn, teams=st.lists(names, max_size=2), services=st.lists(names)
    ),
)
st.register_type_strategy(ReleaseNote, notes)


def decodable(adapter):
    """Return a filter for values that can be encoded and decoded again."""

    def survives(value):
        try:
            return adapter.validate_json(adapter.dump_json(value)) is not None
        except ValueError:
            return False

    return survives


messages: st.SearchStrategy[Any] = st.from_type(
    Message  # type: ignore[arg-type]
).filter(decodable(TypeAdapter(Message)))
records: st.SearchStrategy[Any] = st.from_type(
    Record  # type: ignore[arg-type]
).filter(decodable(TypeAdapter(Record)))


@cache
def settled_cluster():
    cluster = Cluster("a", "b", "c")
    cluster.release(first_note({"acme": 3, "bolt": 9}, {"m0": "127.0.0.1:9"}))
    return cluster


@FUZZ
@given(documents)
def test_any_json_as_a_note_gives_a_note_or_findings(document):
    parsed = parse_release(json.dumps(document))
    if isinstance(parsed, Ok):
        apply_release(Configuration(), parsed.ok_value)
    else:
        assert all(f.place and f.problem for f in parsed.err_value)


@FUZZ
@given(st.text())
def test_any_text_as_a_note_gives_a_note_or_findings(text):
    parsed = parse_release(text)
    assert isinstance(parsed, Ok) or parsed.err_value


@FUZZ
@given(documents | st.text())
def test_any_settings_file_gives_settings_or_findings(tmp_path_factory, document):
    path = tmp_path_factory.mktemp("settings") / "entry.json"
    path.write_text(json.dumps(document))
    loaded = load_settings(path)
    assert isinstance(loaded, Ok) or all(
        f.place.startswith("entry.json") for f in loaded.err_value
    )


@FUZZ
@given(st.binary() | documents.map(lambda d: json.dumps(d).encode()))
def test_any_bytes_from_a_member_give_a_message_or_findings(document):
    decoded = decode_message(document)
    assert isinstance(decoded, Ok) or decoded.err_value


@FUZZ
@given(st.text() | documents.map(json.dumps))
def test_any_append_gives_records_or_findings(document):
    decoded = decode_records(document, "offset 7")
    assert isinstance(decoded, Ok) or decoded.err_value


@FUZZ
@given(st.lists(messages, min_size=1, max_size=4), names)
def test_any_message_leaves_a_member_able_to_serve(received, sender):
    member = deepcopy(settled_cluster().by_id["a"])
    for message in received:
        member.on_message(sender, decode_message(encode_message(message)).unwrap(), 1e3)
        member.drain_effects()
    member.on_tick(1e3)
    assert member.state.configuration.version >= 1


@FUZZ
@given(st.lists(st.lists(records, max_size=3), max_size=4))
def test_any_records_fold_without_an_error_and_deterministically(batches):
    states = [ControlState(), ControlState()]
    entries = [
        LogEntry(
            offset,
            1000 * offset,
            decode_records(encode_records(tuple(b)), "x").unwrap(),
        )
        for offset, b in enumerate(batches)
    ]
    verdicts = [[list(fold_entry(s, deepcopy(e))) for e in entries] for s in states]
    assert verdicts[0] == verdicts[1]
    assert states[0] == states[1]
    assert decode_state(encode_state(states[0])).unwrap() == states[0]


@FUZZ
@given(notes)
def test_a_note_is_applied_whole_or_not_at_all(note):
    before = Configuration()
    untouched = deepcopy(before)
    applied = apply_release(before, note)
    assert before == untouched
    if isinstance(applied, Ok):
        assert applied.ok_value.version == before.version + 1
