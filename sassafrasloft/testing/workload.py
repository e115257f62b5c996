"""Random jobs with known run times, and their ideal response times."""

import heapq
from random import Random

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import JobSpec, TaskSpec


@attrs.frozen
class Workload:
    """Distribution of the jobs that callers submit.

    Parameters
    ----------
    load : float
        Mean share of all slots that the jobs occupy.
    max_tasks : int
        Upper limit of the number of tasks of a job, which is log-uniform from 1.
    declared_error_factor : float
        Maximum factor between declared and true run times, in either direction.
    long_task_share : float
        Share of tasks that take 1 to 5 s; the others take 50 ms to 1 s.
    teams : int
        Number of teams among which the jobs are distributed.
    deadline_ms : int
        Deadline of each job.
    """

    load: float = 0.3
    max_tasks: int = 340
    declared_error_factor: float = 2.0
    long_task_share: float = 0.01
    teams: int = 8
    deadline_ms: Milliseconds = 120_000


@attrs.frozen
class PlannedJob:
    """A job with its arrival time and the true run times of its tasks.

    Parameters
    ----------
    token : str
        Identifies the job. It is part of each task name and result, so that an
        answer that reaches the wrong caller is recognized.
    arrival_ms : float
        Time from the start of the workload to the submission of the job.
    spec : JobSpec
        The job as its caller submits it, with declared run times.
    true_run_ms : tuple of int
        True run time of each task.
    """

    token: str
    arrival_ms: float
    spec: JobSpec
    true_run_ms: tuple[Milliseconds, ...]


SHORT_RUN_MS = (50, 1_000)
LONG_RUN_MS = (1_000, 5_000)


def draw_job(
    workload: Workload, token: str, arrival_ms: float, random: Random
) -> PlannedJob:
    """Draw the size, run times and team of one job."""
    size = max(1, round(workload.max_tasks ** random.random()))
    tasks = []
    true_run_ms = []
    for index in range(size):
        bounds = (
            LONG_RUN_MS if random.random() < workload.long_task_share else SHORT_RUN_MS
        )
        run_ms = random.randint(*bounds)
        error = workload.declared_error_factor ** random.uniform(-1, 1)
        tasks.append(
            TaskSpec(
                name=f"{token}/{index}",
                payload=f"run_ms={run_ms}",
                run_ms=max(1, round(run_ms * error)),
                idempotent=random.random() < 0.5,
            )
        )
        true_run_ms.append(run_ms)
    team = f"team-{random.randrange(workload.teams)}"
    spec = JobSpec(team, tuple(tasks), workload.deadline_ms)
    return PlannedJob(token, arrival_ms, spec, tuple(true_run_ms))


def mean_work_ms(workload: Workload, random: Random, samples: int = 2_000) -> float:
    """Return the mean total run time of the tasks of a job."""
    drawn = (draw_job(workload, "sample", 0, random) for _ in range(samples))
    return sum(sum(job.true_run_ms) for job in drawn) / samples


def draw_jobs(
    workload: Workload, slots: int, duration_ms: float, random: Random
) -> list[PlannedJob]:
    """Draw the jobs that arrive within a duration, by a Poisson process."""
    gap_ms = mean_work_ms(workload, Random(17)) / (slots * workload.load)
    jobs: list[PlannedJob] = []
    now = random.expovariate(1 / gap_ms)
    while now < duration_ms:
        jobs.append(draw_job(workload, f"job-{len(jobs)}", now, random))
        now += random.expovariate(1 / gap_ms)
    return jobs


def ideal_response_ms(
    job: PlannedJob, slots: int, client_ms: float, runner_ms: float
) -> float:
    """Return the ideal response time of a job on an idle service.

    The makespan of longest-task-first scheduling on all slots is at most 4/3 of
    the optimum, and equals it if the job has no more tasks than slots. The ideal
    is the smaller of this makespan and a lower bound of the optimum, so that it
    never makes the measured system look better than it is.

    Parameters
    ----------
    slots : int
        Number of slots of all runners.
    client_ms, runner_ms : float
        One-way latency between a caller and an entry instance, and between an
        entry instance and a runner in the same zone.
    """
    ordered = sorted(job.true_run_ms, reverse=True)
    bound = max(ordered[0], sum(ordered) / slots)
    if len(ordered) > slots:
        bound = max(bound, ordered[slots - 1] + ordered[slots])
    makespan = _longest_first_makespan(ordered, slots)
    return min(bound, makespan) + 2 * client_ms + 2 * runner_ms


def _longest_first_makespan(ordered: list[int], slots: int) -> float:
    if len(ordered) <= slots:
        return ordered[0]
    ends = list(ordered[:slots])
    heapq.heapify(ends)
    for run_ms in ordered[slots:]:
        heapq.heapreplace(ends, ends[0] + run_ms)
    return max(ends)
