"""Parser of scenario files."""

from __future__ import annotations

from pathlib import Path

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedInput
from lark.tree import Meta
from result import Err, Ok, Result

from geraniumshore import Finding
from geraniumshore_standins.internal.scenario import expectations, faults, steps
from geraniumshore_standins.internal.scenario.steps import Scenario, Statement, Step

__all__ = ["parse_scenario"]

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0}

STEP_BY_RULE: dict[str, type[Step]] = {
    "entries": steps.Entries,
    "minions": steps.Minions,
    "team": steps.NewTeam,
    "queue": steps.NewQueue,
    "begin": steps.Begin,
    "begin_behind_proxy": steps.BeginBehindProxy,
    "load": steps.StartLoad,
    "stop_load": steps.StopLoad,
    "call": steps.Call,
    "wait": steps.Wait,
    "add_entry": steps.AddEntry,
    "withdraw": steps.WithdrawKey,
    "limit": steps.Limit,
    "remove_minion": steps.WithdrawMinion,
    "kill": faults.Kill,
    "pause": faults.Pause,
    "resume": faults.Resume,
    "leave": faults.Leave,
    "restart": faults.Restart,
    "log_outage": faults.LogOutage,
    "log_slow": faults.LogSlow,
    "log_loses": faults.LogLoses,
    "log_heals": faults.LogHeals,
    "minion_mode": faults.MinionMode,
    "minion_heals": faults.MinionHeals,
    "hop_silent": faults.HopSilent,
    "hop_mute": faults.HopMute,
    "hop_cut": faults.HopCut,
    "hop_slow": faults.HopSlow,
    "hop_mended": faults.HopMended,
    "expect_cut": expectations.ExpectCut,
    "expect_only": expectations.ExpectOnly,
    "expect_good": expectations.ExpectGood,
    "expect_once": expectations.ExpectOnce,
    "expect_truth": expectations.ExpectTruth,
    "expect_limit": expectations.ExpectLimit,
    "expect_ready": expectations.ExpectReady,
    "expect_refuses": expectations.ExpectRefuses,
    "expect_served": expectations.ExpectServes,
    "expect_exit": expectations.ExpectExit,
    "expect_members": expectations.ExpectMembers,
    "expect_version": expectations.ExpectVersion,
    "expect_idle_minion": expectations.ExpectIdleMinion,
}


class _Statements(Transformer[Token, tuple[Statement, ...]]):
    """Transforms the parse tree into statements."""

    INT = int
    NUMBER = float
    NAME = IDEMPOTENT = URGENT = SILENT = CUT = CROSSED = FAILING = HOP = str

    def start(self, statements: list[Statement]) -> tuple[Statement, ...]:
        return tuple(statements)

    def duration(self, parts: list[object]) -> float:
        number, unit = parts
        assert isinstance(number, float)
        return number * SECONDS_BY_UNIT[str(unit)]

    def run_limit(self, parts: list[float]) -> steps.RunLimit:
        return steps.RunLimit(parts[0])

    def wait_limit(self, parts: list[float]) -> steps.WaitLimit:
        return steps.WaitLimit(parts[0])

    def statuses(self, parts: list[int]) -> tuple[int, ...]:
        return tuple(parts)

    @v_args(meta=True)
    def statement(self, meta: Meta, parts: list[Step]) -> Statement:
        return Statement(meta.line, parts[0])

    def __default__(self, rule: str, parts: list[object], meta: Meta) -> Step:
        return STEP_BY_RULE[str(rule)](*parts)


_GRAMMAR = (Path(__file__).parent / "scenario.lark").read_text()
_PARSER = Lark(_GRAMMAR, parser="lalr", propagate_positions=True)


def parse_scenario(
    text: str, name: str = "scenario"
) -> Result[Scenario, tuple[Finding, ...]]:
    """Parse a scenario, or return the position of the first syntax error."""
    try:
        tree = _PARSER.parse(text + "\n")
    except UnexpectedInput as error:
        context = error.get_context(text).splitlines()[0]
        place = f"{name}:{error.line}:{error.column}"
        return Err((Finding(place, f"syntax error: {context}"),))
    statements = _Statements().transform(tree)
    return Ok(Scenario(name, statements))
