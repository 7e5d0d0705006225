"""Decisions on many tasks are combined into few log lines that keep ids and causes."""

from __future__ import annotations

from geraniumshore_scheduler import Decision
from geraniumshored.node.decision_log import summarize


def start(job: str, position: int, minion: str) -> Decision:
    return Decision("start", f"{job}.0.0.{position}", minion, {"run": position})


def test_decisions_on_many_tasks_of_a_step_make_one_line():
    decisions = [start("a", n, f"i-{n % 9}") for n in range(40)]
    (line,) = summarize(decisions)
    assert line.fields["job"] == "a"
    assert line.fields["tasks"] == 40
    assert line.fields["first_task"] == "a.0.0.0"
    assert (len(line.fields["minions"]), line.fields["minion_count"]) == (6, 9)


def test_jobs_and_outcomes_get_separate_lines():
    completions = [
        Decision("run ended", f"{job}.0.0.{n}", "i-1", {"how": how})
        for job, n, how in [
            ("a", 0, "done"),
            ("a", 1, "failed"),
            ("a", 2, "done"),
            ("b", 0, "done"),
        ]
    ]
    lines = [
        (line.fields["job"], line.fields["how"]) for line in summarize(completions)
    ]
    assert lines == [("a", "done"), ("a", "failed"), ("b", "done")]


def test_a_single_decision_keeps_its_details():
    (line,) = summarize([start("a", 7, "i-1")])
    assert line.fields == {"job": "a", "task": "a.0.0.7", "minion": "i-1", "run": 7}


def test_decisions_on_minions_get_a_line_each():
    decisions = [Decision("minion silent", "", f"i-{n}", {"runs": n}) for n in range(3)]
    lines = list(summarize(decisions))
    assert [line.fields["minion"] for line in lines] == ["i-0", "i-1", "i-2"]
