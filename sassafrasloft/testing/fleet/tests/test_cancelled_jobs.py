"""Jobs that are cancelled while their callers wait."""

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.instance.events import JobStateRequested
from sassafrasloft.testing.fleet.tests.situations import (
    ORDER,
    follower_names,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

CANCEL_REQUEST_ID = 1_000_000
"""Id of the cancelling request; greater than the ids of submissions."""


def test_cancelled_job_answers_its_waiting_submission():
    """Guards against callers that wait until their deadline for a cancelled job.

    The cancellation and the submission arrive at the same instance, a follower.
    """
    world = settled_world()
    instance = follower_names(world)[0]
    job = world.submit(simple_job(1, 2, 14_000, 900), ORDER, instance)
    world.run(100)
    path = ORDER.prefix + job.job.job_id
    cancelling = JobStateRequested(
        CANCEL_REQUEST_ID, ORDER.host, path, job.job.job_id, cancel=True
    )
    world.tell(world.instances[instance], cancelling)
    world.run(200)
    kinds = [answer.kind for _, answer in job.answers]
    assert kinds == [AnswerKind.CANCELLED]
