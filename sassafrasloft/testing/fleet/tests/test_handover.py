"""Which handover says that no unknown runs are left."""

import pytest

from sassafrasloft.instance.events import MessageReceived
from sassafrasloft.instance.messages import Handover
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world


@pytest.mark.parametrize(
    ("older", "acting", "known"),
    [(0, False, True), (1, False, False), (0, True, False)],
)
def test_only_the_replaced_holder_knows_all_runs(older, acting, known):
    """Guards against a late handover of the holder before the last one.

    Jobs that the last holder may still run were started again at once.
    """
    world = settled_world()
    world.kill(scheduler_of(world))
    world.run(500)
    instance = world.instances[scheduler_of(world)]
    board = instance.core.board
    replaced = board.leadership.replaced_revision
    assert replaced > 0
    stream = next(one for one in board.leadership.streams.values() if one.follower)
    message = Handover(replaced - older, acting, (), ())
    world.tell(instance, MessageReceived(stream.stream_id, message))
    assert board.jobs.predecessor_reported is known
