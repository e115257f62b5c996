"""Election of a scheduler by an instance that has none.

The instance connects to the holder of leadership. If this fails, it polls the other
instances:

- If any of them still receives heartbeats from the holder, this instance is the one
  that is isolated, and it claims nothing.
- If a majority has lost the holder as well, the instances try in order of rank to
  claim leadership in the store.
- If the store does not answer, one of them becomes the acting scheduler until it does.
- Instances in one availability zone that can reach each other, but not a majority of
  all instances, choose an acting scheduler for their own zone.
"""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallStore, OpenStream, SendMessage
from sassafrasloft.instance.messages import (
    Hello,
    LivenessQuery,
    LivenessReply,
    Member,
    Promote,
)
from sassafrasloft.leadership.heartbeat_timeout import heartbeat_timeout_ms
from sassafrasloft.leadership.state import LeadershipRecord, PeerStream
from sassafrasloft.metadata import (
    GrantLease,
    LeaseGranted,
    StoreFailure,
    StoreReply,
    Transaction,
    TransactionDone,
    TransactionRefused,
)

RECENT_HEARTBEATS = 3
"""A scheduler that was heard from within this many heartbeat periods is alive."""
STEP_PERIOD_MS = 20
"""Period of the steps of an election, in milliseconds."""
CONNECT_RETRY_MS = 150
"""Minimum time between attempts to connect to the holder, in milliseconds."""
REASON_UNREACHABLE = "connection to its instance timed out"
REASON_NO_ANSWER = "its instance did not answer in time"


@attrs.define(eq=False)
class Election:
    """State of one election, from the loss of the scheduler until there is one again.

    Parameters
    ----------
    started_at : int
        When the scheduler was lost.
    failure_reason : str
        Why the holder is believed to have failed; empty while nothing indicates it.
    """

    started_at: Milliseconds
    failure_reason: str = ""
    next_connect_at: Milliseconds = 0
    """Earliest time of the next attempt to connect to the holder."""
    poll_started_at: Milliseconds = -1
    """When the peers were polled last; -1 if a new poll is due."""
    first_poll_at: Milliseconds = -1
    """When the peers were first polled in this election; -1 if never."""
    replies: dict[str, tuple[LivenessReply, Milliseconds]] = attrs.field(factory=dict)
    """Newest reply of each instance, and when it arrived."""
    next_claim_at: Milliseconds = -1
    """Earliest time of the next claim; -1 if it has not been set."""
    claim_call_id: int = 0
    """Store call of the claim in progress; 0 if there is none."""
    claim_lease_id: int = 0
    """Lease that the store granted for the claim."""
    superseded_revision: int = 0
    """Revision that the claim replaces: that of the holder found to have failed."""
    claim_unanswered: bool = False
    """Whether the last store call of a claim failed."""
    promotion: Promote | None = None
    """Request of the scheduler that this instance take over leadership, if any."""

    def restart_for_new_holder(self) -> None:
        """Discard everything that was found out about the former holder."""
        self.failure_reason = ""
        self.next_connect_at = 0
        self.next_claim_at = -1
        self.poll_started_at = -1
        self.replies.clear()


def open_stream(board: InstanceBoard, address: str, purpose: str) -> PeerStream:
    """Open a stream to another instance."""
    stream_id = board.fresh_id()
    stream = PeerStream(stream_id, purpose, address, opened_at=board.now)
    board.leadership.streams[stream_id] = stream
    board.emit(OpenStream(stream_id, address, board.tuning.connect_timeout_ms))
    return stream


def hello_message(board: InstanceBoard) -> Hello:
    """Return the first message on a stream to a scheduler."""
    settings = board.settings
    return Hello(
        settings.name,
        board.incarnation,
        settings.zone,
        settings.peers_address,
        settings.cores,
        board.leadership.used_zone_epochs(),
        board.configuration.current.version,
        accepts_crash_counts=True,
    )


