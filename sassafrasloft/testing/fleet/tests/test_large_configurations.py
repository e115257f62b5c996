"""Configurations that are large for the links of the instances."""

import pytest

from sassafrasloft.testing.fleet.store_links import mixed_links
from sassafrasloft.testing.fleet.tests.situations import (
    ROUTES,
    added_routes,
    versions_in_force,
)
from sassafrasloft.testing.fleet.world import FleetWorld

CONFIG_APPLY_MS = 3_000
"""Time within which each connected instance applies a new configuration."""
GROWN_ZONES = {"north": 11, "south": 10, "west": 10}


def world_with_links(zones):
    world = FleetWorld(zones, runners=4)
    world.store_links = mixed_links(world.queue)
    world.configure(1, ROUTES)
    world.run(3_000)
    return world


@pytest.mark.parametrize("phase_ms", [0, 700, 1_400])
def test_large_configuration_is_adopted_over_slow_links(phase_ms):
    """Guards against a timeout that is shorter than the transfer of the document.

    Each timeout was followed by another list, which filled the links for good.
    """
    world = world_with_links(GROWN_ZONES)
    world.run(phase_ms)
    routes = ROUTES
    for version, added in ((2, 350), (3, 900), (4, 2_500)):
        routes = ROUTES + added_routes(len(routes) - 3 + added)
        world.configure(version, routes)
        world.run(CONFIG_APPLY_MS)
        assert versions_in_force(world) == [version] * len(world.instances)
    assert len(world.documents.write(world.configuration)) > 700_000
    world.configure(5, routes[:-1])
    world.run(CONFIG_APPLY_MS)
    assert versions_in_force(world) == [5] * len(world.instances)


def test_recovery_of_the_store_repeats_no_configuration():
    """Guards against a document that all instances read again after each outage."""
    world = world_with_links(GROWN_ZONES)
    world.configure(2, ROUTES + added_routes(3_750))
    world.run(CONFIG_APPLY_MS)
    before = world.store_links.sent_bytes
    for _ in range(3):
        world.store_down = True
        world.run(2_500)
        world.store_down = False
        world.run(1_000)
    assert all(
        one.core.board.configuration.store_reachable for one in world.instances.values()
    )
    document_bytes = len(world.documents.write(world.configuration))
    assert world.store_links.sent_bytes - before < document_bytes
    world.store_down = True
    world.run(1_500)
    world.configure(3, ROUTES)
    world.store_down = False
    world.run(CONFIG_APPLY_MS)
    assert versions_in_force(world) == [3] * len(world.instances)


@pytest.mark.parametrize(("added", "warns"), [(900, False), (4_900, True)])
def test_operators_are_warned_before_a_configuration_is_late(added, warns):
    """Guards against configurations that grow until they are not applied in time."""
    world = world_with_links(GROWN_ZONES)
    world.configure(2, ROUTES + added_routes(added))
    world.run(CONFIG_APPLY_MS)
    warned = [
        any(line.event == "configuration_large" for _, line in one.log)
        for one in world.instances.values()
    ]
    assert warned == [warns] * len(warned)
