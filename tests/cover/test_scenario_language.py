from dataclasses import replace

from geraniumshore_standins.internal.scenario import parse_scenario
from geraniumshore_standins.internal.scenario.answers import (
    CallResult,
    MinionRun,
    check_duplicate_runs,
    check_outcomes,
)
from geraniumshore_standins.internal.scenario.steps import Wait

GOOD = CallResult("b1", "billing", "acme", "e0", 0.0, 1.0, 200, "ran", "b1")
RUN = MinionRun("b1", "acme", "billing", 0.0, 1.0, "m0")


def test_a_statement_keeps_its_line_and_its_units():
    scenario = parse_scenario("# a comment\n\nwait 250 ms\n").unwrap()
    assert [s.line for s in scenario.statements] == [3]
    assert scenario.statements[0].step == Wait(0.25)


def test_a_syntax_error_is_reported_with_line_and_column():
    findings = parse_scenario("begin\nkill the e1\n", "x.scenario").unwrap_err()
    assert [f.place for f in findings] == ["x.scenario:2:10"]


def test_true_answers_have_no_findings():
    assert not list(check_outcomes([GOOD], [RUN]))
    assert not list(check_duplicate_runs([GOOD], [RUN], set()))


def test_each_kind_of_false_answer_is_found():
    not_run = replace(GOOD, status=503, outcome="not-run")
    crossed = replace(GOOD, answered_body="b2")
    assert list(check_outcomes([not_run], [RUN]))
    assert list(check_outcomes([crossed], [RUN]))
    assert list(check_outcomes([GOOD], []))


def test_a_second_run_is_found_unless_the_queue_is_idempotent():
    assert list(check_duplicate_runs([GOOD], [RUN, RUN], set()))
    assert not list(check_duplicate_runs([GOOD], [RUN, RUN], {"billing"}))
