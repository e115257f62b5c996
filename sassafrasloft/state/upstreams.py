"""State of the runners, as seen by this instance."""

from enum import StrEnum

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import TaskKey
from sassafrasloft.messages import Gossip
from sassafrasloft.settings import RunnerSettings


class Health(StrEnum):
    """Whether a runner may be given tasks, and if not, why."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    UNREACHABLE = "unreachable"


@attrs.define
class InFlight:
    """A task that was sent to a runner and has not ended."""

    delivery_id: str
    sent_ms: Milliseconds
    overdue_ms: Milliseconds
    runner_incarnation: str
    first_query_ms: Milliseconds = -1
    """When the state of the task was first queried; -1 if it was not."""
    query_count: int = 0
    is_query_pending: bool = False
    """Whether a query of the task's state awaits its reply."""
    connection_open: bool = True
    unreachable_ms: Milliseconds = -1
    """Start of the time without replies to queries; -1 if the last one got one."""


@attrs.frozen
class ScheduledQuery:
    """A task whose state is queried if there is no report by `due_ms`."""

    key: TaskKey
    runner: str
    due_ms: Milliseconds


@attrs.define
class RunnerState:
    """The known state of one runner.

    Parameters
    ----------
    free_slots : int
        Free slots according to the runner's last reply.
    free_known_ms : Milliseconds
        Time of that reply; -1 if the number is not known.
    peers_running : int
        Tasks of other instances in flight there, according to their last gossip.
    others_running : int
        Tasks of other instances in flight there, according to the runner's last
        reply.
    recent_sends : list of int
        Times at which tasks were sent that the last reply may not account for.
    failure_share : float
        Moving average of the share of failures among ended tasks, from 0 to 1.
    last_failed_job : str
        The job of the last failure. Further failures of the same job are not
        counted as evidence against the runner.
    peers_ejecting : int
        Number of peers that report to have ejected this incarnation.
    busy_until_ms, busy_delay_ms : Milliseconds
        Time until which no tasks are sent after a refusal as busy, and the delay
        that led to it.
    on_probation : bool
        Whether the runner is on probation after it returned to service; it gets
        one task at a time.
    incarnation_seen_ms : Milliseconds
        When this instance first saw the present process of the runner.
    trusted : bool
        Whether that process may be given tasks; see `sassafrasloft.upstreams`.
    retired : bool
        Whether the runner was removed from the settings and is kept only until
        its tasks in flight have ended.
    """

    settings: RunnerSettings
    incarnation: str = ""
    free_slots: int = 0
    free_known_ms: Milliseconds = -1
    in_flight: dict[TaskKey, InFlight] = attrs.field(factory=dict)
    deliveries: dict[str, int] = attrs.field(factory=dict)
    """Number of tasks without a report by open delivery.

    Each open delivery occupies a connection.
    """
    peers_running: int = 0
    leaving: bool = False
    leaving_since_ms: Milliseconds = -1
    leaving_source: str = ""
    health: Health = Health.HEALTHY
    consecutive_failures: int = 0
    ejected_until_ms: Milliseconds = 0
    ejections: int = 0
    reason: str = ""
    others_running: int = 0
    recent_sends: list[Milliseconds] = attrs.field(factory=list)
    failure_share: float = 0.0
    ended_tasks: int = 0
    last_ended_ms: Milliseconds = -1
    last_failed_job: str = ""
    peers_ejecting: int = 0
    busy_until_ms: Milliseconds = 0
    busy_delay_ms: Milliseconds = 0
    on_probation: bool = False
    probing: bool = False
    failed_probes: int = 0
    retired: bool = False
    incarnation_seen_ms: Milliseconds = -1
    trusted: bool = True


@attrs.frozen
class DeliverySpan:
    """The span of a traced, open delivery."""

    trace_id: str
    span_id: str
    parent_id: str
    start_ms: Milliseconds


@attrs.define
class UpstreamTable:
    """All runners by name, in the order of the settings.

    Parameters
    ----------
    due : dict of int to list of ScheduledQuery
        Tasks whose state is to be queried, in buckets by time; `due_times` is a
        heap of the times. Entries of ended tasks are skipped when they are due.
    due_timer_ms : Milliseconds
        When the timer for the earliest query fires; -1 if none is set.
    probe_due : dict of str to int
        When each runner that is out of service is probed next, by name.
    peers_gossip : dict of str to Gossip
        The last gossip of each peer, as included in the state of the runners.
    peers_heard_ms : dict of str to int
        When that gossip arrived, by peer.
    unfenced_ms : Milliseconds
        When the present incarnation was last known not to be fenced everywhere.
    untrusted : dict of str to None
        Runners whose present process may have lost the record of a fence, in
        order.
    spans : dict of str to DeliverySpan
        The spans of open deliveries that are traced, by delivery id.
    generation : int
        Counter that increases whenever the set of runners changes.
    """

    runners: dict[str, RunnerState] = attrs.field(factory=dict)
    due: dict[Milliseconds, list[ScheduledQuery]] = attrs.field(factory=dict)
    due_times: list[Milliseconds] = attrs.field(factory=list)
    due_timer_ms: Milliseconds = -1
    probe_due: dict[str, Milliseconds] = attrs.field(factory=dict)
    probe_timer_ms: Milliseconds = -1
    peers_gossip: dict[str, Gossip] = attrs.field(factory=dict)
    peers_heard_ms: dict[str, Milliseconds] = attrs.field(factory=dict)
    unfenced_ms: Milliseconds = 0
    untrusted: dict[str, None] = attrs.field(factory=dict)
    spans: dict[str, DeliverySpan] = attrs.field(factory=dict)
    generation: int = 0
