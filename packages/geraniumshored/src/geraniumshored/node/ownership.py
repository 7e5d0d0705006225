"""Membership of the group of nodes, which deals out the ownership of the schedule."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from geraniumshore_scheduler import (
    Authority,
    PlatformUnavailableError,
    UnknownOutcomeError,
)
from geraniumshored.node.logs import log_event
from geraniumshored.node.owner import Owner
from geraniumshored.node.ports import Membership, Store

__all__ = ["Ownership"]

logger = logging.getLogger(__name__)

# Four joins fit into the shortest time to live that the store allows.
JOIN_PAUSE_S = 0.25


class Ownership:
    """Joins the group over and over, and starts and stops the owner accordingly."""

    def __init__(
        self,
        store: Store,
        member: str,
        make_owner: Callable[[Authority], Owner],
        ready: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._member = member
        self._make_owner = make_owner
        self._ready = ready
        self._now = now
        self._generation = 0
        self._owner: Owner | None = None
        self._held = False
        self._lost = False
        self._leaving = threading.Event()
        self._thread = threading.Thread(target=self._run, name="join", daemon=True)

    def start(self) -> None:
        """Begin to join."""
        self._thread.start()

    def leave(self) -> None:
        """Stop owning, then leave the group so that another node takes over at once."""
        self._leaving.set()
        if self._owner is not None:
            self._owner.stop("leaving")
        try:
            self._store.leave(self._member)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "leave unanswered", cause=str(error))

    def _run(self) -> None:
        while not self._leaving.wait(JOIN_PAUSE_S):
            if not self._ready():
                continue
            sent_at = self._now()
            try:
                membership = self._store.join(self._member, self._generation)
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                if not self._lost:
                    self._lost = True
                    log_event(logger, "group lost", cause=str(error))
                continue
            if self._lost:
                self._lost = False
                log_event(logger, "group regained", generation=membership.generation)
            if not self._leaving.is_set():
                self._follow(membership, sent_at)

    def _follow(self, membership: Membership, sent_at: float) -> None:
        owner = self._owner
        if owner is not None and owner.stopped:
            owner = self._owner = None
        if not membership.owns_schedule:
            if owner is not None:
                owner.stop("the group gave the schedule to another node")
                self._owner = None
        elif owner is None:
            authority = Authority(membership.generation, self._now(), sent_at)
            self._owner = self._make_owner(authority)
            self._owner.start()
        else:
            owner.confirm(sent_at)
        # The next join tells the store that a withdrawn partition is given up.
        self._generation = membership.generation
