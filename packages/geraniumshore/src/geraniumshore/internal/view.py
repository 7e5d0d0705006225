"""The view: the list of members as agreed by the control log."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from geraniumshore.errors import Finding
from geraniumshore.internal.records import Evict, Join, Leave, MemberInfo

__all__ = [
    "View",
    "apply_evict",
    "apply_join",
    "apply_leave",
    "is_majority",
    "predecessor",
]


@dataclass(frozen=True, slots=True)
class View:
    """The current members. ``number`` counts the changes and identifies the view."""

    number: int = 0
    members: dict[str, MemberInfo] = field(default_factory=dict)


def is_majority(count: int, view: View) -> bool:
    """Return whether ``count`` members are more than half of ``view``."""
    return 2 * count > len(view.members)


def predecessor(view: View, info: MemberInfo) -> str | None:
    """Return the member whose host and peer address ``info`` now has, if any."""
    for name, member in view.members.items():
        if name != info.member and _same_address(member, info):
            return name
    return None


def apply_join(view: View, record: Join) -> tuple[View, tuple[Finding, ...]]:
    """Return the view with the member added, or findings if the record is void."""
    replaced = predecessor(view, record.info)
    endorsers = {*record.endorsed_by, *record.gone, record.replaces}
    findings = [
        *_check_number(view, record.view),
        *_check_majority(view, endorsers),
    ]
    if record.info.member in view.members:
        findings.append(Finding("info.member", "is already a member"))
    if record.replaces != replaced:
        findings.append(
            Finding(
                "replaces", f"got {record.replaces}, want {replaced} by its address"
            )
        )
    if findings:
        return view, tuple(findings)
    members = {name: m for name, m in view.members.items() if name != replaced}
    return _with_members(view, {**members, record.info.member: record.info}), ()


def apply_evict(view: View, record: Evict) -> tuple[View, tuple[Finding, ...]]:
    """Return the view without the member, or findings if the record is void."""
    endorsers = {*record.endorsed_by, *record.gone} - {record.member}
    findings = [*_check_number(view, record.view)]
    if record.forced_by is None:
        findings.extend(_check_majority(view, endorsers))
    if record.member not in view.members:
        findings.append(Finding("member", f"{record.member} is not a member"))
    if findings:
        return view, tuple(findings)
    return _without_member(view, record.member), ()


def apply_leave(view: View, record: Leave) -> tuple[View, tuple[Finding, ...]]:
    """Return the view without the member, or findings if it is not in the view."""
    if record.member not in view.members:
        return view, (Finding("member", f"{record.member} is not a member"),)
    return _without_member(view, record.member), ()


def _same_address(one: MemberInfo, other: MemberInfo) -> bool:
    return (one.host, one.peer_address) == (other.host, other.peer_address)


def _check_number(view: View, number: int) -> list[Finding]:
    if number == view.number:
        return []
    return [Finding("view", f"got view {number}, but view {view.number} is in force")]


def _check_majority(view: View, endorsers: Iterable[str | None]) -> list[Finding]:
    count = len(set(endorsers) & set(view.members))
    if not view.members or is_majority(count, view):
        return []
    return [
        Finding(
            "endorsed_by",
            f"got {count} of {len(view.members)} members, want more than half",
        )
    ]


def _with_members(view: View, members: dict[str, MemberInfo]) -> View:
    return replace(view, number=view.number + 1, members=members)


def _without_member(view: View, member: str) -> View:
    members = {name: info for name, info in view.members.items() if name != member}
    return _with_members(view, members)
