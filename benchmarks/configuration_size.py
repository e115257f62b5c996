"""How long a change of a large configuration takes to reach all instances.

The event queue models the links: 1,000 Mbit/s of the store, and 12.5 Mbit/s of each
instance but two in each zone, which have 100. Each row is one run.

Usage: ``python -m benchmarks.configuration_size [--instances=31,97,300]``
"""

from absl import app, flags

from sassafrasloft.testing.fleet.store_links import mixed_links
from sassafrasloft.testing.fleet.tests.situations import ROUTES, added_routes
from sassafrasloft.testing.fleet.world import FleetWorld

ZONES = ("north", "south", "west")
ROUTE_COUNTS = (1_250, 2_500, 5_000)
SETTLE_MS = 6_000
STEP_MS = 10
LONGEST_MS = 20_000

_INSTANCES_FLAG = flags.DEFINE_list(
    "instances", ["31", "97", "300"], "Numbers of instances."
)


def world_with_links(zones: dict[str, int]) -> FleetWorld:
    """Return a settled fleet whose responses of the store share links."""
    world = FleetWorld(zones, runners=4)
    world.store_links = mixed_links(world.queue)
    world.configure(1, ROUTES)
    world.run(SETTLE_MS)
    return world


def adoption_ms(world: FleetWorld, route_count: int) -> tuple[int, int]:
    """Return the size of a changed document, and when all instances have adopted it."""
    version = world.configuration.version + 1
    world.configure(version, ROUTES + added_routes(route_count))
    size = len(world.documents.write(world.configuration))
    changed_at = world.now
    while world.now - changed_at < LONGEST_MS:
        world.run(STEP_MS)
        boards = [one.core.board for one in world.instances.values()]
        if all(one.configuration.current.version == version for one in boards):
            break
    return size, world.now - changed_at


def main(_: list[str]) -> None:
    """Print a row for each fleet and size."""
    print("| instances | document, bytes | in force at all after, ms |")
    print("|---|---|---|")
    for count in map(int, _INSTANCES_FLAG.value):
        share, rest = divmod(count, len(ZONES))
        zones = {zone: share + (n < rest) for n, zone in enumerate(ZONES)}
        world = world_with_links(zones)
        for route_count in ROUTE_COUNTS:
            size, duration_ms = adoption_ms(world, route_count)
            print(f"| {count} | {size} | {duration_ms} |", flush=True)


if __name__ == "__main__":
    app.run(main)
