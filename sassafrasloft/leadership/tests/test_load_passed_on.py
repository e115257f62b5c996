"""What a new scheduler knows of the load that the last one bore."""

import pytest

from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world

BORNE = 500.0
"""Tasks a second."""


@pytest.mark.parametrize("store_down", [False, True])
def test_a_new_scheduler_goes_on_from_the_load_that_the_last_one_bore(store_down):
    """Guards against taking a usual load for an overload after a takeover."""
    world = settled_world()
    old = scheduler_of(world)
    for instance in world.instances.values():
        instance.core.board.rights.borne = BORNE
    world.store_down = store_down
    world.kill(old)
    world.run(1_500)
    boards = [
        one.core.board
        for one in world.instances.values()
        if one.alive and one.core.board.rights.role in (Role.SCHEDULING, Role.ACTING)
    ]
    assert [board.rights.borne for board in boards] == [BORNE]
