"""The actor that owns the decision core of an instance."""

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

import pykka

from sassafrasloft.blackboard import Command, DecisionCore, Event
from sassafrasloft.clock import Clock

_LOGGER = logging.getLogger(__name__)

Carrier = Callable[[Any], None]


class _DirectInbox:
    """An inbox whose messages are taken at once, one at a time, in order.

    All senders are callbacks of the one event loop, so no thread is needed.
    """

    def __init__(self) -> None:
        self._waiting: deque = deque()
        self._busy = False
        self.take: Callable[[Any], None] | None = None

    def put(self, envelope: Any) -> None:
        """Take a message, or keep it while another is being handled."""
        self._waiting.append(envelope)
        if self._busy or self.take is None:
            return
        self._busy = True
        try:
            while self._waiting:
                self.take(self._waiting.popleft())
        finally:
            self._busy = False

    def empty(self) -> bool:
        """Return whether no message waits."""
        return not self._waiting


class EventLoopActor(pykka.Actor):
    """A pykka actor that runs in the callbacks of an event loop."""

    @staticmethod
    def _create_actor_inbox() -> _DirectInbox:
        return _DirectInbox()

    @staticmethod
    def _create_future() -> pykka.Future:
        return pykka.ThreadingFuture()

    def _start_actor_loop(self) -> None:
        self.on_start()
        self.actor_inbox.take = self._take

    def _take(self, envelope: Any) -> None:
        response = self._handle_receive(envelope.message)
        if envelope.reply_to is not None:
            envelope.reply_to.set(response)


class InstanceActor(EventLoopActor):
    """Steps the decision core and has its commands carried out.

    Parameters
    ----------
    core : DecisionCore
    clock : Clock
        Read once for each event.
    carriers : dict
        What carries out each class of command.
    """

    def __init__(
        self,
        core: DecisionCore,
        clock: Clock,
        carriers: dict[type[Command], Carrier],
    ) -> None:
        super().__init__()
        self._core = core
        self._clock = clock
        self._carriers = carriers
        self.faults = 0

    def on_receive(self, message: Any) -> None:
        """Take one event."""
        if not isinstance(message, Event):
            raise TypeError(f"expected an event, found {type(message).__name__}")
        try:
            commands = self._core.step(message, self._clock.now())
        except Exception:
            # One bad event must not end the process and all of its requests.
            self.faults += 1
            _LOGGER.exception("the core failed on %s", type(message).__name__)
            commands = self._core.board.take_commands()
        for command in commands:
            try:
                self._carriers[type(command)](command)
            except Exception:
                self.faults += 1
                _LOGGER.exception("command %s failed", type(command).__name__)
