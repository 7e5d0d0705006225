from pathlib import Path

import pytest

from geraniumshore_standins.internal.scenario import parse_scenario, run_scenario

DIRECTORY = Path(__file__).parent.parent / "scenarios"


@pytest.mark.parametrize(
    "path", sorted(DIRECTORY.glob("*.scenario")), ids=lambda path: path.stem
)
def test_scenario(path):
    report = run_scenario(parse_scenario(path.read_text(), path.name).unwrap())
    assert report.findings == []
