"""Messages between instances.

On the stream a message is the msgpack array ``[kind, *fields]``.
"""

from collections.abc import Callable
from typing import TypeVar

import attrs
import msgpack

from sassafrasloft.clock import Milliseconds
from sassafrasloft.runs.runners import RunnerEntry
from sassafrasloft.workload import JobRequest, from_packed, to_packed

_KINDS: dict[str, type["Message"]] = {}
_NAMES: dict[type["Message"], str] = {}
# Kept, since each new one gets a buffer of 256 KB.
_PACKER = msgpack.Packer()
MessageClass = TypeVar("MessageClass", bound=type["Message"])

MAX_MESSAGE_BYTES = 4_000_000
"""A job of 256 KiB and a handover of 2,000 jobs fit."""


class MessageMalformed(ValueError):
    """A message has an unknown kind or another form; the stream is closed."""


@attrs.frozen
class Message:
    """Base class."""


def register_message(kind: str) -> Callable[[MessageClass], MessageClass]:
    """Return a decorator that enters a message class under its kind."""

    def enter(message_class: MessageClass) -> MessageClass:
        if kind in _KINDS:
            raise ValueError(f"message kind {kind!r} is registered twice")
        _KINDS[kind] = message_class
        _NAMES[message_class] = kind
        return message_class

    return enter


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _PACKER.pack([_NAMES[type(message)], *to_packed(message)])


def decode_message(value: object) -> Message:
    """Return the message of an unpacked array.

    Raises
    ------
    MessageMalformed
        If the kind is unknown or a field has another type.
    """
    if not isinstance(value, list) or not value or value[0] not in _KINDS:
        raise MessageMalformed("the message has no known kind")
    try:
        return from_packed(_KINDS[value[0]], value[1:])
    except (TypeError, ValueError) as error:
        raise MessageMalformed(f"message {value[0]}: {error}") from error


@attrs.frozen
class RosterEntry:
    """An instance that a scheduler has heard from lately.

    `slot` is unique among the instances and is part of fencing tokens.
    """

    name: str
    zone: str
    peers_address: str
    cores: float
    slot: int


@attrs.frozen
class ZoneRound:
    """How often the runners of a zone have changed hands under one right."""

    zone: str
    round: int


@register_message("hello")
@attrs.frozen
class Hello(Message):
    """First message on a stream, from the instance that opened it.

    `rounds` are the rounds of fencing tokens that the sender has used as an acting
    scheduler, by availability zone.
    """

    name: str
    incarnation: str
    zone: str
    peers_address: str
    cores: float
    rounds: tuple[ZoneRound, ...] = ()
    configuration_version: int = 0


@register_message("welcome")
@attrs.frozen
class Welcome(Message):
    """The sender schedules under this token and takes jobs on this stream.

    `acting` says that it does so without a lease from the store; then `zone` may name
    the only availability zone that it schedules for. `active_ms` is for how long it
    has scheduled, and `runners_known` how many runners it knows.
    """

    name: str
    token: int
    zone: str
    acting: bool
    active_ms: Milliseconds = 0
    runners_known: int = 0


@register_message("configuration")
@attrs.frozen
class ConfigurationOffer(Message):
    """The configuration in force at the sender, as the operator wrote it."""

    document: bytes


@register_message("runners")
@attrs.frozen
class RunnersOffer(Message):
    """Runners that the sender knows, to a scheduler that knows fewer."""

    entries: tuple[RunnerEntry, ...]


@register_message("not_scheduling")
@attrs.frozen
class NotScheduling(Message):
    """The sender does not schedule. `revision` is that of the right it knows of."""

    name: str
    revision: int


@register_message("beat")
@attrs.frozen
class Beat(Message):
    """A sign of life; from the scheduler with the roster if that has changed.

    `late_ms` is how late the sender's timer for it was. `intake_share` is the share
    of new jobs that the receiver may hand in to the sender. `offered` counts the tasks
    that callers handed in at the sender since its last beat, and `borne` is the highest
    load in tasks a second that a scheduler is known to have borne.
    """

    roster: tuple[RosterEntry, ...] | None = None
    late_ms: Milliseconds = 0
    intake_share: float = 1.0
    offered: int = 0
    borne: float = 0.0


