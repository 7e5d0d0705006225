"""Authority: a lease that lets a member act while it is known to be up to date.

A member may start work, grant units and accept callers' keys only while it has
authority. There are two sources. Both count from the time at which the member *sent*
its request, so a process that was paused resumes without authority.

- A read of the log's tail, sent less than ``AUTHORITY_SECONDS`` ago and folded.
- Attestations by a majority of the view, requested while the log does not answer. An
  attestation counts only once the member has folded as far as the attester had.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from geraniumshore.internal.timing import AUTHORITY_SECONDS
from geraniumshore.internal.view import View

__all__ = ["Authority"]


@dataclass(frozen=True, slots=True)
class _Attested:
    sent_at: float
    position: int


@dataclass(slots=True)
class Authority:
    """The authority of one member, in monotonic seconds of its own clock."""

    log_until: float = float("-inf")
    attested_at: dict[str, float] = field(default_factory=dict)
    _pending: dict[str, _Attested] = field(default_factory=dict)

    def confirm_tail(self, sent_at: float) -> None:
        """Renew authority by a tail read sent at ``sent_at``, now folded completely."""
        self.log_until = max(self.log_until, sent_at + AUTHORITY_SECONDS)

    def attest(self, member: str, sent_at: float, position: int, folded: int) -> None:
        """Process an attestation by a member that had folded up to ``position``."""
        if not self._caught_up(position, folded):
            self._pending[member] = _Attested(sent_at, position)
            return
        latest = self.attested_at.get(member, float("-inf"))
        self.attested_at[member] = max(latest, sent_at)

    def on_folded(self, folded: int) -> None:
        """Apply pending attestations whose position this member has reached."""
        for member, attested in list(self._pending.items()):
            if self._caught_up(attested.position, folded):
                del self._pending[member]
                self.attest(member, attested.sent_at, attested.position, folded)

    def until(self, view: View, own: str) -> float:
        """Return the time at which authority expires unless it is renewed."""
        if own not in view.members:
            return float("-inf")
        return max(self.log_until, self._attested_until(view, own))

    def holds(self, now: float, view: View, own: str) -> bool:
        """Return whether the member may act at ``now``."""
        return now < self.until(view, own)

    @staticmethod
    def _caught_up(position: int, folded: int) -> bool:
        return position <= folded

    def _attested_until(self, view: View, own: str) -> float:
        # The member itself counts towards the majority.
        needed = len(view.members) // 2
        if needed == 0:
            return float("inf")
        sent = sorted(
            (
                sent_at
                for member, sent_at in self.attested_at.items()
                if member in view.members and member != own
            ),
            reverse=True,
        )
        if len(sent) < needed:
            return float("-inf")
        return sent[needed - 1] + AUTHORITY_SECONDS
