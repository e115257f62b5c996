"""Configurations that instances get from each other instead of from the store."""

import zlib
from itertools import pairwise

import pytest

from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.events import (
    ConfigurationReceived,
    ConfigurationRequested,
)
from sassafrasloft.instance.message_codec import encode_message
from sassafrasloft.instance.messages import (
    CompressedConfiguration,
)
from sassafrasloft.metadata.exchange import MAX_DOCUMENT_BYTES, OFFERED_BYTES_PER_MS
from sassafrasloft.testing.fleet.command_execution import HOST, SERVICE
from sassafrasloft.testing.fleet.store_execution import STORE
from sassafrasloft.testing.fleet.tests.situations import (
    ROUTES,
    added_routes,
    follower_names,
    is_completed,
    observe_commands,
    scheduler_of,
    settled_world,
    versions_in_force,
)
from sassafrasloft.testing.fleet.world import simple_job
from sassafrasloft.workload import Route

CONFIG_APPLY_MS = 2_000
"""Time within which each connected instance applies a new configuration."""
SLOW_LINK_BYTES_PER_MS = 1_562
"""A link of 12.5 Mbit/s."""
NEW_ROUTE = Route("new", HOST, "/new/", SERVICE, 1, 2, 1.6, 60, 1_500)


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


def test_job_of_a_new_route_runs_under_a_scheduler_that_the_store_does_not_reach():
    """Guards against "no such route" from a scheduler older than its follower."""
    world = settled_world()
    scheduler = scheduler_of(world)
    world.cut = lambda sender, receiver: sender == STORE and receiver == scheduler
    world.configure(2, (*ROUTES, NEW_ROUTE))
    world.run(100)
    follower = follower_names(world)[0]
    early = world.submit(simple_job(1, 1, 14_000, 60), NEW_ROUTE, follower)
    world.run(CONFIG_APPLY_MS)
    assert is_completed(early)
    assert versions_in_force(world) == [2] * len(world.instances)


@pytest.mark.parametrize(
    "compressed",
    [
        b"",
        b"not compressed",
        zlib.compress(b"{}")[:-1],
        zlib.compress(b" " * (MAX_DOCUMENT_BYTES + 1)),
    ],
)
def test_malformed_configuration_of_another_instance_is_ignored(compressed):
    """Guards against a document that ends the process or takes all of its memory."""
    world = settled_world()
    instance = world.instances[follower_names(world)[0]]
    world.tell(instance, ConfigurationReceived(compressed))
    assert instance.log[-1][1].event == "configuration_unreadable"
    assert versions_in_force(world) == [1] * len(world.instances)


def test_each_requested_configuration_waits_for_those_before_it():
    """Guards against requests of a whole fleet that fill the link of one instance."""
    world = settled_world()
    world.configure(2, ROUTES + added_routes(3_750))
    world.run(500)
    instance = world.instances[scheduler_of(world)]
    sent = []

    def record(command, now):
        if isinstance(command, SendMessage) and isinstance(
            command.message, CompressedConfiguration
        ):
            sent.append((now, len(command.message.document)))

    observe_commands(world, record)
    followers = [
        one.stream_id
        for one in instance.core.board.leadership.streams.values()
        if one.follower
    ]
    for stream_id in followers:
        world.tell(instance, ConfigurationRequested(stream_id, 1))
    world.run(2_000)
    assert len(sent) == len(followers)
    for (before, size), (after, _) in pairwise(sent):
        assert after - before >= size // OFFERED_BYTES_PER_MS
