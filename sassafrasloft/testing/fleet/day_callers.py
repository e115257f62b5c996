"""Callers of a fault day: they hand in jobs, and send again what got no answer."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.edges import HOST, SERVICE, TestJob
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import JobRequest, Route

ROUTES = tuple(
    Route(name, HOST, f"/{name}/", SERVICE, priority, 3, 1.6, 60, 1_500)
    for priority, name in enumerate(("short", "middle", "long"))
)
SHAPES = ((ROUTES[0], 4, 60), (ROUTES[1], 2, 250), (ROUTES[2], 2, 900))
"""Route, number of tasks and their milliseconds, by kind of job."""
SHARES = (2, 4, 2)
MILLICORES = 14_000
GAPS_MS = (5.0, 70.0)
"""Between two jobs."""
RESEND_MS = 1_300
"""After which a job without an answer is sent again."""
MOST_ATTEMPTS = 3
DEADLINES_MS = (1_500, 2_000, 3_500)
BROKEN_SHARE = 0.15
"""Of connections that break while the job is open."""


@attrs.define(eq=False)
class Attempt:
    """One submission of a job and the number of its answers before."""

    job: TestJob
    number: int
    answers_before: int

    @property
    def answered(self) -> bool:
        """Return whether an answer has come since."""
        return len(self.job.answers) > self.answers_before


class DayCallers:
    """Hands in jobs until a time.

    Parameters
    ----------
    world : FleetWorld
    seen_share : float
        Share of broken connections whose end the instance sees.
    """

    def __init__(self, world: FleetWorld, seen_share: float) -> None:
        self._world = world
        self._random = world.random
        self._seen_share = seen_share
        self._last_job = 0

    def submit_until(self, end: Milliseconds) -> None:
        """Hand in a job now and others after random gaps."""
        if self._world.now >= end:
            return
        self._last_job += 1
        random = self._random
        route, count, duration = random.choices(SHAPES, SHARES)[0]
        duration = int(duration * random.uniform(0.5, 1.6))
        request = simple_job(self._last_job, count, MILLICORES, duration)
        self._hand_in(request, route, 1)
        gap = random.uniform(*GAPS_MS)
        self._world.queue.after(gap, lambda: self.submit_until(end))

    def _hand_in(self, request: JobRequest, route: Route, number: int) -> None:
        world, random = self._world, self._random
        # The balancer sends no new callers to an instance that stops.
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
        if random.random() < BROKEN_SHARE:
            at = random.uniform(1, deadline)
            world.queue.after(at, lambda: self._break(attempt))
        else:
            world.queue.after(deadline, lambda: self._reach_deadline(attempt))

    def _break(self, attempt: Attempt) -> None:
        """Lose the connection; the instance may not see this."""
        if attempt.answered:
            return
        if self._random.random() < self._seen_share:
            self._world.give_up(attempt.job, reset=True)
        self._send_again(attempt, self._world.now)

    def _reach_deadline(self, attempt: Attempt) -> None:
        if not attempt.answered:
            self._world.give_up(attempt.job, reset=self._random.random() < 0.5)
            self._send_again(attempt, self._world.now)
            return
        at, answer = attempt.job.answers[attempt.answers_before]
        if answer.kind is AnswerKind.MAY_HAVE_RUN:
            self._send_again(attempt, at)

    def _send_again(self, attempt: Attempt, ended_at: Milliseconds) -> None:
        job = attempt.job
        if attempt.number >= MOST_ATTEMPTS:
            return
        self._world.audit.left_undecided(job.job.job_id)
        self._world.queue.at(
            ended_at + RESEND_MS,
            lambda: self._hand_in(job.job, job.route, attempt.number + 1),
        )
