"""Names of processes in the group of nodes."""

from __future__ import annotations

__all__ = ["host_of", "member_name"]


def member_name(host: str, process: str) -> str:
    """Return the name of one process of a host in the group."""
    return f"{host}/{process}"


def host_of(member: str) -> str:
    """Return the host of a member."""
    return member.rpartition("/")[0]
