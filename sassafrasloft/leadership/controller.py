"""The life of an instance with respect to the right to schedule."""

from sassafrasloft.blackboard import Controller, Event
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import (
    CallStore,
    CloseStream,
    SendMessage,
    SetReadiness,
)
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    ConfigurationAdopted,
    ConfigurationOffered,
    FollowerLost,
    GatewayMessage,
    MessageReceived,
    RightGained,
    RightLost,
    SchedulerMessage,
    Started,
    StopRequested,
    StoreItemChanged,
    StoreReplied,
    StreamClosed,
    StreamOpened,
    TargetChanged,
    TargetLost,
    TimerFired,
)
from sassafrasloft.instance.messages import (
    Beat,
    CancelJob,
    ConfigurationOffer,
    Handover,
    HeardQuery,
    HeardReply,
    Hello,
    JobAnswer,
    JobState,
    Message,
    NotScheduling,
    Promote,
    QueryJob,
    QueryQueue,
    QueueState,
    SchedulerMoved,
    SubmitJob,
    Welcome,
)
from sassafrasloft.leadership import seeking
from sassafrasloft.leadership.followers import Followers, handover
from sassafrasloft.leadership.seeking import Search
from sassafrasloft.leadership.state import (
    TOKENS_PER_REVISION,
    RightRecord,
    Role,
    StreamState,
)
from sassafrasloft.metadata import KeepLease, LeaseGranted, StoreFailure, StoreReply

BEAT_TIMER = "leadership.beat"
KEEP_TIMER = "leadership.keep"
SEARCH_TIMER = "leadership.search"
PROMOTE_TIMER = "leadership.promote"
SEEDS_TIMER = "leadership.seeds"
PROMOTE_RETRY_MS = 400
"""A successor claims the right within two calls of the store, in milliseconds."""
SLOW_RETRY_MS = 2_000
"""Before a slow scheduler asks another successor, in milliseconds."""
LOCAL = 0
NONE = -1

_TO_SCHEDULER = (SubmitJob, CancelJob, QueryJob, QueryQueue)
_TO_GATEWAY = (JobAnswer, JobState, QueueState)


