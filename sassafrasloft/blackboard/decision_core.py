"""The interface through which the I/O layer drives an instance's decisions."""

from collections.abc import Sequence
from typing import NoReturn

from sassafrasloft.blackboard.board import Board, Command, Event
from sassafrasloft.blackboard.controller import Controller
from sassafrasloft.clock import Milliseconds

MAX_ROUNDS = 1_000
"""Limit of rounds of posted events in a step; more indicate an endless loop."""
MAX_NOTED_FAILURES = 10
"""Limit of further exceptions of a step that are noted on the first one."""


class DecisionCore:
    """Runs controllers over a blackboard, driven by events and the time.

    The core is deterministic: the same events, times and seed give the same commands.

    Parameters
    ----------
    board : Board
        The state that the controllers share.
    controllers : sequence of Controller
        In the order in which they are called.
    """

    def __init__(self, board: Board, controllers: Sequence[Controller]) -> None:
        self._board = board
        self._controllers = tuple(controllers)
        self._watchers = tuple(
            controller
            for controller in self._controllers
            if type(controller).before is not Controller.before
        )
        self._settlers = tuple(
            controller
            for controller in self._controllers
            if type(controller).settle is not Controller.settle
        )
        self._routes: dict[type[Event], tuple[Controller, ...]] = {}

    @property
    def board(self) -> Board:
        """The state, read-only: for tests and status reports."""
        return self._board

    def step(self, event: Event, now: Milliseconds) -> list[Command]:
        """Handle one external event and return the resulting commands.

        Parameters
        ----------
        event : Event
            What happened.
        now : Milliseconds
            Monotonic time, not less than at the previous step.

        Returns
        -------
        list of Command
            In the order in which they must be carried out.

        Raises
        ------
        InvariantViolated
            If the auditor is strict and an invariant is violated.
        Exception
            The first exception of a controller; further ones are its notes. The step
            is finished before it is raised, and its commands stay on the board.
        """
        board = self._board
        board.now = max(now, board.now)
        failures: list[Exception] = []
        for controller in self._watchers:
            try:
                controller.before(event, board)
            except Exception as error:
                failures.append(error)
        pending = [*board.take_posted(), event]
        for _ in range(MAX_ROUNDS):
            for one in pending:
                self._dispatch(one, failures)
            pending = board.take_posted()
            if pending:
                continue
            self._settle(failures)
            pending = board.take_posted()
            if not pending:
                break
        else:
            raise RuntimeError(f"controllers post events without end: {pending[:3]}")
        board.last_event_ms = board.now
        if failures:
            _raise_first(failures)
        return board.take_commands()

    # An exception of one controller is collected and raised at the end of the step: the
    # other controllers and events do not depend on it, and the I/O layer does not
    # report an event twice.

    def _dispatch(self, event: Event, failures: list[Exception]) -> None:
        for controller in self._route(type(event)):
            try:
                controller.react(event, self._board)
            except Exception as error:
                failures.append(error)

    def _settle(self, failures: list[Exception]) -> None:
        for controller in self._settlers:
            try:
                controller.settle(self._board)
            except Exception as error:
                failures.append(error)

    def _route(self, event_type: type[Event]) -> tuple[Controller, ...]:
        if event_type not in self._routes:
            self._routes[event_type] = tuple(
                controller
                for controller in self._controllers
                if issubclass(event_type, controller.handles)
            )
        return self._routes[event_type]


def _raise_first(failures: list[Exception]) -> NoReturn:
    """Raise the first exception of a step with the others as notes."""
    first, *others = failures
    for other in others[:MAX_NOTED_FAILURES]:
        first.add_note(f"in the same step: {other!r}")
    raise first
