"""Commands: the output of the decision core, carried out by the I/O layer."""

import attrs

from sassafrasloft.blackboard import Command
from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import Answer, TaskKey, TaskSpec
from sassafrasloft.messages import PeerMessage
from sassafrasloft.messages.platform_calls import PlatformCall


@attrs.frozen
class IssuedIds:
    """Newly issued submission ids for a caller."""

    submission_ids: tuple[str, ...]


@attrs.frozen
class Status:
    """The state of an instance for operators, as JSON-like values."""

    values: dict[str, object]


@attrs.frozen
class Reply(Command):
    """Sends the only reply to a request of a caller or an operator."""

    request_id: str
    content: Answer | IssuedIds | Status


@attrs.frozen
class Assignment:
    """A task with its key, as part of a delivery."""

    key: TaskKey
    task: TaskSpec


@attrs.frozen
class Deliver(Command):
    """Sends a group of tasks to one incarnation of a runner.

    The runner may start each task at most once, under a lease of `lease_ms`.
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
    """Queries the state of tasks over a new connection.

    For each task that it has not started, the runner guarantees in its reply
    that it will never start it.
    """

    runner: str
    runner_incarnation: str
    keys: tuple[TaskKey, ...]


@attrs.frozen
class StopTasks(Command):
    """Like `Settle`, but also requests the runner to stop the running tasks."""

    runner: str
    runner_incarnation: str
    keys: tuple[TaskKey, ...]


@attrs.frozen
class AbandonDelivery(Command):
    """Closes the connection of a delivery whose tasks were settled by other means.

    No event follows. A delivery that is no longer open is not an error.
    """

    runner: str
    delivery_id: str


@attrs.frozen
class Fence(Command):
    """Requests a runner to start no further tasks of an ended incarnation."""

    runner: str
    incarnation: str


@attrs.frozen
class Probe(Command):
    """Queries the capacity of a runner without sending it a task."""

    runner: str


@attrs.frozen
class SendToPeer(Command):
    """Sends a message to another instance, without retry if the stream is lost."""

    peer: str
    message: PeerMessage


@attrs.frozen
class CallPlatform(Command):
    """Calls the platform; a `PlatformReplied` event with the same id always follows."""

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
    """Sets the status that the health endpoint reports to the load balancer."""

    serving: bool


@attrs.frozen
class Exit(Command):
    """Ends the process with exit code 0 after a completed planned stop."""
