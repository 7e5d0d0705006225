"""A node's list of minions, whose age the test sets."""

from __future__ import annotations

__all__ = ["MinionsList"]


class MinionsList:
    """Records whether the node follows the list."""

    def __init__(self, list_age: float = 0.0) -> None:
        self.list_age = list_age
        self.followed = False

    def age(self, now: float) -> float:
        """Return the age that the test has set."""
        return self.list_age

    def follow(self) -> None:
        self.followed = True

    def unfollow(self) -> None:
        self.followed = False
