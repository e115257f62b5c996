"""The messages between entry instances, and the registry of their kinds."""

from collections.abc import Callable
from enum import StrEnum
from typing import TypeVar

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import Answer, JobSpec, TaskOutcome, TaskReport


@attrs.frozen
class PeerMessage:
    """Base class of all messages between instances."""


_KINDS: dict[str, type[PeerMessage]] = {}
MessageClass = TypeVar("MessageClass", bound=type[PeerMessage])


def register_message(kind: str) -> Callable[[MessageClass], MessageClass]:
    """Return a decorator that registers a message class under its wire name."""

    def enter(message_class: MessageClass) -> MessageClass:
        if kind in _KINDS:
            raise ValueError(f"message kind {kind!r} is registered twice")
        _KINDS[kind] = message_class
        return message_class

    return enter


def message_kinds() -> dict[str, type[PeerMessage]]:
    """Return the message classes by wire name, in order of registration."""
    return dict(_KINDS)


class RequestKind(StrEnum):
    """The operation that a forwarded request of a caller requests."""

    IDS = "ids"
    SUBMIT = "submit"
    ASK = "ask"
    CANCEL = "cancel"


@attrs.frozen
class RunnerNotice:
    """Notice that an incarnation of a runner is leaving or ejected."""

    runner: str
    runner_incarnation: str


@register_message("hello")
@attrs.frozen
class Hello(PeerMessage):
    """The first message on a stream, which identifies the sender."""

    instance: str
    zone: str
    incarnation: str


@register_message("gossip")
@attrs.frozen
class Gossip(PeerMessage):
    """The periodic message in which an instance reports its state to its peers.

    Parameters
    ----------
    running_by_runner, running_by_team : dict of str to int
        Number of tasks that the sender has in flight, by runner and by team.
    heirs : dict of str to str
        The incarnation that answers for a stopped one, both as
        ``instance.incarnation``; only those not yet sent to the receiver.
    tables_sequence : int
        Sequence number of the gossip that carried the tables of tasks in flight.
        If it differs from `sequence` and is not 0, the tables are omitted and
        those of the previous gossip still apply.
    notices_sequence : int
        The same for the notices about leaving and ejected runners.
    names_digest : str
        Digest of the names of runners and teams in the sender's settings.
    runner_loads, team_loads : tuple of int
        The same tables as pairs of position and tasks in flight, for a receiver
        with the same digest; the position is the index in the sorted names.
    now_ms : Milliseconds
        Time on the sender's clock, from which peers convert the times in its
        submission ids to their own clock; -1 if unknown.
    """

    instance: str
    incarnation: str
    sequence: int
    settings_revision: int
    leaving: bool = False
    waiting_tasks: int = 0
    runners_leaving: tuple[RunnerNotice, ...] = ()
    runners_ejected: tuple[RunnerNotice, ...] = ()
    running_by_runner: dict[str, int] = attrs.field(factory=dict)
    running_by_team: dict[str, int] = attrs.field(factory=dict)
    heirs: dict[str, str] = attrs.field(factory=dict)
    tables_sequence: int = 0
    notices_sequence: int = 0
    names_digest: str = ""
    runner_loads: tuple[int, ...] = ()
    team_loads: tuple[int, ...] = ()
    now_ms: Milliseconds = -1


@register_message("forward_request")
@attrs.frozen
class ForwardRequest(PeerMessage):
    """A caller's request, forwarded to the instance that owns the submission.

    Parameters
    ----------
    count : int
        Number of ids requested, for a request for ids.
    hops : int
        How often the request was forwarded before. It is limited, because two
        instances with different views of the heirs would otherwise forward the
        request to each other forever.
    """

    forward_id: str
    request: RequestKind
    submission_id: str
    team: str
    wait_ms: Milliseconds = 0
    job: JobSpec | None = None
    trace_id: str = ""
    parent_span_id: str = ""
    count: int = 1
    hops: int = 0


@register_message("forward_reply")
@attrs.frozen
class ForwardReply(PeerMessage):
    """The owner's answer to a forwarded request."""

    forward_id: str
    answer: Answer
    submission_ids: tuple[str, ...] = ()


