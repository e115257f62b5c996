"""Tests of a step in which a controller raises an exception."""

import attrs
import pytest

from sassafrasloft.blackboard import (
    Board,
    Command,
    Controller,
    DecisionCore,
    Event,
)


@attrs.frozen
class Handled(Command):
    """Records which controller handled what."""

    text: str


@attrs.frozen
class External(Event):
    """An external event."""


@attrs.frozen
class Posted(Event):
    """An event that a controller posts."""

    name: str


class Failing(Controller):
    """Posts events, then fails wherever the test asks for it."""

    handles = (External, Posted)

    def __init__(self, fails_in: tuple[str, ...]) -> None:
        self._fails_in = fails_in

    def _fail_in(self, place: str) -> None:
        if place in self._fails_in:
            raise ValueError(f"fault in {place}")

    def before(self, event, board):
        board.post(Posted("before"))
        self._fail_in("before")

    def react(self, event, board):
        if isinstance(event, External):
            board.post(Posted("first"))
            board.post(Posted("second"))
            self._fail_in("external")
        else:
            self._fail_in(event.name)

    def settle(self, board):
        self._fail_in("settle")


class Recording(Controller):
    """Emits a command for each event and for the end of the step."""

    handles = (External, Posted)

    def react(self, event, board):
        board.emit(Handled(getattr(event, "name", "external")))

    def settle(self, board):
        board.emit(Handled("settled"))


EVERYTHING = ["before", "external", "first", "second", "settled"]


@pytest.mark.parametrize("place", ["before", "external", "first", "second", "settle"])
def test_failing_controller_loses_no_event(place):
    """Guards against an exception that discards other events and the settling.

    The end of a run that was posted beside a faulty event got lost, so that the
    capacity of its runner was never free again.
    """
    board = Board()
    core = DecisionCore(board, [Failing((place,)), Recording()])
    with pytest.raises(ValueError, match=f"fault in {place}"):
        core.step(External(), 5)
    assert [one.text for one in board.take_commands()] == EVERYTHING
    assert board.last_event_ms == 5
    assert board.take_posted() == []


def test_all_failures_of_a_step_are_reported():
    """Guards against a second fault that is hidden by the first one."""
    core = DecisionCore(Board(), [Failing(("first", "settle"))])
    with pytest.raises(ValueError, match="fault in first") as caught:
        core.step(External(), 1)
    assert any("fault in settle" in note for note in caught.value.__notes__)


def test_next_step_is_not_affected():
    """Guards against events of a failed step that are handled in the next one."""
    board = Board()
    core = DecisionCore(board, [Failing(("second",)), Recording()])
    with pytest.raises(ValueError, match="fault in second"):
        core.step(External(), 1)
    board.take_commands()
    with pytest.raises(ValueError, match="fault in second"):
        core.step(External(), 2)
    assert [one.text for one in board.take_commands()] == EVERYTHING
