"""Platform and minion stand-ins and a process harness, for tests and the demo."""

from geraniumshore_standins.internal.fleet import Fleet
from geraniumshore_standins.internal.hop import Hop
from geraniumshore_standins.internal.operator_client import OperatorClient
from geraniumshore_standins.internal.platform import PlatformState, platform_application

__all__ = [
    "Fleet",
    "Hop",
    "OperatorClient",
    "PlatformState",
    "platform_application",
]
