"""Jobs that callers send again after an outage, beside those of new callers."""

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    ORDER,
    follower_names,
    is_completed,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

LEFT_MS = 900
"""What callers have left that sent their job before; routes allow 1,500."""


def submit_backlog(world, count, instances):
    return [
        world.submit(
            simple_job(number, 2, 14_000, 150),
            CONFIRM,
            instances[number % len(instances)],
            LEFT_MS,
        )
        for number in range(count)
    ]


def test_new_jobs_go_before_jobs_that_are_late_already():
    """Guards against a backlog that makes everything after it late as well.

    After all instances lost power, callers send again within a second what was not
    answered; their objectives have passed.
    """
    world = settled_world()
    instances = follower_names(world)
    submit_backlog(world, 60, instances)
    world.run(20)
    fresh = [
        world.submit(
            simple_job(100 + number, 2, 14_000, 200),
            CONFIRM,
            instances[number % len(instances)],
        )
        for number in range(8)
    ]
    world.run(1_500)
    assert all(is_completed(job) for job in fresh)
    limits = [job.route.objective_ms(job.job.critical_path_ms()) for job in fresh]
    assert all(job.waited_ms <= limit for job, limit in zip(fresh, limits, strict=True))


def test_late_jobs_are_served_in_the_room_that_is_left():
    """Guards against refusing callers that still wait while there is room for them."""
    world = settled_world()
    backlog = submit_backlog(world, 50, follower_names(world))
    world.run(1_500)
    assert sum(is_completed(job) for job in backlog) >= 48


def test_a_late_job_that_cannot_be_served_is_refused_at_once():
    world = settled_world(runners=1)
    instances = follower_names(world)
    for number in range(30):
        job = simple_job(500 + number, 2, 14_000, 900)
        world.submit(job, ORDER, instances[number % len(instances)], 5_000)
    world.run(20)
    late = world.submit(simple_job(1, 2, 14_000, 200), ORDER, instances[0], LEFT_MS)
    world.run(50)
    assert late.answer.kind is AnswerKind.REFUSED
    assert late.answer.retry_after_s >= 1


def test_few_late_jobs_wait_in_vain():
    """Guards against callers that are held for most of their time and then refused.

    New jobs keep coming and go first, which the work ahead on arrival does not show.
    """
    world = settled_world()
    instances = follower_names(world)
    backlog = submit_backlog(world, 120, instances)
    for number in range(60):
        job = simple_job(200 + number, 2, 14_000, 200)
        world.submit(job, CONFIRM, instances[number % len(instances)])
        world.run(12)
    world.run(1_500)
    refused = [job for job in backlog if not is_completed(job)]
    in_vain = [job for job in refused if job.waited_ms > LEFT_MS / 2]
    assert len(in_vain) <= len(backlog) // 10
