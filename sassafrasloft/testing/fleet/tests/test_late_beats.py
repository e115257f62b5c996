"""Instances whose beats come late, and those that wait for them."""

import pytest

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.processor import WorkCosts
from sassafrasloft.testing.fleet.tests.situations import (
    follower_names,
    scheduler_of,
    settled_world,
)

UNKNOWN = TimerFired("unknown")
STANDSTILL_MS = 300
"""More than the silence after which a stream is taken for dead."""


class StandstillCosts(WorkCosts):
    """Costs under which a chosen event takes a long time."""

    def of(self, event, commands):
        return STANDSTILL_MS if event is UNKNOWN else super().of(event, commands)


def found_silent(world):
    """Return how often an instance took another one for gone."""
    return sum(
        ("reason", "silent") in line.fields or ("silent", True) in line.fields
        for one in world.instances.values()
        for _, line in one.log
    )


@pytest.mark.parametrize("scheduling", [False, True])
def test_what_arrived_while_an_instance_was_busy_is_not_missed(scheduling):
    """Guards against dropping peers whose beats wait to be read.

    The beat timer of a busy instance goes before messages that came after it was due.
    """
    world = settled_world(costs=StandstillCosts())
    busy = scheduler_of(world) if scheduling else follower_names(world)[0]
    # The others wait for longer, so that only the busy one could lose anyone.
    for instance in world.instances.values():
        if instance.name != busy:
            instance.core.board.leadership.scheduler_delay_ms = STANDSTILL_MS
            for stream in instance.core.board.leadership.streams.values():
                stream.heartbeat_delay_ms = STANDSTILL_MS
    world.tell(world.instances[busy], UNKNOWN)
    world.run(1_000)
    assert found_silent(world) == 0


def test_a_scheduler_that_said_that_it_is_late_is_waited_for():
    """Guards against a vote while the scheduler is overloaded but alive."""
    world = settled_world(costs=StandstillCosts())
    scheduler = scheduler_of(world)
    world.timer_delays_ms[scheduler] = 150
    world.run(250)
    world.timer_delays_ms[scheduler] = 0
    world.tell(world.instances[scheduler], UNKNOWN)
    world.run(400)
    assert found_silent(world) == 0


def test_a_late_scheduler_that_dies_is_replaced_within_a_second():
    """Guards against waiting without bound for one that said that it is late."""
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
