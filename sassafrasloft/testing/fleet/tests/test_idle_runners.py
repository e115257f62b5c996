"""Cost of runners on which nothing runs.

The cost is measured in calls of Python functions, which is reproducible.
"""

import pytest

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.runs.polling import idle_poll_wait_ms
from sassafrasloft.runs.runner_list import SWEEP_TIMER
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world
from sassafrasloft.testing.fleet.tests.test_overload_cost import CallCounter

FEW, MANY = 5, 50
"""Runners in each of three zones."""


def calls_of_a_sweep(runners_per_zone):
    world = settled_world({"north": 1, "south": 1, "west": 1}, runners_per_zone)
    core = world.instances[scheduler_of(world)].core
    counter = CallCounter(core)
    core.step(TimerFired(SWEEP_TIMER), world.now)
    return counter.calls


def test_idle_runners_cost_one_check_in_each_sweep():
    """Guards against sweeps that use up a processor though nothing runs.

    A sweep over 3,000 idle runners took most of its interval of 25 ms.
    """
    more_runners = 3 * (MANY - FEW)
    assert calls_of_a_sweep(MANY) - calls_of_a_sweep(FEW) <= more_runners


@pytest.mark.parametrize(
    ("runners", "wait_ms"), [(9, 1_000), (1_500, 1_500), (9_000, 2_000)]
)
def test_idle_runners_are_polled_less_often_the_more_there_are(runners, wait_ms):
    """Guards against polls of thousands of idle runners that use up a processor."""
    world = settled_world()
    board = world.instances[scheduler_of(world)].core.board
    board.pool.runners = dict.fromkeys(range(runners))
    assert idle_poll_wait_ms(board) == wait_ms
