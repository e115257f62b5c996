"""Jobs that callers retry after an outage, together with jobs of new callers."""

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    ORDER,
    follower_names,
    is_completed,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

REMAINING_MS = 900
"""Time that a retrying caller has left; routes allow 1,500 ms."""


def submit_backlog(world, count, instances):
    return [
        world.submit(
            simple_job(number, 2, 14_000, 150),
            CONFIRM,
            instances[number % len(instances)],
            REMAINING_MS,
        )
        for number in range(count)
    ]


def test_new_jobs_precede_jobs_that_are_already_late():
    """Guards against a backlog that makes all later jobs late as well.

    After all instances lost power, callers retry unanswered jobs within a second.
    The latency objectives of these jobs have passed.
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


def test_late_jobs_use_remaining_capacity():
    """Guards against refusing callers that still wait while capacity is free."""
    world = settled_world()
    backlog = submit_backlog(world, 50, follower_names(world))
    world.run(1_500)
    assert sum(is_completed(job) for job in backlog) >= 48


def test_late_job_that_cannot_be_served_is_refused_at_once():
    world = settled_world(runners=1)
    instances = follower_names(world)
    for number in range(30):
        job = simple_job(500 + number, 2, 14_000, 900)
        world.submit(job, ORDER, instances[number % len(instances)], 5_000)
    world.run(20)
    late = world.submit(
        simple_job(1, 2, 14_000, 200), ORDER, instances[0], REMAINING_MS
    )
    world.run(50)
    assert late.answer.kind is AnswerKind.REFUSED
    assert late.answer.retry_after_s >= 1


def test_few_late_jobs_are_refused_after_a_long_wait():
    """Guards against callers that wait for most of their time and are then refused.

    New jobs keep arriving and take precedence, which the work ahead at the arrival of
    a late job does not show.
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
    in_vain = [job for job in refused if job.waited_ms > REMAINING_MS / 2]
    assert len(in_vain) <= len(backlog) // 10