@CONTROLLERS.register("leadership", order=20)
class LeadershipController(Controller):
    """Owns `board.rights`."""

    handles = (
        Started,
        StoreItemChanged,
        StoreReplied,
        StreamOpened,
        StreamClosed,
        MessageReceived,
        TimerFired,
        StopRequested,
        ConfigurationAdopted,
    )

    def __init__(self) -> None:
        self._followers = Followers()
        self._search: Search | None = None
        self._keep_call = 0
        self._ready = False
        self._beat_at = 0
        self._lateness = 0.0
        """How late beats are, in milliseconds, smoothed."""
        self._handed_on_at = 0
        self._handover: Handover | None = None
        """What this instance knew as it ceased to schedule; for the next one."""

    def before(self, event: Event, board: InstanceBoard) -> None:
        """Give up the right after a pause: others may have taken it over."""
        if isinstance(event, Started):
            return
        gap = board.now - board.last_event_ms
        if gap > board.tuning.pause_ms:
            board.log("pause_noticed", "WARNING", gap_ms=gap)
            board.count("pauses")
            if board.rights.role in (Role.SCHEDULING, Role.ACTING):
                self._step_down("the process was paused", board)

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle streams, messages, replies of the store and timers."""
        if isinstance(event, MessageReceived):
            self._take_message(event, board)
        elif isinstance(event, TimerFired):
            self._take_timer(event.name, board)
        elif isinstance(event, StoreReplied):
            self._take_reply(event, board)
        elif isinstance(event, StoreItemChanged):
            self._take_record(event, board)
        elif isinstance(event, StreamOpened):
            self._take_opened(event.stream_id, board)
        elif isinstance(event, StreamClosed):
            self._take_closed(event, board)
        elif isinstance(event, StopRequested):
            self._begin_stop(board)
        elif isinstance(event, Started):
            self._beat_at = board.now
            board.set_timer(BEAT_TIMER, board.tuning.beat_ms)
            board.set_timer(SEEDS_TIMER, board.tuning.store_retry_ms)
        self._update_readiness(board)

    # Timers

    def _take_timer(self, name: str, board: InstanceBoard) -> None:
        if name == BEAT_TIMER:
            self._measure_lateness(board)
            board.set_timer(BEAT_TIMER, board.tuning.beat_ms)
            self._beat(board)
        elif name == SEARCH_TIMER:
            if self._search is not None:
                board.set_timer(SEARCH_TIMER, seeking.STEP_MS)
                self._step_search(board)
        elif name == KEEP_TIMER:
            self._keep_right(board)
        elif name == SEEDS_TIMER:
            self._ask_seeds(board)
        elif name == PROMOTE_TIMER:
            self._promote_successor(board)

    def _beat(self, board: InstanceBoard) -> None:
        rights = board.rights
        if rights.role in (Role.SCHEDULING, Role.ACTING):
            self._followers.beat(board)
            if rights.role is Role.ACTING:
                self._leave_if_fenced(board)
        elif rights.role is Role.FOLLOWING:
            board.emit(SendMessage(rights.target, Beat()))
            if board.now - rights.target_heard_at > board.tuning.silence_ms:
                self._lose_target("silent", True, board)
        self._close_idle(board)

    def _measure_lateness(self, board: InstanceBoard) -> None:
        """Hand over if this instance has too little processor to schedule.

        Load pattern: a machine of the system turns slow.
        """
        tuning = board.tuning
        late = max(0, board.now - self._beat_at - tuning.beat_ms)
        self._beat_at = board.now
        self._lateness += (late - self._lateness) / tuning.slow_beats
        if not self.slow(board) or board.rights.role is not Role.SCHEDULING:
            return
        if board.now - self._handed_on_at > SLOW_RETRY_MS:
            self._handed_on_at = board.now
            board.log("too_slow", "WARNING", beats_late_ms=round(self._lateness))
            self._ask_successor(board)

    def slow(self, board: InstanceBoard) -> bool:
        """Return whether this instance's beats come too late."""
        return self._lateness > board.tuning.slow_beat_ms

    def _close_idle(self, board: InstanceBoard) -> None:
        """Close streams to peers that are no longer needed, and dead ones."""
        rights = board.rights
        for stream in list(rights.streams.values()):
            idle = board.now - max(stream.heard_at, stream.opened_at)
            if stream.purpose != "target" and not stream.follower and idle > 2_000:
                del rights.streams[stream.stream_id]
                board.emit(CloseStream(stream.stream_id))

    # The right in the store

    def _take_record(self, event: StoreItemChanged, board: InstanceBoard) -> None:
        rights = board.rights
        if event.revision == 0:
            self._note_absent(board)
            return
        record = RightRecord.from_bytes(event.value, event.revision)
        if record is None:
            board.log("right_unreadable", "ERROR", revision=event.revision)
            return
        rights.record_absent = False
        if record.revision <= rights.known_revision and rights.record is not None:
            return
        board.log(
            "right_changed",
            holder=record.name,
            revision=record.revision,
            before=rights.known_revision,
        )
        rights.record = record
        rights.known_revision = record.revision
        if record.incarnation == board.incarnation:
            self._note_own_record(record, board)
        elif self._is_target(record, board):
            return
        elif rights.role in (Role.SCHEDULING, Role.FOLLOWING):
            self._follow_record(board)
        else:
            if self._search is not None:
                self._search.turn_to_new_holder()
            self._close_target_streams(board)
            self._begin_search("", board)

    def _close_target_streams(self, board: InstanceBoard) -> None:
        """Close streams that were opened to a former holder."""
        rights = board.rights
        for stream in list(rights.streams.values()):
            if stream.purpose == "target" and stream.stream_id != rights.target:
                del rights.streams[stream.stream_id]
                board.emit(CloseStream(stream.stream_id))

    def _note_own_record(self, record: RightRecord, board: InstanceBoard) -> None:
        """Take the right if a claim took effect before its reply arrived."""
        search = self._search
        if search is not None and search.claim_lease:
            board.rights.lease_id = search.claim_lease
            board.rights.lease_confirmed_at = board.now
        self._become_scheduler(record, board)

    def _is_target(self, record: RightRecord, board: InstanceBoard) -> bool:
        """Return whether the present scheduler has taken its right again."""
        stream = board.rights.streams.get(board.rights.target)
        return stream is not None and stream.address == record.peers_address

    def _note_absent(self, board: InstanceBoard) -> None:
        rights = board.rights
        rights.record_absent = True
        if rights.role is Role.SCHEDULING:
            board.log("right_lapsed", "WARNING")
            self._claim_again(board)
        elif rights.role is Role.SEEKING and self._search is None:
            self._begin_search("nobody has the right", board)

    def _claim_again(self, board: InstanceBoard) -> None:
        """Take the right again after its lease ended; scheduling goes on."""
        if self._search is None:
            self._search = Search(board.now, "own right lapsed")
        if not self._search.claim_call:
            seeking.begin_claim(self._search, board)
        board.set_timer(SEARCH_TIMER, seeking.STEP_MS)

    def _follow_record(self, board: InstanceBoard) -> None:
        """Leave the present scheduler for the one in the newest record."""
        if board.rights.role is Role.SCHEDULING:
            self._step_down("another instance has the right", board)
        else:
            self._lose_target("the right has passed on", False, board)

    def _keep_right(self, board: InstanceBoard) -> None:
        rights = board.rights
        if rights.role is not Role.SCHEDULING:
            return
        board.set_timer(KEEP_TIMER, board.tuning.right_renewal_ms)
        unconfirmed = board.now - rights.lease_confirmed_at
        expired = unconfirmed > board.tuning.right_lease_ms
        if expired and not self._followers.has_quorum(board):
            self._step_down("neither the store nor most instances answer", board)
            # The others have been missing for longer than that already.
            self._search.since -= board.tuning.acting_delay_ms
            return
        if not self._keep_call and rights.lease_id:
            self._keep_call = board.fresh_id()
            operation = KeepLease(rights.lease_id)
            timeout = board.tuning.store_timeout_ms
            board.emit(CallStore(self._keep_call, operation, timeout))

    def _take_reply(self, event: StoreReplied, board: InstanceBoard) -> None:
        search = self._search
        if event.call_id == self._keep_call:
            self._keep_call = 0
            self._take_kept(event.reply, board)
        elif search is not None and event.call_id == search.claim_call:
            record = seeking.take_claim_reply(search, event.reply, board)
            if record is not None:
                self._become_scheduler(record, board)

    def _take_kept(self, reply: StoreReply, board: InstanceBoard) -> None:
        if isinstance(reply, LeaseGranted):
            board.rights.lease_confirmed_at = board.now
        elif isinstance(reply, StoreFailure) and reply.no_such_lease:
            board.rights.lease_id = 0

    # Roles

    def _become_scheduler(self, record: RightRecord, board: InstanceBoard) -> None:
        rights = board.rights
        if board.stopping.requested and rights.role is not Role.SCHEDULING:
            return
        again = rights.role is Role.SCHEDULING
        self._search = None
        rights.record = record
        rights.record_absent = False
        rights.known_revision = record.revision
        rights.base_token = record.revision * TOKENS_PER_REVISION
        rights.rounds.clear()
        rights.slot = 0
        old_target = rights.target
        rights.role = Role.SCHEDULING
        rights.target = LOCAL
        board.set_timer(KEEP_TIMER, board.tuning.right_renewal_ms)
        board.log("right_won", revision=record.revision, token=rights.base_token)
        board.count("rights_won")
        if again:
            board.post(RightGained(rights.base_token, ""))
            return
        self._announce_to(old_target, record, board)
        self._followers.begin(board)
        board.post(RightGained(rights.base_token, ""))
        board.post(TargetChanged(LOCAL))

    def _announce_to(
        self, stream_id: int, record: RightRecord, board: InstanceBoard
    ) -> None:
        """Tell the scheduler that promoted this instance."""
        if stream_id > 0:
            moved = SchedulerMoved(record.name, record.peers_address, record.revision)
            board.emit(SendMessage(stream_id, moved))

    def _step_down(self, reason: str, board: InstanceBoard) -> None:
        board.log("right_lost", "WARNING", reason=reason)
        board.count("rights_lost")
        self._leave_role(reason, board)
        self._begin_search("", board)

    def _leave_role(self, reason: str, board: InstanceBoard) -> None:
        """Stop scheduling and send followers away."""
        rights = board.rights
        self._handover = handover(board)
        record = rights.record
        for stream in self._followers.connected(board):
            if record is not None and record.name != board.settings.name:
                moved = SchedulerMoved(
                    record.name, record.peers_address, record.revision
                )
            else:
                moved = NotScheduling(board.settings.name, rights.known_revision)
            board.emit(SendMessage(stream.stream_id, moved))
            stream.follower = False
            board.post(FollowerLost(stream.stream_id, False))
        board.post(RightLost(reason))
        rights.role = Role.SEEKING
        rights.target = NONE
        rights.lease_id = 0
        board.post(TargetLost(silent=False))

    def _lose_target(self, reason: str, silent: bool, board: InstanceBoard) -> None:
        rights = board.rights
        board.log(
            "scheduler_lost",
            "WARNING",
            reason=reason,
            heard_ms_ago=board.now - rights.target_heard_at,
            revision=rights.known_revision,
        )
        board.count("schedulers_lost")
        stream = rights.streams.pop(rights.target, None)
        if stream is not None:
            board.emit(CloseStream(stream.stream_id))
        rights.role = Role.SEEKING
        rights.target = NONE
        board.post(TargetLost(silent))
        self._begin_search("", board)

    # The search

    def _begin_search(self, evidence: str, board: InstanceBoard) -> None:
        if self._search is None:
            self._search = Search(board.now, evidence)
        else:
            search = self._search
            search.connect_at = board.now
            search.evidence = evidence
        board.set_timer(SEARCH_TIMER, seeking.STEP_MS)
        self._step_search(board)

    def _step_search(self, board: InstanceBoard) -> None:
        search = self._search
        rights = board.rights
        if search is None:
            return
        if rights.role is Role.SCHEDULING:
            due = rights.record_absent and board.now >= search.claim_at
            if due and not search.claim_call:
                seeking.begin_claim(search, board)
            return
        self._connect_to_holder(search, board)
        if search.evidence or rights.record_absent:
            self._step_towards_claim(search, board)
        self._consider_acting(search, board)

    def _ask_seeds(self, board: InstanceBoard) -> None:
        """Look for a scheduler without the store, after a start during an outage."""
        rights = board.rights
        if rights.role is not Role.SEEKING or rights.record is not None:
            return
        board.set_timer(SEEDS_TIMER, board.tuning.store_retry_ms)
        if rights.record_absent or not board.settings.seeds:
            return
        if self._search is None:
            self._search = Search(board.now)
        seeking.start_vote(self._search, board)

    def _connect_to_holder(self, search: Search, board: InstanceBoard) -> None:
        record = board.rights.record
        if record is None or record.name == board.settings.name:
            if record is not None and not search.evidence:
                search.evidence = "the record names this instance"
            return
        waiting = self._target_stream(board)
        if waiting is not None:
            if board.now - waiting.opened_at < 2 * board.tuning.connect_timeout_ms:
                return
            del board.rights.streams[waiting.stream_id]
            board.emit(CloseStream(waiting.stream_id))
            search.evidence = "its instance does not answer"
        if board.now < search.connect_at:
            return
        search.connect_at = board.now + seeking.RETRY_MS
        seeking.open_stream(board, record.peers_address, "target")

    def _target_stream(self, board: InstanceBoard) -> StreamState | None:
        streams = board.rights.streams.values()
        return next((one for one in streams if one.purpose == "target"), None)

    def _step_towards_claim(self, search: Search, board: InstanceBoard) -> None:
        if board.rights.roster and seeking.vote_due(search, board):
            seeking.start_vote(search, board)
        if search.claim_call or not seeking.may_claim(search, board):
            return
        if search.claim_at < 0:
            delay = seeking.rank(search, board) * board.tuning.rank_delay_ms
            if not board.rights.roster:
                delay = self._blind_delay(board)
            search.claim_at = board.now + delay
        if board.now >= search.claim_at:
            seeking.begin_claim(search, board)

    def _blind_delay(self, board: InstanceBoard) -> int:
        """Let stronger instances go first when no others are known."""
        weakness = max(0.0, 2.0 - board.settings.cores)
        step = board.tuning.rank_delay_ms
        return int(weakness * 2 * step) + board.random.randrange(step)

    def _consider_acting(self, search: Search, board: InstanceBoard) -> None:
        """Act as scheduler if none can be had for long, or follow who does."""
        rights = board.rights
        tuning = board.tuning
        if rights.role is Role.ACTING:
            return
        if board.now - search.since < tuning.acting_delay_ms:
            return
        first = search.first_vote_at < 0
        if seeking.vote_due(search, board):
            seeking.start_vote(search, board)
        if first or board.now - search.first_vote_at < tuning.vote_ms:
            return
        if seeking.someone_hears(search, board):
            return
        majority = seeking.majority_lost(search, board)
        store_answers = board.configuration.store_reachable and not search.claim_failed
        if majority and store_answers:
            return
        address = seeking.acting_known(search, board)
        if address:
            self._follow_acting(address, board)
            return
        zone = "" if majority else board.settings.zone
        leader = seeking.acting_leader(search, zone, board)
        if leader is None:
            return
        if leader.name == board.settings.name:
            self._become_acting(leader.slot, zone, board)
        else:
            self._follow_acting(leader.peers_address, board)

    def _follow_acting(self, address: str, board: InstanceBoard) -> None:
        streams = board.rights.streams.values()
        if address == board.settings.peers_address:
            return
        if not any(one.purpose == "acting" for one in streams):
            seeking.open_stream(board, address, "acting")

    def _become_acting(self, slot: int, zone: str, board: InstanceBoard) -> None:
        rights = board.rights
        rights.role = Role.ACTING
        rights.target = LOCAL
        rights.base_token = rights.known_revision * TOKENS_PER_REVISION
        rights.slot = slot
        zones = {one.zone for one in board.pool.entries.values()}
        for one in sorted(zones | {board.settings.zone}):
            if zone in ("", one):
                rights.rounds[one] = rights.rounds.get(one, 0) + 1
        token = rights.token_for(board.settings.zone)
        board.log("acting_scheduler", "WARNING", zone=zone, token=token)
        board.count("acting_rights_used")
        self._followers.begin(board)
        board.post(RightGained(rights.base_token, zone, acting=True))
        board.post(TargetChanged(LOCAL, acting=True))

    def _leave_if_fenced(self, board: InstanceBoard) -> None:
        """Stop acting once another scheduler has most of the runners."""
        runners = board.pool.runners.values()
        fenced = sum(view.fenced for view in runners)
        if runners and fenced * 2 > len(runners):
            self._step_down("another scheduler has the runners", board)

    # Streams

    def _take_opened(self, stream_id: int, board: InstanceBoard) -> None:
        stream = board.rights.streams.get(stream_id)
        if stream is None:
            return
        stream.open = True
        stream.heard_at = board.now
        if stream.purpose == "peer":
            seeking.ask(stream, board)
        else:
            board.emit(SendMessage(stream_id, seeking.hello(board)))

    def _take_closed(self, event: StreamClosed, board: InstanceBoard) -> None:
        rights = board.rights
        stream = rights.streams.pop(event.stream_id, None)
        if stream is None:
            return
        if stream.follower:
            self._followers.drop(stream, False, board)
        elif event.stream_id == rights.target:
            self._lose_target("its stream ended", False, board)
        elif stream.purpose == "target" and self._search is not None:
            if event.refused:
                self._search.evidence = "its instance refuses connections"
            elif event.timed_out:
                self._search.evidence = "its instance cannot be reached"
            self._step_search(board)

    def _take_message(self, event: MessageReceived, board: InstanceBoard) -> None:
        rights = board.rights
        stream = rights.streams.get(event.stream_id)
        if stream is None:
            stream = StreamState(
                event.stream_id, "incoming", open=True, opened_at=board.now
            )
            rights.streams[event.stream_id] = stream
        stream.heard_at = board.now
        if event.stream_id == rights.target:
            rights.target_heard_at = board.now
        message = event.message
        if isinstance(message, _TO_SCHEDULER):
            board.post(SchedulerMessage(event.stream_id, message))
        elif isinstance(message, _TO_GATEWAY):
            if event.stream_id == rights.target:
                board.post(GatewayMessage(message))
        else:
            self._take_control(stream, message, board)

    def _take_control(
        self, stream: StreamState, message: Message, board: InstanceBoard
    ) -> None:
        rights = board.rights
        if isinstance(message, Beat):
            if message.roster is not None and stream.stream_id == rights.target:
                rights.roster = message.roster
        elif isinstance(message, ConfigurationOffer):
            board.post(ConfigurationOffered(message.document))
        elif isinstance(message, Hello):
            self._take_hello(stream, message, board)
        elif isinstance(message, Welcome):
            self._take_welcome(stream, message, board)
        elif isinstance(message, NotScheduling):
            self._take_not_scheduling(stream, message, board)
        elif isinstance(message, HeardQuery):
            self._answer_query(stream, board)
        elif isinstance(message, HeardReply):
            self._take_heard(message, board)
        elif isinstance(message, Handover):
            if rights.role is Role.SCHEDULING:
                self._followers.take_handover(message, board)
                board.post(SchedulerMessage(stream.stream_id, message))
        elif isinstance(message, Promote):
            self._take_promotion(stream, message, board)
        elif isinstance(message, SchedulerMoved):
            self._take_moved(stream, message, board)

    def _take_hello(
        self, stream: StreamState, message: Hello, board: InstanceBoard
    ) -> None:
        rights = board.rights
        if rights.role in (Role.SCHEDULING, Role.ACTING):
            self._followers.welcome(stream, message, board)
            return
        reply = NotScheduling(board.settings.name, rights.known_revision)
        board.emit(SendMessage(stream.stream_id, reply))

    def _take_welcome(
        self, stream: StreamState, message: Welcome, board: InstanceBoard
    ) -> None:
        rights = board.rights
        if rights.role is Role.SCHEDULING:
            return
        if message.acting and rights.role in (Role.ACTING, Role.FOLLOWING):
            return
        if rights.role is Role.FOLLOWING and rights.target == stream.stream_id:
            return
        if rights.role is Role.ACTING:
            board.log("acting_ends", zone=board.pool.zone)
            self._leave_role("the scheduler is back", board)
        if self._handover is not None and not message.acting:
            board.emit(SendMessage(stream.stream_id, self._handover))
            self._handover = None
        rights.role = Role.FOLLOWING
        rights.target = stream.stream_id
        rights.target_heard_at = board.now
        rights.target_acting = message.acting
        rights.target_address = stream.address
        rights.target_zone = message.zone
        rights.base_token = message.token
        searched = board.now - self._search.since if self._search else 0
        self._search = None
        board.log(
            "following",
            scheduler=message.name,
            token=message.token,
            acting=message.acting,
            zone=message.zone,
            searched_ms=searched,
        )
        board.measure("scheduler_absent", searched)
        board.post(TargetChanged(stream.stream_id, message.acting))

    def _take_not_scheduling(
        self, stream: StreamState, message: NotScheduling, board: InstanceBoard
    ) -> None:
        rights = board.rights
        if stream.stream_id == rights.target:
            self._lose_target("it no longer schedules", False, board)
            return
        if stream.purpose in ("target", "acting"):
            rights.streams.pop(stream.stream_id, None)
            board.emit(CloseStream(stream.stream_id))
            if stream.purpose == "target" and self._search is not None:
                self._search.evidence = "it does not schedule"
                self._step_search(board)

    def _answer_query(self, stream: StreamState, board: InstanceBoard) -> None:
        rights = board.rights
        settings = board.settings
        silent_ms = -1
        address = zone = ""
        if rights.role is Role.SCHEDULING:
            silent_ms = 0
        elif rights.role is Role.ACTING:
            address, zone = settings.peers_address, board.pool.zone
        elif rights.role is Role.FOLLOWING and rights.target_acting:
            address, zone = rights.target_address, rights.target_zone
        elif rights.role is Role.FOLLOWING:
            silent_ms = board.now - rights.target_heard_at
        reply = HeardReply(
            settings.name,
            settings.zone,
            rights.known_revision,
            silent_ms,
            address,
            zone,
            rights.record.name if rights.record else "",
            rights.record.peers_address if rights.record else "",
            bool(board.pool.entries),
        )
        board.emit(SendMessage(stream.stream_id, reply))

    def _take_heard(self, message: HeardReply, board: InstanceBoard) -> None:
        """Take the answer to a question about the scheduler."""
        search = self._search
        rights = board.rights
        if search is None:
            return
        if message.revision > rights.known_revision and message.holder_address:
            rights.record = RightRecord(
                message.holder, "", message.holder_address, message.revision
            )
            rights.known_revision = message.revision
            rights.record_absent = False
            board.log(
                "right_heard_of", holder=message.holder, revision=message.revision
            )
            search.turn_to_new_holder()
            self._close_target_streams(board)
        search.replies[message.name] = (message, board.now)
        self._step_search(board)

    # Planned stop

    def _begin_stop(self, board: InstanceBoard) -> None:
        if board.rights.role is Role.SCHEDULING:
            self._promote_successor(board)

    def _promote_successor(self, board: InstanceBoard) -> None:
        rights = board.rights
        if rights.role is not Role.SCHEDULING or not board.stopping.requested:
            return
        self._ask_successor(board)
        board.set_timer(PROMOTE_TIMER, PROMOTE_RETRY_MS)

    def _ask_successor(self, board: InstanceBoard) -> None:
        successor = self._followers.successor(board)
        if successor is None:
            return
        board.log("successor_asked", instance=successor.name)
        promote = Promote(board.rights.known_revision)
        board.emit(SendMessage(successor.stream_id, promote))

    def _take_promotion(
        self, stream: StreamState, message: Promote, board: InstanceBoard
    ) -> None:
        if board.stopping.requested or stream.stream_id != board.rights.target:
            return
        if self.slow(board):
            return
        board.rights.known_revision = max(board.rights.known_revision, message.revision)
        if self._search is None:
            self._search = Search(board.now, "the scheduler is about to stop")
        if not self._search.claim_call:
            seeking.begin_claim(self._search, board)

    def _take_moved(
        self, stream: StreamState, message: SchedulerMoved, board: InstanceBoard
    ) -> None:
        rights = board.rights
        if message.revision <= rights.known_revision and stream.stream_id != (
            rights.target
        ):
            return
        rights.record = RightRecord(
            message.name, "", message.peers_address, message.revision
        )
        rights.known_revision = max(rights.known_revision, message.revision)
        if rights.role is Role.SCHEDULING:
            self._step_down("handed over to its successor", board)
        elif stream.stream_id == rights.target:
            self._lose_target("it has handed over", False, board)

    # Readiness

    def _update_readiness(self, board: InstanceBoard) -> None:
        ready = (
            board.configuration.current.version > 0
            and board.rights.target != NONE
            and not board.stopping.requested
        )
        if ready != self._ready:
            self._ready = ready
            board.emit(SetReadiness(ready))
