"""Stand-ins for tests and the demo: a platform, minions, and a process harness."""

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
