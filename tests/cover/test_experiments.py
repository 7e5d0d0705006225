import json

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    Report,
)


class Doubling(Experiment):
    name = "doubling"
    purpose = "show a table"

    def run(self, seed):
        yield Measurement("ours", "wait", float(seed), "ms")
        yield Measurement("baseline", "wait", 2.0 * seed, "ms")


def test_a_report_compares_each_baseline_with_the_policy(tmp_path):
    report = Report.of(Doubling(), seed=3)
    assert report.table().splitlines()[-1].split() == [
        "wait", "(ms)", "3", "6", "(x2.00)",
    ]  # fmt: skip
    document = json.loads(report.write(tmp_path).read_text())
    assert document["measurements"][1]["value"] == 6.0
