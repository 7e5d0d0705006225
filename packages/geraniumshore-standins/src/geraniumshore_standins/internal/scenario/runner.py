"""Runs a scenario over real processes and reports findings by line."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

from geraniumshore import Finding
from geraniumshore_standins.internal.fleet import Fleet
from geraniumshore_standins.internal.scenario.steps import Scenario, Statement
from geraniumshore_standins.internal.scenario.world import World

__all__ = ["ScenarioReport", "run_scenario"]


@dataclass(slots=True)
class ScenarioReport:
    """Findings and answer counts of one scenario run."""

    name: str
    findings: list[Finding] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    seconds: float = 0.0

    @property
    def passed(self) -> bool:
        """Return whether there are no findings."""
        return not self.findings


def run_scenario(scenario: Scenario) -> ScenarioReport:
    """Run the statements in order; one that raises an exception ends the scenario."""
    report = ScenarioReport(scenario.name)
    began = time.monotonic()
    with Fleet() as fleet:
        world = World(fleet)
        try:
            for statement in scenario.statements:
                if not _run_statement(statement, world, report):
                    break
        finally:
            world.end()
            report.answers.update(str(r.status) for r in world.results)
    report.seconds = time.monotonic() - began
    return report


def _run_statement(statement: Statement, world: World, report: ScenarioReport) -> bool:
    place = f"{report.name}:{statement.line}"
    try:
        for problem in statement.step.run(world):
            report.findings.append(Finding(place, problem))
    except Exception as error:
        report.findings.append(Finding(place, f"failed to run: {error!r}"))
        return False
    return True
