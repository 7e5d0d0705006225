"""The command line of operators and callers; ``geraniumshore --help`` shows it."""

from geraniumshore_cli.internal.client import Client, ClientSettings

__all__ = ["Client", "ClientSettings"]
