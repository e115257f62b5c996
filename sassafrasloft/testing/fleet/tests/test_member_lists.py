"""The member lists that a scheduler sends to its followers."""

from collections import Counter

from sassafrasloft.instance.commands import SendMessage
from sassafrasloft.instance.messages import Heartbeat
from sassafrasloft.leadership.followers import MEMBERS_PER_HEARTBEAT
from sassafrasloft.testing.fleet.tests.situations import (
    ROUTES,
    observe_commands,
    scheduler_of,
    settled_world,
)
from sassafrasloft.testing.fleet.world import FleetWorld

PERIOD_MS = 50


def test_member_lists_are_paced():
    """Guards against member lists that fill the scheduler's link at a start.

    Each instance that joined caused a list to all others: at 300 instances 4.5 MB
    within one heartbeat period, behind which heartbeats waited.
    """
    zones = {"north": 25, "south": 25, "west": 25}
    world = FleetWorld(zones, 1)
    entries_by_period = Counter()

    def record(command, now):
        if isinstance(command, SendMessage) and isinstance(command.message, Heartbeat):
            members = command.message.members or ()
            entries_by_period[now // PERIOD_MS] += len(members)

    observe_commands(world, record)
    world.configure(1, ROUTES)
    world.run(3_000)
    # A period of the observer may overlap two of the scheduler.
    most = 2 * (MEMBERS_PER_HEARTBEAT + sum(zones.values()))
    assert max(entries_by_period.values()) <= most
    names = set(world.instances)
    for instance in world.instances.values():
        assert {one.name for one in instance.core.board.leadership.members} == names


def test_next_scheduler_sends_its_own_member_list():
    """Guards against a follower that keeps the list of an earlier scheduler."""
    world = settled_world()
    for _ in range(2):
        first = scheduler_of(world)
        world.freeze(first)
        world.run(2_000)
        world.thaw(first)
        world.run(2_000)
        world.start_instance(f"west-{len(world.instances)}", "west")
        world.run(2_000)
        names = set(world.instances)
        for instance in world.instances.values():
            members = instance.core.board.leadership.members
            assert {one.name for one in members} == names
