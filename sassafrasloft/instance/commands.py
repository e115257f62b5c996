"""The commands that an instance's decision core gives to the I/O layer."""

import attrs

from sassafrasloft.blackboard import Command
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway.answers import CallerAnswer
from sassafrasloft.instance.message_codec import Message
from sassafrasloft.metadata import StoreOperation, TransferLimits
from sassafrasloft.runs import RunnerCommand
from sassafrasloft.workload import HttpLimits


@attrs.frozen
class CallStore(Command):
    """Calls the metadata store.

    The response has to begin within `timeout_ms` and to arrive within the limits of
    `transfer`; without these, `timeout_ms` is the limit of the whole response.
    """

    call_id: int
    operation: StoreOperation
    timeout_ms: Milliseconds
    transfer: TransferLimits | None = None


@attrs.frozen
class CallRunner(Command):
    """Sends an order to a runner."""

    call_id: int
    runner_id: str
    address: str
    order: RunnerCommand
    timeout_ms: Milliseconds


@attrs.frozen
class OpenStream(Command):
    """Opens a stream to another instance."""

    stream_id: int
    address: str
    timeout_ms: Milliseconds


@attrs.frozen
class CloseStream(Command):
    """Closes a stream; the I/O layer reports no further events of it."""

    stream_id: int


@attrs.frozen
class SendMessage(Command):
    """Sends a message on a stream; the message is dropped if the stream is closed."""

    stream_id: int
    message: Message


@attrs.frozen
class AnswerCaller(Command):
    """Answers a caller's request, exactly once."""

    request_id: int
    answer: CallerAnswer


@attrs.frozen
class SetReadiness(Command):
    """Sets whether the load balancer should send new connections."""

    ready: bool


@attrs.frozen
class SetHttpLimits(Command):
    """Changes the HTTP limits of callers' connections."""

    limits: HttpLimits


@attrs.frozen
class CloseCallers(Command):
    """Stops listening for callers and closes idle connections."""


@attrs.frozen
class WriteLog(Command):
    """Writes a log line."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...]
    failed_request: bool = False


@attrs.frozen
class ExitProcess(Command):
    """Ends the process once all answers are written."""
