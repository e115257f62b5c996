"""Handovers that show that the scheduler knows all runs of its predecessor."""

import pytest

from sassafrasloft.instance.events import MessageReceived
from sassafrasloft.instance.messages import Handover
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world


@pytest.mark.parametrize(
    ("older", "acting", "known"),
    [(0, False, True), (1, False, False), (0, True, False)],
)
def test_only_handover_of_direct_predecessor_reports_all_runs(older, acting, known):
    """Guards against trust in a late handover of an earlier predecessor.

    Jobs that the direct predecessor may still run were restarted at once.
    """
    world = settled_world()
    world.kill(scheduler_of(world))
    world.run(500)
    instance = world.instances[scheduler_of(world)]
    board = instance.core.board
    replaced = board.leadership.replaced_revision
    assert replaced > 0
    stream = next(one for one in board.leadership.streams.values() if one.follower)
    message = Handover(replaced - older, acting, (), (), ())
    world.tell(instance, MessageReceived(stream.stream_id, message))
    assert (board.jobs.unseen_by_predecessor is not None) is known
