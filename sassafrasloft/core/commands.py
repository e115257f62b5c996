"""What an instance does: the output of the decision core."""

import attrs

from sassafrasloft.blackboard import Command
from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import Answer, TaskKey, TaskSpec
from sassafrasloft.messages import PeerMessage
from sassafrasloft.messages.platform_calls import PlatformCall


@attrs.frozen
class IssuedIds:
    """Fresh submission ids for a caller."""

    submission_ids: tuple[str, ...]


@attrs.frozen
class Status:
    """The state of an instance for operators, as JSON-like values."""

    values: dict[str, object]


@attrs.frozen
class Reply(Command):
    """The one reply to a request of a caller or an operator."""

    request_id: str
    content: Answer | IssuedIds | Status


@attrs.frozen
class Assignment:
    """One task in a delivery."""

    key: TaskKey
    task: TaskSpec


@attrs.frozen
class Deliver(Command):
    """Sends a group of tasks to one incarnation of a runner.

    The runner may start each of them once, under a lease of `lease_ms`.
    """

    runner: str
    runner_incarnation: str
    delivery_id: str
    assignments: tuple[Assignment, ...]
    lease_ms: Milliseconds
    trace_id: str = ""
    parent_span_id: str = ""


@attrs.frozen
class Settle(Command):
    """Asks on a new connection what became of tasks.

    A runner that has not started a task promises never to start it.
    """

    runner: str
    runner_incarnation: str
    keys: tuple[TaskKey, ...]


@attrs.frozen
class StopTasks(Command):
    """Like `Settle`, and asks the runner to stop those that are running."""

    runner: str
    runner_incarnation: str
    keys: tuple[TaskKey, ...]


@attrs.frozen
class AbandonDelivery(Command):
    """Closes the connection of a delivery whose tasks were settled otherwise.

    Nothing follows; a delivery that is not open any more is no error.
    """

    runner: str
    delivery_id: str


@attrs.frozen
class Fence(Command):
    """Asks a runner never to start a task of an ended incarnation again."""

    runner: str
    incarnation: str


@attrs.frozen
class Probe(Command):
    """Asks a runner for its capacity without giving it a task."""

    runner: str


@attrs.frozen
class SendToPeer(Command):
    """Sends a message to another instance; lost if the stream is lost."""

    peer: str
    message: PeerMessage


@attrs.frozen
class CallPlatform(Command):
    """Calls the platform; `PlatformReplied` with the same id always follows."""

    call_id: str
    call: PlatformCall


@attrs.frozen
class RecordSpan(Command):
    """Writes one finished span of a trace."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start_ms: Milliseconds
    end_ms: Milliseconds
    attributes: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class WriteLog(Command):
    """Writes one log event with its fields."""

    level: str
    event: str
    fields: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class SetHealth(Command):
    """Sets what the health endpoint says to the balancer."""

    serving: bool


@attrs.frozen
class Exit(Command):
    """Ends the process with exit code 0: the planned stop is done."""
