"""The sections of the blackboard: data only, without decision logic."""

from sassafrasloft.state.counters import Counters
from sassafrasloft.state.identity import Identity
from sassafrasloft.state.jobs import (
    JobRecord,
    JobTable,
    KeptAnswer,
    SubmissionLedger,
    TaskRecord,
    TaskState,
    Waiter,
)
from sassafrasloft.state.peers import PeerState, PeerTable
from sassafrasloft.state.platform import CallPurpose, PlatformState
from sassafrasloft.state.queue import (
    BorrowedSlots,
    LentSlots,
    SentTask,
    TeamUse,
    WaitingJob,
    WaitingQueue,
)
from sassafrasloft.state.settings import SettingsInForce
from sassafrasloft.state.submissions import (
    DrainState,
    FenceRecord,
    HandoverRecord,
    Observations,
    PendingForward,
    Requester,
    SeenIncarnation,
)
from sassafrasloft.state.upstreams import (
    DeliverySpan,
    Health,
    InFlight,
    RunnerState,
    ScheduledQuery,
    UpstreamTable,
)

__all__ = [
    "BorrowedSlots",
    "CallPurpose",
    "Counters",
    "DeliverySpan",
    "DrainState",
    "FenceRecord",
    "HandoverRecord",
    "Observations",
    "PendingForward",
    "Requester",
    "SeenIncarnation",
    "ScheduledQuery",
    "Health",
    "Identity",
    "InFlight",
    "JobRecord",
    "JobTable",
    "KeptAnswer",
    "SubmissionLedger",
    "LentSlots",
    "PeerState",
    "PeerTable",
    "PlatformState",
    "RunnerState",
    "SentTask",
    "SettingsInForce",
    "TaskRecord",
    "TaskState",
    "TeamUse",
    "UpstreamTable",
    "Waiter",
    "WaitingJob",
    "WaitingQueue",
]
