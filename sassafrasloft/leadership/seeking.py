"""How an instance without a scheduler finds or becomes one.

It connects to the holder of the right. If that fails it asks the other instances. If
any of them still receives beats from the holder, this instance is the one that is cut
off. If most of them have lost the holder as well, they take over the right in the
store one after the other. If the store does not answer, one of them acts as scheduler
meanwhile. Instances of a zone that can reach each other, but not most of the others,
have an acting scheduler for their own zone.
"""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallStore, OpenStream, SendMessage
from sassafrasloft.instance.messages import (
    HeardQuery,
    HeardReply,
    Hello,
    Promote,
    RosterEntry,
)
from sassafrasloft.leadership.silence import longest_silence
from sassafrasloft.leadership.state import RightRecord, StreamState
from sassafrasloft.metadata import (
    GrantLease,
    LeaseGranted,
    StoreFailure,
    StoreReply,
    Transaction,
    TransactionDone,
    TransactionRefused,
)

FRESH_BEATS = 3
"""A scheduler that was heard within this many beats is alive."""
STEP_MS = 20
"""Period of the steps of a search, in milliseconds."""
RETRY_MS = 150
"""Between attempts to connect to a holder, in milliseconds."""
OUT_OF_REACH = "its instance cannot be reached"
NO_ANSWER = "its instance does not answer"


@attrs.define(eq=False)
class Search:
    """One search for a scheduler.

    Parameters
    ----------
    since : int
        When the scheduler was lost.
    evidence : str
        Why its process is believed gone; empty if it may just be out of reach.
    """

    since: Milliseconds
    evidence: str = ""
    connect_at: Milliseconds = 0
    vote_started_at: Milliseconds = -1
    first_vote_at: Milliseconds = -1
    replies: dict[str, tuple[HeardReply, Milliseconds]] = attrs.field(factory=dict)
    """The newest reply of each instance, and when it arrived."""
    claim_at: Milliseconds = -1
    claim_call: int = 0
    claim_lease: int = 0
    claim_revision: int = 0
    """The revision that the claim replaces: of the holder found to be gone."""
    claim_failed: bool = False
    """Whether the store did not answer the last claim."""
    promotion: Promote | None = None
    """What the scheduler said as it asked this instance to take over."""

    def turn_to_new_holder(self) -> None:
        """Discard the evidence against the former holder."""
        self.evidence = ""
        self.connect_at = 0
        self.claim_at = -1
        self.vote_started_at = -1
        self.replies.clear()


def open_stream(board: InstanceBoard, address: str, purpose: str) -> StreamState:
    """Open a stream to another instance."""
    stream_id = board.fresh_id()
    stream = StreamState(stream_id, purpose, address, opened_at=board.now)
    board.rights.streams[stream_id] = stream
    board.emit(OpenStream(stream_id, address, board.tuning.connect_timeout_ms))
    return stream


def hello(board: InstanceBoard) -> Hello:
    """Return the first message on a stream to another instance."""
    settings = board.settings
    return Hello(
        settings.name,
        board.incarnation,
        settings.zone,
        settings.peers_address,
        settings.cores,
        board.rights.used_rounds(),
        board.configuration.current.version,
    )


def others_in_roster(board: InstanceBoard) -> list[RosterEntry]:
    """Return the known instances other than this one."""
    own = board.settings.name
    return [one for one in board.rights.roster if one.name != own]


def voters(search: Search, board: InstanceBoard) -> list[RosterEntry]:
    """Return the other instances that count: the lost holder only if it answers."""
    record = board.rights.record
    holder = record.name if record else ""
    answered = {reply.name for reply in fresh_replies(search, board)}
    return [
        one
        for one in others_in_roster(board)
        if one.name != holder or one.name in answered
    ]


def start_vote(search: Search, board: InstanceBoard) -> None:
    """Ask all known instances whether they receive beats from the scheduler."""
    search.vote_started_at = board.now
    if search.first_vote_at < 0:
        search.first_vote_at = board.now
    connected = {
        stream.address: stream
        for stream in board.rights.streams.values()
        if stream.purpose == "peer"
    }
    addresses = [one.peers_address for one in others_in_roster(board)]
    for address in addresses or board.settings.seeds:
        stream = connected.get(address)
        if stream is None:
            open_stream(board, address, "peer")
        elif stream.open:
            ask(stream, board)


def ask(stream: StreamState, board: InstanceBoard) -> None:
    """Ask one instance whether it receives beats from the scheduler."""
    query = HeardQuery(board.rights.known_revision)
    board.emit(SendMessage(stream.stream_id, query))


def vote_due(search: Search, board: InstanceBoard) -> bool:
    """Return whether the others are to be asked, or asked again."""
    started = search.vote_started_at
    return started < 0 or board.now - started >= board.tuning.vote_ms


def fresh_replies(search: Search, board: InstanceBoard) -> list[HeardReply]:
    """Return the replies that are not older than a silence."""
    oldest = board.now - board.tuning.silence_ms
    return [reply for reply, at in search.replies.values() if at >= oldest]


