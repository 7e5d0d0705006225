from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from geraniumshore import Answer, Claim, Claims, ControlState, KeptAnswer
from geraniumshore.internal.claims import (
    CLAIM_WINDOW_MS,
    MAX_ANSWER_BYTES,
    MAX_CLAIMS,
    MAX_KEPT_BYTES,
    claim_key,
    fold_answer,
    fold_claim,
)
from geraniumshore.internal.snapshot import decode_state, encode_state

KEYS = st.sampled_from(["a", "b", "c"])


def claim(number, key="a", digest="d"):
    return Claim(f"claim{number}", "m1", "acme", "billing", key, digest)


def answer(number, claimed, outcome="ran", size=4):
    kept = KeptAnswer(200, "text/plain", None, "x" * size)
    return Answer(
        f"answer{number}",
        claimed.id,
        "acme",
        "billing",
        claimed.key,
        outcome,
        kept if outcome == "ran" else None,
    )


class ClaimsMachine(RuleBasedStateMachine):
    """Within the window a key belongs to one request, unless that did not run."""

    def __init__(self):
        super().__init__()
        self.claims = Claims()
        self.now = 0
        self.number = 0
        self.accepted = {}
        self.recorded = {}

    @rule(key=KEYS, digest=st.sampled_from(["d1", "d2"]))
    def claim(self, key, digest):
        self.number += 1
        record = claim(self.number, key, digest)
        standing = self.accepted.get(key)
        findings = fold_claim(self.claims, record, self.now)
        expired = standing and self.now - standing[1] >= CLAIM_WINDOW_MS
        assert bool(findings) == bool(standing and not expired)
        if not findings:
            self.accepted[key] = (record, self.now)
            self.recorded.pop(key, None)

    @rule(key=KEYS, outcome=st.sampled_from(["ran", "unknown", "not-run"]))
    def settle(self, key, outcome):
        if key not in self.accepted:
            return
        self.number += 1
        record, at = self.accepted[key]
        findings = fold_answer(
            self.claims, answer(self.number, record, outcome), self.now
        )
        expired = self.now - at >= CLAIM_WINDOW_MS
        assert bool(findings) == (expired or key in self.recorded)
        if findings:
            return
        if outcome == "not-run":
            del self.accepted[key]
        else:
            self.recorded[key] = outcome

    @rule(milliseconds=st.integers(-1000, CLAIM_WINDOW_MS))
    def pass_time(self, milliseconds):
        self.now = max(self.now, self.now + milliseconds)

    @invariant()
    def the_first_outcome_stands(self):
        for key, outcome in self.recorded.items():
            kept = self.claims.find(claim_key("acme", "billing", key))
            if kept is not None and kept.id == self.accepted[key][0].id:
                assert kept.outcome == outcome


ClaimsMachine.TestCase.settings = settings(derandomize=True, max_examples=60)
TestClaims = ClaimsMachine.TestCase


def test_a_clock_that_goes_backwards_does_not_change_when_claims_expire():
    claims = Claims()
    assert not fold_claim(claims, claim(1), 1_000_000)
    assert fold_claim(claims, claim(2), 0)
    assert fold_claim(claims, claim(3), 1_000_000 + CLAIM_WINDOW_MS - 1)
    assert not fold_claim(claims, claim(4), 1_000_000 + CLAIM_WINDOW_MS)


def test_kept_answers_stay_within_their_bound_and_the_oldest_goes_first():
    claims = Claims()
    count = MAX_KEPT_BYTES // 60_000 + 5
    for number in range(count):
        made = claim(number, f"k{number}")
        fold_claim(claims, made, 0)
        assert not fold_answer(claims, answer(number, made, size=60_000), 0)
    kept = [c.answer is not None for c in claims.by_key.values()]
    assert claims.kept_bytes <= MAX_KEPT_BYTES
    assert not kept[0]
    assert kept[-1]
    assert {c.outcome for c in claims.by_key.values()} == {"ran"}


def test_an_oversized_answer_is_dropped_but_its_outcome_is_kept():
    claims = Claims()
    made = claim(1)
    fold_claim(claims, made, 0)
    fold_answer(claims, answer(1, made, size=MAX_ANSWER_BYTES + 1), 0)
    kept = claims.by_key[claim_key("acme", "billing", "a")]
    assert (kept.outcome, kept.answer) == ("ran", None)


def test_a_full_table_refuses_claims_instead_of_dropping_one():
    claims = Claims()
    for number in range(MAX_CLAIMS):
        assert not fold_claim(claims, claim(number, f"k{number}"), 0)
    assert fold_claim(claims, claim(-1, "one-more"), 0)
    assert claims.find(claim_key("acme", "billing", "k0")) is not None


def test_a_snapshot_carries_claims_and_their_answers():
    state = ControlState()
    made = claim(1)
    fold_claim(state.claims, made, 5)
    fold_answer(state.claims, answer(1, made), 6)
    assert decode_state(encode_state(state)).unwrap().claims == state.claims
