"""Events: the input of the decision core."""

import attrs

from sassafrasloft.blackboard import Event
from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import Fate, JobSpec, RunnerCapacity, TaskKey, TaskReport
from sassafrasloft.messages import PeerMessage
from sassafrasloft.messages.platform_calls import PlatformReply


@attrs.frozen
class TraceContext:
    """The span that caused an event; both ids are empty if it is not traced."""

    trace_id: str = ""
    span_id: str = ""


# Requests of callers and operators. The I/O layer assigns unique request ids.


@attrs.frozen
class IdsRequested(Event):
    """A caller requests new submission ids."""

    request_id: str
    team: str
    count: int = 1


@attrs.frozen
class JobSubmitted(Event):
    """A caller submits or resubmits a job under a submission id."""

    request_id: str
    submission_id: str
    job: JobSpec
    wait_ms: Milliseconds = 0
    trace: TraceContext = attrs.field(factory=TraceContext)


@attrs.frozen
class AnswerRequested(Event):
    """A caller requests the answer to a job."""

    request_id: str
    submission_id: str
    team: str
    wait_ms: Milliseconds = 0
    trace: TraceContext = attrs.field(factory=TraceContext)


@attrs.frozen
class JobCancelled(Event):
    """A caller cancels a job: no further task of it is started."""

    request_id: str
    submission_id: str
    team: str
    trace: TraceContext = attrs.field(factory=TraceContext)


@attrs.frozen
class RequestAbandoned(Event):
    """The caller of a request has disconnected and no longer waits for the reply."""

    request_id: str


@attrs.frozen
class StatusRequested(Event):
    """An operator requests the state of the instance."""

    request_id: str


@attrs.frozen
class DrainRequested(Event):
    """An operator or a signal requests a planned stop."""

    request_id: str = ""


# Reports from runners.


@attrs.frozen
class TaskReported(Event):
    """A runner's reply contains a report on a delivered task."""

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
        False only if it is certain that no byte of the request was sent.
    """

    runner: str
    delivery_id: str
    keys: tuple[TaskKey, ...]
    sent: bool
    reason: str = ""


@attrs.frozen
class SettleReported(Event):
    """The outcome of `Settle` or `StopTasks`: a reply, or an unreachable runner."""

    runner: str
    keys: tuple[TaskKey, ...]
    reachable: bool
    runner_incarnation: str = ""
    reports: tuple[TaskReport, ...] = ()


@attrs.frozen
class FenceReported(Event):
    """The outcome of `Fence`: a reply, or an unreachable runner."""

    runner: str
    incarnation: str
    reachable: bool
    runner_incarnation: str = ""
    started: tuple[TaskReport, ...] = ()


@attrs.frozen
class ProbeReported(Event):
    """The outcome of `Probe`: a reply, or an unreachable runner."""

    runner: str
    reachable: bool
    healthy: bool = False
    capacity: RunnerCapacity | None = None


# Events from peers and the platform.


@attrs.frozen
class PeerMessageReceived(Event):
    """A message from another instance arrived."""

    peer: str
    message: PeerMessage


@attrs.frozen
class PeerLinkChanged(Event):
    """The stream to a peer was opened or was lost."""

    peer: str
    up: bool


@attrs.frozen
class PlatformReplied(Event):
    """A call to the platform ended with a reply or as unavailable."""

    call_id: str
    reply: PlatformReply


# Events that a controller posts for other controllers. The I/O layer posts none.


@attrs.frozen
class JobAccepted(Event):
    """A job was accepted by this instance and its tasks wait to be placed."""

    submission_id: str


@attrs.frozen
class JobEnded(Event):
    """A job has its final answer on this instance; its waiting tasks are dropped."""

    submission_id: str


@attrs.frozen
class JobStopped(Event):
    """A job sends no further task from this instance; its waiting tasks are dropped.

    Tasks in flight continue. `JobEnded` follows when the job has its answer,
    unless the heir of a planned stop takes over the job.
    """

    submission_id: str


@attrs.frozen
class TaskSent(Event):
    """A task was placed on a runner.

    Parameters
    ----------
    span_id : str
        The span of the delivery; empty if the delivery is not traced.
    """

    key: TaskKey
    runner: str
    delivery_id: str
    span_id: str = ""


@attrs.frozen
class TaskReturned(Event):
    """A placed task is proved not to have started and may be placed again."""

    key: TaskKey
    runner: str
    reason: str


@attrs.frozen
class TaskEnded(Event):
    """A task has ended with its final fate."""

    key: TaskKey
    runner: str
    fate: Fate
    result: str = ""
    reason: str = ""
    run_ms: Milliseconds = 0


@attrs.frozen
class InstanceGone(Event):
    """An incarnation of an instance is proved to have ended."""

    instance: str
    incarnation: str


@attrs.frozen
class IncarnationFenced(Event):
    """A runner rejected a task because this instance's incarnation is fenced."""

    incarnation: str


@attrs.frozen
class AuthorityLost(Event):
    """The instance lost the authority of its incarnation and has a new one.

    Either it was paused for longer than its lease, so that others may have
    considered it gone, or its tasks are fenced.
    """

    old_incarnation: str


@attrs.frozen
class HeirChosen(Event):
    """An heir took over the submission ids of a stopped incarnation.

    The heir and the stopping instance both post it; membership stores the heirs.
    """

    instance: str
    incarnation: str
    heir: str
    heir_incarnation: str


@attrs.frozen
class SettingsAdopted(Event):
    """The instance adopted a newer settings document."""

    revision: int