def other_members(board: InstanceBoard) -> list[Member]:
    """Return the entries of the member list other than that of this instance."""
    own = board.settings.name
    return [one for one in board.leadership.members if one.name != own]


def polled_members(election: Election, board: InstanceBoard) -> list[Member]:
    """Return the other members that count towards a majority.

    The lost holder counts only if it has answered recently.
    """
    record = board.leadership.record
    holder = record.name if record else ""
    answered = {reply.name for reply in recent_replies(election, board)}
    return [
        one
        for one in other_members(board)
        if one.name != holder or one.name in answered
    ]


def start_poll(election: Election, board: InstanceBoard) -> None:
    """Query all known instances; without a member list, the configured seeds."""
    election.poll_started_at = board.now
    if election.first_poll_at < 0:
        election.first_poll_at = board.now
    connected = {
        stream.address: stream
        for stream in board.leadership.streams.values()
        if stream.purpose == "peer"
    }
    addresses = [one.peers_address for one in other_members(board)]
    for address in addresses or board.settings.seeds:
        stream = connected.get(address)
        if stream is None:
            open_stream(board, address, "peer")
        elif stream.open:
            query_liveness(stream, board)


def query_liveness(stream: PeerStream, board: InstanceBoard) -> None:
    """Ask an instance whether it receives heartbeats from the scheduler."""
    query = LivenessQuery(board.leadership.known_revision)
    board.emit(SendMessage(stream.stream_id, query))


def poll_due(election: Election, board: InstanceBoard) -> bool:
    """Return whether the peers have to be polled, or polled again."""
    started = election.poll_started_at
    return started < 0 or board.now - started >= board.tuning.vote_ms


def recent_replies(election: Election, board: InstanceBoard) -> list[LivenessReply]:
    """Return the replies that arrived within the last `silence_ms`."""
    oldest = board.now - board.tuning.silence_ms
    return [reply for reply, at in election.replies.values() if at >= oldest]


def scheduler_alive_for_peer(election: Election, board: InstanceBoard) -> bool:
    """Return whether any peer still receives heartbeats from the scheduler."""
    tuning = board.tuning
    silence = heartbeat_timeout_ms(board.leadership.scheduler_delay_ms, board)
    fresh = RECENT_HEARTBEATS * tuning.beat_ms + silence - tuning.silence_ms
    return any(
        reply.revision >= board.leadership.known_revision
        and 0 <= reply.silent_ms <= fresh
        for reply in recent_replies(election, board)
    )


def majority_lost_scheduler(election: Election, board: InstanceBoard) -> bool:
    """Return whether more than half of the instances have lost the scheduler."""
    known = board.leadership.known_revision
    lost = 1 + sum(
        reply.silent_ms < 0 and reply.revision >= known
        for reply in recent_replies(election, board)
    )
    return lost * 2 > len(polled_members(election, board)) + 1


def succession_rank(election: Election, board: InstanceBoard) -> int:
    """Return the rank of this instance among candidates, most cores first."""
    own = board.settings
    order = sorted(
        [(-own.cores, own.name)]
        + [(-one.cores, one.name) for one in polled_members(election, board)]
    )
    return order.index((-own.cores, own.name))


def may_claim(election: Election, board: InstanceBoard) -> bool:
    """Return whether this instance may claim leadership in the store."""
    leadership = board.leadership
    if board.stopping.requested:
        return False
    if scheduler_alive_for_peer(election, board):
        return False
    if leadership.vacant:
        return True
    if not leadership.members:
        # The links of this instance may be what fails. Without a member list to
        # poll, only the end of the holder's lease shows that leadership is vacant.
        own_links = election.failure_reason in (
            "",
            REASON_UNREACHABLE,
            REASON_NO_ANSWER,
        )
        return leadership.record is not None and not own_links
    return election.poll_started_at >= 0 and majority_lost_scheduler(election, board)


