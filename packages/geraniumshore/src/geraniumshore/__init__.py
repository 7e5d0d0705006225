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
from geraniumshore.internal.platform import (
    ControlLog,
    HostList,
    ListedHost,
    LogRead,
    RawEntry,
)
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
from geraniumshore.internal.view import predecessor
from geraniumshore.internal.wait_estimate import Flow, WaitEstimator

__all__ = [
    "Admission",
    "Answer",
    "Alert",
    "Candidate",
    "Claim",
    "Claims",
    "Configuration",
    "ControlLog",
    "ControlState",
    "Decision",
    "Effects",
    "EndorseRequest",
    "Evict",
    "Finding",
    "Flow",
    "FirstComeFirstServed",
    "GeraniumshoreError",
    "Host",
    "HostList",
    "InvalidInputError",
    "Items",
    "Join",
    "KeptAnswer",
    "KeptClaim",
    "Key",
    "Leave",
    "ListedHost",
    "LogEntry",
    "LogRead",
    "MAX_ANSWER_BYTES",
    "MadeKey",
    "Member",
    "MemberInfo",
    "Message",
    "Minion",
    "NotRun",
    "Outcome",
    "OutlierDetector",
    "PlatformUnavailableError",
    "Pool",
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
    "SlotRequest",
    "SnapshotPart",
    "Standing",
    "Start",
    "StateTransfer",
    "Team",
    "Unknown",
    "UnknownOutcomeError",
    "Verdict",
    "WaitEstimator",
    "Wave",
    "WeightedShares",
    "WindowBurn",
    "Withdrawn",
    "apply_release",
    "backoff_seconds",
    "claim_key",
    "burn_by_queue",
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
