"""Experiments that measure policies and their baselines, registered by name."""

from geraniumshore_standins.internal.experiments.base import (
    EXPERIMENT_BY_NAME,
    Experiment,
    Measurement,
    Report,
    register,
)
from geraniumshore_standins.internal.experiments.bursts import BurstsExperiment
from geraniumshore_standins.internal.experiments.capacity import CapacityExperiment
from geraniumshore_standins.internal.experiments.client_crowds import ClientCrowds
from geraniumshore_standins.internal.experiments.control import ControlExperiment
from geraniumshore_standins.internal.experiments.failover import FailoverExperiment
from geraniumshore_standins.internal.experiments.jobs import JobsExperiment
from geraniumshore_standins.internal.experiments.planner_scale import PlannerScale
from geraniumshore_standins.internal.experiments.requests import (
    FaultsExperiment,
    OverloadExperiment,
)
from geraniumshore_standins.internal.experiments.shares import SharesExperiment
from geraniumshore_standins.internal.experiments.slow_start import (
    SlowStartExperiment,
)
from geraniumshore_standins.internal.experiments.wave import WaveExperiment

__all__ = [
    "BurstsExperiment",
    "CapacityExperiment",
    "ClientCrowds",
    "ControlExperiment",
    "EXPERIMENT_BY_NAME",
    "Experiment",
    "FailoverExperiment",
    "FaultsExperiment",
    "JobsExperiment",
    "Measurement",
    "OverloadExperiment",
    "PlannerScale",
    "Report",
    "SharesExperiment",
    "SlowStartExperiment",
    "WaveExperiment",
    "register",
]
