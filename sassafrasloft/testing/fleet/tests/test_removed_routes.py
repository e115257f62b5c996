"""Jobs whose route the operator removes before they have ended."""

from random import Random

import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.instance.commands import AnswerCaller, SendMessage
from sassafrasloft.instance.events import JobStateRequested, MessageReceived
from sassafrasloft.instance.messages import JobAnswer, SubmitJob
from sassafrasloft.runs import RunEnd
from sassafrasloft.scheduling import JobOutcome
from sassafrasloft.testing.fleet.store_execution import STORE
from sassafrasloft.testing.fleet.tests.situations import (
    CONFIRM,
    LOOKUP,
    ORDER,
    follower_names,
    is_completed,
    observe_commands,
    scheduler_of,
    settled_world,
    submit_order,
)
from sassafrasloft.testing.fleet.world import simple_job

ROUTES_WITHOUT_ORDER = (LOOKUP, CONFIRM)
ADOPTION_MS = 150
"""Time in which all instances adopt a new configuration."""
ORDER_TASKS = 2
STREAM_ID = 77
QUERY_REQUEST_ID = 1_000_000
"""Id of a request for a job's state; greater than the ids of submissions."""


def remove_order_route(world):
    world.configure(2, ROUTES_WITHOUT_ORDER)
    world.run(ADOPTION_MS)


def starts_of(world, jobs):
    return [world.audit.starts.get(job.job.job_id, 0) for job in jobs]


def submit_orders_to_followers(world):
    names = follower_names(world)
    return [submit_order(world, n, names[n % len(names)]) for n in range(6)]


@pytest.mark.parametrize("end_scheduler", ["stop", "kill"])
def test_running_jobs_of_a_removed_route_complete_after_a_takeover(end_scheduler):
    """Guards against "no such route" for jobs that run when the scheduler changes."""
    world = settled_world()
    jobs = submit_orders_to_followers(world)
    world.run(200)
    assert starts_of(world, jobs) == [ORDER_TASKS] * len(jobs)
    remove_order_route(world)
    getattr(world, end_scheduler)(scheduler_of(world))
    world.run(1_400)
    assert all(is_completed(job) for job in jobs)
    assert starts_of(world, jobs) == [ORDER_TASKS] * len(jobs)


def test_running_jobs_of_a_removed_route_complete_at_the_instance_that_takes_over():
    """Guards against "no such route" from a scheduler to its own callers' jobs."""
    world = settled_world()
    names = follower_names(world)
    jobs = [submit_order(world, n, name) for n, name in enumerate(names)]
    world.run(200)
    remove_order_route(world)
    world.stop(scheduler_of(world))
    world.run(1_400)
    assert scheduler_of(world) in names
    assert all(is_completed(job) for job in jobs)


def test_running_jobs_of_a_removed_route_complete_after_two_takeovers():
    """Guards against a route that is known to the first successor only."""
    world = settled_world()
    first = scheduler_of(world)
    jobs = submit_orders_to_followers(world)
    world.run(100)
    remove_order_route(world)
    world.stop(first)
    world.run(200)
    second = scheduler_of(world)
    assert second != first
    world.stop(second)
    world.run(1_400)
    assert scheduler_of(world) not in (first, second)
    assert all(is_completed(job) for job in jobs)
    assert starts_of(world, jobs) == [ORDER_TASKS] * len(jobs)


@pytest.mark.parametrize("seed", range(12))
def test_jobs_accepted_before_a_removal_complete_at_any_moment_of_a_takeover(seed):
    """Guards against orders of removal and takeover in which a job loses its route.

    The scheduler is stopped from 0.4 s before the removal to 0.4 s after it, and jobs
    arrive until the removal.
    """
    world = settled_world(seed=seed)
    random = Random(seed)
    names = follower_names(world)
    scheduler = scheduler_of(world)
    world.queue.after(random.randrange(100, 900), lambda: world.stop(scheduler))
    jobs = []
    for number in range(20):
        jobs.append(submit_order(world, number, random.choice(names)))
        world.run(25)
    remove_order_route(world)
    world.run(2_000)
    assert all(is_completed(job) for job in jobs)
    assert starts_of(world, jobs) == [ORDER_TASKS] * len(jobs)


