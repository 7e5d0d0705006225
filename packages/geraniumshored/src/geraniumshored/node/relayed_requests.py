"""Answers callers from this node, or from another one that can answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.node.answers import Answer, Caller, RequestHandler, Verdict
from geraniumshored.node.append_latency import SLOW_APPEND_S, AppendLatency
from geraniumshored.node.ports import RelayedCall
from geraniumshored.node.relay import MIN_RELAY_S, CallRelay

__all__ = ["RelayingRequestHandler"]


class RelayingRequestHandler(RequestHandler):
    """Relays calls that this node would refuse, and jobs while the store is slow.

    A refusal of this node has had no effect, so another node may carry the call out. On
    a slow store jobs go to the owner of the schedule first, which appends the jobs of
    all nodes together. Every way of recording a job is idempotent, so a job that the
    owner did not confirm is recorded by this node. Relayed calls are not relayed again.
    """

    def __init__(
        self,
        own: RequestHandler,
        relay: CallRelay,
        latency: AppendLatency,
        now: Callable[[], float],
    ) -> None:
        self._own = own
        self._relay = relay
        self._latency = latency
        self._now = now

    def submit(self, caller: Caller, body: bytes) -> Answer:
        """Accept a job here or at another node."""
        if caller.relayed:
            return self._own.submit(caller, body)
        deadline = self._now() + caller.timeout_s
        call = RelayedCall("POST", caller, body)
        uncertain = False
        if self._latency.slow and self._relay.has_owner_elsewhere():
            began = self._now()
            try:
                answer = self._relay.relay(call, owner_only=True)
            except UnknownOutcomeError:
                uncertain = True
            except PlatformUnavailableError:
                pass
            else:
                took_s = self._now() - began
                uncertain = answer.verdict is Verdict.UNCERTAIN
                waited = took_s >= SLOW_APPEND_S
                if not uncertain and (answer.verdict is not Verdict.NOT_RUN or waited):
                    # The owner has waited for the busy store. An append of this node
                    # would only add to its queue.
                    self._latency.observe(took_s)
                    return answer
        answer = self._own.submit(self._with_time_left(caller, deadline), body)
        if answer.verdict is Verdict.NOT_RUN:
            answer = self._relay_refused(call, answer, deadline)
        if uncertain and answer.verdict is not Verdict.OK:
            # The owner may have accepted the job, with an older configuration, too.
            return Answer(Verdict.UNCERTAIN, detail="another node did not answer")
        return answer

    def show(self, caller: Caller) -> Answer:
        """Return a job's state, or the number of a queue's pending jobs."""
        deadline = self._now() + caller.timeout_s
        answer = self._own.show(caller)
        if answer.verdict is not Verdict.NOT_RUN or caller.relayed:
            return answer
        relayed = self._relay_refused(RelayedCall("GET", caller), answer, deadline)
        # Showing a job has no effect that could be uncertain.
        return answer if relayed.verdict is Verdict.UNCERTAIN else relayed

    def cancel(self, caller: Caller) -> Answer:
        """Cancel a job here or at another node."""
        deadline = self._now() + caller.timeout_s
        answer = self._own.cancel(caller)
        if answer.verdict is not Verdict.NOT_RUN or caller.relayed:
            return answer
        return self._relay_refused(RelayedCall("DELETE", caller), answer, deadline)

    def _relay_refused(
        self, call: RelayedCall, refusal: Answer, deadline: float
    ) -> Answer:
        """Return another node's answer to a call that this node has refused."""
        caller = self._with_time_left(call.caller, deadline)
        if caller.timeout_s < MIN_RELAY_S:
            return refusal
        try:
            return self._relay.relay(replace(call, caller=caller))
        except PlatformUnavailableError:
            return refusal
        except UnknownOutcomeError:
            return Answer(Verdict.UNCERTAIN, detail="another node did not answer")

    def _with_time_left(self, caller: Caller, deadline: float) -> Caller:
        """Return the caller with the time that is left."""
        return replace(caller, timeout_s=max(0.0, deadline - self._now()))
