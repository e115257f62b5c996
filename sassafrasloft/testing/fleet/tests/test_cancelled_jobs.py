"""Jobs that are cancelled while their callers wait."""

import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.instance.events import JobStateRequested
from sassafrasloft.scheduling.cancelled_jobs import (
    MAX_JOBS,
    MAX_REPORTED,
    RETENTION_MS,
    CancelledJobs,
)
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    follower_names,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

CANCEL_REQUEST_ID = 1_000_000
"""Id of the cancelling request; greater than the ids of submissions."""


def cancel(world, job_id, instance):
    """Cancel a job by a request to an instance."""
    path = ORDER.prefix + job_id
    cancelling = JobStateRequested(
        CANCEL_REQUEST_ID, ORDER.host, path, job_id, cancel=True
    )
    world.tell(world.instances[instance], cancelling)


def test_cancelled_job_answers_its_waiting_submission():
    """Guards against callers that wait until their deadline for a cancelled job.

    The cancellation and the submission arrive at the same instance, a follower.
    """
    world = settled_world()
    instance = follower_names(world)[0]
    job = world.submit(simple_job(1, 2, 14_000, 900), ORDER, instance)
    world.run(100)
    cancel(world, job.job.job_id, instance)
    world.run(200)
    kinds = [answer.kind for _, answer in job.answers]
    assert kinds == [AnswerKind.CANCELLED]


@pytest.mark.parametrize("late_ms", [100, 3_500, 8_000])
@pytest.mark.parametrize("handover", [False, True])
def test_late_copy_of_a_cancelled_job_starts_nothing(late_ms, handover):
    """Guards against a cancelled job that a request which was under way starts again.

    The scheduler may have been stopped in between.
    """
    world = settled_world()
    first, second = follower_names(world)[:2]
    request = simple_job(1, 2, 14_000, 900)
    world.submit(request, ORDER, first)
    world.run(100)
    starts = world.audit.starts[request.job_id]
    cancel(world, request.job_id, second)
    world.run(late_ms // 2)
    if handover:
        world.stop(scheduler_of(world))
    world.run(late_ms // 2)
    alive = [name for name, one in world.instances.items() if one.ready]
    late = world.submit(request, ORDER, alive[-1])
    world.run(300)
    assert world.audit.starts[request.job_id] == starts
    assert late.answer.kind is AnswerKind.CANCELLED


def test_job_that_is_cancelled_before_its_request_arrives_does_not_start():
    """Guards against a cancelling that overtakes the request."""
    world = settled_world()
    first, second = follower_names(world)[:2]
    request = simple_job(1, 2, 14_000, 900)
    cancel(world, request.job_id, second)
    world.run(50)
    job = world.submit(request, ORDER, first)
    world.run(300)
    assert request.job_id not in world.audit.starts
    assert job.answer.kind is AnswerKind.CANCELLED


def test_cancelled_ids_are_bounded():
    """Guards against a table that grows with each job that was ever cancelled."""
    cancelled = CancelledJobs()
    for number in range(MAX_JOBS + 10):
        cancelled.add(str(number), now=number)
    assert "9" not in cancelled
    assert "10" in cancelled
    assert len(cancelled.newest()) == MAX_REPORTED
    cancelled.prune(now=RETENTION_MS + MAX_JOBS)
    assert str(MAX_JOBS) not in cancelled
    assert str(MAX_JOBS + 1) in cancelled
