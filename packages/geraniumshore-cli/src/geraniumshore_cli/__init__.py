"""Command-line client for operators and callers; see ``geraniumshore --help``."""

from geraniumshore_cli.internal.client import Client, ClientSettings

__all__ = ["Client", "ClientSettings"]
