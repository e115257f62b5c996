"""What happens to an instance."""

import attrs

from sassafrasloft.blackboard import Event
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.messages import Message
from sassafrasloft.metadata import StoreReply
from sassafrasloft.runs import Run, RunEnd, RunnerEntry, RunnerReply
from sassafrasloft.traces.traceparent import TraceParent
from sassafrasloft.workload import JobRequest, ServiceConfiguration

OWN_INSTANCE = 0
"""The stream id that stands for this instance itself."""

# From the edges


@attrs.frozen
class StopRequested(Event):
    """The process is to stop without cutting off requests."""


@attrs.frozen
class BacklogMeasured(Event):
    """How long the oldest event has waited that is not handled yet."""

    waited_ms: Milliseconds


@attrs.frozen
class StoreReplied(Event):
    """Reply to `CallStore`."""

    call_id: int
    reply: StoreReply


@attrs.frozen
class RunnerReplied(Event):
    """Reply to `CallRunner`."""

    call_id: int
    reply: RunnerReply


@attrs.frozen
class StreamOpened(Event):
    """A stream that the core asked for is open."""

    stream_id: int


@attrs.frozen
class StreamClosed(Event):
    """A stream ended, or could not be opened.

    `refused` says that nothing listens there; `timed_out` that the connection
    could not be made in time.
    """

    stream_id: int
    refused: bool = False
    timed_out: bool = False


@attrs.frozen
class MessageReceived(Event):
    """A message arrived on a stream."""

    stream_id: int
    message: Message


@attrs.frozen
class JobRequested(Event):
    """A caller hands in a job.

    Parameters
    ----------
    request_id : int
    host, path : str
    job : JobRequest
    remaining_ms : int
        How long the caller waits; 0 if it did not say.
    unsupported : str
        Why such a job cannot be served; empty if it can.
    trace : TraceParent, optional
        The caller's span, if it records one.
    """

    request_id: int
    host: str
    path: str
    job: JobRequest
    remaining_ms: Milliseconds
    unsupported: str = ""
    trace: TraceParent | None = None


@attrs.frozen
class JobStateRequested(Event):
    """A caller asks for a job, or cancels it."""

    request_id: int
    host: str
    path: str
    job_id: str
    cancel: bool


@attrs.frozen
class QueueRequested(Event):
    """A caller asks for the number of waiting jobs of a route."""

    request_id: int
    host: str
    path: str


@attrs.frozen
class CallerGone(Event):
    """A caller's connection ended before its answer.

    `reset` says that it was reset rather than closed: the caller may send again.
    """

    request_id: int
    reset: bool


# Posted by controllers


@attrs.frozen
class ConfigurationAdopted(Event):
    """A newer configuration is in force."""

    configuration: ServiceConfiguration


@attrs.frozen
class ConfigurationOffered(Event):
    """Another instance has a newer configuration."""

    document: bytes


@attrs.frozen
class RunnersOffered(Event):
    """Another instance knows more runners; their entries may have lapsed."""

    entries: tuple[RunnerEntry, ...]


@attrs.frozen
class RunnersListed(Event):
    """A fresh list of runners was read."""

    entries: tuple[RunnerEntry, ...]


@attrs.frozen
class StoreItemChanged(Event):
    """The item of the scheduler's right was read or has changed."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class RightGained(Event):
    """The instance may give orders; `zone` is empty for all runners.

    `acting` says that another scheduler may still be at work out of reach.
    """

    token: int
    zone: str
    acting: bool = False


@attrs.frozen
class RightLost(Event):
    """The instance may no longer give orders."""

    reason: str


@attrs.frozen
class ZoneReturned(Event):
    """A zone that scheduled for itself has given its runners back."""

    zone: str
    round: int


@attrs.frozen
class TargetChanged(Event):
    """Jobs now go to another scheduler; `stream_id` 0 is this instance itself.

    `acting` says that it schedules without a lease from the store: the scheduler before
    it may still be at work. `since` is when it began to schedule, by our clock.
    """

    stream_id: int
    acting: bool = False
    since: Milliseconds = 0


@attrs.frozen
class TargetLost(Event):
    """There is no scheduler for now. `silent` if it may still be at work.

    `revision` is that of the lost scheduler's right.
    """

    silent: bool
    revision: int = 0


@attrs.frozen
class SchedulerBeat(Event):
    """The scheduler has sent a beat while open jobs wait to be handed in."""


@attrs.frozen
class SchedulerMessage(Event):
    """A message for the scheduler from a stream or, as 0, from this instance."""

    stream_id: int
    message: Message


@attrs.frozen
class GatewayMessage(Event):
    """A message of the scheduler for this instance's own callers."""

    message: Message


@attrs.frozen
class FollowerLost(Event):
    """An instance that handed in jobs is gone; `silent` if it may still live."""

    stream_id: int
    silent: bool


@attrs.frozen
class TaskPlaced(Event):
    """Room was reserved for a run that is to be started."""

    run: Run
    spec: str


@attrs.frozen
class StopTask(Event):
    """A run is to be stopped."""

    run: Run


@attrs.frozen
class RunAccepted(Event):
    """A runner has a run."""

    run: Run


@attrs.frozen
class RunFinished(Event):
    """A run is known to be over, or never to have begun.

    Parameters
    ----------
    run : Run
    end : RunEnd or None
        None if it never began.
    reason : str
        For the log.
    """

    run: Run
    end: RunEnd | None
    reason: str


@attrs.frozen
class RunOverdue(Event):
    """A run takes much longer than expected.

    Parameters
    ----------
    run : Run
    elapsed_ms : int
    remaining_ms : float
        By the progress that its runner lists; infinite if it stands still.
    slowness : float
        Of its runner, by other runs that have ended there.
    """

    run: Run
    elapsed_ms: Milliseconds
    remaining_ms: float
    slowness: float
