"""``geraniumshore schedule explain``: where a job would be placed now, and why."""

from __future__ import annotations

import os
import sys
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from geraniumshore_cli.internal.output import AsJson, ExitCode, show, show_table
from geraniumshore_scheduler import (
    Amounts,
    CandidateMinion,
    Explanation,
    Finding,
    InvalidInputError,
    PlatformUnavailableError,
    StepExplanation,
    UnknownOutcomeError,
    WaitCause,
)
from geraniumshored.node.answers import Caller, Verdict
from geraniumshored.node.explanations import ExplanationReply, PlacementReport
from geraniumshored.platform import (
    HttpPlatform,
    load_platform_settings,
    settings_path,
)
from geraniumshored.platform.explanations import REPORTS

__all__ = ["explain_placement"]

KEY_VARIABLE = "GERANIUMSHORE_KEY"
# A node waits 2 s for the owner.
TIMEOUT_S = 3.0
# With --json all are printed.
MAX_IDS_SHOWN = 8
CANDIDATE_COLUMNS = (
    "minion",
    "rack",
    "data centre",
    "free cpu",
    "free memory",
    "free accelerators",
    "tasks",
    "reason",
)


def explain_placement(
    job: Path,
    *,
    queue: str,
    key_file: Path | None = None,
    settings: Annotated[Path | None, Parameter(help="A node's settings file.")] = None,
    as_json: AsJson = False,
) -> int:
    """Show where a job would be placed now, and why, without submitting it.

    JOB is the file of the job's document. --queue is the host and path that jobs are
    submitted to, such as queues.example/jobs/. The team's key is read from --key-file,
    or else from GERANIUMSHORE_KEY. Any node may be asked.
    """
    loaded = load_platform_settings(settings or settings_path())
    if not loaded.peers:
        raise InvalidInputError([Finding("peers", "is missing in the settings")])
    host, slash, path = queue.partition("/")
    if not host or not slash:
        raise InvalidInputError([Finding("--queue", "is not HOST/PATH")])
    body, key = _read_bytes(job), _read_key(key_file)
    # Paths are passed on as the platform's nodes see them, one character per byte.
    wire_path = (slash + path).encode().decode("latin-1")
    caller = Caller(host, wire_path, key, TIMEOUT_S)
    try:
        peers = HttpPlatform(loaded).explanations
        reply = peers.explain(loaded.peers, caller, body, relayed=False)
    except (PlatformUnavailableError, UnknownOutcomeError) as error:
        print(f"the node gave no answer: {error}", file=sys.stderr)
        return ExitCode.UNKNOWN
    return _show(reply, as_json)


def _read_bytes(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        problem = f"cannot be read: {error.strerror}"
        raise InvalidInputError([Finding(path.name, problem)]) from error


def _read_key(path: Path | None) -> str | None:
    """Return the key; None for a queue that is open to all."""
    if path is None:
        return os.environ.get(KEY_VARIABLE) or None
    key = _read_bytes(path).decode(errors="replace").strip()
    if not (key.isascii() and key.isprintable()):
        raise InvalidInputError([Finding(path.name, "has no key in one line")])
    return key


def _show(reply: ExplanationReply, as_json: bool) -> int:
    if reply.report is None:
        detail = f": {reply.detail}" if reply.detail else ""
        print(f"{reply.verdict.value}{detail}", file=sys.stderr)
        if reply.retry_after_s is not None:
            print(f"retry after {reply.retry_after_s} s", file=sys.stderr)
        malformed = reply.verdict is Verdict.MALFORMED
        return ExitCode.BAD_INPUT if malformed else ExitCode.REFUSED
    if as_json:
        show(REPORTS.dump_python(reply.report, mode="json"))
        return ExitCode.DONE
    for line in _summarize(reply.report):
        print(line)
    for step in reply.report.explanation.steps:
        print(f"step {step.number}: {_summarize_step(step)}")
        if step.candidates:
            show_table(CANDIDATE_COLUMNS, map(_row, step.candidates))
    for line in _summarize_rest(reply.report.explanation):
        print(line)
    return ExitCode.DONE


def _summarize(report: PlacementReport) -> Iterator[str]:
    explanation = report.explanation
    yield (
        f"owner {report.owner}, epoch {report.epoch}; age of its data: "
        f"jobs {report.jobs_age_s} s, minions {report.minions_age_s} s, "
        f"operators' requests {report.operators_age_s} s"
    )
    yield (
        f"queue {explanation.queue}, pool {explanation.pool}, "
        f"waiting jobs ranked before it: {explanation.jobs_before}"
    )
    team = explanation.team
    if team is None:
        yield "no team"
        return
    share = "beyond" if team.beyond_share else "within"
    yield (
        f"team {team.name}: {share} its share of {team.weight:g} jobs/s; "
        f"uses {_amounts(team.use)}; cap {_amounts(team.cap, none='none')}"
    )


def _amounts(amounts: Amounts, none: str = "0") -> str:
    """Return amounts in words; ``none`` stands for a resource without any."""
    return ", ".join(
        f"{name} {amount or none}"
        for name, amount in (
            ("cpu", amounts.cpu_milli),
            ("memory", amounts.memory_mb),
            ("accelerators", amounts.accelerators),
        )
    )


def _summarize_step(step: StepExplanation) -> str:
    if step.waits_for is WaitCause.EARLIER_STEP:
        steps = ", ".join(map(str, step.after_steps))
        return f"waits for earlier steps ({steps}); {step.tasks} tasks"
    text = f"{step.starting} of {step.tried} tasks would start now"
    if step.tried < step.tasks:
        text += f" (of {step.tasks}, {step.tried} were tried)"
    if step.chosen:
        text += f", the first on {step.chosen}"
    if step.waits_for is not None:
        text += f"; the others wait for: {step.waits_for.value}"
    return text


def _row(minion: CandidateMinion) -> tuple[object, ...]:
    free = minion.free
    return (
        minion.minion_id,
        minion.rack,
        minion.data_centre,
        free.cpu_milli,
        free.memory_mb,
        free.accelerators,
        minion.starts,
        minion.reason,
    )


def _summarize_rest(explanation: Explanation) -> Iterator[str]:
    """Yield lines on what is not described minion by minion."""
    if explanation.steps_omitted:
        yield f"{explanation.steps_omitted} more steps could start"
    counts = Counter(minion.reason for minion in explanation.unavailable)
    for reason, count in sorted(counts.items()):
        ids = [m.minion_id for m in explanation.unavailable if m.reason == reason]
        shown = ", ".join(ids[:MAX_IDS_SHOWN])
        more = ", ..." if count > MAX_IDS_SHOWN else ""
        yield f"unavailable, {reason}: {count} ({shown}{more})"
