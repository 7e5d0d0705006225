"""Member names of processes in the group of nodes."""

from __future__ import annotations

__all__ = ["host_of", "is_strong", "member_name"]

# Cores for owning the schedule: some hundred minions use half a core in bursts.
OWNER_PROCESSORS = 1.0


def member_name(host: str, process: str, processors: float) -> str:
    """Return the member name of one process of a host.

    The name shows whether the host has enough processor time to own the schedule.
    """
    strength = "strong" if processors >= OWNER_PROCESSORS else "weak"
    return f"{host}/{strength}-{process}"


def host_of(member: str) -> str:
    """Return the host part of a member name."""
    return member.rpartition("/")[0]


def is_strong(member: str) -> bool:
    """Return whether a member's host has enough cores to own the schedule."""
    return member.rpartition("/")[2].startswith("strong-")
