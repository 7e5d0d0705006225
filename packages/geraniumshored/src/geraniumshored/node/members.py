"""Names of processes in the group of nodes."""

from __future__ import annotations

__all__ = ["host_of", "is_strong", "member_name"]

# Owning the schedule of some hundred minions keeps half a core busy in bursts.
OWNER_PROCESSORS = 1.0


def member_name(host: str, process: str, processors: float) -> str:
    """Return the name of one process of a host in the group.

    It tells the others whether the host has the processor time to own the schedule.
    """
    strength = "strong" if processors >= OWNER_PROCESSORS else "weak"
    return f"{host}/{strength}-{process}"


def host_of(member: str) -> str:
    """Return the host of a member."""
    return member.rpartition("/")[0]


def is_strong(member: str) -> bool:
    """Tell whether a member's host can own the schedule with ease."""
    return member.rpartition("/")[2].startswith("strong-")
