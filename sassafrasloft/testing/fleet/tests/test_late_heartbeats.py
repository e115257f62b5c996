"""Delayed heartbeats, and the peers that wait for them."""

import pytest

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.processor import WorkCosts
from sassafrasloft.testing.fleet.tests.situations import (
    follower_names,
    scheduler_of,
    settled_world,
)

STALL_EVENT = TimerFired("unknown")
STALL_MS = 300
"""Longer than the heartbeat timeout after which a stream counts as dead."""


class StallCosts(WorkCosts):
    """Costs under which the event `STALL_EVENT` stalls the instance."""

    def of(self, event, commands):
        return STALL_MS if event is STALL_EVENT else super().of(event, commands)


def count_timeouts(world):
    """Return how often an instance reported that a peer timed out."""
    return sum(
        ("reason", "silent") in line.fields or ("silent", True) in line.fields
        for one in world.instances.values()
        for _, line in one.log
    )


@pytest.mark.parametrize("scheduling", [False, True])
def test_busy_instance_does_not_time_out_peers_with_unread_heartbeats(scheduling):
    """Guards against dropping peers whose heartbeats wait to be read.

    The heartbeat timer of a busy instance is handled before messages that arrived
    after it was due.
    """
    world = settled_world(costs=StallCosts())
    busy = scheduler_of(world) if scheduling else follower_names(world)[0]
    # The other instances wait longer, so that only the busy one could drop a peer.
    for instance in world.instances.values():
        if instance.name != busy:
            instance.core.board.leadership.scheduler_delay_ms = STALL_MS
            for stream in instance.core.board.leadership.streams.values():
                stream.heartbeat_delay_ms = STALL_MS
    world.tell(world.instances[busy], STALL_EVENT)
    world.run(1_000)
    assert count_timeouts(world) == 0


def test_peers_wait_for_scheduler_that_announced_heartbeat_delay():
    """Guards against an election while the scheduler is overloaded but alive."""
    world = settled_world(costs=StallCosts())
    scheduler = scheduler_of(world)
    world.timer_delays_ms[scheduler] = 150
    world.run(250)
    world.timer_delays_ms[scheduler] = 0
    world.tell(world.instances[scheduler], STALL_EVENT)
    world.run(400)
    assert count_timeouts(world) == 0


def test_dead_scheduler_with_announced_heartbeat_delay_is_replaced_in_time():
    """Guards against waiting without bound for a scheduler that announced a delay."""
    world = settled_world(costs=WorkCosts())
    scheduler = scheduler_of(world)
    world.timer_delays_ms[scheduler] = 190
    world.run(500)
    world.power_off(scheduler)
    world.run(1_500)
    names = [
        one.name
        for one in world.instances.values()
        if one.alive and one.core.board.leadership.role is Role.SCHEDULING
    ]
    assert len(names) == 1
