"""Admission policies: which jobs are refused, and when their callers may retry.

Load pattern: a burst or the loss of runners leaves more jobs than can be on time. A
caller that is refused early can still be served elsewhere or later, whereas one that
is refused after a long wait has lost that time.
"""

import math
from abc import ABC, abstractmethod

import attrs

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.scheduling.evacuated_runners import has_only_evacuated_runners
from sassafrasloft.scheduling.jobs import ScheduledJob
from sassafrasloft.scheduling.lateness import is_late
from sassafrasloft.scheduling.registry import PolicyRegistry

_SECOND_MS = 1_000


@attrs.frozen
class Refusal:
    """Why a job is refused and after how many seconds its caller may retry."""

    reason: str
    retry_after_s: int


class Admission(ABC):
    """Decides whether a job is admitted and until when it may wait to start."""

    @abstractmethod
    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Return a refusal if the job cannot be served, as known on its arrival."""

    def while_waiting(
        self, job: ScheduledJob, work_ahead: float, board: InstanceBoard
    ) -> Refusal | None:
        """Return a refusal if a waiting job can no longer be served.

        Parameters
        ----------
        work_ahead : float
            Work that goes before the job, in millicore-milliseconds.
        """
        return None

    @abstractmethod
    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return until when a job that has not started may wait."""


ADMISSIONS: PolicyRegistry[Admission] = PolicyRegistry("admission")


@ADMISSIONS.register("until_deadline")
class UntilDeadline(Admission):
    """Lets jobs wait as long as their callers do; the baseline policy."""

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse nothing."""
        return None

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return the caller's deadline less the duration of the critical path."""
        return job.deadline_at - job.critical_path_ms


@ADMISSIONS.register("share_of_objective")
class ShareOfObjective(Admission):
    """Lets a job wait for a share of its objective.

    A refusal within that share leaves the caller most of its time for another attempt,
    and capacity that becomes free within it lets most jobs be on time.
    """

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse above the limit of open jobs and after the caller's deadline."""
        return _unconditional_refusal(job, board)

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return the end of the share of the objective for which a job may wait."""
        return job.arrived_at + board.tuning.guaranteed_wait_ms(
            job.route, job.critical_path_ms
        )


@ADMISSIONS.register("while_in_time")
class WhileInTime(Admission):
    """Lets a job wait while it can still be on time and capacity is expected.

    Capacity becomes free continually, so that most jobs of a burst can be served after
    a short wait. A job is refused on arrival if the work ahead of it takes longer than
    the job can wait. A caller retry, which is late already, waits until its caller's
    deadline if it is expected to start by then.
    """

    def on_arrival(self, job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
        """Refuse a job that the work ahead of it would certainly make late."""
        refusal = _unconditional_refusal(job, board)
        if refusal is None:
            refusal = self._refusal_for_wait(job, expected_wait_ms(job, board), board)
        return refusal

    def while_waiting(
        self, job: ScheduledJob, work_ahead: float, board: InstanceBoard
    ) -> Refusal | None:
        """Refuse a job that no runner may take any more.

        A caller retry is also refused once new jobs have taken the capacity that it
        waited for.
        """
        if has_only_evacuated_runners(job, board.pool):
            return _evacuated_refusal(job, board)
        if not job.is_caller_retry:
            return None
        service_capacity = _service_capacity(job.route.service, board)
        if not service_capacity:
            return None
        return self._refusal_for_wait(job, work_ahead / service_capacity, board)

    def _refusal_for_wait(
        self, job: ScheduledJob, wait_ms: float, board: InstanceBoard
    ) -> Refusal | None:
        latest = self.latest_start(job, board)
        if job.is_caller_retry:
            share = _retry_share(job.route.service, board)
            too_long = wait_ms > share * (latest - board.now)
        else:
            too_long = wait_ms > MAX_WAIT_TO_SLACK_RATIO * (latest - job.arrived_at) - (
                board.now - job.arrived_at
            )
        if not too_long:
            return None
        reason = f"the work ahead takes {wait_ms:.0f} ms"
        return Refusal(reason, retry_after_s(job, board))

    def latest_start(self, job: ScheduledJob, board: InstanceBoard) -> float:
        """Return when the job has to start to be on time, by its estimated duration."""
        return job.arrived_at + self._slack(job, board)

    def _slack(self, job: ScheduledJob, board: InstanceBoard) -> float:
        latest = job.deadline_at - job.arrived_at - job.critical_path_ms
        if job.is_caller_retry:
            return max(0.0, latest)
        slack = job.objective_ms - job.critical_path_ms - board.tuning.wait_margin_ms
        return max(0.0, min(slack, latest))


MIN_RETRY_SHARE = 0.1
"""Minimum share of the capacity that is assumed to be left for caller retries: some of
the new jobs are refused or cancelled and do not use theirs."""
MAX_WAIT_TO_SLACK_RATIO = 2.0
"""Ratio of expected wait to slack above which a wait is certainly too long. It is above
1 since work ahead is often refused or cancelled before it runs."""


def _unconditional_refusal(job: ScheduledJob, board: InstanceBoard) -> Refusal | None:
    if len(board.jobs.open) >= board.tuning.most_open_jobs:
        return Refusal("too many open jobs", retry_after_s(job, board))
    if board.now >= job.deadline_at:
        reason = "the caller's deadline has passed"
        return Refusal(reason, retry_after_s(job, board))
    if has_only_evacuated_runners(job, board.pool):
        return _evacuated_refusal(job, board)
    return None


def _evacuated_refusal(job: ScheduledJob, board: InstanceBoard) -> Refusal:
    reason = "all runners for it are in evacuated zones"
    return Refusal(reason, retry_after_s(job, board))


def expected_wait_ms(job: ScheduledJob, board: InstanceBoard) -> float:
    """Return how long the runners need for the waiting work ahead of a job."""
    service = job.route.service
    service_capacity = _service_capacity(service, board)
    if not service_capacity:
        return 0.0
    late = is_late(job, board.now)
    return board.jobs.backlog.ahead(service, late, job.priority) / service_capacity


def _service_capacity(service: str, board: InstanceBoard) -> int:
    return board.jobs.backlog.service_capacity(service, board.pool, board.now)


def _retry_share(service: str, board: InstanceBoard) -> float:
    """Return the share of the capacity that new jobs leave to caller retries."""
    service_capacity = _service_capacity(service, board)
    busy = board.jobs.new_job_rate.millicores(service, board.now)
    return (
        max(MIN_RETRY_SHARE, 1.0 - busy / service_capacity)
        if service_capacity
        else MIN_RETRY_SHARE
    )


def retry_after_s(job: ScheduledJob, board: InstanceBoard) -> int:
    """Return after how many seconds the caller of a refused job may retry.

    By then the runners have done the work that waits now, and there is room for the job
    beside the other callers that were refused. Without any runner, refused callers
    are spread all the same.
    """
    backlog = board.jobs.backlog
    total_capacity = backlog.total_capacity(board.pool, board.now)
    seconds = (
        math.ceil(backlog.total() / total_capacity / _SECOND_MS)
        if total_capacity
        else 0
    )
    service = job.route.service
    busy = board.jobs.new_job_rate.millicores(service, board.now)
    return board.jobs.return_times.promise(
        service,
        job.declared_work,
        max(board.tuning.shortest_retry_after_s, seconds),
        _service_capacity(service, board) - busy,
        board.now,
    )
