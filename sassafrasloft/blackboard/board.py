"""The base class of blackboards, and of the events and commands of a core."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class Event:
    """A fact, reported by the I/O layer or posted by a controller."""


@attrs.frozen
class Command:
    """An action that the I/O layer of the process carries out."""


@attrs.frozen
class Started(Event):
    """The process started; always the first event."""


@attrs.frozen
class TimerFired(Event):
    """A timer that the core set has expired."""

    name: str


@attrs.frozen
class SetTimer(Command):
    """Sets a timer that reports `TimerFired`; replaces a timer of the same name."""

    name: str
    due_ms: Milliseconds


class Board:
    """The state that controllers share, with the time and output of a step.

    Subclasses add sections of state.
    """

    def __init__(self) -> None:
        self.now: Milliseconds = 0
        self.last_event_ms: Milliseconds = 0
        self._commands: list[Command] = []
        self._posted: list[Event] = []

    def emit(self, command: Command) -> None:
        """Add a command to the output of this step."""
        self._commands.append(command)

    def post(self, event: Event) -> None:
        """Add an event that the controllers handle later within this step."""
        self._posted.append(event)

    def take_commands(self) -> list[Command]:
        """Return the output of this step and start a new one."""
        commands, self._commands = self._commands, []
        return commands

    def take_posted(self) -> list[Event]:
        """Return the posted events and clear them."""
        posted, self._posted = self._posted, []
        return posted
