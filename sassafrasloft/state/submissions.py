"""State of forwarded requests, of fencing and of handovers."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.jobs import TaskReport
from sassafrasloft.messages import ForwardRequest, Handover


@attrs.frozen
class Requester:
    """The recipient of the only reply to a request.

    Parameters
    ----------
    request_id : str
        The request of a local caller; empty for a forwarded request.
    peer, forward_id : str
        The instance that forwarded the request, and its id of the request.
    hops : int
        How often the request was forwarded before it arrived here.
    """

    request_id: str = ""
    peer: str = ""
    forward_id: str = ""
    hops: int = 0

    @property
    def key(self) -> str:
        """A string that is unique among open requests."""
        if self.request_id:
            return f"caller/{self.request_id}"
        return f"peer/{self.peer}/{self.forward_id}"


@attrs.define
class PendingForward:
    """A request to be answered by its owner, or by the recovery after a crash.

    Parameters
    ----------
    owner : str
        The ``instance.incarnation`` that the submission id names; empty for a
        request for ids.
    peer : str
        The peer it was sent to; empty while it waits for a recovery.
    due_ms : Milliseconds
        When the requester gets the reply that the owner cannot be reached.
    lost : bool
        Whether the stream was lost after the message was sent.
    repeated : bool
        Whether the message was sent again.
    """

    requester: Requester
    message: ForwardRequest
    owner: str
    peer: str
    sent_ms: Milliseconds
    due_ms: Milliseconds
    lost: bool = False
    repeated: bool = False


@attrs.define
class FenceRecord:
    """Progress and results of fencing one ended incarnation at all runners.

    Parameters
    ----------
    begin_ms : Milliseconds
        Earliest time at which the runners are called.
    waiting : dict of str to None
        Runners that were called and have not replied.
    started : dict of str to dict of int to TaskReport
        Reports on started tasks, by submission id and task index.
    since_ms : Milliseconds
        Time since which all runners that replied are known not to have restarted.
        They may have lost the record of tasks that they started earlier.
    """

    begin_ms: Milliseconds
    begun: bool = False
    done: bool = False
    since_ms: Milliseconds = 0
    waiting: dict[str, None] = attrs.field(factory=dict)
    unproved: list[str] = attrs.field(factory=list)
    """Runners that gave no proof, as they were unreachable or have restarted."""
    started: dict[str, dict[int, TaskReport]] = attrs.field(factory=dict)


@attrs.define
class HandoverRecord:
    """Progress of the transfer of one incarnation's ids and answers to the heir.

    Parameters
    ----------
    pending : Handover or None
        The part that was sent and awaits its acknowledgement.
    acknowledged : int
        The highest sequence number that the heir has applied.
    handed : dict of str to None
        Submission ids of the answers that were handed over.
    """

    pending: Handover | None = None
    acknowledged: int = 0
    handed: dict[str, None] = attrs.field(factory=dict)
    done: bool = False


@attrs.define
class DrainState:
    """Progress of the planned stop, once this instance accepts no more jobs.

    Parameters
    ----------
    heir, heir_incarnation : str
        The peer chosen as the heir; empty until one is chosen.
    refused_by : list of str
        Peers that explicitly refused the handover.
    """

    transfer_ms: Milliseconds
    give_up_ms: Milliseconds
    heir: str = ""
    heir_incarnation: str = ""
    refused_by: list[str] = attrs.field(factory=list)
    parts: dict[str, HandoverRecord] = attrs.field(factory=dict)
    """Handovers of the own and of inherited incarnations.

    The keys have the form ``instance.incarnation``.
    """
    given_up: bool = False
    exited: bool = False


@attrs.frozen
class SeenIncarnation:
    """An incarnation of a runner and when this instance first saw it."""

    incarnation: str
    since_ms: Milliseconds


@attrs.define
class Observations:
    """Observations in normal operation, on which proofs after a crash are based.

    Parameters
    ----------
    runners : dict of str to SeenIncarnation
        The incarnation of each runner, by runner name.
    clock_offsets_ms : dict of str to Milliseconds
        Local time minus the time on the clock of each ``instance.incarnation``;
        overestimated by the shortest transit time of its gossip.
    """

    observed_ms: Milliseconds = -1
    runners: dict[str, SeenIncarnation] = attrs.field(factory=dict)
    clock_offsets_ms: dict[str, Milliseconds] = attrs.field(factory=dict)
