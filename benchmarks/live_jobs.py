"""Jobs of many callers at a time, submitted to a live service."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random

import attrs
from returns.result import Success

from benchmarks.live_service import LiveService, make_job
from sassafrasloft.callers import JobSubmission, SubmissionLimits
from sassafrasloft.clock import SystemClock
from sassafrasloft.jobs import Answer, Fate, JobSpec

LIMITS = SubmissionLimits(wait_ms=2_000, give_up_ms=40_000)


@attrs.frozen
class LiveJob:
    """One job, the instance that issued its id, and whom its caller asks."""

    submission_id: str
    job: JobSpec
    order: tuple[str, ...]


@attrs.frozen
class LiveOutcome:
    """How a job ended for its caller.

    Parameters
    ----------
    answer : Answer or None
        None if the caller gave up without an answer.
    """

    live: LiveJob
    answer: Answer | None
    took_s: float

    @property
    def fate(self) -> str:
        """The fate, or that there is none."""
        return "no_answer" if self.answer is None else self.answer.fate.value

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete, with the result of each task in order."""
        if self.answer is None or self.answer.fate is not Fate.COMPLETE:
            return False
        results = [outcome.result for outcome in self.answer.outcomes]
        return results == [f"done {task.name}" for task in self.live.job.tasks]

    @property
    def is_typed_failure(self) -> bool:
        """Whether the job failed finally, with a kind and without any result."""
        answer = self.answer
        if answer is None or not answer.final or answer.outcomes:
            return False
        failed = answer.fate in (Fate.NOT_RUN, Fate.MAY_HAVE_RUN)
        return failed and bool(answer.kind)


def prepare_jobs(
    service: LiveService,
    count: int,
    tasks: int,
    random: Random,
    longest_ms: int = 1_000,
) -> list[LiveJob]:
    """Return jobs with ids, spread over all instances."""
    names = list(service.instances)
    jobs = []
    for n in range(count):
        owner = names[n % len(names)]
        others = tuple(name for name in names if name != owner)
        submission_id = service.client(owner).new_ids().unwrap()[0]
        run_ms = [random.randint(50, longest_ms) for _ in range(tasks)]
        jobs.append(
            LiveJob(submission_id, make_job(f"job{n}", run_ms), (owner, *others))
        )
    return jobs


def submit_job(
    service: LiveService, live: LiveJob, order: tuple[str, ...] | None = None
) -> LiveOutcome:
    """Submit a job as a caller does, with resubmission under the same id."""
    clock = SystemClock()
    submission = JobSubmission(
        service.client(*(order or live.order)),
        clock,
        lambda delay_ms: time.sleep(delay_ms / 1000),
        Random(live.submission_id),
        limits=LIMITS,
    )
    started = clock.now()
    result = submission.submit(live.submission_id, live.job)
    answer = result.unwrap() if isinstance(result, Success) else None
    return LiveOutcome(live, answer, (clock.now() - started) / 1000)


def submit_all(
    service: LiveService, jobs: list[LiveJob], meanwhile: Callable[[], None]
) -> list[LiveOutcome]:
    """Submit jobs at the same time; do something while they run."""
    with ThreadPoolExecutor(len(jobs)) as threads:
        futures = [threads.submit(submit_job, service, one) for one in jobs]
        meanwhile()
        return [future.result() for future in futures]


def wait_for_starts(service: LiveService, least: int, timeout_s: float = 10.0) -> None:
    """Return once the runners started so many tasks."""
    deadline = time.monotonic() + timeout_s
    while service.starts().starts < least:
        if time.monotonic() > deadline:
            raise RuntimeError(f"fewer than {least} tasks started in {timeout_s} s")
        threading.Event().wait(0.02)


def false_not_run(service: LiveService, outcomes: list[LiveOutcome]) -> list[str]:
    """Return the jobs that were said not to have run although a task started."""
    started = Counter(one["submission_id"] for one in service.start_records())
    return [
        one.live.submission_id
        for one in outcomes
        if one.fate == Fate.NOT_RUN.value and started[one.live.submission_id]
    ]