@register_message("heard_query")
@attrs.frozen
class HeardQuery(Message):
    """Asks whether the receiver gets beats from the scheduler of a revision."""

    revision: int


@register_message("heard_reply")
@attrs.frozen
class HeardReply(Message):
    """How long ago the scheduler was heard from; -1 if it is lost.

    `acting_address` is that of the acting scheduler which serves the sender, and
    `acting_zone` the only zone that this one schedules for. `holder` has the right
    of `revision`, as far as the sender knows. `knows_runners` is false for a sender
    that has never read their list.
    """

    name: str
    zone: str
    revision: int
    silent_ms: Milliseconds
    acting_address: str = ""
    acting_zone: str = ""
    holder: str = ""
    holder_address: str = ""
    knows_runners: bool = False


@register_message("submit")
@attrs.frozen
class SubmitJob(Message):
    """Hands in a job. Times are relative, since clocks differ.

    `resubmitted` says that a scheduler may already have started tasks of it.
    `settle_ms` is how long runs of the scheduler that had the job may go on, on runners
    that no other instance knows. `former_revision` is that of its right; 0 if it was
    acting. `trace_id` and `span_id` name the sender's span if the job is traced.
    """

    job: JobRequest
    route: str
    age_ms: Milliseconds
    remaining_ms: Milliseconds
    resubmitted: bool
    settle_ms: Milliseconds = 0
    former_revision: int = 0
    trace_id: str = ""
    span_id: str = ""


@register_message("cancel")
@attrs.frozen
class CancelJob(Message):
    """The caller gave up; `wants_answer` if it asked for this in a request.

    `may_return` if its connection broke: it may send the job again, at any instance.
    """

    job_id: str
    wants_answer: bool
    may_return: bool = False


@register_message("query_job")
@attrs.frozen
class QueryJob(Message):
    """Asks for the state of a job."""

    job_id: str


@register_message("query_queue")
@attrs.frozen
class QueryQueue(Message):
    """Asks for the number of jobs of a route with no task started."""

    route: str


@register_message("answer")
@attrs.frozen
class JobAnswer(Message):
    """What became of a job.

    `outcome` is a value of `JobOutcome`.
    """

    job_id: str
    outcome: str
    reason: str = ""
    retry_after_s: int = 0


@register_message("job_state")
@attrs.frozen
class JobState(Message):
    """Reply to `QueryJob` and to a `CancelJob` that wants it; empty: unknown."""

    job_id: str
    state: str


@register_message("queue_state")
@attrs.frozen
class QueueState(Message):
    """Reply to `QueryQueue`."""

    route: str
    pending: int


@register_message("promote")
@attrs.frozen
class Promote(Message):
    """The scheduler is about to stop: the receiver is to take over the right.

    `intake_share` is the share of new jobs that it is to allow at first. For `pause_ms`
    it does not hand over for slowness; 0 if the sender says nothing about this.
    """

    revision: int
    intake_share: float = 1.0
    pause_ms: Milliseconds = 0


@attrs.frozen
class JobProgress:
    """Tasks of an open job that have ended as done, and those that have a run."""

    job_id: str
    done: tuple[str, ...]
    running: tuple[str, ...]


@register_message("handover")
@attrs.frozen
class Handover(Message):
    """What a scheduler that stops or steps down knows of its open jobs.

    `revision` is that of its right. If it was not `acting`, no other runs were
    started under that right.
    """

    revision: int
    acting: bool
    rounds: tuple[ZoneRound, ...]
    jobs: tuple[JobProgress, ...]


@register_message("moved")
@attrs.frozen
class SchedulerMoved(Message):
    """The right has passed on; the receiver is to look for its new holder."""

    name: str
    peers_address: str
    revision: int
