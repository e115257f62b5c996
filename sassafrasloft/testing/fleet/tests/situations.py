"""What the tests of fleets share."""

from collections.abc import Callable

import attrs

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.edges import HOST, SERVICE, TestJob
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import Route

LOOKUP = Route("lookup", HOST, "/lookup/", SERVICE, 0, 4, 1.6, 60, 1_500)
CONFIRM = Route("confirm", HOST, "/confirm/", SERVICE, 1, 2, 1.6, 60, 1_500)
ORDER = Route("order", HOST, "/order/", SERVICE, 2, 3, 1.6, 60, 1_500)
ROUTES = (LOOKUP, CONFIRM, ORDER)
ZONES = {"north": 3, "south": 3, "west": 2}
SETTLED_MS = 1_000
LOOKUP_OBJECTIVE_MS = 156
"""The objective of a lookup: 1.6 times 60 ms of work, and 60 ms more."""
DRAIN_NOTICE_MS = 2_000
"""Within this time after a runner says that it leaves it may still get work."""


def settled_world(
    zones: dict[str, int] | None = None, runners: int = 6, **options
) -> FleetWorld:
    """Return a world with a scheduler and a configuration in force."""
    world = FleetWorld(zones or ZONES, runners, **options)
    world.configure(1, ROUTES)
    world.run(SETTLED_MS)
    return world


def scheduler_of(world: FleetWorld) -> str:
    """Return the name of the one instance that schedules for all."""
    names = [
        one.name
        for one in world.instances.values()
        if one.alive
        and not one.frozen
        and one.core.board.leadership.role is Role.SCHEDULING
    ]
    assert len(names) == 1, f"schedulers: {names}"
    return names[0]


def follower_names(world: FleetWorld) -> list[str]:
    """Return the names of the instances that do not schedule."""
    scheduler = scheduler_of(world)
    return [name for name in world.instances if name != scheduler]


def submit_lookup(world: FleetWorld, number: int, instance: str) -> TestJob:
    """Hand in a short urgent job of four tasks."""
    return world.submit(simple_job(number, 4, 14_000, 60), LOOKUP, instance)


def submit_order(world: FleetWorld, number: int, instance: str) -> TestJob:
    """Hand in a long job of two tasks."""
    return world.submit(simple_job(number, 2, 14_000, 900), ORDER, instance)


def is_completed(job: TestJob) -> bool:
    """Return whether a job's first answer says that it is complete."""
    return job.answer is not None and job.answer.kind is AnswerKind.COMPLETED


def on_time(jobs: list[TestJob]) -> int:
    """Return how many lookups were completed within their objective."""
    return sum(
        is_completed(job) and job.waited_ms <= LOOKUP_OBJECTIVE_MS for job in jobs
    )


def submit_in_sequence(
    world: FleetWorld,
    count: int,
    gap_ms: int = 60,
    first: int = 1,
    submit: Callable[[FleetWorld, int, str], TestJob] = submit_lookup,
) -> list[TestJob]:
    """Hand in jobs one after the other at the instances that do not schedule."""
    names = follower_names(world)
    jobs = []
    for number in range(count):
        jobs.append(submit(world, first + number, names[number % len(names)]))
        world.run(gap_ms)
    return jobs


def drain(world: FleetWorld, runner_id: str, remaining_ms: int = 0) -> None:
    """Register a runner as leaving; a start after `DRAIN_MS` breaks a promise."""
    runner = world.runners[runner_id]
    leaving = attrs.evolve(runner.entry, draining=True, remaining_ms=remaining_ms)
    world.register(leaving)

    def forbid_starts() -> None:
        runner.entry = leaving

    world.queue.after(DRAIN_NOTICE_MS, forbid_starts)
