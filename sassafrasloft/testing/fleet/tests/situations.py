"""What the tests of fleets share."""

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
        and one.core.board.rights.role is Role.SCHEDULING
    ]
    assert len(names) == 1, f"schedulers: {names}"
    return names[0]


def others(world: FleetWorld) -> list[str]:
    """Return the names of the instances that do not schedule."""
    scheduler = scheduler_of(world)
    return [name for name in world.instances if name != scheduler]


def submit_lookup(world: FleetWorld, number: int, instance: str) -> TestJob:
    """Hand in a short urgent job of four tasks."""
    return world.submit(simple_job(number, 4, 14_000, 60), LOOKUP, instance)


def submit_order(world: FleetWorld, number: int, instance: str) -> TestJob:
    """Hand in a long job of two tasks."""
    return world.submit(simple_job(number, 2, 14_000, 900), ORDER, instance)


def completed(job: TestJob) -> bool:
    """Return whether a job's first answer says that it is complete."""
    return job.answer is not None and job.answer.kind is AnswerKind.COMPLETED
