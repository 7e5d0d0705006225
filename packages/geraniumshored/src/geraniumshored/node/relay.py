"""Relays callers' requests to a node that can answer them.

A node may be unable to answer by itself: the store turns it away, it has not read the
log yet, or the store is so slow that jobs have to share appends. The balancer notices
within seconds at best, and sends callers to such nodes anyway while most of a data
centre's nodes are affected. Another node may answer at once.
"""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import replace

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.node.answers import Answer, Verdict
from geraniumshored.node.logs import log_event
from geraniumshored.node.members import address_of
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.ports import Peers, RelayedCall

__all__ = ["MIN_RELAY_S", "CallRelay", "KnownMembers"]

logger = logging.getLogger(__name__)

# A node that gave no answer is passed over for this time. It has been killed or is cut
# off, and each try would cost a caller its time budget.
PEER_RETRY_S = 2.0
# The most nodes that one call is relayed to, one after the other.
MAX_PEERS_PER_CALL = 2
# An answer takes as long as an append; a slow store needs most of a second.
RELAY_TIMEOUT_S = 1.2
# The owner of the schedule gets more time: while the queue of a slow store is full, its
# append waits there for 2 s, and appends of other nodes would only fill it again.
OWNER_TIMEOUT_S = 2.4
# With less time than this left a call is not relayed: the other node would refuse it.
MIN_RELAY_S = 0.3


class KnownMembers(ABC):
    """The nodes that may answer for others, as far as this node knows."""

    @abstractmethod
    def owner(self) -> str | None:
        """Return the member that owns the schedule, by the log."""

    @abstractmethod
    def others(self) -> frozenset[str]:
        """Return the members of the group, as last read."""


class CallRelay:
    """Relays calls to the owner of the schedule, or to other members of its group."""

    def __init__(
        self,
        peers: Peers,
        member: str,
        known: KnownMembers,
        metrics: NodeMetrics,
        now: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._member = member
        self._own_address = address_of(member)
        self._known = known
        self._metrics = metrics
        self._now = now
        self._lock = threading.Lock()
        self._failed_at_by_address: dict[str, float] = {}
        self._calls = 0

    def has_owner_elsewhere(self) -> bool:
        """Return whether another node owns the schedule and can be reached."""
        owner = self._known.owner()
        return owner is not None and owner != self._member and self._is_usable(owner)

    def relay(self, call: RelayedCall, owner_only: bool = False) -> Answer:
        """Return another node's answer.

        Calls are idempotent, so one without an answer is sent to the next node. Raises
        PlatformUnavailableError if no node was sent the call, and UnknownOutcomeError
        if one was and may have carried it out.
        """
        if not _fits_headers(call):
            raise PlatformUnavailableError("the call cannot be relayed")
        deadline = self._now() + call.caller.timeout_s
        timeout_s = OWNER_TIMEOUT_S if owner_only else RELAY_TIMEOUT_S
        unanswered: UnknownOutcomeError | None = None
        for member in self._candidates(owner_only):
            address = address_of(member)
            left_s = deadline - self._now()
            if left_s < MIN_RELAY_S:
                break
            caller = replace(call.caller, timeout_s=min(left_s, timeout_s))
            try:
                answer = self._peers.relay(address, replace(call, caller=caller))
            except PlatformUnavailableError as error:
                self._on_failure(address, "not sent", error)
                continue
            except UnknownOutcomeError as error:
                # In less time a node that works may give no answer either.
                if caller.timeout_s >= timeout_s:
                    self._on_failure(address, "unanswered", error)
                else:
                    self._metrics.count("relays_failed", "unanswered")
                unanswered = error
                continue
            self._metrics.count("relayed", call.method, answer.verdict.value)
            log_event(
                logger,
                "call relayed",
                call=call.method,
                path=call.caller.path,
                peer=address,
                verdict=answer.verdict.value,
            )
            if unanswered is not None and _denies(call, answer):
                # The node that did not answer may have carried the call out.
                break
            return answer
        raise unanswered or PlatformUnavailableError("no other node can be reached")

    def _candidates(self, owner_only: bool) -> Iterator[str]:
        owner = self._known.owner()
        members = [] if owner is None or owner == self._member else [owner]
        if not owner_only:
            others = sorted(self._known.others() - {self._member, owner or ""})
            with self._lock:
                self._calls += 1
                first = self._calls % max(1, len(others))
            # Successive calls begin with different nodes, so that none gets all.
            members.extend(others[first:] + others[:first])
        usable = (member for member in members if self._is_usable(member))
        for _, member in zip(range(MAX_PEERS_PER_CALL), usable, strict=False):
            yield member

    def _is_usable(self, member: str) -> bool:
        address = address_of(member)
        if address in ("", self._own_address):
            # A former process of this host had the same address.
            return False
        failed_at = self._failed_at_by_address.get(address, float("-inf"))
        return self._now() >= failed_at + PEER_RETRY_S

    def _on_failure(self, address: str, how: str, error: Exception) -> None:
        self._metrics.count("relays_failed", how)
        with self._lock:
            now = self._now()
            self._failed_at_by_address = {
                known: failed_at
                for known, failed_at in self._failed_at_by_address.items()
                if now < failed_at + PEER_RETRY_S
            }
            self._failed_at_by_address[address] = now
        log_event(logger, "peer passed over", peer=address, cause=str(error))


def _denies(call: RelayedCall, answer: Answer) -> bool:
    """Return whether the answer says that the call had and will have no effect.

    Another node may have accepted a job with an older configuration.
    """
    if call.method == "POST":
        return answer.verdict is not Verdict.OK
    return answer.verdict is Verdict.NOT_RUN


def _fits_headers(call: RelayedCall) -> bool:
    """Return whether the caller's host and key can be sent in headers as they are.

    A caller may send any bytes, and no node is at fault for them.
    """
    values = call.caller.host + (call.caller.key or "")
    return values.isascii() and values.isprintable()
