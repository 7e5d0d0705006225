"""Decisions of a fleet capacity and maintenance manager.

The names below are the whole public surface. Everything is deterministic: times, ids
and seeds are passed in.
"""

from geraniumshore.errors import (
    Finding,
    GeraniumshoreError,
    InvalidInputError,
    PlatformUnavailableError,
    UnknownOutcomeError,
)
from geraniumshore.internal.configuration import Configuration, apply_release
from geraniumshore.internal.entry import (
    Decision,
    Refusal,
    Refuse,
    SlotRequest,
    Start,
)
from geraniumshore.internal.fold import (
    ControlState,
    ReleaseSummary,
    Verdict,
    fold_entry,
)
from geraniumshore.internal.items import (
    Host,
    Key,
    Minion,
    Pool,
    Queue,
    Service,
    Team,
    Wave,
)
from geraniumshore.internal.job_records import (
    JobEnd,
    JobsCancelled,
    JobsEnded,
    JobSettled,
    JobsStarted,
    JobStart,
    JobSubmitted,
    Sizes,
    TaskResult,
)
from geraniumshore.internal.jobs import (
    MAX_JOB_BODY_BYTES,
    Job,
    JobPhase,
    JobTable,
    WaitingLane,
)
from geraniumshore.internal.keys import MadeKey, make_key, verify_key
from geraniumshore.internal.member import Effects, Member
from geraniumshore.internal.messages import (
    Message,
    coalescing_key,
    decode_message,
    encode_message,
)
from geraniumshore.internal.outcomes import NotRun, Outcome, Ran, Unknown
from geraniumshore.internal.placement import BestFit, FirstFit, Placement
from geraniumshore.internal.platform import (
    ControlLog,
    HostList,
    ListedHost,
    LogRead,
    RawEntry,
)
from geraniumshore.internal.platform_tasks import (
    TaskReport,
    TaskReports,
    TaskService,
    TaskStart,
    TaskState,
)
from geraniumshore.internal.pool_home import PoolHome, PoolTerms
from geraniumshore.internal.records import (
    Evict,
    Join,
    Leave,
    LogEntry,
    MemberInfo,
    Record,
    Release,
    decode_records,
    encode_records,
)
from geraniumshore.internal.release import (
    Items,
    ReleaseNote,
    Withdrawn,
    load_json,
    parse_release,
    validation_findings,
)
from geraniumshore.internal.shares import (
    Candidate,
    FirstComeFirstServed,
    SharePolicy,
    WeightedShares,
)
from geraniumshore.internal.task_watch import TaskWork
from geraniumshore.internal.tokens import TeamTerms

__all__ = [
    "BestFit",
    "Candidate",
    "Configuration",
    "ControlLog",
    "ControlState",
    "Decision",
    "Effects",
    "Evict",
    "Finding",
    "FirstComeFirstServed",
    "FirstFit",
    "GeraniumshoreError",
    "Host",
    "HostList",
    "InvalidInputError",
    "Items",
    "Job",
    "JobEnd",
    "JobPhase",
    "JobSettled",
    "JobStart",
    "JobSubmitted",
    "JobTable",
    "JobsCancelled",
    "JobsEnded",
    "JobsStarted",
    "Join",
    "Key",
    "Leave",
    "ListedHost",
    "LogEntry",
    "LogRead",
    "MAX_JOB_BODY_BYTES",
    "MadeKey",
    "Member",
    "MemberInfo",
    "Message",
    "Minion",
    "NotRun",
    "Outcome",
    "Placement",
    "PlatformUnavailableError",
    "Pool",
    "PoolHome",
    "PoolTerms",
    "Queue",
    "Ran",
    "RawEntry",
    "Record",
    "Refusal",
    "Refuse",
    "Release",
    "ReleaseNote",
    "ReleaseSummary",
    "Service",
    "SharePolicy",
    "Sizes",
    "SlotRequest",
    "Start",
    "TaskReport",
    "TaskReports",
    "TaskResult",
    "TaskService",
    "TaskStart",
    "TaskState",
    "TaskWork",
    "Team",
    "TeamTerms",
    "Unknown",
    "UnknownOutcomeError",
    "Verdict",
    "WaitingLane",
    "Wave",
    "WeightedShares",
    "Withdrawn",
    "apply_release",
    "coalescing_key",
    "decode_message",
    "decode_records",
    "encode_message",
    "encode_records",
    "fold_entry",
    "load_json",
    "make_key",
    "parse_release",
    "validation_findings",
    "verify_key",
]
