"""Implementation of the daemon."""
