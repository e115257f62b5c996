"""Messages between instances; `message_codec` has their form on the stream."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.message_codec import Message, register_message
from sassafrasloft.metadata.evacuations import ZoneEvacuation
from sassafrasloft.runs.crash_history import TaskCrashes
from sassafrasloft.runs.runners import RunnerEntry
from sassafrasloft.workload import JobRequest, Route


@attrs.frozen
class Member:
    """An instance from which the scheduler has received messages recently.

    `slot` is unique among the instances and forms a part of fencing tokens.
    """

    name: str
    zone: str
    peers_address: str
    cores: float
    slot: int


@attrs.frozen
class ZoneEpoch:
    """How often the scheduler of a zone's runners changed within one leadership."""

    zone: str
    round: int


@register_message("hello")
@attrs.frozen
class Hello(Message):
    """First message on a stream, from the instance that opened it.

    `rounds` are the zone epochs of the fencing tokens that the sender has used as an
    acting scheduler. `accepts_crash_counts` is false from earlier releases, which do
    not know the message `CrashCounts`.
    """

    name: str
    incarnation: str
    zone: str
    peers_address: str
    cores: float
    zone_epochs: tuple[ZoneEpoch, ...] = ()
    configuration_version: int = 0
    accepts_crash_counts: bool = False


@register_message("welcome")
@attrs.frozen
class Welcome(Message):
    """The sender schedules under this token and accepts jobs on this stream.

    `acting` is set if it schedules without a lease from the store; `zone` may then name
    the only availability zone that it schedules for. `active_ms` is how long it has
    been scheduling, and `runners_known` is the number of runners that it knows.
    `unlisted_runners` are the ids of runners outside its list that it knows as well.
    `reads_evacuations` is false from earlier releases, which do not know the message
    `EvacuationReport`. `zone_epochs` are those that an acting scheduler uses.
    """

    name: str
    token: int
    zone: str
    acting: bool
    active_ms: Milliseconds = 0
    runners_known: int = 0
    reads_evacuations: bool = False
    zone_epochs: tuple[ZoneEpoch, ...] = ()
    unlisted_runners: tuple[str, ...] = ()


@register_message("evacuations")
@attrs.frozen
class EvacuationReport(Message):
    """What a follower knows of evacuated zones."""

    records: tuple[ZoneEvacuation, ...]


@register_message("configuration")
@attrs.frozen
class ConfigurationOffer(Message):
    """The configuration in force at the sender, as the operator's document.

    Earlier releases send it to followers; this one requests it.
    """

    document: bytes


@register_message("configuration_request")
@attrs.frozen
class ConfigurationRequest(Message):
    """Requests a newer configuration than that of `version`, which the sender has."""

    version: int


@register_message("configuration_compressed")
@attrs.frozen
class CompressedConfiguration(Message):
    """The configuration in force at the sender: the document in zlib format."""

    document: bytes


@register_message("runners")
@attrs.frozen
class RunnersOffer(Message):
    """The runners known to the sender, sent to a scheduler that knows fewer.

    `unlisted` are runners outside the list that the scheduler does not know, and that
    an earlier one may have used.
    """

    entries: tuple[RunnerEntry, ...]
    unlisted: tuple[RunnerEntry, ...] = ()


@register_message("crashes")
@attrs.frozen
class CrashCounts(Message):
    """Crashes of runners under tasks, as counted by schedulers."""

    counts: tuple[TaskCrashes, ...]


@register_message("not_scheduling")
@attrs.frozen
class NotScheduling(Message):
    """The sender does not schedule; `revision` is the latest leadership it knows."""

    name: str
    revision: int


@register_message("beat")
@attrs.frozen
class Heartbeat(Message):
    """A heartbeat; the scheduler includes the member list if that has changed.

    `heartbeat_delay_ms` is the delay of the sender's heartbeat. `intake_share` is the
    share of new jobs that the receiver may submit to the sender. `offered` counts the
    tasks that callers submitted at the sender since its last heartbeat.
    `sustained_load` is the highest load, in tasks per second, that a scheduler is known
    to have sustained. `configuration_version` is that in force at the sender; 0 from
    earlier releases, which do not reply to `ConfigurationRequest`.

    After each list of runners that the scheduler has read, `runner_list_revision` is
    the revision of the list; 0 in other heartbeats. `unlisted_runners` are the runners
    outside the list that may have runs; None if they are those sent before.
    """

    members: tuple[Member, ...] | None = None
    heartbeat_delay_ms: Milliseconds = 0
    intake_share: float = 1.0
    offered: int = 0
    sustained_load: float = 0.0
    configuration_version: int = 0
    runner_list_revision: int = 0
    unlisted_runners: tuple[RunnerEntry, ...] | None = None


@register_message("heard_query")
@attrs.frozen
class LivenessQuery(Message):
    """Asks whether the receiver gets heartbeats from the scheduler of a revision."""

    revision: int


