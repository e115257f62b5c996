"""Configurations that instances get from each other instead of from the store."""

from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.messages import encode_message
from sassafrasloft.testing.fleet.command_execution import STORE
from sassafrasloft.testing.fleet.tests.situations import (
    ROUTES,
    added_routes,
    observe_commands,
    scheduler_of,
    settled_world,
    versions_in_force,
)

CONFIG_APPLY_MS = 2_000
"""Time within which each connected instance applies a new configuration."""
SLOW_LINK_BYTES_PER_MS = 1_562
"""A link of 12.5 Mbit/s."""


def test_successor_does_not_send_a_large_configuration_to_all_followers_at_once():
    """Guards against a successor whose link is full of documents.

    Leadership moves while the store is still sending a new configuration.
    """
    strong = {"north-0", "west-9"}
    world = settled_world(
        {"north": 11, "south": 10, "west": 10}, cores=dict.fromkeys(strong, 4.0)
    )
    first = scheduler_of(world)
    (second,) = strong - {first}
    world.cut = lambda sender, receiver: sender == STORE and receiver not in strong
    world.configure(2, ROUTES + added_routes(3_750))
    world.run(100)
    sent = []
    observe_commands(
        world,
        lambda command, now: (
            sent.append(len(encode_message(command.message)))
            if isinstance(command, SendMessage)
            else None
        ),
    )
    world.kill(first)
    world.run(1_000)
    assert scheduler_of(world) == second
    assert sum(sent) < SLOW_LINK_BYTES_PER_MS * 1_000 / 2
    assert max(sent) < SLOW_LINK_BYTES_PER_MS * 250


def test_followers_without_the_store_get_a_change_from_their_scheduler():
    """Guards against followers that keep the configuration of when they connected."""
    world = settled_world()
    scheduler = scheduler_of(world)
    world.cut = lambda sender, receiver: sender == STORE and receiver != scheduler
    for version in (2, 3):
        world.configure(version, ROUTES)
        world.run(CONFIG_APPLY_MS)
        assert versions_in_force(world) == [version] * len(world.instances)
