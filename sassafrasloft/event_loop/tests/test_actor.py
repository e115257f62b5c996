"""Tests of an instance's actor when its core or a command handler fails."""

import logging

import attrs

from sassafrasloft.blackboard import Command, Event
from sassafrasloft.clock import ManualClock
from sassafrasloft.event_loop.actor import InstanceActor


@attrs.frozen
class Sound(Event):
    """An event that the core handles."""


@attrs.frozen
class Faulty(Event):
    """An event on which the core fails."""


@attrs.frozen
class Reply(Command):
    """A command that can be carried out."""


@attrs.frozen
class Unserviceable(Command):
    """A command whose handler fails."""


class FailingCore:
    """A core that fails on one kind of event, after it has emitted a command."""

    def __init__(self) -> None:
        self.board = self
        self.counters = {}

    def count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    def step(self, event: Event, now: int) -> list[Command]:
        if isinstance(event, Faulty):
            raise KeyError("missing")
        return [Unserviceable(), Reply()]

    def take_commands(self) -> list[Command]:
        return [Reply()]


def test_faults_are_counted_and_logged_once(caplog):
    """Guards against a fault that ends the process or fills the log."""
    core = FailingCore()
    replies = []

    def fail(command: Command) -> None:
        raise ValueError("cannot be sent")

    handlers = {Reply: replies.append, Unserviceable: fail}
    with caplog.at_level(logging.ERROR):
        actor = InstanceActor.start(core, ManualClock(), handlers)
        for event in (Faulty(), Sound(), Faulty(), Sound(), Faulty()):
            actor.tell(event)
    assert len(replies) == 5
    assert core.counters == {"core_faults": 3, "command_faults": 2}
    messages = [record.getMessage() for record in caplog.records]
    assert messages == ["the core failed on Faulty", "command Unserviceable failed"]
    actor.stop(block=False)
