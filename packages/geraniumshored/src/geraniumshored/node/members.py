"""Member names of processes in the group of nodes."""

from __future__ import annotations

__all__ = ["address_of", "host_of", "is_strong", "member_name"]

# Cores for owning the schedule: some hundred minions use half a core in bursts.
OWNER_PROCESSORS = 1.0


def member_name(host: str, process: str, processors: float, address: str = "") -> str:
    """Return the member name of one process of a host.

    The name shows whether the host has enough processor time to own the schedule, and
    where other nodes reach the process, if they can.
    """
    strength = "strong" if processors >= OWNER_PROCESSORS else "weak"
    name = f"{host}/{strength}-{process}"
    return f"{name}@{address}" if address else name


def address_of(member: str) -> str:
    """Return where other nodes reach a member, an empty string if they cannot.

    Former releases have no address in their names.
    """
    return member.rpartition("/")[2].partition("@")[2]


def host_of(member: str) -> str:
    """Return the host part of a member name."""
    return member.rpartition("/")[0]


def is_strong(member: str) -> bool:
    """Return whether a member's host has enough cores to own the schedule."""
    return member.rpartition("/")[2].startswith("strong-")