def begin_claim(election: Election, board: InstanceBoard) -> None:
    """Request a lease from the store, the first step of a claim to leadership."""
    leadership = board.leadership
    election.superseded_revision = 0 if leadership.vacant else leadership.known_revision
    election.claim_call_id = board.fresh_id()
    operation = GrantLease(board.tuning.right_lease_ms)
    timeout = board.tuning.store_timeout_ms
    board.emit(CallStore(election.claim_call_id, operation, timeout))


def handle_claim_reply(
    election: Election, reply: StoreReply, board: InstanceBoard
) -> LeadershipRecord | None:
    """Continue a claim after a reply of the store.

    Returns
    -------
    LeadershipRecord or None
        The new record if this instance now holds leadership.
    """
    leadership = board.leadership
    election.claim_call_id = 0
    election.claim_unanswered = isinstance(reply, StoreFailure)
    own = LeadershipRecord(
        board.settings.name, board.incarnation, board.settings.peers_address, 0
    )
    if isinstance(reply, LeaseGranted):
        election.claim_lease_id = reply.lease_id
        election.claim_call_id = board.fresh_id()
        operation = Transaction(
            board.documents.right_key,
            election.superseded_revision,
            own.to_bytes(),
            reply.lease_id,
        )
        board.emit(
            CallStore(election.claim_call_id, operation, board.tuning.store_timeout_ms)
        )
    elif isinstance(reply, TransactionDone):
        leadership.lease_id = election.claim_lease_id
        leadership.lease_confirmed_at = board.now
        return attrs.evolve(own, revision=reply.revision)
    elif isinstance(reply, TransactionRefused):
        handle_claim_refusal(election, reply, board)
    elif isinstance(reply, StoreFailure):
        election.next_claim_at = board.now + board.tuning.store_retry_ms
    return None


def handle_claim_refusal(
    election: Election, reply: TransactionRefused, board: InstanceBoard
) -> None:
    """Adopt the current leadership record from a refused claim."""
    leadership = board.leadership
    election.next_claim_at = -1
    item = reply.current
    if item is None:
        leadership.vacant = True
        return
    leadership.vacant = False
    record = LeadershipRecord.from_bytes(item.value, item.revision)
    if record is not None and record.revision > leadership.known_revision:
        leadership.record = record
        leadership.known_revision = record.revision
        election.restart_for_new_holder()


def known_acting_address(election: Election, board: InstanceBoard) -> str:
    """Return the address of an acting scheduler that peers report; empty if none."""
    zone = board.settings.zone
    for reply in recent_replies(election, board):
        usable = reply.acting_zone in ("", zone)
        if reply.acting_address and usable and reply.silent_ms < 0:
            return reply.acting_address
    return ""


def choose_acting_scheduler(
    election: Election, zone: str, board: InstanceBoard
) -> Member | None:
    """Return the member to be acting scheduler of a zone, or of all if it is empty.

    Only an instance that has read the list of runners can be acting scheduler. One
    that is about to stop is chosen only if all others are, too.
    More than half of the instances concerned must have lost the scheduler, so that a
    single isolated instance takes no runners from it.
    """
    concerned = [
        one for one in polled_members(election, board) if zone in ("", one.zone)
    ]
    replies = {reply.name: reply for reply in recent_replies(election, board)}
    lost = [
        one
        for one in concerned
        if one.name in replies and replies[one.name].silent_ms < 0
    ]
    if (len(lost) + 1) * 2 <= len(concerned) + 1:
        return None
    own = next(
        (one for one in board.leadership.members if one.name == board.settings.name),
        None,
    )
    able = [one for one in lost if replies[one.name].knows_runners]
    if own is not None and board.pool.entries:
        able.append(own)
    stopping = {one.name for one in replies.values() if one.stopping}
    if board.stopping.requested:
        stopping.add(board.settings.name)
    staying = [one for one in able if one.name not in stopping]
    return min(staying or able, key=lambda one: (-one.cores, one.slot), default=None)
