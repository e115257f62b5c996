"""What a caller is told whose job may have run and cannot be served again."""

import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.scheduling import JobOutcome, JobTable
from sassafrasloft.testing.fleet.scenario_callers import RETRY_DELAY_MS
from sassafrasloft.testing.fleet.tests.situations import (
    LOOKUP,
    ORDER,
    ROUTES,
    SETTLED_MS,
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
    submit_order,
)
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job

NOT_RUN = (AnswerKind.REFUSED, AnswerKind.UNAVAILABLE)
DEADLINE_MS = 1_500


def occupy_all_runners(world, instance):
    """Submit orders that fill all runners for several seconds."""
    for number in range(100, 100 + 2 * len(world.runners)):
        world.submit(simple_job(number, 1, 30_000, 4_000), ORDER, instance, 60_000)
    world.run(20)


def retry(world, job, instance, waited_ms):
    """Submit a job again as a caller that has waited, and return the new answers."""
    before = len(job.answers)
    world.submit(job.job, job.route, instance, DEADLINE_MS - waited_ms)
    world.run(DEADLINE_MS)
    return [answer.kind for _, answer in job.answers[before:]]


@pytest.mark.parametrize(("takeover", "task_ms"), [(True, 60), (False, 2_000)])
def test_retry_of_job_that_ran_is_not_refused_as_not_run(takeover, task_ms):
    """Guards against "not run" for a job whose first answer was lost.

    Its instance was killed while its tasks ran, which ended with the scheduler or were
    cancelled. When the caller sent it again, there was no capacity for it.
    """
    world = settled_world()
    name, other = follower_names(world)[:2]
    job = world.submit(simple_job(1, 2, 30_000, task_ms), ORDER, name, DEADLINE_MS)
    world.run(10)
    assert world.audit.starts[job.job.job_id] == 2
    world.kill(name)
    job.open_requests = 0
    if takeover:
        world.kill(scheduler_of(world))
    world.run(400)
    if world.instances[other].alive is False:
        other = scheduler_of(world)
    occupy_all_runners(world, other)
    kinds = retry(world, job, other, RETRY_DELAY_MS)
    assert kinds
    assert not set(kinds) & set(NOT_RUN)


def test_new_job_is_still_refused_as_not_run():
    """Guards against a needless doubt about jobs that no scheduler has seen."""
    world = settled_world()
    name = follower_names(world)[0]
    world.run(6_000)
    occupy_all_runners(world, name)
    job = world.submit(simple_job(1, 2, 30_000, 60), LOOKUP, name, DEADLINE_MS)
    world.run(DEADLINE_MS)
    assert job.answer.kind is AnswerKind.REFUSED
    kinds = retry(world, job, name, RETRY_DELAY_MS)
    assert kinds == [AnswerKind.REFUSED]


def test_refusal_is_forgotten_when_another_instance_schedules():
    """Guards against "not run" for a job that ran at the scheduler in between.

    A scheduler refused a job, lost its leadership, won it again and refused the job
    once more. The scheduler in between had run it.
    """
    table = JobTable()
    outcomes = (JobOutcome.REFUSED, JobOutcome.COMPLETED, JobOutcome.MAY_HAVE_RUN)
    table.answers = {outcome.value: (outcome, 0) for outcome in outcomes}
    table.discard_all()
    assert list(table.answers) == ["completed", "may_have_run"]


def test_retry_without_scheduler_is_not_refused_as_not_run():
    """Guards against "not run" from an instance that knows nothing of the job.

    The instance that had it was killed, and this one was isolated from all others.
    """
    world = settled_world()
    name, other = follower_names(world)[:2]
    job = submit_order(world, 1, name)
    world.run(100)
    world.kill(name)
    job.open_requests = 0
    world.cut = lambda sender, receiver: other in (sender, receiver)
    world.run(RETRY_DELAY_MS)
    kinds = retry(world, job, other, RETRY_DELAY_MS)
    assert kinds
    assert not set(kinds) & set(NOT_RUN)


def test_short_silence_of_instance_restarts_no_work():
    """Guards against work that is given up because its instance was silent.

    An instance that stood still for half a second had its running jobs cancelled by the
    scheduler, and submitted them again as it went on.
    """
    world = settled_world()
    name = follower_names(world)[0]
    job = submit_order(world, 1, name)
    world.run(200)
    world.freeze(name)
    world.run(500)
    world.thaw(name)
    world.run(1_000)
    assert is_completed(job)
    assert world.audit.starts[job.job.job_id] == 2


def test_work_of_instance_that_stays_silent_ends_before_its_caller_returns():
    """Guards against runs that go on for a caller who submits its job elsewhere."""
    world = FleetWorld({"north": 3, "south": 3, "west": 2}, 6)
    world.configure(1, ROUTES)
    world.run(SETTLED_MS)
    name = follower_names(world)[0]
    job = world.submit(simple_job(1, 2, 14_000, 5_000), ORDER, name, 6_000)
    world.run(200)
    world.freeze(name)
    world.run(RETRY_DELAY_MS)
    board = world.instances[scheduler_of(world)].core.board
    assert job.job.job_id not in board.jobs.open
    assert not board.pool.live_runs
