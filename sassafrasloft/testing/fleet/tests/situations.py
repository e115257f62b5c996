"""Helpers that the tests of fleets share."""

from collections.abc import Callable

import attrs

from sassafrasloft.blackboard import Command
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import AnswerKind
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.command_execution import HOST, SERVICE, TestJob
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import Route

LOOKUP = Route("lookup", HOST, "/lookup/", SERVICE, 0, 4, 1.6, 60, 1_500)
CONFIRM = Route("confirm", HOST, "/confirm/", SERVICE, 1, 2, 1.6, 60, 1_500)
ORDER = Route("order", HOST, "/order/", SERVICE, 2, 3, 1.6, 60, 1_500)
ROUTES = (LOOKUP, CONFIRM, ORDER)
ZONES = {"north": 3, "south": 3, "west": 2}
SETTLED_MS = 1_000
LOOKUP_OBJECTIVE_MS = 156
"""Latency objective of a lookup: 1.6 times 60 ms of work plus 60 ms."""
DRAIN_NOTICE_MS = 2_000
"""Time after a runner announces that it drains in which it may still get work."""


def settled_world(
    zones: dict[str, int] | None = None, runners: int = 6, **options
) -> FleetWorld:
    """Return a world with a scheduler and an applied configuration."""
    world = FleetWorld(zones or ZONES, runners, **options)
    world.configure(1, ROUTES)
    world.run(SETTLED_MS)
    return world


def scheduler_of(world: FleetWorld) -> str:
    """Return the name of the only scheduler; fail if there is none or several."""
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
    """Return the names of all instances except the scheduler, dead ones included."""
    scheduler = scheduler_of(world)
    return [name for name in world.instances if name != scheduler]


def added_routes(count: int) -> tuple[Route, ...]:
    """Return further routes whose documents have the size of real ones."""
    padding = "x" * 110
    return tuple(
        Route(f"r-{n:07}-{padding}", HOST, f"/p{n:07}/", SERVICE, 1, 2, 1.6, 60, 1_500)
        for n in range(count)
    )


def versions_in_force(world: FleetWorld) -> list[int]:
    """Return the version of the configuration at each process that is alive."""
    return [
        one.core.board.configuration.current.version
        for one in world.instances.values()
        if one.alive
    ]


def submit_lookup(world: FleetWorld, number: int, instance: str) -> TestJob:
    """Submit a short urgent job of four tasks."""
    return world.submit(simple_job(number, 4, 14_000, 60), LOOKUP, instance)


def submit_order(world: FleetWorld, number: int, instance: str) -> TestJob:
    """Submit a long job of two tasks."""
    return world.submit(simple_job(number, 2, 14_000, 900), ORDER, instance)


def is_completed(job: TestJob) -> bool:
    """Return whether the first answer of a job reports that it is complete."""
    return job.answer is not None and job.answer.kind is AnswerKind.COMPLETED


def on_time(jobs: list[TestJob]) -> int:
    """Return how many lookups were completed within their latency objective."""
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
    """Submit jobs one after the other, to the followers in turn."""
    names = follower_names(world)
    jobs = []
    for number in range(count):
        jobs.append(submit(world, first + number, names[number % len(names)]))
        world.run(gap_ms)
    return jobs


def drain(world: FleetWorld, runner_id: str, remaining_ms: int = 0) -> None:
    """Register a runner as draining.

    A start after `DRAIN_NOTICE_MS` violates a guarantee.
    """
    runner = world.runners[runner_id]
    leaving = attrs.evolve(runner.entry, draining=True, remaining_ms=remaining_ms)
    world.register(leaving)

    def forbid_starts() -> None:
        runner.entry = leaving

    world.queue.after(DRAIN_NOTICE_MS, forbid_starts)


def observe_commands(
    world: FleetWorld, record: Callable[[Command, Milliseconds], None]
) -> None:
    """Call `record` with each command of each instance and its time."""
    for instance in world.instances.values():
        step = instance.core.step

        def observed_step(event, now, step=step):
            commands = step(event, now)
            for command in commands:
                record(command, now)
            return commands

        instance.core.step = observed_step
