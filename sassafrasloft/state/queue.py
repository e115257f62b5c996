"""Tasks that wait for a slot."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import TaskKey


@attrs.define
class WaitingJob:
    """The waiting tasks of one job, in the order in which they are placed."""

    submission_id: str
    team: str
    arrival: int
    keys: list[TaskKey]
    arrived_ms: Milliseconds = 0
    task_ms: float = 0.0
    """Learned mean run time of its tasks."""
    order_key: float = 0.0
    """Its place in the order of its team; smaller is earlier."""
    fits_anywhere: bool = True
    """Whether each task fits the smallest runner."""
    proofs: dict[int, int] = attrs.field(factory=dict)
    """How often a task was proved not to have started, by index."""
    avoid: dict[int, tuple[str, ...]] = attrs.field(factory=dict)
    """Runners that promised never to start a task, by its index."""
    setbacks: dict[int, int] = attrs.field(factory=dict)
    """The same without refusals that say nothing about the task."""
    strikes: dict[int, int] = attrs.field(factory=dict)
    """Setbacks that count towards `max_placements`, by index."""

    @property
    def work_ms(self) -> float:
        """The learned run time of the waiting tasks."""
        return len(self.keys) * self.task_ms


@attrs.define
class SentTask:
    """What a task in flight counts for in the use of its team."""

    team: str
    estimate_ms: float


@attrs.define
class TeamUse:
    """What a team uses now, here and elsewhere.

    Parameters
    ----------
    served : float
        Virtual time: work placed for the team divided by its weight.
    learned_run_ms, learned_declared_ms, learned_tasks : float
        Decaying sums over its complete tasks.
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
class Loan:
    """Slots of home runners that a peer may occupy.

    Parameters
    ----------
    slots : dict of str to int
        By runner, the occupied ones included.
    heard_ms : Milliseconds
        When the peer last said what it occupies.
    """

    slots: dict[str, int] = attrs.field(factory=dict)
    heard_ms: Milliseconds = -1


@attrs.define
class Borrowed:
    """Slots of a peer's home runners that this instance may occupy.

    Parameters
    ----------
    slots : dict of str to int
        By runner, the occupied ones included; new work until `until_ms`.
    call_sent_at_ms : Milliseconds
        When a request without an answer was sent; -1 if none is open.
    ask_again_ms : Milliseconds
        No request before then.
    told, told_ms : dict of str to int
        What the peer was told is occupied, and when.
    sequence : int
        Of the last request; an offer with another one is late.
    """

    slots: dict[str, int] = attrs.field(factory=dict)
    until_ms: Milliseconds = -1
    asked_ms: Milliseconds = -1
    ask_again_ms: Milliseconds = -1
    told: dict[str, int] = attrs.field(factory=dict)
    told_ms: Milliseconds = -1
    sequence: int = 0


@attrs.define
class WaitingQueue:
    """Waiting jobs and the use of each team.

    Parameters
    ----------
    jobs : dict of str to WaitingJob
        By submission id, in order of arrival.
    run_ms_ratio : float
        Learned ratio of true to declared run time.
    sent : dict of TaskKey to SentTask
        Tasks in flight.
    held : dict of str to None
        Jobs that have only tasks to place again, while the budget is empty.
    peers_teams : dict of str to dict of str to int
        What the last gossip of each peer said about teams.
    loans : dict of str to Loan
        Home slots lent to peers, by peer.
    borrowed : dict of str to Borrowed
        Slots lent by peers, by peer.
    homes_changed_ms : Milliseconds
        When the home set of this instance last changed.
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
    loans: dict[str, Loan] = attrs.field(factory=dict)
    borrowed: dict[str, Borrowed] = attrs.field(factory=dict)
    homes_changed_ms: Milliseconds = 0
    slot_requests: int = 0
