"""Tests of how the decision core handles posted events, time and violations."""

from random import Random

import attrs
import pytest

from sassafrasloft.core import (
    Blackboard,
    Controller,
    DecisionCore,
    Event,
    Started,
    WriteLog,
)
from sassafrasloft.invariants import Invariant, InvariantChecker
from sassafrasloft.settings import ServiceSettings
from sassafrasloft.state import Identity


@attrs.frozen
class Echo(Event):
    """An event that the controller under test posts a given number of times."""

    rounds: int


class EchoController(Controller):
    """Posts an echo with one round fewer until no rounds are left."""

    handles = (Started, Echo)

    def react(self, event, board):
        left = event.rounds - 1 if isinstance(event, Echo) else 3
        board.log("INFO", "echo", left=left)
        if left > 0:
            board.post(Echo(left))


class EndlessController(Controller):
    """Posts another event each time the posted events have been handled."""

    handles = (Started,)

    def settle(self, board):
        board.post(Started())


class FaultyController(Controller):
    """Violates an invariant on each event."""

    handles = (Started,)

    def react(self, event, board):
        board.auditor.check(Invariant.ANSWERS_ARE_WHOLE, False, "on purpose")


def make_board(strict=True) -> Blackboard:
    settings = ServiceSettings("service", "region", ("zone",), (), (), ())
    identity = Identity("one", "zone", "00", b"secret")
    return Blackboard(identity, settings, Random(1), InvariantChecker(strict))


def test_posted_events_are_handled_within_the_step():
    """Guards against a posted event that is delayed until the next external event."""
    core = DecisionCore(make_board(), [EchoController()])
    commands = core.step(Started(), 5)
    assert [command.fields[0][1] for command in commands] == ["3", "2", "1", "0"]
    assert all(isinstance(command, WriteLog) for command in commands)


def test_controllers_that_post_without_end_are_reported():
    """Guards against a step that never returns because events are posted forever."""
    core = DecisionCore(make_board(), [EndlessController()])
    with pytest.raises(RuntimeError, match="without end"):
        core.step(Started(), 0)


def test_time_never_goes_back_inside_the_core():
    """Guards against timers in the past after the clock was set back."""
    core = DecisionCore(make_board(), [])
    core.step(Started(), 10)
    core.step(Started(), 4)
    assert core.board.now == 10


def test_a_violated_invariant_is_logged_by_a_serving_process():
    """Guards against a violation that is visible only as a count in the metrics."""
    core = DecisionCore(make_board(strict=False), [FaultyController()])
    (log,) = core.step(Started(), 0)
    assert (log.level, log.event) == ("ERROR", "invariant_violated")
    assert dict(log.fields)["invariant"] == "answers_are_whole"
