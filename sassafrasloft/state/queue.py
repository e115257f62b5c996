"""State of the queue of waiting tasks, of team usage and of slot lending."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import TaskKey


@attrs.define
class WaitingJob:
    """The waiting tasks of one job, in placement order."""

    submission_id: str
    team: str
    arrival: int
    keys: list[TaskKey]
    arrived_ms: Milliseconds = 0
    task_ms: float = 0.0
    """Estimated mean run time of the tasks, from completed ones."""
    order_key: float = 0.0
    """Sort key among the jobs of the team; smaller keys are placed first."""
    fits_anywhere: bool = True
    """Whether each of the tasks fits the smallest runner."""
    proofs: dict[int, int] = attrs.field(factory=dict)
    """Number of placements proved not to have started the task, by task index."""
    excluded_runners: dict[int, tuple[str, ...]] = attrs.field(factory=dict)
    """Runners that guaranteed never to start the task, by task index."""
    budgeted_returns: dict[int, int] = attrs.field(factory=dict)
    """Like `proofs`, without refusals that say nothing about the task."""
    limited_returns: dict[int, int] = attrs.field(factory=dict)
    """Setbacks that count towards `max_placements`, by task index."""

    @property
    def work_ms(self) -> float:
        """The estimated total run time of the waiting tasks."""
        return len(self.keys) * self.task_ms


@attrs.define
class SentTask:
    """The share of a task in flight in the usage of its team."""

    team: str
    estimate_ms: float


@attrs.define
class TeamUse:
    """The present usage of a team, on this instance and on others.

    Parameters
    ----------
    served : float
        Virtual time: the work placed for the team, divided by its weight.
    learned_run_ms, learned_declared_ms, learned_tasks : float
        Exponentially decaying sums over the completed tasks of the team.
    """

    running: int = 0
    running_elsewhere: int = 0
    waiting: int = 0
    served: float = 0.0
    waiting_work_ms: float = 0.0
    learned_run_ms: float = 0.0
    learned_declared_ms: float = 0.0
    learned_tasks: float = 0.0


@attrs.define
class LentSlots:
    """Slots of this instance's home runners that are lent to a peer.

    Parameters
    ----------
    slots : dict of str to int
        Number of slots by runner, including occupied ones.
    last_heard_at : Milliseconds
        When the peer last reported which slots it occupies.
    """

    slots: dict[str, int] = attrs.field(factory=dict)
    heard_ms: Milliseconds = -1


@attrs.define
class BorrowedSlots:
    """Slots of a peer's home runners that are lent to this instance.

    Parameters
    ----------
    slots : dict of str to int
        Number of slots by runner, including occupied ones. New tasks may be
        placed on them until `until_ms`.
    request_sent_ms : Milliseconds
        When the request that awaits its reply was sent; -1 if none is open.
    next_request_ms : Milliseconds
        Earliest time of the next request for slots.
    reported_slots, reported_ms : dict of str to int
        Occupied slots as last reported to the peer, and the time of the report.
    sequence : int
        Number of the last request; an offer with another number is outdated.
    """

    slots: dict[str, int] = attrs.field(factory=dict)
    until_ms: Milliseconds = -1
    request_sent_ms: Milliseconds = -1
    next_request_ms: Milliseconds = -1
    reported_slots: dict[str, int] = attrs.field(factory=dict)
    reported_ms: Milliseconds = -1
    sequence: int = 0


@attrs.define
class WaitingQueue:
    """Waiting jobs, the usage of each team and lent and borrowed slots.

    Parameters
    ----------
    jobs : dict of str to WaitingJob
        Waiting jobs by submission id, in order of arrival.
    run_ms_ratio : float
        Estimated ratio of actual to declared run time.
    sent : dict of TaskKey to SentTask
        Tasks in flight, by task key.
    held : dict of str to None
        Jobs with only tasks to be placed again, deferred while the retry budget
        is exhausted.
    peers_teams : dict of str to dict of str to int
        Usage of each team by each peer, as reported in its last gossip.
    loans : dict of str to Loan
        Slots of home runners lent to peers, by peer.
    borrowed : dict of str to Borrowed
        Slots lent by peers, by peer.
    homes_changed_ms : Milliseconds
        When the set of home runners of this instance last changed.
    """

    jobs: dict[str, WaitingJob] = attrs.field(factory=dict)
    teams: dict[str, TeamUse] = attrs.field(factory=dict)
    waiting_tasks: int = 0
    arrivals: int = 0
    run_ms_ratio: float = 1.0
    retry_tokens: float = 10.0
    retry_tokens_ms: Milliseconds = 0
    virtual_time: float = 0.0
    live_instances: int = 1
    learned_run_ms: float = 0.0
    learned_declared_ms: float = 0.0
    sent: dict[TaskKey, SentTask] = attrs.field(factory=dict)
    held: dict[str, None] = attrs.field(factory=dict)
    peers_teams: dict[str, dict[str, int]] = attrs.field(factory=dict)
    peers_heard_ms: dict[str, Milliseconds] = attrs.field(factory=dict)
    loans: dict[str, LentSlots] = attrs.field(factory=dict)
    borrowed: dict[str, BorrowedSlots] = attrs.field(factory=dict)
    homes_changed_ms: Milliseconds = 0
    slot_requests: int = 0
