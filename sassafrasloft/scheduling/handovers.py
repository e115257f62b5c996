"""Reports of jobs and runs from a scheduler that stops to the next ones.

Load pattern: schedulers are stopped or fail one shortly after the other, while some
runners cannot be reached. The second one has not seen all runs of the first one, so
that its report passes on what it was told, and names the runners that it has not seen.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.messages import (
    EndedJob,
    Handover,
    JobProgress,
    UnseenRunner,
)
from sassafrasloft.scheduling.inherited_jobs import (
    InheritedJob,
    PossibleRuns,
    remaining_runs,
)
from sassafrasloft.scheduling.jobs import JobOutcome, ScheduledJob, TaskState
from sassafrasloft.scheduling.predecessor_runs import (
    has_only_known_runs,
    unseen_runners,
)

ENDED_JOBS_MS = 1_000
"""Jobs that ended within this time are reported. Their answers may be under way to
instances that have already left the scheduler and submit the jobs again."""
FINAL_OUTCOMES = frozenset({JobOutcome.COMPLETED, JobOutcome.FAILED})
"""Outcomes after which a job is not started again."""
_NOTHING_INHERITED = InheritedJob()


def lease_expiry_ms(board: InstanceBoard) -> Milliseconds:
    """Return the time after which leases that were just renewed have expired."""
    return board.settings.longest_lease_ms + board.tuning.lapse_margin_ms


# Sending


def report_unseen_runners(board: InstanceBoard) -> tuple[UnseenRunner, ...] | None:
    """Return the runners whose runs the report does not cover; None if it may be any.

    Runs of this scheduler are covered on all runners.
    """
    unseen = unseen_runners(board)
    if unseen is None:
        return None
    return tuple(
        UnseenRunner(runner_id, max(0, until - board.now))
        for runner_id, until in unseen.items()
    )


def report_ended_jobs(board: InstanceBoard) -> tuple[EndedJob, ...]:
    """Return the jobs that must not start again.

    These are the ones whose answers may not have reached their instances, and those
    that their callers have cancelled.
    """
    oldest = board.now - ENDED_JOBS_MS
    ended = [
        EndedJob(job_id, outcome.value)
        for job_id, (outcome, ended_at) in board.jobs.answers.items()
        if ended_at >= oldest and outcome in FINAL_OUTCOMES
    ]
    cancelled = JobOutcome.CANCELLED.value
    ended += [EndedJob(one, cancelled) for one in board.jobs.cancelled.newest()]
    return tuple(ended)


def report_jobs(board: InstanceBoard) -> tuple[JobProgress, ...]:
    """Return the state of jobs and runs that the next scheduler needs.

    Runs that are being stopped may belong to jobs that are no longer open; such jobs
    are listed without completed tasks. A job of which nothing is to be reported is
    listed if the next scheduler could not tell that it has no runs.
    """
    runs = _runs_by_job(board)
    covers_all = unseen_runners(board) == {}
    now = board.now
    reports = [
        _report(
            job_id,
            _inherited_by_next(job, covers_all),
            runs.pop(job_id, {}),
            now,
        )
        for job_id, job in board.jobs.open.items()
    ]
    reports += [
        _report(job_id, known, runs.pop(job_id, {}), now)
        for job_id, known in board.jobs.inherited.items()
    ]
    reports += [
        _report(job_id, _NOTHING_INHERITED, runs_of_job, now)
        for job_id, runs_of_job in runs.items()
    ]
    return tuple(one for one in reports if _is_needed(one, covers_all))


def _runs_by_job(board: InstanceBoard) -> dict[str, PossibleRuns]:
    """Return the runs that this scheduler started or saw, by job."""
    until = board.now + lease_expiry_ms(board)
    runs: dict[str, PossibleRuns] = {}
    for run in (*board.pool.live_runs.values(), *board.pool.orphans.values()):
        runs_of_job = runs.setdefault(run.task.partition(".")[0], {})
        runs_of_job[run.task] = {run.runner_id: until}
    return runs


def _inherited_by_next(job: ScheduledJob, covers_all: bool) -> InheritedJob:
    """Return what the next scheduler inherits of a job, apart from its runs."""
    done = [one for one in job.tasks.values() if one.state is TaskState.DONE]
    others = [one for one in job.tasks.values() if one.state is not TaskState.DONE]
    return InheritedJob(
        tuple(one.name for one in done),
        {one.name: one.deferral() for one in others if one.run is None},
        covers_all or has_only_known_runs(job),
    )


def _report(
    job_id: str, known: InheritedJob, runs: PossibleRuns, now: Milliseconds
) -> JobProgress:
    # A run that this scheduler started or saw is the only one of its task.
    possible_runs = remaining_runs({**known.possible_runs, **runs}, now)
    tasks = dict.fromkeys(one.task for one in possible_runs)
    return JobProgress(job_id, known.done, tuple(tasks), possible_runs, known.complete)


def _is_needed(progress: JobProgress, covers_all: bool) -> bool:
    has_content = progress.done or progress.running or progress.possible_runs
    return bool(has_content) or (progress.complete and not covers_all)


# Receiving


def record_handover(
    message: Handover, board: InstanceBoard
) -> list[tuple[ScheduledJob, InheritedJob]]:
    """Record the report of another scheduler; return what it says of open jobs.

    Only the report of the direct predecessor shows which runs may still exist; one of
    an earlier holder of leadership does not cover later runs.
    """
    replaced = board.leadership.replaced_revision
    is_direct = not message.acting and 0 < replaced == message.revision
    unseen = message.unseen_runners
    board.log(
        "handover_received",
        revision=message.revision,
        acting=message.acting,
        predecessor=is_direct,
        jobs=len(message.jobs),
        ended_jobs=len(message.ended_jobs),
        unseen_runners=-1 if unseen is None else len(unseen),
    )
    if is_direct and unseen is not None:
        board.jobs.unseen_by_predecessor = {
            one.runner_id: board.now + one.remaining_ms for one in unseen
        }
    if not message.acting and message.revision > 0 and unseen == ():
        board.jobs.reported_revisions.add(message.revision)
    return _record_jobs(message, is_direct, board)


def _record_jobs(
    message: Handover, is_direct: bool, board: InstanceBoard
) -> list[tuple[ScheduledJob, InheritedJob]]:
    of_open_jobs = []
    jobs = board.jobs
    for progress in message.jobs:
        reported = InheritedJob.from_progress(
            progress, board.now, lease_expiry_ms(board), is_direct, message.acting
        )
        job = jobs.open.get(progress.job_id)
        if job is not None:
            of_open_jobs.append((job, reported))
        else:
            record_inherited(progress.job_id, reported, board)
    return of_open_jobs


def record_inherited(job_id: str, reported: InheritedJob, board: InstanceBoard) -> None:
    """Keep what is reported of a job until the job is submitted here."""
    jobs = board.jobs
    known = jobs.inherited.get(job_id, _NOTHING_INHERITED)
    jobs.inherited[job_id] = known.merge(reported)
    jobs.inherited_at = board.now


def release_deferred_tasks(message: Handover, board: InstanceBoard) -> None:
    """Let tasks start that were deferred until the holder of a right had reported.

    Tasks that the report lists as possible runs are deferred again when it is applied.
    """
    if message.acting or message.revision <= 0:
        return
    complete = {one.job_id for one in message.jobs if one.complete}
    for job in board.jobs.open.values():
        if job.predecessor_revision != message.revision:
            continue
        if message.unseen_runners == () or job.job_id in complete:
            for task in job.waiting:
                task.not_before = 0
                task.possible_runs = {}
