"""Progress of jobs that another scheduler handed over."""

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.instance.events import MessageReceived
from sassafrasloft.instance.messages import Handover, JobProgress, SubmitJob
from sassafrasloft.scheduling.job_lifecycle import PRUNE_TIMER
from sassafrasloft.standins.lease_runner import StandinTask
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

PREDECESSOR_REVISION = 1
"""Revision of the right of a second scheduler, active at the same time."""
STREAM_ID = 77


def test_a_job_handed_in_after_its_handover_was_pruned_does_not_run_twice():
    """Guards against pruning inherited progress as soon as it arrives.

    The age of inherited progress must count from its handover. Here the scheduler has
    been active for longer than the retention period when the scheduler of a partitioned
    zone hands over its jobs.
    """
    world = settled_world()
    scheduler = world.instances[scheduler_of(world)]
    world.run(6_000)
    request = simple_job(1, 1, 14_000, 200)
    task = f"{request.job_id}.0.0.0"
    world.audit.record_submission(request.job_id)
    world.task_overrides[task] = StandinTask(request.steps[0].demand, 200.0)
    progress = JobProgress(request.job_id, (), (task,))
    handover = Handover(PREDECESSOR_REVISION, False, (), (progress,))
    submit = SubmitJob(
        request, CONFIRM.name, 10, 1_400, True, 1_300, PREDECESSOR_REVISION
    )
    world.tell(scheduler, MessageReceived(STREAM_ID, handover))
    world.tell(scheduler, TimerFired(PRUNE_TIMER))
    world.tell(scheduler, MessageReceived(STREAM_ID, submit))
    world.run(50)
    assert scheduler.core.board.jobs.open[request.job_id].tasks[task].run is None
