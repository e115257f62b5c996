"""The events that an instance's controllers handle."""

import attrs

from sassafrasloft.blackboard import Event
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.message_codec import Message
from sassafrasloft.metadata import StoreReply
from sassafrasloft.metadata.evacuations import ZoneEvacuation
from sassafrasloft.runs import Run, RunEnd, RunnerEntry, RunnerReply, TaskCrashes
from sassafrasloft.traces.traceparent import TraceParent
from sassafrasloft.workload import JobRequest, ServiceConfiguration

OWN_INSTANCE = 0
"""The stream id that stands for this instance itself."""

# Reported by the I/O layer


@attrs.frozen
class StopRequested(Event):
    """The process was asked to stop without interrupting open requests."""


@attrs.frozen
class BacklogMeasured(Event):
    """The waiting time of the oldest event that is not handled yet."""

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

    `refused` is set if nothing listens at the address, `timed_out` if the connection
    was not established in time.
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
    """A caller submits a job.

    Parameters
    ----------
    request_id : int
    host, path : str
    job : JobRequest
    remaining_ms : int
        How long the caller waits; 0 if unspecified.
    unsupported : str
        Why this kind of job is not supported; empty if it is.
    trace : TraceParent, optional
        The caller's span, if the job is traced.
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
    """A caller queries the state of a job, or cancels the job."""

    request_id: int
    host: str
    path: str
    job_id: str
    cancel: bool


@attrs.frozen
class QueueRequested(Event):
    """A caller queries the number of waiting jobs of a route."""

    request_id: int
    host: str
    path: str


@attrs.frozen
class CallerGone(Event):
    """A caller's connection ended before its answer.

    `reset` is set if the connection was reset rather than closed: the caller may retry.
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
    """Another instance sent a newer configuration."""

    document: bytes


@attrs.frozen
class NewerConfigurationReported(Event):
    """Another instance has a newer configuration than this one."""

    stream_id: int


@attrs.frozen
class ConfigurationRequested(Event):
    """Another instance, with a configuration of this version, requests a newer one."""

    stream_id: int
    version: int


@attrs.frozen
class ConfigurationReceived(Event):
    """Another instance sent its configuration on request, compressed."""

    compressed: bytes


@attrs.frozen
class EvacuationsRead(Event):
    """Evacuated zones were read from the store.

    Parameters
    ----------
    records : list of ZoneEvacuation
    list_revision : int
        Revision for which the records are all evacuated zones; -1 if they are changes.
    """

    records: list[ZoneEvacuation]
    list_revision: int = -1


@attrs.frozen
class EvacuationsReported(Event):
    """Another instance reported what it knows of evacuated zones."""

    records: tuple[ZoneEvacuation, ...]


@attrs.frozen
class EvacuationsChanged(Event):
    """Zones were evacuated or given back; `board.evacuations` has them all."""


@attrs.frozen
class RunnersOffered(Event):
    """Another instance reported runners; their entries may have expired.

    Parameters
    ----------
    entries : tuple of RunnerEntry
    unlisted : tuple of RunnerEntry
        Runners that are not in its list, and that a scheduler may have used.
    """

    entries: tuple[RunnerEntry, ...]
    unlisted: tuple[RunnerEntry, ...] = ()


@attrs.frozen
class UnlistedRunnersReported(Event):
    """The scheduler reported the runners outside its list that may have runs.

    Parameters
    ----------
    entries : tuple of RunnerEntry or None
        None if they have not changed.
    list_revision : int
        Revision of its list; 0 if other runners may have runs as well.
    """

    entries: tuple[RunnerEntry, ...] | None
    list_revision: int


@attrs.frozen
class RunnerEntryOutdated(Event):
    """A runner has restarted, and its entry is of an earlier process."""


@attrs.frozen
class RunnersListed(Event):
    """The list of runners was read from the store at a revision."""

    entries: tuple[RunnerEntry, ...]
    revision: int


@attrs.frozen
class StoreItemChanged(Event):
    """The store's leadership record was read or has changed."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class LeadershipGained(Event):
    """The instance may give orders to runners of `zone`; empty for all zones.

    `acting` is set if an unreachable scheduler may still be active.
    """

    token: int
    zone: str
    acting: bool = False


@attrs.frozen
class LeadershipLost(Event):
    """The instance may no longer give orders."""

    reason: str


@attrs.frozen
class ZoneReclaimed(Event):
    """An acting scheduler of a zone has returned the runners of this zone."""

    zone: str
    round: int


@attrs.frozen
class SchedulerChanged(Event):
    """Jobs now go to another scheduler; `stream_id` 0 is this instance itself.

    `acting` is set if it schedules without a lease from the store: its predecessor may
    still be active. `since` is when it began to schedule, on the local clock.
    """

    stream_id: int
    acting: bool = False
    since: Milliseconds = 0


@attrs.frozen
class SchedulerLost(Event):
    """The scheduler is lost and there is no other yet.

    `silent` is set if the lost scheduler may still be active. `revision` is its
    leadership revision.
    """

    silent: bool
    revision: int = 0


@attrs.frozen
class SchedulerHeartbeat(Event):
    """The scheduler has sent a heartbeat while open jobs wait for resubmission."""


@attrs.frozen
class MessageForScheduler(Event):
    """A message for the scheduler, from a stream or (0) from this instance."""

    stream_id: int
    message: Message


@attrs.frozen
class MessageForGateway(Event):
    """A message from the scheduler for this instance's gateway."""

    message: Message


@attrs.frozen
class RunnerCrashed(Event):
    """A runner crashed; `counts` has the crashes under each task that was on it."""

    counts: tuple[TaskCrashes, ...]


@attrs.frozen
class CrashCountsReceived(Event):
    """The scheduler sent its counts of crashes under tasks."""

    counts: tuple[TaskCrashes, ...]


@attrs.frozen
class FollowerAccepted(Event):
    """An instance that accepts counts of crashes has become a follower."""

    stream_id: int


@attrs.frozen
class FollowerLost(Event):
    """A follower is lost; `silent` is set if it may still be running."""

    stream_id: int
    silent: bool


@attrs.frozen
class RunPlaced(Event):
    """Capacity is reserved for a run, which can now be started."""

    run: Run
    spec: str


@attrs.frozen
class RunStopRequested(Event):
    """The scheduler requests that a run be stopped."""

    run: Run


@attrs.frozen
class RunAccepted(Event):
    """A runner has accepted a run."""

    run: Run


@attrs.frozen
class EarlierRunDone(Event):
    """A runner lists that a run of an earlier scheduler has completed its task."""

    task: str


@attrs.frozen
class RunFinished(Event):
    """A run is known to have ended, or never to have started.

    Parameters
    ----------
    run : Run
    end : RunEnd or None
        None if it never started.
    reason : str
        The reason, for the log.
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
        Estimated from the progress that the runner reports; infinite if the run is
        stalled.
    slowness : float
        Slowness of the runner, measured on other runs that have ended there.
    """

    run: Run
    elapsed_ms: Milliseconds
    remaining_ms: float
    slowness: float
