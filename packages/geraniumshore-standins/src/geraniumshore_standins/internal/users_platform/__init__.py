"""A local simulation of the users' platform: its store, minions and machines."""

from geraniumshore_standins.internal.users_platform.gang_board import GangBoard
from geraniumshore_standins.internal.users_platform.log_model import LogModel, Reply
from geraniumshore_standins.internal.users_platform.minion_model import (
    MinionModel,
    TaskPlan,
)
from geraniumshore_standins.internal.users_platform.nodes import (
    JobReply,
    NodeProcess,
    PlatformFleet,
    configuration_document,
)
from geraniumshore_standins.internal.users_platform.platform_simulator import (
    PlatformSimulator,
)

__all__ = [
    "GangBoard",
    "JobReply",
    "LogModel",
    "MinionModel",
    "NodeProcess",
    "PlatformFleet",
    "PlatformSimulator",
    "Reply",
    "TaskPlan",
    "configuration_document",
]
