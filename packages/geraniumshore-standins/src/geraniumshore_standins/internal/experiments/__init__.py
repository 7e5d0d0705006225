"""Experiments: real processes, each policy beside its baseline."""