def someone_hears(search: Search, board: InstanceBoard) -> bool:
    """Return whether the scheduler is alive for another instance."""
    tuning = board.tuning
    silence = longest_silence(board.rights.target_late_ms, board)
    fresh = FRESH_BEATS * tuning.beat_ms + silence - tuning.silence_ms
    return any(
        reply.revision >= board.rights.known_revision and 0 <= reply.silent_ms <= fresh
        for reply in fresh_replies(search, board)
    )


def majority_lost(search: Search, board: InstanceBoard) -> bool:
    """Return whether more than half of the instances have lost the scheduler."""
    known = board.rights.known_revision
    lost = 1 + sum(
        reply.silent_ms < 0 and reply.revision >= known
        for reply in fresh_replies(search, board)
    )
    return lost * 2 > len(voters(search, board)) + 1


def rank(search: Search, board: InstanceBoard) -> int:
    """Return this instance's place among possible successors, strongest first."""
    own = board.settings
    order = sorted(
        [(-own.cores, own.name)]
        + [(-one.cores, one.name) for one in voters(search, board)]
    )
    return order.index((-own.cores, own.name))


def may_claim(search: Search, board: InstanceBoard) -> bool:
    """Return whether the right may be taken over."""
    rights = board.rights
    if board.stopping.requested:
        return False
    if someone_hears(search, board):
        return False
    if rights.record_absent:
        return True
    if not rights.roster:
        # If own links may be what fails, only the end of the lease decides.
        own_links = search.evidence in ("", OUT_OF_REACH, NO_ANSWER)
        return rights.record is not None and not own_links
    return search.vote_started_at >= 0 and majority_lost(search, board)


def begin_claim(search: Search, board: InstanceBoard) -> None:
    """Ask for a lease, with which the right is then taken."""
    rights = board.rights
    search.claim_revision = 0 if rights.record_absent else rights.known_revision
    search.claim_call = board.fresh_id()
    operation = GrantLease(board.tuning.right_lease_ms)
    timeout = board.tuning.store_timeout_ms
    board.emit(CallStore(search.claim_call, operation, timeout))


def take_claim_reply(
    search: Search, reply: StoreReply, board: InstanceBoard
) -> RightRecord | None:
    """Go on with a claim; return the record once this instance has the right."""
    rights = board.rights
    search.claim_call = 0
    search.claim_failed = isinstance(reply, StoreFailure)
    own = RightRecord(
        board.settings.name, board.incarnation, board.settings.peers_address, 0
    )
    if isinstance(reply, LeaseGranted):
        search.claim_lease = reply.lease_id
        search.claim_call = board.fresh_id()
        operation = Transaction(
            board.documents.right_key,
            search.claim_revision,
            own.to_bytes(),
            reply.lease_id,
        )
        board.emit(
            CallStore(search.claim_call, operation, board.tuning.store_timeout_ms)
        )
    elif isinstance(reply, TransactionDone):
        rights.lease_id = search.claim_lease
        rights.lease_confirmed_at = board.now
        return attrs.evolve(own, revision=reply.revision)
    elif isinstance(reply, TransactionRefused):
        note_refusal(search, reply, board)
    elif isinstance(reply, StoreFailure):
        search.claim_at = board.now + board.tuning.store_retry_ms
    return None


def note_refusal(
    search: Search, reply: TransactionRefused, board: InstanceBoard
) -> None:
    """Learn from a refused claim who has the right."""
    rights = board.rights
    search.claim_at = -1
    item = reply.current
    if item is None:
        rights.record_absent = True
        return
    rights.record_absent = False
    record = RightRecord.from_bytes(item.value, item.revision)
    if record is not None and record.revision > rights.known_revision:
        rights.record = record
        rights.known_revision = record.revision
        search.turn_to_new_holder()


def acting_known(search: Search, board: InstanceBoard) -> str:
    """Return the address of an acting scheduler that others follow; empty if none."""
    zone = board.settings.zone
    for reply in fresh_replies(search, board):
        usable = reply.acting_zone in ("", zone)
        if reply.acting_address and usable and reply.silent_ms < 0:
            return reply.acting_address
    return ""


def acting_leader(
    search: Search, zone: str, board: InstanceBoard
) -> RosterEntry | None:
    """Return who is to act for a zone, or for all if it is empty.

    Only an instance that has read the list of runners can act.
    More than half of the instances concerned have to have lost the scheduler, so
    that one that is cut off alone takes no runners from it.
    """
    members = [one for one in voters(search, board) if zone in ("", one.zone)]
    replies = {reply.name: reply for reply in fresh_replies(search, board)}
    lost = [
        one
        for one in members
        if one.name in replies and replies[one.name].silent_ms < 0
    ]
    if (len(lost) + 1) * 2 <= len(members) + 1:
        return None
    own = next(
        (one for one in board.rights.roster if one.name == board.settings.name), None
    )
    able = [one for one in lost if replies[one.name].knows_runners]
    if own is not None and board.pool.entries:
        able.append(own)
    return min(able, key=lambda one: (-one.cores, one.slot), default=None)