def test_waiting_jobs_of_a_removed_route_start_after_a_takeover():
    """Guards against "no such route" for jobs that another scheduler may have started.

    They wait for capacity when the scheduler changes.
    """
    world = settled_world({"north": 3}, runners=1, capacity=28_000)
    names = follower_names(world)
    running = submit_order(world, 1, names[0])
    world.run(640)
    waiting = world.submit(simple_job(2, 2, 14_000, 400), ORDER, names[1])
    world.run(20)
    assert starts_of(world, [running, waiting]) == [ORDER_TASKS, 0]
    remove_order_route(world)
    world.stop(scheduler_of(world))
    world.run(30)
    assert starts_of(world, [waiting]) == [0]
    world.run(1_400)
    assert is_completed(running)
    assert is_completed(waiting)


def record_job_answers(world):
    """Return a list that gets all answers of schedulers to instances from now on."""
    answers = []

    def record(command, now):
        if isinstance(command, SendMessage) and isinstance(command.message, JobAnswer):
            answers.append(command.message)

    observe_commands(world, record)
    return answers


def test_job_resubmitted_without_its_removed_route_may_have_run():
    """Guards against a false "not run" to an instance of an earlier release.

    That does not send the route of a job that it submits again.
    """
    world = settled_world()
    remove_order_route(world)
    answers = record_job_answers(world)
    request = simple_job(1, 1, 14_000, 200)
    submit = SubmitJob(request, ORDER.name, 10, 1_400, resubmitted=True)
    scheduler = world.instances[scheduler_of(world)]
    world.tell(scheduler, MessageReceived(STREAM_ID, submit))
    world.run(50)
    assert [one.outcome for one in answers] == [JobOutcome.MAY_HAVE_RUN.value]


def test_new_job_of_a_removed_route_is_rejected_by_a_newer_scheduler():
    """Guards against jobs that start on a route after its removal.

    The store does not reach the instance of the caller, which has the route still.
    """
    world = settled_world()
    follower = follower_names(world)[0]
    world.cut = lambda sender, receiver: sender == STORE and receiver == follower
    remove_order_route(world)
    job = submit_order(world, 1, follower)
    world.run(100)
    assert job.answer.kind is AnswerKind.NO_SUCH_ROUTE
    assert starts_of(world, [job]) == [0]
    rejections = [
        line
        for line in world.instances[scheduler_of(world)].log
        if line[1].event == "job_without_route"
    ]
    assert len(rejections) == 1


def answer_to_query(world, job_id, instance, cancel=False):
    """Request the state of an order at an instance, or its cancelling."""
    answers = []

    def record(command, now):
        if isinstance(command, AnswerCaller) and command.request_id == QUERY_REQUEST_ID:
            answers.append(command.answer)

    observe_commands(world, record)
    path = ORDER.prefix + job_id
    query = JobStateRequested(QUERY_REQUEST_ID, ORDER.host, path, job_id, cancel)
    world.tell(world.instances[instance], query)
    world.run(50)
    (answer,) = answers
    return answer


def test_running_job_of_a_removed_route_is_cancelled():
    """Guards against a cancelled job that runs to its end, as its route is gone."""
    world = settled_world()
    first, second = follower_names(world)[:2]
    job = submit_order(world, 1, first)
    world.run(200)
    remove_order_route(world)
    answer = answer_to_query(world, job.job.job_id, second, cancel=True)
    assert (answer.kind, answer.detail) == (AnswerKind.STATE, "cancelled")
    assert job.answer.kind is AnswerKind.CANCELLED
    world.run(200)
    assert [end for _, end in world.audit.ends] == [RunEnd.STOPPED] * ORDER_TASKS


def test_state_of_a_running_job_of_a_removed_route_is_known():
    """Guards against "no such route" to callers that ask for their running job."""
    world = settled_world()
    first, second = follower_names(world)[:2]
    job = submit_order(world, 1, first)
    world.run(200)
    remove_order_route(world)
    answer = answer_to_query(world, job.job.job_id, second)
    assert (answer.kind, answer.detail) == (AnswerKind.STATE, "running")


@pytest.mark.parametrize("cancel", [False, True])
def test_unknown_job_of_a_removed_route_has_no_route(cancel):
    """Guards against "no such job" where the configuration has no such route."""
    world = settled_world()
    remove_order_route(world)
    instance = follower_names(world)[0]
    job_id = simple_job(1, 1, 14_000, 60).job_id
    answer = answer_to_query(world, job_id, instance, cancel)
    assert answer.kind is AnswerKind.NO_SUCH_ROUTE
