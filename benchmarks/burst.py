"""A burst of the users' three kinds of job, for comparisons of policies."""

from random import Random

import attrs

from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.scheduling.controller import SchedulingController
from sassafrasloft.testing.fleet.command_execution import HOST, SERVICE, TestJob
from sassafrasloft.testing.fleet.world import FleetWorld, simple_job
from sassafrasloft.workload import Route

ZONES = {"north": 3, "south": 3, "west": 3}
RUNNERS = 8
SECONDS = 6.0
SETTLE_MS = 1_000
DEADLINE_MS = 1_500
KINDS = (
    (Route("lookup", HOST, "/lookup/", SERVICE, 0, 4, 1.6, 60, 1_500), 8, 60, 17.2),
    (Route("confirm", HOST, "/confirm/", SERVICE, 1, 2, 1.6, 60, 1_500), 2, 200, 50.0),
    (Route("order", HOST, "/order/", SERVICE, 2, 3, 1.6, 60, 1_500), 4, 900, 3.12),
)
"""Route, tasks of a job, milliseconds of a task, jobs a second: the users' sheet."""
LOAD = 1.5
"""Times the sheet's rates: more than the runners can take."""


@attrs.frozen
class Arrival:
    """A job at a time, in milliseconds."""

    at_ms: float
    job: object
    route: Route
    instance: int


def arrivals(seed: int) -> list[Arrival]:
    """Return the jobs of a run, in the order of their arrival."""
    random = Random(seed)
    found: list[Arrival] = []
    for route, width, duration, rate in KINDS:
        at = 0.0
        while True:
            at += random.expovariate(rate * LOAD) * 1_000
            if at > SECONDS * 1_000:
                break
            count = max(1, round(width * random.uniform(0.6, 1.4)))
            cores = random.randrange(8_000, 20_000)
            length = round(duration * random.uniform(0.6, 1.4))
            job = simple_job(random.getrandbits(60), count, cores, length)
            found.append(Arrival(at, job, route, random.randrange(9)))
    return sorted(found, key=lambda one: one.at_ms)


def world_with(policies: dict[str, str], seed: int) -> FleetWorld:
    """Return a settled fleet whose schedulers use some policies."""
    world = FleetWorld(ZONES, RUNNERS, seed=seed)
    for instance in world.instances.values():
        controllers = [
            SchedulingController(**policies)
            if isinstance(one, SchedulingController)
            else one
            for one in CONTROLLERS.create_all()
        ]
        instance.core = type(instance.core)(instance.core.board, controllers)
    world.configure(1, tuple(route for route, *_ in KINDS))
    world.run(SETTLE_MS)
    return world


def play_arrivals(
    world: FleetWorld, planned: list[Arrival], begin: float
) -> list[TestJob]:
    """Submit jobs at their times; return them with their answers."""
    names = sorted(world.instances)
    jobs: list[TestJob] = []
    for one in planned:
        world.queue.run_until(begin + one.at_ms)
        job = world.submit(one.job, one.route, names[one.instance], DEADLINE_MS)
        jobs.append(job)
        world.queue.after(DEADLINE_MS, lambda job=job: _leave(world, job))
    world.run(3_000)
    return jobs


def _leave(world: FleetWorld, job: TestJob) -> None:
    if not job.answers:
        world.give_up(job)
