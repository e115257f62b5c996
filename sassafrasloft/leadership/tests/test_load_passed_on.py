"""Tests that a new scheduler knows the highest load that the previous one sustained."""

import pytest

from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world

SUSTAINED_LOAD = 500.0
"""Tasks per second."""


@pytest.mark.parametrize("store_down", [False, True])
def test_new_scheduler_keeps_the_sustained_load_of_the_previous_one(store_down):
    """Guards against a usual load that counts as an overload after a takeover."""
    world = settled_world()
    old = scheduler_of(world)
    for instance in world.instances.values():
        instance.core.board.leadership.sustained_load = SUSTAINED_LOAD
    world.store_down = store_down
    world.kill(old)
    world.run(1_500)
    boards = [
        one.core.board
        for one in world.instances.values()
        if one.alive
        and one.core.board.leadership.role in (Role.SCHEDULING, Role.ACTING)
    ]
    assert [board.leadership.sustained_load for board in boards] == [SUSTAINED_LOAD]
