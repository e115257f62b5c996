"""Violates each invariant of an instance on purpose; its check must report it."""

import attrs
import pytest

from sassafrasloft.errors import InvariantViolated
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.metadata.adoption import ConfigurationState
from sassafrasloft.runs import RunnerPool
from sassafrasloft.scheduling import ScheduledJob
from sassafrasloft.scheduling.admission import WhileInTime
from sassafrasloft.scheduling.controller import SchedulingController
from sassafrasloft.scheduling.job_lifecycle import JobLifecycle
from sassafrasloft.scheduling.ordering import InTimeFirst
from sassafrasloft.scheduling.placement import BestFit
from sassafrasloft.scheduling.task_placer import TaskPlacer
from sassafrasloft.standins.lease_runner import LeaseRunnerStandin
from sassafrasloft.testing.fleet import GuaranteeViolated
from sassafrasloft.testing.fleet.tests.situations import (
    LOOKUP,
    ORDER,
    ROUTES,
    follower_names,
    scheduler_of,
    settled_world,
    submit_lookup,
    submit_order,
)
from sassafrasloft.testing.fleet.world import simple_job


def adopt_anything(self, configuration, now):
    self.current = configuration
    return True


def test_reverted_configuration_is_detected(monkeypatch):
    monkeypatch.setattr(ConfigurationState, "adopt", adopt_anything)
    world = settled_world()
    world.configure(5, (LOOKUP,))
    world.run(100)
    with pytest.raises(InvariantViolated, match="configuration_never_reverts"):
        world.configure(4, ROUTES)
        world.run(2_000)


def test_start_on_draining_runner_is_detected(monkeypatch):
    def usable(self, view, now):
        return view.contacted

    monkeypatch.setattr(RunnerPool, "usable", usable)
    world = settled_world(runners=1)
    for runner in world.runners.values():
        world.register(attrs.evolve(runner.entry, draining=True))
    world.run(1_500)
    with pytest.raises(InvariantViolated, match="leaving_gets_no_work"):
        submit_lookup(world, 1, scheduler_of(world))
        world.run(100)


def test_refusal_of_started_job_is_detected(monkeypatch):
    """The scheduler itself detects the refusal of a job that has begun."""
    monkeypatch.setattr(TaskPlacer, "_refusal_time", lambda self, job, board: board.now)
    monkeypatch.setattr(
        SchedulingController, "_handle_accepted_run", lambda self, run, board: None
    )
    world = settled_world(runners=1)
    with pytest.raises(InvariantViolated, match="not_run_is_true"):
        for number in range(6):
            submit_order(world, number, scheduler_of(world))
            world.run(20)


def test_second_run_of_running_task_is_detected(monkeypatch):
    """The scheduler itself detects it, though reservations omit live runs."""

    def reserve(self, run):
        self.runners[run.runner_id].add(run)

    monkeypatch.setattr(RunnerPool, "reserve", reserve)
    world = settled_world()
    board = world.instances[scheduler_of(world)].core.board
    submit_order(world, 1, scheduler_of(world))
    world.run(50)
    job = next(iter(board.jobs.open.values()))
    task = next(iter(job.tasks.values()))
    with pytest.raises(InvariantViolated, match="one_run_at_a_time"):
        board.pool.live_runs[task.name] = task.run
        job.return_task(task)
        monkeypatch.setattr(TaskPlacer, "_place_tasks", place_on_first_runner)
        placer().place_all(board)


def test_start_of_finished_task_is_detected():
    world = settled_world()
    board = world.instances[scheduler_of(world)].core.board
    submit_order(world, 1, scheduler_of(world))
    world.run(50)
    job = next(iter(board.jobs.open.values()))
    task = next(iter(job.tasks.values()))
    job.finish_task(task)
    view = next(iter(board.pool.runners.values()))
    with pytest.raises(InvariantViolated, match="starts_at_most_once"):
        placer()._start(job, task, view, board)


def test_partial_answer_is_detected(monkeypatch):
    """The first task to end is treated as the end of its job."""
    finish = ScheduledJob.finish_task

    def finish_early(self, task):
        finish(self, task)
        return True

    monkeypatch.setattr(ScheduledJob, "finish_task", finish_early)
    world = settled_world()
    with pytest.raises(InvariantViolated, match="answers_are_whole"):
        submit_lookup(world, 1, scheduler_of(world))
        world.run(300)


def test_answer_to_wrong_caller_is_detected():
    world = settled_world()
    name = follower_names(world)[0]
    submit_lookup(world, 1, name)
    submit_lookup(world, 2, name)
    world.run(5)
    requests = world.instances[name].core.board.requests
    first, second = requests.jobs.values()
    first.requests, second.requests = second.requests, first.requests
    with pytest.raises(InvariantViolated, match="answer_reaches_its_caller"):
        world.run(300)


def test_planned_stop_that_cuts_request_is_detected():
    """The time limit of a planned stop ends before the job of an open request."""
    tuning = Tuning(longest_stop_ms=2_900)
    world = settled_world(tuning=tuning)
    name = follower_names(world)[0]
    world.submit(simple_job(1, 1, 8_000, 6_000), ORDER, name, 8_000)
    world.run(100)
    world.stop(name)
    with pytest.raises(InvariantViolated, match="planned_stop_cuts_nothing"):
        world.run(4_000)


def placer():
    """Return a placer with the default policies."""
    admission = WhileInTime()
    return TaskPlacer(JobLifecycle(admission), admission, InTimeFirst(), BestFit())


def place_on_first_runner(self, job, room, latest_end, board):
    for task in list(job.waiting):
        self._start(job, task, next(iter(room)), board)


def test_audit_detects_two_runs_that_no_instance_detects(monkeypatch):
    """Checks the audit itself with runners that ignore fencing and leases."""
    monkeypatch.setattr(LeaseRunnerStandin, "advance", lambda self, now: None)
    world = settled_world(runners=6)
    name = follower_names(world)[0]
    with pytest.raises(GuaranteeViolated, match="one_run_at_a_time"):
        submit_lookup(world, 1, name)
        world.run(20)
        first = next(one for one in world.runners.values() if one.running)
        world.cut = lambda one, other: first.entry.runner_id in (one, other)
        world.run(3_000)


def test_fault_free_simulation_evaluates_every_invariant():
    world = settled_world()
    submit_lookup(world, 1, follower_names(world)[0])
    for number in range(30):
        submit_order(world, 10 + number, follower_names(world)[1])
    world.run(1_000)
    world.stop(follower_names(world)[0])
    world.run(4_000)
    checks = dict.fromkeys(InstanceInvariant, 0)
    for instance in world.instances.values():
        for kind, count in instance.core.board.auditor.checks.items():
            checks[kind] += count
    assert all(checks.values()), checks
