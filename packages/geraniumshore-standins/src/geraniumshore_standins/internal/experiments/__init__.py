"""Experiments: each policy beside its baselines in one run, by name."""

from geraniumshore_standins.internal.experiments.base import (
    EXPERIMENT_BY_NAME,
    Experiment,
    Measurement,
    Report,
    register,
)
from geraniumshore_standins.internal.experiments.bursts import BurstsExperiment
from geraniumshore_standins.internal.experiments.capacity import CapacityExperiment
from geraniumshore_standins.internal.experiments.control import ControlExperiment
from geraniumshore_standins.internal.experiments.failover import FailoverExperiment
from geraniumshore_standins.internal.experiments.shares import SharesExperiment

__all__ = [
    "EXPERIMENT_BY_NAME",
    "BurstsExperiment",
    "CapacityExperiment",
    "ControlExperiment",
    "Experiment",
    "FailoverExperiment",
    "Measurement",
    "Report",
    "SharesExperiment",
    "register",
]
