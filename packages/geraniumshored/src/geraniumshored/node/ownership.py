"""Leader election: which node owns the schedule.

The store's group membership shows which nodes are alive. The job log records which of
them is the owner, and in which epoch.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from geraniumshore_scheduler import (
    OWNER_RESIGNED_KEY,
    OwnerRecord,
    PlatformUnavailableError,
    UnknownOutcomeError,
    encode_owner,
)
from geraniumshored.node.logs import log_event
from geraniumshored.node.members import host_of, is_strong
from geraniumshored.node.owner import Owner
from geraniumshored.node.ports import Membership, Record, Store, Stream
from geraniumshored.node.relay import KnownMembers
from geraniumshored.node.views import JobsView, MinionsView
from geraniumshored.node.workers import WorkerThreads

__all__ = ["Ownership"]

logger = logging.getLogger(__name__)

# Four joins fit into the shortest membership time-to-live that the store allows.
JOIN_INTERVAL_S = 0.25
# Enough members to replace each other; more would only add join calls.
MAX_MEMBERS = 9
# How often a node outside the group checks whether it may join.
NON_MEMBER_INTERVAL_S = 1.0
# How often a member reads who else is one. Once it is cut off from the store, it needs
# to know which nodes may answer its callers.
MEMBERS_READ_INTERVAL_S = 2.0
# Weak hosts join only this long after their start, so that strong hosts join first, and
# stay out while the group has enough strong members: an owner and a standby.
WEAK_HOST_JOIN_DELAY_S = 3.0
MIN_STRONG_MEMBERS = 2
# After a store outage nobody claims for this time, so that the owner can rejoin.
OWNER_REJOIN_S = 0.6
# A node that has just started leaves the owner's host this time to restart.
OWNER_RESTART_S = 1.2
# An owner outside the group counts as gone when the log has had no record of it for
# this time, which is as long as the group keeps an unresponsive member.
OWNER_TIMEOUT_S = 1.0
# A member claims only with a list of minions that is younger than this. It reads the
# list from when it joins, so this delays only the first claim after a join.
MAX_MINIONS_AGE_S = 2.0
# Each partition has its own epoch in a generation. The store has 32 partitions.
EPOCHS_PER_GENERATION = 128


class Ownership(KnownMembers):
    """Keeps this node in the group and claims the schedule when its owner is gone.

    The store reassigns partitions whenever the group changes, so ownership does not
    follow a partition: the owner keeps the schedule for as long as it is a member. The
    log decides who the owner is; a claim opens a new epoch there.
    """

    def __init__(
        self,
        store: Store,
        member: str,
        jobs: JobsView,
        minions: MinionsView,
        make_owner: Callable[[int], Owner],
        ready: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self._store = store
        self._member = member
        self._host = host_of(member)
        self._weak = not is_strong(member)
        self._jobs = jobs
        self._minions = minions
        self._make_owner = make_owner
        self._ready = ready
        self._now = now
        self._started_at = now()
        self._generation = 0
        self._claimed_generation = 0
        self._ownership_lost_at = float("-inf")
        self._owner: Owner | None = None
        self._members_read: frozenset[str] = frozenset()
        self._members_read_at = float("-inf")
        # At most one read of the members is under way beside the joins.
        self._reading_members = threading.Lock()
        self._workers = WorkerThreads("members", 1)
        self._disconnected = False
        self._step_down_checked_at = now()
        self._reconnected_at = float("-inf")
        self._leaving = threading.Event()
        self._thread = threading.Thread(target=self._run, name="join", daemon=True)

    def start(self) -> None:
        """Start the thread that joins the group."""
        self._thread.start()

    def owner(self) -> str | None:
        """Return the member that owns the schedule, by the log."""
        owner = self._jobs.registry.owner
        return None if owner is None else owner.member

    @property
    def current(self) -> Owner | None:
        """This process's ownership, unless it has ended."""
        owner = self._owner
        return None if owner is None or owner.stopped else owner

    def others(self) -> frozenset[str]:
        """Return the members of the group, as last read."""
        return self._members_read

    def leave(self) -> None:
        """Resign, then leave the group, so that another node takes over at once."""
        self._leaving.set()
        self._resign("leaving")
        try:
            self._store.leave(self._member)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "leave unanswered", cause=str(error))

    def _run(self) -> None:
        pause = JOIN_INTERVAL_S
        while not self._leaving.wait(pause):
            if not self._ready():
                continue
            try:
                pause = self._step()
            except (PlatformUnavailableError, UnknownOutcomeError) as error:
                pause = JOIN_INTERVAL_S
                if not self._disconnected:
                    self._disconnected = True
                    log_event(logger, "group lost", cause=str(error))
            except Exception:
                pause = JOIN_INTERVAL_S
                logger.exception("fault while staying in the group")

    def _step(self) -> float:
        """Join the group if allowed; return the delay before the next step."""
        if self._generation == 0 and not self._may_join():
            self._minions.unfollow()
            return NON_MEMBER_INTERVAL_S
        self._minions.follow()
        membership = self._store.join(self._member, self._generation)
        if self._disconnected:
            self._disconnected = False
            self._reconnected_at = self._now()
            log_event(logger, "group regained", generation=membership.generation)
        self._generation = membership.generation
        if self._step_down():
            return NON_MEMBER_INTERVAL_S
        if not self._leaving.is_set():
            self._update_owner(membership)
        if self._now() >= self._members_read_at + MEMBERS_READ_INTERVAL_S:
            self._read_members_aside()
        return JOIN_INTERVAL_S

    def _may_join(self) -> bool:
        just_started = self._now() < self._started_at + WEAK_HOST_JOIN_DELAY_S
        if self._weak and just_started and not self._had_weak_owner():
            return False
        members = self._read_members()
        if self._weak:
            return not self._has_enough_strong(members) and len(members) < MAX_MEMBERS
        # Weak members step down for strong ones, so only strong members are counted.
        return sum(map(is_strong, members)) < MAX_MEMBERS

    def _had_weak_owner(self) -> bool:
        """Return whether the last owner was weak, a sign that strong hosts are rare."""
        owner = self._jobs.registry.owner
        return owner is not None and not is_strong(owner.member)

    def _step_down(self) -> bool:
        """Leave the group if this host is weak and enough strong members are back.

        A weak host may have joined while the store refused strong ones. If it stayed,
        it would own the schedule after the next takeover and place bursts too slowly.
        Returns whether it left.
        """
        now = self._now()
        if not self._weak or now < self._step_down_checked_at + NON_MEMBER_INTERVAL_S:
            return False
        self._step_down_checked_at = now
        if not self._has_enough_strong(self._read_members()):
            return False
        log_event(logger, "stepped down for strong hosts", generation=self._generation)
        self._resign("strong hosts are back")
        self._leave_group()
        return True

    def _read_members(self) -> frozenset[str]:
        self._members_read = self._store.members()
        self._members_read_at = self._now()
        return self._members_read

    def _read_members_aside(self) -> None:
        """Read the members without keeping the next join waiting for the answer.

        Waiting for a lost answer takes nearly as long as the group keeps a member that
        does not join again.
        """
        if self._reading_members.locked():
            return
        self._members_read_at = self._now()
        self._workers.run(self._read_members_once)

    def _read_members_once(self) -> None:
        if not self._reading_members.acquire(blocking=False):
            return
        try:
            self._read_members()
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "members not read", cause=str(error))
        finally:
            self._reading_members.release()

    def _resign(self, why: str) -> None:
        """Give up ownership and record this in the log, so that no successor waits."""
        owner = self._owner
        if owner is None or owner.stopped:
            return
        owner.stop(why)
        left = OwnerRecord(self._member, owner.authority.epoch)
        record = Record(OWNER_RESIGNED_KEY, encode_owner(left))
        try:
            self._store.append(Stream.PROGRESS, [record])
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            log_event(logger, "end of ownership not recorded", cause=str(error))

    def _leave_group(self) -> None:
        self._store.leave(self._member)
        self._generation = 0

    @staticmethod
    def _has_enough_strong(members: frozenset[str]) -> bool:
        return sum(map(is_strong, members)) >= MIN_STRONG_MEMBERS

    def _update_owner(self, membership: Membership) -> None:
        if self._owner is not None and self._owner.stopped:
            self._owner = None
            self._ownership_lost_at = self._now()
        if self._owner is None:
            self._claim(membership)

    def _claim(self, membership: Membership) -> None:
        """Claim the schedule if its owner is gone.

        A restarted process on the owner's host may claim at once: it need not wait
        until its host's earlier orders to machines have expired. Otherwise only the
        group's first member claims. Both may claim in the same generation if they have
        read the log up to different offsets, so the epoch includes the partition.
        """
        owner = self._jobs.registry.owner
        restarted = owner is not None and host_of(owner.member) == self._host
        if not (restarted or membership.first) or not self._schedule_is_free(restarted):
            return
        partition = membership.partition
        if partition is None or partition >= EPOCHS_PER_GENERATION:
            return
        if membership.generation == self._claimed_generation:
            # This generation's epoch is used; rejoining starts a new generation.
            self._leave_group()
            return
        self._claimed_generation = membership.generation
        claimant = self._make_owner(
            EPOCHS_PER_GENERATION * membership.generation + partition
        )
        claimant.start()
        # If no thread could be started, this node claims again in a later epoch.
        self._owner = claimant

    def _schedule_is_free(self, restarted: bool) -> bool:
        now = self._now()
        owner = self._jobs.registry.owner
        if now < self._reconnected_at + OWNER_REJOIN_S:
            return False
        if self._minions.age(now) >= MAX_MINIONS_AGE_S:
            return False
        if now - self._jobs.age(now) < self._ownership_lost_at:
            # The log may name a new owner in records that are not read yet.
            return False
        if owner is None or owner.member == self._member:
            return True
        resigned = self._jobs.registry.resigned_epoch >= owner.epoch
        just_started = now < self._started_at + OWNER_RESTART_S
        if just_started and not restarted and not resigned:
            return False
        if owner.member in self._read_members():
            return False
        if restarted or resigned:
            return True
        # An owner short of processor time may join late although it is still working.
        self._jobs.read_now()
        return now >= self._jobs.owner_seen_at + OWNER_TIMEOUT_S
