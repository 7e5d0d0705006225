"""Experiments, each a policy beside its baseline."""
