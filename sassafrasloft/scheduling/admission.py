"""Which job is refused, and when its caller may come back.

Load pattern: a burst, or the loss of runners, brings more jobs than can be in
time. A caller that is refused early can still be served elsewhere or later; one
that waits in vain has lost its time.
"""

import math
from abc import ABC, abstractmethod

import attrs

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.scheduling.lateness import is_late
from sassafrasloft.scheduling.registry import PolicyRegistry

_SECOND_MS = 1_000


@attrs.frozen
class Refusal:
    """Why a job is refused and when its caller may come back."""

    reason: str
    retry_after_s: int


class Admission(ABC):
    """Decides how long a job may wait for its first task to start."""

    @abstractmethod
    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Return a refusal if it is already known that the job cannot be served."""

    def while_waiting(
        self, job: ScheduledJob, work_ahead: float, board: InstanceBoard
    ) -> Refusal | None:
        """Return a refusal once it is known that a waiting job cannot be served.

        Parameters
        ----------
        work_ahead : float
            Millicore-milliseconds that go before the job.
        """
        return None

    @abstractmethod
    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return until when a job that has not begun may wait."""


ADMISSIONS: PolicyRegistry[Admission] = PolicyRegistry("admission")


@ADMISSIONS.register("until_deadline")
class UntilDeadline(Admission):
    """Lets jobs wait as long as their callers do; the baseline."""

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse nothing."""
        return None

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return the deadline less the work."""
        return job.deadline_at - job.work_ms


@ADMISSIONS.register("share_of_objective")
class ShareOfObjective(Admission):
    """Lets a job wait for a share of its objective.

    Within that time a refusal still leaves its caller most of the time for
    another attempt, and room that comes free lets most jobs be in time.
    """

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse above the limit of open jobs and after the caller's deadline."""
        return _refusal_in_any_case(job, board)

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return the end of the share of an objective that is surely allowed."""
        return job.arrived_at + board.tuning.sure_wait_ms(job.route, job.work_ms)


@ADMISSIONS.register("while_in_time")
class WhileInTime(Admission):
    """Lets a job wait while it can still be in time, if room is to be expected.

    Room comes free at any moment, so that a short wait saves most jobs of a burst.
    A job is refused on arrival if the work ahead of it takes longer than that. One
    that is late already waits while its caller does, if its turn comes in that time.
    """

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse a job that would be late behind the work that goes before it."""
        refusal = _refusal_in_any_case(job, board)
        if refusal is None:
            refusal = self._on_wait(job, expected_wait_ms(job, board), board)
        return refusal

    def while_waiting(
        self, job: ScheduledJob, work_ahead: float, board: InstanceBoard
    ) -> Refusal | None:
        """Refuse a late job once new ones have taken the room that it waited for."""
        if not job.repeated:
            return None
        room = _capacity(job.route.service, board)
        if not room:
            return None
        return self._on_wait(job, work_ahead / room, board)

    def _on_wait(
        self, job: ScheduledJob, wait_ms: float, board: InstanceBoard
    ) -> Refusal | None:
        latest = self.latest_start(job, board)
        if job.repeated:
            left = _share_left(job.route.service, board)
            too_long = wait_ms > left * (latest - board.now)
        else:
            too_long = wait_ms > LATE_FACTOR * (latest - job.arrived_at) - (
                board.now - job.arrived_at
            )
        if not too_long:
            return None
        reason = f"the work ahead takes {wait_ms:.0f} ms"
        return Refusal(reason, retry_after_s(board))

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return when the job has to start to be in time, as far as is known."""
        return job.arrived_at + self._slack(job, board)

    def _slack(self, job: ScheduledJob, board: InstanceBoard) -> float:
        latest = job.deadline_at - job.arrived_at - job.work_ms
        if job.repeated:
            return max(0.0, latest)
        slack = job.objective_ms - job.work_ms - board.tuning.wait_margin_ms
        return max(0.0, min(slack, latest))


LEAST_SHARE_LEFT = 0.1
"""Of the room, for late jobs: some new ones are refused or cancelled."""
LATE_FACTOR = 2.0
"""Work ahead is often refused or cancelled before it runs: only a wait of this many
times the slack is taken as certain to be too long."""


def _refusal_in_any_case(job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
    if len(board.jobs.open) >= board.tuning.most_open_jobs:
        return Refusal("too many open jobs", retry_after_s(board))
    if board.now >= job.deadline_at:
        return Refusal("the caller's deadline has passed", retry_after_s(board))
    return None


def expected_wait_ms(job: ScheduledJob, board: InstanceBoard) -> float:
    """Return how long the runners are busy with waiting work that goes first."""
    service = job.route.service
    room = _capacity(service, board)
    if not room:
        return 0.0
    late = is_late(job, board.now)
    return board.jobs.backlog.ahead(service, late, job.priority) / room


def _capacity(service: str, board: InstanceBoard) -> int:
    return board.jobs.backlog.room(service, board.pool, board.now)


def _share_left(service: str, board: InstanceBoard) -> float:
    """Return the share of the room that new jobs leave to late ones."""
    room = _capacity(service, board)
    busy = board.jobs.new_work.millicores(service, board.now)
    return max(LEAST_SHARE_LEFT, 1.0 - busy / room) if room else LEAST_SHARE_LEFT


def retry_after_s(board: InstanceBoard) -> int:
    """Return when a refused caller may come back: once the waiting work is done."""
    backlog = board.jobs.backlog
    room = backlog.total_room(board.pool, board.now)
    seconds = math.ceil(backlog.total() / room / _SECOND_MS) if room else 0
    return max(board.tuning.shortest_retry_after_s, seconds)
