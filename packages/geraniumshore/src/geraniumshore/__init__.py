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
from geraniumshore.internal.admission import Admission
from geraniumshore.internal.agreement import Standing
from geraniumshore.internal.burn import (
    Alert,
    QueueBurn,
    WindowBurn,
    burn_by_queue,
)
from geraniumshore.internal.claim_records import Answer, Claim, KeptAnswer
from geraniumshore.internal.claims import (
    MAX_ANSWER_BYTES,
    Claims,
    KeptClaim,
    claim_key,
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
    JobRecord,
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
    EndorseRequest,
    Message,
    Relay,
    StateTransfer,
    coalescing_key,
    decode_message,
    encode_message,
)
from geraniumshore.internal.outcomes import NotRun, Outcome, Ran, Unknown
from geraniumshore.internal.outliers import OutlierDetector
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
    SnapshotPart,
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
from geraniumshore.internal.retries import (
    RetryBudget,
    backoff_seconds,
    is_failure,
    may_repeat,
)
from geraniumshore.internal.service_levels import (
    QueueCounts,
    ServiceLevelHistory,
    ServiceLevels,
    is_good_call,
)
from geraniumshore.internal.shares import (
    Candidate,
    FirstComeFirstServed,
    SharePolicy,
    WeightedShares,
)
from geraniumshore.internal.sizing import DeclaredSizes, LearnedSizes, Sizing
from geraniumshore.internal.task_watch import LEASE_MS, TaskWork
from geraniumshore.internal.tokens import TeamTerms
from geraniumshore.internal.view import predecessor

__all__ = [
    "Admission",
    "Alert",
    "Answer",
    "BestFit",
    "Candidate",
    "Claim",
    "Claims",
    "Configuration",
    "ControlLog",
    "ControlState",
    "Decision",
    "DeclaredSizes",
    "Effects",
    "EndorseRequest",
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
    "JobRecord",
    "JobSettled",
    "JobStart",
    "JobSubmitted",
    "JobTable",
    "JobsCancelled",
    "JobsEnded",
    "JobsStarted",
    "Join",
    "KeptAnswer",
    "KeptClaim",
    "Key",
    "LEASE_MS",
    "LearnedSizes",
    "Leave",
    "ListedHost",
    "LogEntry",
    "LogRead",
    "MAX_ANSWER_BYTES",
    "MAX_JOB_BODY_BYTES",
    "MadeKey",
    "Member",
    "MemberInfo",
    "Message",
    "Minion",
    "NotRun",
    "Outcome",
    "OutlierDetector",
    "Placement",
    "PlatformUnavailableError",
    "Pool",
    "PoolHome",
    "PoolTerms",
    "Queue",
    "QueueBurn",
    "QueueCounts",
    "Ran",
    "RawEntry",
    "Record",
    "Refusal",
    "Refuse",
    "Relay",
    "Release",
    "ReleaseNote",
    "ReleaseSummary",
    "RetryBudget",
    "Service",
    "ServiceLevelHistory",
    "ServiceLevels",
    "SharePolicy",
    "Sizes",
    "Sizing",
    "SlotRequest",
    "SnapshotPart",
    "Standing",
    "Start",
    "StateTransfer",
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
    "WindowBurn",
    "Withdrawn",
    "apply_release",
    "backoff_seconds",
    "burn_by_queue",
    "claim_key",
    "coalescing_key",
    "decode_message",
    "decode_records",
    "encode_message",
    "encode_records",
    "fold_entry",
    "is_failure",
    "is_good_call",
    "load_json",
    "make_key",
    "may_repeat",
    "parse_release",
    "predecessor",
    "validation_findings",
    "verify_key",
]
