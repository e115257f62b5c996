"""What a scheduler knows of the jobs that another one handed over."""

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.instance.events import MessageReceived
from sassafrasloft.instance.messages import Handover, JobProgress, SubmitJob
from sassafrasloft.scheduling.job_keeping import PRUNE_TIMER
from sassafrasloft.standins.lease_runner import StandinTask
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import simple_job

FORMER = 1
"""The revision of the right of a scheduler that was at work beside this one."""
STREAM = 77


def test_a_job_handed_in_after_its_handover_was_pruned_does_not_run_twice():
    """Guards against forgetting at once what runs elsewhere.

    The scheduler had been at work for longer than it keeps what it inherits, when the
    scheduler of a zone that had been cut off handed over.
    """
    world = settled_world()
    scheduler = world.instances[scheduler_of(world)]
    world.run(6_000)
    request = simple_job(1, 1, 14_000, 200)
    task = f"{request.job_id}.0.0.0"
    world.audit.submitted(request.job_id)
    world.durations[task] = StandinTask(request.steps[0].demand, 200.0)
    progress = JobProgress(request.job_id, (), (task,))
    handover = Handover(FORMER, False, (), (progress,))
    submit = SubmitJob(request, CONFIRM.name, 10, 1_400, True, 1_300, FORMER)
    world.tell(scheduler, MessageReceived(STREAM, handover))
    world.tell(scheduler, TimerFired(PRUNE_TIMER))
    world.tell(scheduler, MessageReceived(STREAM, submit))
    world.run(50)
    assert scheduler.core.board.jobs.open[request.job_id].tasks[task].run is None