@register_message("heard_reply")
@attrs.frozen
class LivenessReply(Message):
    """How long ago the sender received a message from the scheduler; -1 if it is lost.

    `acting_address` is the address of the acting scheduler that serves the sender, and
    `acting_zone` the only zone for which this one schedules. `holder` holds the
    leadership of `revision`, as far as the sender knows. `knows_runners` is false if
    the sender has never read the list of runners, and `stopping` is true if it exits
    soon.
    """

    name: str
    zone: str
    revision: int
    silent_ms: Milliseconds
    acting_address: str = ""
    acting_zone: str = ""
    holder: str = ""
    holder_address: str = ""
    knows_runners: bool = False
    stopping: bool = False


@register_message("submit")
@attrs.frozen
class SubmitJob(Message):
    """Submits a job. Times are relative, since clocks differ between instances.

    `resubmitted` is set if a scheduler may already have started tasks of the job.
    `predecessor_runs_ms` is how long runs of the predecessor scheduler may go on,
    on runners that no other instance knows. `predecessor_revision` is its
    leadership revision, 0 if it was acting. `trace_id` and `span_id` identify the
    sender's span if the job is traced. `accepted_route` is the route by which the
    sender accepted the job, of the version `configuration_version`; it is sent if the
    scheduler may lack it, as its configuration is older or the route was removed.
    """

    job: JobRequest
    route: str
    age_ms: Milliseconds
    remaining_ms: Milliseconds
    resubmitted: bool
    predecessor_runs_ms: Milliseconds = 0
    predecessor_revision: int = 0
    trace_id: str = ""
    span_id: str = ""
    configuration_version: int = 0
    accepted_route: Route | None = None


@register_message("cancel")
@attrs.frozen
class CancelJob(Message):
    """Cancels a job.

    `wants_answer` is set if the caller requested the cancellation, `may_return` if its
    connection was reset: it may then submit the job again, at any instance.
    """

    job_id: str
    wants_answer: bool
    may_return: bool = False


@register_message("query_job")
@attrs.frozen
class QueryJob(Message):
    """Asks for the state of a job."""

    job_id: str


@register_message("query_queue")
@attrs.frozen
class QueryQueue(Message):
    """Asks for the number of jobs of a route that have no started task."""

    route: str


@register_message("answer")
@attrs.frozen
class JobAnswer(Message):
    """The outcome of a job.

    `outcome` is a value of `JobOutcome`.
    """

    job_id: str
    outcome: str
    reason: str = ""
    retry_after_s: int = 0


@register_message("job_state")
@attrs.frozen
class JobState(Message):
    """Reply to `QueryJob`, and to `CancelJob` on request.

    An empty `state` means that the job is unknown.
    """

    job_id: str
    state: str


@register_message("queue_state")
@attrs.frozen
class QueueState(Message):
    """Reply to `QueryQueue`."""

    route: str
    pending: int


@register_message("promote")
@attrs.frozen
class Promote(Message):
    """Asks the receiver to take over leadership from the sender.

    `intake_share` is its initial share of admitted new jobs. For `backoff_ms` it must
    not hand over because of slowness; 0 if unspecified.
    """

    revision: int
    intake_share: float = 1.0
    backoff_ms: Milliseconds = 0


@attrs.frozen
class PossibleRun:
    """A task that may have a run on a runner.

    The run ends within `remaining_ms`, unless the receiver renews its lease.
    """

    task: str
    runner_id: str
    remaining_ms: Milliseconds


@attrs.frozen
class JobProgress:
    """The completed tasks of an open job, and its tasks that may have a run.

    `possible_runs` lists the runs that the sender started or saw and those that earlier
    schedulers reported. Earlier releases read and send only the tasks, `running`.
    `complete` is set if the job has no other runs than those listed here.
    """

    job_id: str
    done: tuple[str, ...]
    running: tuple[str, ...]
    possible_runs: tuple[PossibleRun, ...] = ()
    complete: bool = False


@attrs.frozen
class UnseenRunner:
    """A runner that may have runs which the sender does not know.

    They were started by earlier schedulers and end within `remaining_ms`.
    """

    runner_id: str
    remaining_ms: Milliseconds


@attrs.frozen
class EndedJob:
    """A job that must not start again, and its outcome."""

    job_id: str
    outcome: str


@register_message("handover")
@attrs.frozen
class Handover(Message):
    """The progress of open jobs, from a scheduler that stops or steps down.

    `revision` is its leadership revision. If it was not `acting`, no other runs were
    started under that leadership. Apart from `unseen_runners`, the message covers the
    runs of earlier schedulers as well; if this is None, as from earlier releases, it
    covers those of no runner. `ended_jobs` are the jobs that completed or failed
    recently, or that their callers have cancelled; earlier releases send none.
    """

    revision: int
    acting: bool
    zone_epochs: tuple[ZoneEpoch, ...]
    jobs: tuple[JobProgress, ...]
    unseen_runners: tuple[UnseenRunner, ...] | None = None
    ended_jobs: tuple[EndedJob, ...] = ()


@register_message("moved")
@attrs.frozen
class LeadershipMoved(Message):
    """Leadership has moved; the receiver must connect to the new scheduler."""

    name: str
    peers_address: str
    revision: int
