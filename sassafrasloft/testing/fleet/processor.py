"""Models the processor time of the instances in a test fleet."""

from collections import deque
from collections.abc import Sequence

import attrs

from sassafrasloft.blackboard import Command, Event
from sassafrasloft.instance.commands import CallRunner, CallStore, SendMessage
from sassafrasloft.instance.events import JobRequested, MessageReceived, RunnerReplied
from sassafrasloft.instance.messages import SubmitJob


@attrs.frozen
class WorkCosts:
    """Processor time of one core for an event and its commands, in milliseconds.

    The defaults are several times the costs of a real instance, so that few jobs
    saturate an instance in a test. Their ratios follow the number of bytes that are
    parsed and written.
    """

    event_ms: float = 0.1
    job_request_ms: float = 0.4
    job_message_ms: float = 0.4
    runner_reply_ms: float = 0.4
    runner_call_ms: float = 0.6
    store_call_ms: float = 0.6
    message_ms: float = 0.1

    def of(self, event: Event, commands: Sequence[Command]) -> float:
        """Return the time that one core needs for an event and its commands."""
        if isinstance(event, JobRequested):
            cost = self.job_request_ms
        elif isinstance(event, RunnerReplied):
            cost = self.runner_reply_ms
        elif isinstance(event, MessageReceived) and isinstance(
            event.message, SubmitJob
        ):
            cost = self.job_message_ms
        else:
            cost = self.event_ms
        return cost + sum(self._of_command(command) for command in commands)

    def _of_command(self, command: Command) -> float:
        if isinstance(command, CallRunner):
            return self.runner_call_ms
        if isinstance(command, CallStore):
            return self.store_call_ms
        return self.message_ms if isinstance(command, SendMessage) else 0.0


@attrs.define(eq=False)
class Processor:
    """The processor of one instance, which handles one event at a time.

    Parameters
    ----------
    cores : float
        The speed, relative to one core.
    """

    cores: float = 1.0
    busy: bool = False
    waiting: deque[Event] = attrs.field(factory=deque)
    """Events that arrived while the processor was busy, in order of arrival."""
    busy_ms: float = 0.0
    """Total processor time so far."""