@attrs.frozen
class TransferredJob:
    """An unfinished job, the unsent tasks of which the heir may start.

    Parameters
    ----------
    outcomes : tuple of TaskOutcome or None
        The outcomes so far, by task index; None for a task that was never sent.
    remaining_ms : Milliseconds
        Time left until the job's deadline.
    """

    submission_id: str
    job: JobSpec
    outcomes: tuple[TaskOutcome | None, ...]
    remaining_ms: Milliseconds


@register_message("handover")
@attrs.frozen
class Handover(PeerMessage):
    """State that a stopping instance transfers to its heir.

    It is sent repeatedly until the heir acknowledges it.

    Parameters
    ----------
    sequence : int
        1 for ids and answers, higher for later transfers of jobs and answers.
        The heir applies each sequence number once.
    used_serials : tuple of int
        Serials of the stopping incarnation under which a job was submitted.
    secret : bytes
        The key with which the heir checks submission ids of that incarnation.
    heir_incarnation : str
        The only incarnation of the receiver that may apply this handover: an
        earlier one may already have applied it and started tasks.
    answer_digests : tuple of bytes
        Digest of each answered job, to distinguish a resubmission from a conflict.
    not_run_serials : tuple of int
        Used serials of submissions of which no task ran.
    sent_ms : Milliseconds
        Time of sending on the clock of the incarnation that issued the ids, which
        carry times of that clock.
    last : bool
        Whether the sender has no jobs of that incarnation left.
    """

    instance: str
    incarnation: str
    sequence: int
    secret: bytes
    last_serial: int
    used_serials: tuple[int, ...]
    answers: tuple[Answer, ...]
    answer_teams: tuple[str, ...]
    jobs: tuple[TransferredJob, ...] = ()
    heir_incarnation: str = ""
    answer_digests: tuple[bytes, ...] = ()
    not_run_serials: tuple[int, ...] = ()
    sent_ms: Milliseconds = 0
    last: bool = False


@register_message("handover_reply")
@attrs.frozen
class HandoverReply(PeerMessage):
    """Acceptance of a handover, or the reason why it was refused."""

    instance: str
    incarnation: str
    sequence: int
    accepted: bool
    reason: str = ""


@register_message("heir_announced")
@attrs.frozen
class HeirAnnounced(PeerMessage):
    """Announcement that another instance now answers for a stopped incarnation."""

    instance: str
    incarnation: str
    heir: str
    heir_incarnation: str = ""


@register_message("settings_request")
@attrs.frozen
class SettingsRequest(PeerMessage):
    """Requests the settings that a peer has in force."""

    above_revision: int


@register_message("settings_document")
@attrs.frozen
class SettingsDocument(PeerMessage):
    """A complete settings document with its revision."""

    revision: int
    text: str


@register_message("fence_result")
@attrs.frozen
class FenceResult(PeerMessage):
    """The result of fencing an incarnation at all runners.

    Parameters
    ----------
    complete : bool
        Whether all runners replied under a known incarnation.
    proved_issued_ms : Milliseconds
        Tasks that are not listed never started if their submission id was
        issued at this time or later, on the clock of the ended incarnation.
    """

    instance: str
    incarnation: str
    complete: bool
    started: tuple[TaskReport, ...] = ()
    proved_issued_ms: Milliseconds = 0


@register_message("refused")
@attrs.frozen
class MessageRefused(PeerMessage):
    """Notice to the sender of a message that the message was rejected.

    It only serves the sender's log; the decision core does not receive it.
    """

    subject: str
    found: str


@register_message("slot_request")
@attrs.frozen
class SlotRequest(PeerMessage):
    """Requests slots of the receiver's home runners, and returns unused ones.

    Parameters
    ----------
    wanted : int
        Slots requested beyond the occupied ones; 0 to return slots only.
    occupied : dict of str to int
        Number of the sender's tasks on each home runner of the receiver. All
        other slots that the receiver lent are returned.
    sequence : int
        Number of the request, which increases; the offer repeats it.
    """

    wanted: int
    occupied: dict[str, int] = attrs.field(factory=dict)
    sequence: int = 0


@register_message("slot_offer")
@attrs.frozen
class SlotOffer(PeerMessage):
    """The reply to a `SlotRequest` that wants slots.

    Parameters
    ----------
    slots : dict of str to int
        Slots that the receiver may occupy on each runner, including those that
        it already occupies.
    valid_ms : Milliseconds
        For how long new tasks may be sent to these slots.
    """

    slots: dict[str, int] = attrs.field(factory=dict)
    valid_ms: Milliseconds = 0
    sequence: int = 0
