"""What happens to an instance: the input of the decision core."""

import attrs

from sassafrasloft.blackboard import Event
from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import Fate, JobSpec, RunnerCapacity, TaskKey, TaskReport
from sassafrasloft.messages import PeerMessage
from sassafrasloft.messages.platform_calls import PlatformReply


@attrs.frozen
class TraceContext:
    """The span that caused an event; empty texts if it is not traced."""

    trace_id: str = ""
    span_id: str = ""


# Requests of callers and operators. The edge makes each request id unique.


@attrs.frozen
class IdsRequested(Event):
    """A caller asks for fresh submission ids."""

    request_id: str
    team: str
    count: int = 1


@attrs.frozen
class JobSubmitted(Event):
    """A caller hands in a job under a submission id, for the first time or again."""

    request_id: str
    submission_id: str
    job: JobSpec
    wait_ms: Milliseconds = 0
    trace: TraceContext = attrs.field(factory=TraceContext)


@attrs.frozen
class JobAsked(Event):
    """A caller asks for the answer to a job."""

    request_id: str
    submission_id: str
    team: str
    wait_ms: Milliseconds = 0
    trace: TraceContext = attrs.field(factory=TraceContext)


@attrs.frozen
class JobCancelled(Event):
    """A caller asks that no further task of a job is started."""

    request_id: str
    submission_id: str
    team: str
    trace: TraceContext = attrs.field(factory=TraceContext)


@attrs.frozen
class RequestAbandoned(Event):
    """The caller's connection is gone; nobody waits for this request."""

    request_id: str


@attrs.frozen
class StatusRequested(Event):
    """An operator asks for the state of the instance."""

    request_id: str


@attrs.frozen
class DrainRequested(Event):
    """An operator or a signal asks for a planned stop."""

    request_id: str = ""


# Reports of runners.


@attrs.frozen
class TaskReported(Event):
    """A runner's reply says something about one delivered task."""

    runner: str
    delivery_id: str
    report: TaskReport
    capacity: RunnerCapacity | None = None


@attrs.frozen
class DeliveryFailed(Event):
    """A delivery ended without a report on some of its tasks.

    Parameters
    ----------
    keys : tuple of TaskKey
        The tasks without a report.
    sent : bool
        False only if it is proved that no byte of the request left.
    """

    runner: str
    delivery_id: str
    keys: tuple[TaskKey, ...]
    sent: bool
    reason: str = ""


@attrs.frozen
class SettleReported(Event):
    """The reply to `Settle` or `StopTasks`, or that none came."""

    runner: str
    keys: tuple[TaskKey, ...]
    reachable: bool
    runner_incarnation: str = ""
    reports: tuple[TaskReport, ...] = ()


@attrs.frozen
class FenceReported(Event):
    """The reply to `Fence`, or that none came."""

    runner: str
    incarnation: str
    reachable: bool
    runner_incarnation: str = ""
    started: tuple[TaskReport, ...] = ()


@attrs.frozen
class ProbeReported(Event):
    """The reply to `Probe`, or that none came."""

    runner: str
    reachable: bool
    healthy: bool = False
    capacity: RunnerCapacity | None = None


# Peers and the platform.


@attrs.frozen
class PeerMessageReceived(Event):
    """A message from another instance arrived."""

    peer: str
    message: PeerMessage


@attrs.frozen
class PeerLinkChanged(Event):
    """The stream to a peer was opened or lost."""

    peer: str
    up: bool


@attrs.frozen
class PlatformReplied(Event):
    """A call to the platform ended."""

    call_id: str
    reply: PlatformReply


# Posted by one controller for the others; never by an edge.


@attrs.frozen
class JobAccepted(Event):
    """A job was accepted here and its tasks wait."""

    submission_id: str


@attrs.frozen
class JobEnded(Event):
    """A job has its final answer here; waiting tasks of it are dropped."""

    submission_id: str


@attrs.frozen
class JobStopped(Event):
    """No further task of a job is sent from here; its waiting tasks are dropped.

    Tasks in flight go on. `JobEnded` follows when the job has its answer; none
    follows if the heir of a planned stop takes the job over.
    """

    submission_id: str


@attrs.frozen
class TaskSent(Event):
    """A task was placed on a runner.

    Parameters
    ----------
    span_id : str
        The span of its delivery; empty if it is not traced.
    """

    key: TaskKey
    runner: str
    delivery_id: str
    span_id: str = ""


@attrs.frozen
class TaskReturned(Event):
    """It is proved that a placed task did not start; it may be placed again."""

    key: TaskKey
    runner: str
    reason: str


@attrs.frozen
class TaskEnded(Event):
    """A task has its final fate."""

    key: TaskKey
    runner: str
    fate: Fate
    result: str = ""
    reason: str = ""
    run_ms: Milliseconds = 0


@attrs.frozen
class InstanceGone(Event):
    """It is proved that an incarnation of an instance has ended."""

    instance: str
    incarnation: str


@attrs.frozen
class IncarnationFenced(Event):
    """A runner refused a task because this instance's incarnation is fenced."""

    incarnation: str


@attrs.frozen
class AuthorityLost(Event):
    """The instance was taken for gone, or may have been, and has a new incarnation.

    It was paused past its lease, or its tasks are fenced.
    """

    old_incarnation: str


@attrs.frozen
class HeirChosen(Event):
    """An heir took the ids of a stopped incarnation over.

    Posted by the heir and by the stopping instance; membership keeps the heirs.
    """

    instance: str
    incarnation: str
    heir: str
    heir_incarnation: str


@attrs.frozen
class SettingsAdopted(Event):
    """A newer settings document is in force."""

    revision: int
