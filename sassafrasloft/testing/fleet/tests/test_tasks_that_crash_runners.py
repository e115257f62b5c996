"""Tasks that crash each runner that starts them."""

from collections import Counter

import attrs
import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.testing.fleet.command_execution import HOST, SERVICE
from sassafrasloft.testing.fleet.tests.situations import (
    ROUTES,
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import Route

PATIENT = Route("patient", HOST, "/patient/", SERVICE, 1, 4, 200.0, 60, 30_000)
"""Its callers wait long enough for many runners to crash."""
DEADLINE_MS = 30_000
CRASH_DELAY_MS = 20
MAX_STARTS_AFTER_THIRD_CRASH = 2
"""The users' rule is broken by the third such start."""


@attrs.define
class CrashingTasks:
    """Crashes the runners of a fleet under some tasks, and starts them again."""

    world: FleetWorld
    jobs: set[str] = attrs.field(factory=set)
    """Ids of the jobs whose tasks crash their runner."""
    starts: Counter = attrs.field(factory=Counter)
    """By task."""
    restart_ms: int = 2_000

    def __attrs_post_init__(self):
        """Watch the starts on all runners."""
        for runner in self.world.runners.values():
            self._watch(runner)

    def _watch(self, runner):
        on_start = runner.on_start

        def start(run):
            on_start(run)
            if run.task.partition(".")[0] in self.jobs:
                self.starts[run.task] += 1
                self.world.queue.after(CRASH_DELAY_MS, lambda: self._crash(runner))

        runner.on_start = start

    def _crash(self, runner):
        world, entry = self.world, runner.entry
        if world.runners.get(entry.runner_id) is not runner:
            return
        runner.advance(world.now)
        world.audit.record_runner_crash(runner)
        del world.runners[entry.runner_id]
        world.unregister(entry.runner_id)

        def restart():
            capacity = entry.capacity.millicores
            new = world.add_runner(entry.runner_id, entry.zone, capacity, world.now)
            self._watch(new)

        world.queue.after(self.restart_ms, restart)

    @property
    def most_starts(self):
        return max(self.starts.values(), default=0)


def patient_world(seed=1, runners=6):
    world = settled_world(runners=runners, seed=seed)
    world.configure(2, (*ROUTES, PATIENT))
    world.run(200)
    return world, CrashingTasks(world)


def submit(world, number, instance, count=1, work_ms=60):
    job = simple_job(number, count, 14_000, work_ms)
    return world.submit(job, PATIENT, instance, DEADLINE_MS)


@pytest.mark.parametrize("restart_ms", [500, 2_000, 6_000])
@pytest.mark.parametrize("seed", range(3))
def test_task_that_crashes_its_runners_is_given_up(seed, restart_ms):
    """Guards against one task that crashes runner after runner.

    A runner may be away for so long that it is forgotten.
    """
    world, crashing = patient_world(seed)
    crashing.restart_ms = restart_ms
    job = submit(world, 1, follower_names(world)[0])
    crashing.jobs.add(job.job.job_id)
    world.run(DEADLINE_MS - 1_000)
    assert crashing.most_starts <= 3
    assert job.answer.kind is AnswerKind.FAILED


@pytest.mark.parametrize("seed", range(4))
def test_crashes_under_a_task_are_known_to_the_next_scheduler(seed):
    """Guards against a count that ends with the scheduler, at each of its crashes."""
    world, crashing = patient_world(seed)
    first, second = follower_names(world)[:2]
    job = submit(world, 1, first)
    crashing.jobs.add(job.job.job_id)
    for _ in range(3):
        world.run(4_500)
        if scheduler_of(world) not in (first, second):
            world.kill(scheduler_of(world))
        world.run(500)
    world.give_up(job)
    world.run(500)
    again = submit(world, 1, second)
    world.run(DEADLINE_MS - 1_000)
    assert crashing.most_starts <= 3 + MAX_STARTS_AFTER_THIRD_CRASH
    assert again.answer.kind is AnswerKind.FAILED


@pytest.mark.parametrize("seed", range(6))
def test_tasks_beside_those_that_crash_runners_complete(seed):
    """Guards against giving up tasks that were only on the same runners."""
    world, crashing = patient_world(seed, runners=8)
    names = follower_names(world)
    innocent = []
    for number in range(120):
        innocent.append(submit(world, number, names[number % len(names)], 2, 300))
        if number % 10 == 0:
            job = submit(world, 1_000 + number, names[0])
            crashing.jobs.add(job.job.job_id)
        world.run(60)
    world.run(DEADLINE_MS)
    assert sum(map(is_completed, innocent)) == len(innocent)
    assert crashing.most_starts <= 3


def test_runners_that_are_cut_off_have_not_crashed():
    """Guards against blaming a task for runners that only could not be reached."""
    world, _ = patient_world()
    job = submit(world, 1, follower_names(world)[0], work_ms=2_500)
    for _ in range(4):
        world.run(300)
        hosts = {name for name, runner in world.runners.items() if runner.running}
        world.cut = lambda one, other, hosts=hosts: bool(hosts & {one, other})
        world.run(1_600)
        world.cut = lambda one, other: False
    world.run(4_000)
    assert is_completed(job)


def test_task_starts_again_once_all_its_lost_runners_have_replied():
    """Guards against a start rule that stays when its cause is gone.

    All runners reply between two scheduling passes.
    """
    world, _ = patient_world()
    crashes = world.instances[scheduler_of(world)].core.board.crashes
    runners = list(world.runners)[:3]
    job_id = f"{1:016x}"
    for runner_id in runners:
        crashes.record_loss(runner_id, 1, f"{job_id}.0.0.0", world.now)
    job = submit(world, 1, follower_names(world)[0])
    world.run(3)
    for runner_id in runners:
        crashes.record_reply(runner_id)
    world.run(1_000)
    assert is_completed(job)
