"""The life of an instance with respect to the right to schedule."""

from sassafrasloft.blackboard import Event, Started, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseStream, SendMessage, SetReadiness
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    BacklogMeasured,
    ConfigurationAdopted,
    ConfigurationOffered,
    GatewayMessage,
    MessageReceived,
    RunnersOffered,
    SchedulerBeat,
    SchedulerMessage,
    StopRequested,
    StoreItemChanged,
    StoreReplied,
    StreamClosed,
    StreamOpened,
    TargetChanged,
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
    RunnersOffer,
    SchedulerMoved,
    SubmitJob,
    Welcome,
)
from sassafrasloft.leadership import seeking
from sassafrasloft.leadership.roles import (
    BEAT_TIMER,
    KEEP_TIMER,
    NONE,
    PROMOTE_TIMER,
    SEARCH_TIMER,
    SEEDS_TIMER,
)
from sassafrasloft.leadership.search_steps import SchedulerSearch
from sassafrasloft.leadership.seeking import Search
from sassafrasloft.leadership.silence import longest_silence
from sassafrasloft.leadership.state import RightRecord, Role, StreamState

_TO_SCHEDULER = (SubmitJob, CancelJob, QueryJob, QueryQueue)
_TO_GATEWAY = (JobAnswer, JobState, QueueState)


@CONTROLLERS.register("leadership", order=20)
class LeadershipController(SchedulerSearch):
    """Owns `board.rights`."""

    handles = (
        BacklogMeasured,
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
        elif isinstance(event, BacklogMeasured):
            self._backlog_ms = event.waited_ms
        elif isinstance(event, StopRequested):
            self._begin_stop(board)
        elif isinstance(event, Started):
            self._beat_at = board.now
            board.set_timer(BEAT_TIMER, board.tuning.beat_ms)
            board.set_timer(SEEDS_TIMER, board.tuning.store_retry_ms)
        self._update_readiness(board)

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
        offered = board.requests.tasks_offered - self._offered_before
        self._offered_before = board.requests.tasks_offered
        if rights.role in (Role.SCHEDULING, Role.ACTING):
            self._limit_intake(board)
            self._judge_slowness(offered, board)
            self._tell_of_beat(board)
            self._followers.beat(board)
            if rights.role is Role.ACTING:
                self._leave_if_fenced(board)
        elif rights.role is Role.FOLLOWING:
            beat = Beat(late_ms=rights.late_ms, offered=offered)
            board.emit(SendMessage(rights.target, beat))
            silent_ms = board.now - rights.target_heard_at
            if silent_ms > longest_silence(rights.target_late_ms, board):
                self._lose_target("silent", True, board)
        self._close_idle(board)

    def _close_idle(self, board: InstanceBoard) -> None:
        """Close streams to peers that are no longer needed, and dead ones."""
        rights = board.rights
        for stream in list(rights.streams.values()):
            idle = board.now - max(stream.heard_at, stream.opened_at)
            if stream.purpose != "target" and not stream.follower and idle > 2_000:
                del rights.streams[stream.stream_id]
                board.emit(CloseStream(stream.stream_id))

    def _take_reply(self, event: StoreReplied, board: InstanceBoard) -> None:
        search = self._search
        if event.call_id == self._keep_call:
            self._keep_call = 0
            self._take_kept(event.reply, board)
        elif search is not None and event.call_id == search.claim_call:
            record = seeking.take_claim_reply(search, event.reply, board)
            if record is not None:
                self._become_scheduler(record, board)

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
                self._search.evidence = seeking.OUT_OF_REACH
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
            stream.late_ms = message.late_ms
            stream.offered += message.offered
            if stream.stream_id == rights.target:
                self._take_target_beat(message, board)
        elif isinstance(message, ConfigurationOffer):
            board.post(ConfigurationOffered(message.document))
        elif isinstance(message, RunnersOffer):
            board.post(RunnersOffered(message.entries))
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

    def _take_target_beat(self, message: Beat, board: InstanceBoard) -> None:
        rights = board.rights
        rights.target_late_ms = message.late_ms
        rights.intake_share = message.intake_share
        rights.borne = message.borne
        self._tell_of_beat(board)
        if message.roster is not None:
            rights.roster = message.roster

    @staticmethod
    def _tell_of_beat(board: InstanceBoard) -> None:
        if board.requests.handing_in:
            board.post(SchedulerBeat())

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
        if len(board.pool.entries) > message.runners_known:
            offer = RunnersOffer(tuple(board.pool.entries.values()))
            board.emit(SendMessage(stream.stream_id, offer))
        rights.role = Role.FOLLOWING
        rights.target = stream.stream_id
        rights.target_heard_at = board.now
        rights.target_late_ms = 0
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
        since = board.now - message.active_ms
        board.post(TargetChanged(stream.stream_id, message.acting, since))

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

    def _take_promotion(
        self, stream: StreamState, message: Promote, board: InstanceBoard
    ) -> None:
        if board.stopping.requested or stream.stream_id != board.rights.target:
            return
        if self._slowness.is_slow(board.tuning):
            return
        board.rights.known_revision = max(board.rights.known_revision, message.revision)
        if self._search is None:
            self._search = Search(board.now, "the scheduler is about to stop")
        self._search.promotion = message
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

    def _update_readiness(self, board: InstanceBoard) -> None:
        ready = (
            board.configuration.current.version > 0
            and board.rights.target != NONE
            and not board.stopping.requested
        )
        if ready != self._ready:
            self._ready = ready
            board.emit(SetReadiness(ready))
