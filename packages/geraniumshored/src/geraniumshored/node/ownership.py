"""Who owns the schedule: the group tells who lives, the job log who is the owner."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from geraniumshore_scheduler import (
    OWNER_LEFT_KEY,
    OwnerRecord,
    PlatformUnavailableError,
    UnknownOutcomeError,
    encode_owner,
)
from geraniumshored.node.logs import log_event
from geraniumshored.node.members import host_of, is_strong
from geraniumshored.node.owner import Owner
from geraniumshored.node.ports import Membership, Record, Store, Stream
from geraniumshored.node.views import JobsView

__all__ = ["Ownership"]

logger = logging.getLogger(__name__)

# Four joins fit into the shortest time to live that the store allows.
JOIN_PAUSE_S = 0.25
# So many members can stand in for each other; more would only cost joins.
MOST_MEMBERS = 9
# A node that is no member looks for a free place so often.
OUTSIDE_PAUSE_S = 1.0
# Weak hosts leave the places to strong ones at first, and for as long as so many
# strong ones are members: one that owns, and one that stands in.
WEAK_HOST_S = 3.0
ENOUGH_STRONG = 2
# After an outage of the store the owner gets this time to join again.
REGAINED_S = 0.6


# A node that has just started leaves the owner's host this time to start too.
OWNER_BACK_S = 1.2
# An owner that is no member counts as gone once the log has had no record of it for
# this time: as long as the group keeps a silent member.
OWNER_SILENT_S = 1.0
# Each place in a generation has an epoch of its own; the store has 32 places.
CLAIMS_PER_GENERATION = 128


class Ownership:
    """Stays in the group, and takes the schedule over when its owner has left it.

    The group deals out more than the schedule, and deals anew with each change, so the
    owner stays the owner for as long as it is a member at all. Whether it is the owner
    is for the log to say: a claim is an epoch that is opened there.
    """

    def __init__(
        self,
        store: Store,
        member: str,
        jobs: JobsView,
        make_owner: Callable[[int], Owner],
        ready: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._member = member
        self._host = host_of(member)
        self._weak = not is_strong(member)
        self._jobs = jobs
        self._make_owner = make_owner
        self._ready = ready
        self._now = now
        self._started_at = now()
        self._generation = 0
        self._claimed_generation = 0
        self._lost_owner_at = float("-inf")
        self._owner: Owner | None = None
        self._lost = False
        self._aside_checked_at = now()
        self._regained_at = float("-inf")
        self._leaving = threading.Event()
        self._thread = threading.Thread(target=self._run, name="join", daemon=True)

    def start(self) -> None:
        """Begin to join."""
        self._thread.start()

    def leave(self) -> None:
        """Stop owning, then leave the group so that another node takes over at once."""
        self._leaving.set()
        self._give_up("leaving")
        try:
            self._store.leave(self._member)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "leave unanswered", cause=str(error))

    def _run(self) -> None:
        pause = JOIN_PAUSE_S
        while not self._leaving.wait(pause):
            if not self._ready():
                continue
            try:
                pause = self._step()
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                pause = JOIN_PAUSE_S
                if not self._lost:
                    self._lost = True
                    log_event(logger, "group lost", cause=str(error))
            except Exception:
                pause = JOIN_PAUSE_S
                logger.exception("fault while staying in the group")

    def _step(self) -> float:
        """Join or look for a place; return how long to wait before the next step."""
        if self._generation == 0 and not self._may_join():
            return OUTSIDE_PAUSE_S
        membership = self._store.join(self._member, self._generation)
        if self._lost:
            self._lost = False
            self._regained_at = self._now()
            log_event(logger, "group regained", generation=membership.generation)
        self._generation = membership.generation
        if self._steps_aside():
            return OUTSIDE_PAUSE_S
        if not self._leaving.is_set():
            self._follow(membership)
        return JOIN_PAUSE_S

    def _may_join(self) -> bool:
        fresh = self._now() < self._started_at + WEAK_HOST_S
        if self._weak and fresh and not self._had_weak_owner():
            return False
        members = self._store.members()
        if self._weak:
            return not self._enough_strong(members) and len(members) < MOST_MEMBERS
        # Weak members leave for strong ones, so they take no place from them.
        return sum(map(is_strong, members)) < MOST_MEMBERS

    def _had_weak_owner(self) -> bool:
        """Tell whether the schedule was left to a weak host: strong ones are rare."""
        owner = self._jobs.book.owner
        return owner is not None and not is_strong(owner.member)

    def _steps_aside(self) -> bool:
        """Leave the group if this host is weak and strong ones have come back.

        A weak host that came in while the store turned strong ones away would else own
        the schedule from the next takeover on, and place bursts too slowly.
        """
        now = self._now()
        if not self._weak or now < self._aside_checked_at + OUTSIDE_PAUSE_S:
            return False
        self._aside_checked_at = now
        if not self._enough_strong(self._store.members()):
            return False
        log_event(logger, "left to stronger hosts", generation=self._generation)
        self._give_up("stronger hosts are back")
        self._go_outside()
        return True

    def _give_up(self, why: str) -> None:
        """Stop owning, and let the log say so: nobody needs to wait for this one."""
        owner = self._owner
        if owner is None or owner.stopped:
            return
        owner.stop(why)
        left = OwnerRecord(self._member, owner.authority.epoch)
        record = Record(OWNER_LEFT_KEY, encode_owner(left))
        try:
            self._store.append(Stream.PROGRESS, [record])
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "end of ownership not recorded", cause=str(error))

    def _go_outside(self) -> None:
        self._store.leave(self._member)
        self._generation = 0

    @staticmethod
    def _enough_strong(members: frozenset[str]) -> bool:
        return sum(map(is_strong, members)) >= ENOUGH_STRONG

    def _follow(self, membership: Membership) -> None:
        if self._owner is not None and self._owner.stopped:
            self._owner = None
            self._lost_owner_at = self._now()
        if self._owner is None:
            self._claim(membership)

    def _claim(self, membership: Membership) -> None:
        """Take the schedule over if its owner is gone.

        The owner's own host goes first when its process has been started again: it
        need not wait for its former orders to machines. Any other claim is that of the
        group's first member. Both may happen in one generation, by nodes that have read
        the log to different offsets, so the epoch comes from the member's own place.
        """
        owner = self._jobs.book.owner
        back = owner is not None and host_of(owner.member) == self._host
        if not (back or membership.first) or not self._schedule_is_free(back):
            return
        place = membership.place
        if place is None or place >= CLAIMS_PER_GENERATION:
            return
        if membership.generation == self._claimed_generation:
            # Its epoch is used up; coming back makes a new generation.
            self._go_outside()
            return
        self._claimed_generation = membership.generation
        self._owner = self._make_owner(
            CLAIMS_PER_GENERATION * membership.generation + place
        )
        self._owner.start()

    def _schedule_is_free(self, back: bool) -> bool:
        now = self._now()
        owner = self._jobs.book.owner
        if now < self._regained_at + REGAINED_S:
            return False
        if now - self._jobs.age(now) < self._lost_owner_at:
            # Who took over stands in the log, but this node has not read so far.
            return False
        if owner is None or owner.member == self._member:
            return True
        if not back and now < self._started_at + OWNER_BACK_S:
            return False
        if owner.member in self._store.members():
            return False
        if back or self._jobs.book.left_epoch >= owner.epoch:
            return True
        # An owner short of processor time may join late, and goes on all the same.
        self._jobs.hurry()
        return now >= self._jobs.owner_seen_at + OWNER_SILENT_S
