"""The actor that runs the decision core of an instance."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

import pykka

from sassafrasloft.blackboard import Command, DecisionCore, Event
from sassafrasloft.clock import Clock

_LOGGER = logging.getLogger(__name__)

CommandHandler = Callable[[Any], None]
MAX_LOGGED_FAULTS = 100
"""Limit of different faults that are logged; all faults are counted."""


class _DirectInbox:
    """An inbox that handles each message as soon as it is put, one at a time, in order.

    All senders are callbacks of the same event loop, so no thread is needed.
    """

    def __init__(self) -> None:
        self._envelopes: deque = deque()
        self._is_handling = False
        self.handle: Callable[[Any], None] | None = None

    def put(self, envelope: Any) -> None:
        """Handle a message, or queue it while another one is being handled."""
        self._envelopes.append(envelope)
        if self._is_handling or self.handle is None:
            return
        self._is_handling = True
        try:
            while self._envelopes:
                self.handle(self._envelopes.popleft())
        finally:
            self._is_handling = False

    def empty(self) -> bool:
        """Return whether the inbox has no queued messages."""
        return not self._envelopes


class EventLoopActor(pykka.Actor):
    """A pykka actor that runs in event loop callbacks instead of a thread."""

    @staticmethod
    def _create_actor_inbox() -> _DirectInbox:
        return _DirectInbox()

    @staticmethod
    def _create_future() -> pykka.Future:
        return pykka.ThreadingFuture()

    def _start_actor_loop(self) -> None:
        self.on_start()
        self.actor_inbox.handle = self._handle_envelope

    def _handle_envelope(self, envelope: Any) -> None:
        response = self._handle_receive(envelope.message)
        if envelope.reply_to is not None:
            envelope.reply_to.set(response)


class InstanceActor(EventLoopActor):
    """Passes events to the decision core and executes the resulting commands.

    Parameters
    ----------
    core : DecisionCore
    clock : Clock
        Read once for each event.
    command_handlers : dict
        The handler that executes the commands of each class.
    """

    def __init__(
        self,
        core: DecisionCore,
        clock: Clock,
        command_handlers: dict[type[Command], CommandHandler],
    ) -> None:
        super().__init__()
        self._core = core
        self._clock = clock
        self._command_handlers = command_handlers
        self._logged_faults: set[tuple] = set()

    def on_receive(self, message: Any) -> None:
        """Have the core handle one event, then execute its commands."""
        if not isinstance(message, Event):
            raise TypeError(f"expected an event, found {type(message).__name__}")
        try:
            commands = self._core.step(message, self._clock.now())
        except Exception as error:
            # An exception on one event must not end the process with all its requests.
            if self._is_new_fault("core_faults", message, error):
                _LOGGER.exception("the core failed on %s", type(message).__name__)
            commands = self._core.board.take_commands()
        for command in commands:
            try:
                self._command_handlers[type(command)](command)
            except Exception as error:
                if self._is_new_fault("command_faults", command, error):
                    _LOGGER.exception("command %s failed", type(command).__name__)

    def _is_new_fault(
        self, counter: str, subject: Event | Command, error: Exception
    ) -> bool:
        """Count a fault of the program; return whether it is to be logged."""
        self._core.board.count(counter)
        place = error.__traceback__
        while place.tb_next is not None:
            place = place.tb_next
        fault = (type(subject), type(error), place.tb_frame.f_code, place.tb_lineno)
        if (
            fault in self._logged_faults
            or len(self._logged_faults) >= MAX_LOGGED_FAULTS
        ):
            return False
        self._logged_faults.add(fault)
        return True
