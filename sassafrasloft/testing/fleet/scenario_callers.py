"""Callers of a fault scenario: they submit jobs and retry those without an answer."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.command_execution import HOST, SERVICE, TestJob
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import JobRequest, Route

ROUTES = tuple(
    Route(name, HOST, f"/{name}/", SERVICE, priority, 3, 1.6, 60, 1_500)
    for priority, name in enumerate(("short", "middle", "long"))
)
JOB_KINDS = ((ROUTES[0], 4, 60), (ROUTES[1], 2, 250), (ROUTES[2], 2, 900))
"""Route, number of tasks and duration of a task in milliseconds, by kind of job."""
JOB_KIND_WEIGHTS = (2, 4, 2)
MILLICORES = 14_000
SUBMISSION_GAP_RANGE_MS = (5.0, 70.0)
"""Range of the time between two jobs."""
RETRY_DELAY_MS = 1_300
"""Time after the end of an attempt without an answer until the next one."""
MAX_ATTEMPTS = 3
DEADLINES_MS = (1_500, 2_000, 3_500)
BROKEN_CONNECTION_SHARE = 0.15
"""Share of connections that break while the job is open."""


@attrs.define(eq=False)
class Attempt:
    """One submission of a job, with the number of answers that preceded it."""

    job: TestJob
    number: int
    answers_before: int

    @property
    def answered(self) -> bool:
        """Return whether the job has been answered since this submission."""
        return len(self.job.answers) > self.answers_before


class ScenarioCallers:
    """Submits jobs and retries them as callers do.

    Parameters
    ----------
    world : FleetWorld
    detected_disconnect_share : float
        Share of broken connections that the instance detects.
    """

    def __init__(self, world: FleetWorld, detected_disconnect_share: float) -> None:
        self._world = world
        self._random = world.random
        self._detected_disconnect_share = detected_disconnect_share
        self._last_job = 0

    def submit_until(self, end: Milliseconds) -> None:
        """Submit a job now and further ones after random intervals."""
        if self._world.now >= end:
            return
        self._last_job += 1
        random = self._random
        route, count, duration = random.choices(JOB_KINDS, JOB_KIND_WEIGHTS)[0]
        duration = int(duration * random.uniform(0.5, 1.6))
        request = simple_job(self._last_job, count, MILLICORES, duration)
        self._submit(request, route, 1)
        gap = random.uniform(*SUBMISSION_GAP_RANGE_MS)
        self._world.queue.after(gap, lambda: self.submit_until(end))

    def _submit(self, request: JobRequest, route: Route, number: int) -> None:
        world, random = self._world, self._random
        # The load balancer sends no new callers to an instance that is stopping.
        names = [
            one.name
            for one in world.instances.values()
            if one.alive and not one.core.board.stopping.requested
        ]
        if not names:
            return
        deadline = random.choice(DEADLINES_MS)
        known = world.jobs.get(request.job_id)
        before = len(known.answers) if known else 0
        job = world.submit(request, route, random.choice(sorted(names)), deadline)
        attempt = Attempt(job, number, before)
        if random.random() < BROKEN_CONNECTION_SHARE:
            at = random.uniform(1, deadline)
            world.queue.after(at, lambda: self._break_connection(attempt))
        else:
            world.queue.after(deadline, lambda: self._reach_deadline(attempt))

    def _break_connection(self, attempt: Attempt) -> None:
        """Break the connection; the instance may not detect this."""
        if attempt.answered:
            return
        if self._random.random() < self._detected_disconnect_share:
            self._world.give_up(attempt.job, reset=True)
        self._schedule_retry(attempt, self._world.now)

    def _reach_deadline(self, attempt: Attempt) -> None:
        if not attempt.answered:
            self._world.give_up(attempt.job, reset=self._random.random() < 0.5)
            self._schedule_retry(attempt, self._world.now)
            return
        at, answer = attempt.job.answers[attempt.answers_before]
        if answer.kind is AnswerKind.MAY_HAVE_RUN:
            self._schedule_retry(attempt, at)

    def _schedule_retry(self, attempt: Attempt, ended_at: Milliseconds) -> None:
        job = attempt.job
        if attempt.number >= MAX_ATTEMPTS:
            return
        self._world.audit.record_undecided(job.job.job_id)
        self._world.queue.at(
            ended_at + RETRY_DELAY_MS,
            lambda: self._submit(job.job, job.route, attempt.number + 1),
        )
