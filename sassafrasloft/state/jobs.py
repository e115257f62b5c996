"""Jobs, tasks, retained answers and waiting requests."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import Answer, JobSpec, TaskOutcome, TaskSpec
from sassafrasloft.state.submissions import (
    DrainState,
    FenceRecord,
    Observations,
    PendingForward,
)


class TaskState(StrEnum):
    """The stage of a task between acceptance and its end."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "ended"


@attrs.define
class TaskRecord:
    """One task of a job that this instance owns.

    Parameters
    ----------
    placements : int
        Number of times the task was placed on a runner.
    runner, delivery_id : str
        Runner and delivery of the last placement.
    returned : int
        Number of placements that are proved not to have started the task.
    outcome : TaskOutcome or None
        The outcome of the task; None until it has ended.
    """

    spec: TaskSpec
    state: TaskState = TaskState.WAITING
    placements: int = 0
    runner: str = ""
    delivery_id: str = ""
    sent_ms: Milliseconds = 0
    outcome: TaskOutcome | None = None
    returned: int = 0


@attrs.define
class JobRecord:
    """A job without an answer that this instance owns.

    Parameters
    ----------
    failed_kind, failed_detail : str
        Why no further tasks of the job are sent; empty while tasks may be sent.
    transferring : bool
        Whether the heir is to start the waiting tasks; this instance sends none.
    handed_over : bool
        Whether the job was sent to the heir, which may have taken it over.
    """

    submission_id: str
    spec: JobSpec
    tasks: list[TaskRecord]
    accepted_ms: Milliseconds
    due_ms: Milliseconds
    waiting: int
    in_flight: int = 0
    cancelled: bool = False
    failed_kind: str = ""
    trace_id: str = ""
    span_id: str = ""
    parent_span_id: str = ""
    failed_detail: str = ""
    transferring: bool = False
    handed_over: bool = False


@attrs.define
class KeptAnswer:
    """A final answer, retained for callers that request it again."""

    answer: Answer
    team: str
    digest: bytes
    kept_until_ms: Milliseconds


@attrs.define
class Waiter:
    """An open request that waits for the answer to a job.

    A request of a local caller has a `request_id`. A forwarded request has a
    `forward_id` and, in `peer`, the name of the instance that forwarded it.
    """

    submission_id: str
    due_ms: Milliseconds
    request_id: str = ""
    peer: str = ""
    forward_id: str = ""


@attrs.define
class SubmissionLedger:
    """The used serials of one incarnation, for the ids of which this instance answers.

    Parameters
    ----------
    not_run : dict of int to str
        Why a submission was refused or failed, by serial, for submissions of
        which it is proved that no task ran.
    transferred : dict of int to None
        Serials of unfinished jobs that the heir has taken over.
    heir : str
        The peer that acknowledged the handover of this incarnation.
    clock_offset_ms : Milliseconds
        Local time minus the time on the clock that stamped the ids.
    origin : str
        The instance from which this incarnation was inherited; empty if own.
    origin_open : bool
        Whether the origin may still have jobs of this incarnation.
    inherited_ms : Milliseconds
        When this instance inherited the incarnation.
    handover_sequence : int
        The highest sequence number of the handover that was applied here.
    """

    secret: bytes
    last_serial: int = 0
    used: dict[int, Milliseconds] = attrs.field(factory=dict)
    """The time at which each submission id expires, by serial."""
    accepting: bool = True
    not_run: dict[int, str] = attrs.field(factory=dict)
    transferred: dict[int, None] = attrs.field(factory=dict)
    heir: str = ""
    clock_offset_ms: Milliseconds = 0
    origin: str = ""
    origin_open: bool = False
    inherited_ms: Milliseconds = 0
    handover_sequence: int = 0


@attrs.define
class JobTable:
    """The state of all submissions that this instance knows.

    Parameters
    ----------
    ledgers : dict of str to Ledger
        Ledgers of the own and of inherited incarnations, by
        ``instance.incarnation``.
    open_requests : dict of str to str
        Submission ids of requests without a reply, by `Requester.key`.
    forwards : dict of str to PendingForward
        Requests that other instances answer, by forward id.
    fences : dict of str to FenceRecord
        Progress of fencing each ended incarnation, by ``instance.incarnation``.
    drain : DrainState or None
        Progress of the planned stop; None while this instance accepts jobs.
    """

    running: dict[str, JobRecord] = attrs.field(factory=dict)
    answers: dict[str, KeptAnswer] = attrs.field(factory=dict)
    waiters: dict[str, list[Waiter]] = attrs.field(factory=dict)
    ledgers: dict[str, SubmissionLedger] = attrs.field(factory=dict)
    draining: bool = False
    open_requests: dict[str, str] = attrs.field(factory=dict)
    forwards: dict[str, PendingForward] = attrs.field(factory=dict)
    fences: dict[str, FenceRecord] = attrs.field(factory=dict)
    observations: Observations = attrs.field(factory=Observations)
    drain: DrainState | None = None
