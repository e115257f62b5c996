"""What every blackboard has: the time, the output and the posted events."""

import attrs

from sassafrasloft.clock import Milliseconds


@attrs.frozen
class Event:
    """Something that happened, outside or inside of the decision core."""


@attrs.frozen
class Command:
    """Something that the edges of the process are to carry out."""


@attrs.frozen
class Started(Event):
    """The process started; always the first event."""


@attrs.frozen
class TimerFired(Event):
    """A timer that the core set has come due."""

    name: str


@attrs.frozen
class SetTimer(Command):
    """Asks for `TimerFired`; replaces a timer of that name."""

    name: str
    due_ms: Milliseconds


class Board:
    """The time of the step, its commands and its posted events."""

    def __init__(self) -> None:
        self.now: Milliseconds = 0
        self.last_event_ms: Milliseconds = 0
        self._commands: list[Command] = []
        self._posted: list[Event] = []

    def emit(self, command: Command) -> None:
        """Add a command to the output of this step."""
        self._commands.append(command)

    def post(self, event: Event) -> None:
        """Add an event that the controllers handle within this step."""
        self._posted.append(event)

    def take_commands(self) -> list[Command]:
        """Return the output of this step and start a new one."""
        commands, self._commands = self._commands, []
        return commands

    def take_posted(self) -> list[Event]:
        """Return the posted events and clear them."""
        posted, self._posted = self._posted, []
        return posted
