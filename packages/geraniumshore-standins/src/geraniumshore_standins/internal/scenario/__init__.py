"""Parser of the scenario test language and its runner over real processes."""

from geraniumshore_standins.internal.scenario.language import parse_scenario
from geraniumshore_standins.internal.scenario.runner import ScenarioReport, run_scenario
from geraniumshore_standins.internal.scenario.steps import Scenario

__all__ = ["Scenario", "ScenarioReport", "parse_scenario", "run_scenario"]
