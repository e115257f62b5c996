"""Leadership controller: dispatches events to elections, role changes and followers."""

from sassafrasloft.blackboard import Event, Started, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseStream, SendMessage, SetReadiness
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    BacklogMeasured,
    ConfigurationAdopted,
    ConfigurationOffered,
    ConfigurationReceived,
    ConfigurationRequested,
    CrashCountsReceived,
    EvacuationsReported,
    MessageForGateway,
    MessageForScheduler,
    MessageReceived,
    NewerConfigurationReported,
    RunnersOffered,
    SchedulerChanged,
    SchedulerHeartbeat,
    StopRequested,
    StoreItemChanged,
    StoreReplied,
    StreamClosed,
    StreamOpened,
    UnlistedRunnersReported,
)
from sassafrasloft.instance.message_codec import Message
from sassafrasloft.instance.messages import (
    CancelJob,
    CompressedConfiguration,
    ConfigurationOffer,
    ConfigurationRequest,
    CrashCounts,
    EvacuationReport,
    Handover,
    Heartbeat,
    Hello,
    JobAnswer,
    JobState,
    LeadershipMoved,
    LivenessQuery,
    LivenessReply,
    NotScheduling,
    Promote,
    QueryJob,
    QueryQueue,
    QueueState,
    RunnersOffer,
    SubmitJob,
    Welcome,
)
from sassafrasloft.leadership import elections
from sassafrasloft.leadership.election_controller import ElectionController
from sassafrasloft.leadership.elections import Election
from sassafrasloft.leadership.heartbeat_timeout import heartbeat_timeout_ms
from sassafrasloft.leadership.role_controller import (
    ELECTION_TIMER,
    HEARTBEAT_TIMER,
    LEASE_RENEWAL_TIMER,
    NO_STREAM,
    PROMOTION_TIMER,
    SEED_QUERY_TIMER,
)
from sassafrasloft.leadership.state import LeadershipRecord, PeerStream, Role

_SCHEDULER_MESSAGES = (SubmitJob, CancelJob, QueryJob, QueryQueue)
_GATEWAY_MESSAGES = (JobAnswer, JobState, QueueState)


@CONTROLLERS.register("leadership", order=20)
class LeadershipController(ElectionController):
    """Handles all events that concern leadership; owns `board.leadership`."""

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
        """Step down after a pause, since another instance may have taken over."""
        if isinstance(event, Started):
            return
        gap = board.now - board.last_event_ms
        if gap > board.tuning.pause_ms:
            board.log("pause_noticed", "WARNING", gap_ms=gap)
            board.count("pauses")
            if board.leadership.role in (Role.SCHEDULING, Role.ACTING):
                self._step_down("the process was suspended", board)

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle events of streams, the store, timers and the process."""
        if isinstance(event, MessageReceived):
            self._handle_message(event, board)
        elif isinstance(event, TimerFired):
            self._handle_timer(event.name, board)
        elif isinstance(event, StoreReplied):
            self._handle_store_reply(event, board)
        elif isinstance(event, StoreItemChanged):
            self._handle_record_change(event, board)
        elif isinstance(event, StreamOpened):
            self._handle_stream_opened(event.stream_id, board)
        elif isinstance(event, StreamClosed):
            self._handle_stream_closed(event, board)
        elif isinstance(event, BacklogMeasured):
            self._event_queue_delay_ms = event.waited_ms
        elif isinstance(event, StopRequested):
            self._begin_stop(board)
        elif isinstance(event, Started):
            self._last_heartbeat_at = board.now
            board.set_timer(HEARTBEAT_TIMER, board.tuning.beat_ms)
            board.set_timer(SEED_QUERY_TIMER, board.tuning.store_retry_ms)
        self._update_readiness(board)

    def _handle_timer(self, name: str, board: InstanceBoard) -> None:
        if name == HEARTBEAT_TIMER:
            self._measure_heartbeat_delay(board)
            board.set_timer(HEARTBEAT_TIMER, board.tuning.beat_ms)
            self._handle_heartbeat_timer(board)
        elif name == ELECTION_TIMER:
            if self._election is not None:
                board.set_timer(ELECTION_TIMER, elections.STEP_PERIOD_MS)
                self._step_election(board)
        elif name == LEASE_RENEWAL_TIMER:
            self._renew_leadership(board)
        elif name == SEED_QUERY_TIMER:
            self._query_seeds(board)
        elif name == PROMOTION_TIMER:
            self._promote_successor(board)

    def _handle_heartbeat_timer(self, board: InstanceBoard) -> None:
        leadership = board.leadership
        offered = board.requests.tasks_offered - self._offered_at_last_heartbeat
        self._offered_at_last_heartbeat = board.requests.tasks_offered
        if leadership.role in (Role.SCHEDULING, Role.ACTING):
            self._update_intake_share(board)
            self._hand_over_if_under_pressure(offered, board)
            self._post_scheduler_heartbeat(board)
            self._followers.send_heartbeats(board)
            if leadership.role is Role.ACTING:
                self._step_down_if_fenced(board)
        elif leadership.role is Role.FOLLOWING:
            beat = Heartbeat(
                heartbeat_delay_ms=leadership.heartbeat_delay_ms,
                offered=offered,
                configuration_version=board.configuration.current.version,
            )
            board.emit(SendMessage(leadership.scheduler_stream_id, beat))
            silent_ms = board.now - leadership.scheduler_last_received_at
            if silent_ms > heartbeat_timeout_ms(leadership.scheduler_delay_ms, board):
                self._lose_scheduler("silent", True, board)
        self._close_idle_streams(board)

    def _close_idle_streams(self, board: InstanceBoard) -> None:
        """Close peer and incoming streams that have been idle for 2 s."""
        leadership = board.leadership
        for stream in list(leadership.streams.values()):
            idle = board.now - max(stream.last_received_at, stream.opened_at)
            if stream.purpose != "target" and not stream.follower and idle > 2_000:
                del leadership.streams[stream.stream_id]
                board.emit(CloseStream(stream.stream_id))

    def _handle_store_reply(self, event: StoreReplied, board: InstanceBoard) -> None:
        election = self._election
        if event.call_id == self._renewal_call_id:
            self._renewal_call_id = 0
            self._handle_renewal_reply(event.reply, board)
        elif election is not None and event.call_id == election.claim_call_id:
            record = elections.handle_claim_reply(election, event.reply, board)
            if record is not None:
                self._become_scheduler(record, board)

    def _handle_stream_opened(self, stream_id: int, board: InstanceBoard) -> None:
        stream = board.leadership.streams.get(stream_id)
        if stream is None:
            return
        stream.open = True
        stream.last_received_at = board.now
        if stream.purpose == "peer":
            elections.query_liveness(stream, board)
        else:
            board.emit(SendMessage(stream_id, elections.hello_message(board)))

    def _handle_stream_closed(self, event: StreamClosed, board: InstanceBoard) -> None:
        leadership = board.leadership
        stream = leadership.streams.pop(event.stream_id, None)
        if stream is None:
            return
        if stream.follower:
            self._followers.remove(stream, False, board)
        elif event.stream_id == leadership.scheduler_stream_id:
            self._lose_scheduler("the stream to it ended", False, board)
        elif stream.purpose == "target" and self._election is not None:
            if event.refused:
                self._election.failure_reason = "its instance refuses connections"
            elif event.timed_out:
                self._election.failure_reason = elections.REASON_UNREACHABLE
            self._step_election(board)

    def _handle_message(self, event: MessageReceived, board: InstanceBoard) -> None:
        leadership = board.leadership
        stream = leadership.streams.get(event.stream_id)
        if stream is None:
            stream = PeerStream(
                event.stream_id, "incoming", open=True, opened_at=board.now
            )
            leadership.streams[event.stream_id] = stream
        stream.last_received_at = board.now
        if event.stream_id == leadership.scheduler_stream_id:
            leadership.scheduler_last_received_at = board.now
        message = event.message
        if isinstance(message, _SCHEDULER_MESSAGES):
            board.post(MessageForScheduler(event.stream_id, message))
        elif isinstance(message, _GATEWAY_MESSAGES):
            if event.stream_id == leadership.scheduler_stream_id:
                board.post(MessageForGateway(message))
        else:
            self._handle_control_message(stream, message, board)

    def _handle_control_message(
        self, stream: PeerStream, message: Message, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        if isinstance(message, Heartbeat):
            stream.heartbeat_delay_ms = message.heartbeat_delay_ms
            stream.offered += message.offered
            if message.configuration_version > board.configuration.current.version:
                board.post(NewerConfigurationReported(stream.stream_id))
            if stream.stream_id == leadership.scheduler_stream_id:
                self._handle_scheduler_heartbeat(message, board)
        elif isinstance(message, ConfigurationOffer):
            board.post(ConfigurationOffered(message.document))
        elif isinstance(message, ConfigurationRequest):
            board.post(ConfigurationRequested(stream.stream_id, message.version))
        elif isinstance(message, CompressedConfiguration):
            board.post(ConfigurationReceived(message.document))
        elif isinstance(message, CrashCounts):
            board.post(CrashCountsReceived(message.counts))
        elif isinstance(message, EvacuationReport):
            board.post(EvacuationsReported(message.records))
        elif isinstance(message, RunnersOffer):
            board.post(RunnersOffered(message.entries, message.unlisted))
        elif isinstance(message, Hello):
            self._handle_hello(stream, message, board)
        elif isinstance(message, Welcome):
            self._handle_welcome(stream, message, board)
        elif isinstance(message, NotScheduling):
            self._handle_not_scheduling(stream, message, board)
        elif isinstance(message, LivenessQuery):
            self._answer_liveness_query(stream, board)
        elif isinstance(message, LivenessReply):
            self._handle_liveness_reply(message, board)
        elif isinstance(message, Handover):
            if leadership.role is Role.SCHEDULING:
                self._followers.accept_handover(message, board)
                board.post(MessageForScheduler(stream.stream_id, message))
        elif isinstance(message, Promote):
            self._handle_promotion(stream, message, board)
        elif isinstance(message, LeadershipMoved):
            self._handle_leadership_moved(stream, message, board)

    def _handle_scheduler_heartbeat(
        self, message: Heartbeat, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        leadership.scheduler_delay_ms = message.heartbeat_delay_ms
        leadership.intake_share = message.intake_share
        leadership.sustained_load = message.sustained_load
        leadership.scheduler_configuration_version = message.configuration_version
        self._post_scheduler_heartbeat(board)
        if message.members is not None:
            leadership.members = message.members
        if message.runner_list_revision or message.unlisted_runners is not None:
            board.post(
                UnlistedRunnersReported(
                    message.unlisted_runners, message.runner_list_revision
                )
            )

    @staticmethod
    def _post_scheduler_heartbeat(board: InstanceBoard) -> None:
        if board.requests.awaiting_resubmission:
            board.post(SchedulerHeartbeat())

    def _handle_hello(
        self, stream: PeerStream, message: Hello, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        if leadership.role in (Role.SCHEDULING, Role.ACTING):
            self._followers.accept_follower(stream, message, board)
            return
        reply = NotScheduling(board.settings.name, leadership.known_revision)
        board.emit(SendMessage(stream.stream_id, reply))

    def _handle_welcome(
        self, stream: PeerStream, message: Welcome, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        if leadership.role is Role.SCHEDULING:
            return
        if message.acting and leadership.role in (Role.ACTING, Role.FOLLOWING):
            return
        if (
            leadership.role is Role.FOLLOWING
            and leadership.scheduler_stream_id == stream.stream_id
        ):
            return
        if leadership.role is Role.ACTING:
            board.log("acting_ends", zone=board.pool.zone)
            self._stop_scheduling("a scheduler with leadership is reachable", board)
        if self._pending_handover is not None and not message.acting:
            board.emit(SendMessage(stream.stream_id, self._pending_handover))
            self._pending_handover = None
        self._offer_runners(stream, message, board)
        leadership.role = Role.FOLLOWING
        leadership.scheduler_stream_id = stream.stream_id
        leadership.scheduler_last_received_at = board.now
        leadership.scheduler_delay_ms = 0
        leadership.scheduler_configuration_version = 0
        leadership.scheduler_is_acting = message.acting
        leadership.followed_zone_epochs = {
            one.zone: one.round for one in message.zone_epochs if message.acting
        }
        leadership.scheduler_reads_evacuations = message.reads_evacuations
        leadership.scheduler_address = stream.address
        leadership.scheduler_zone = message.zone
        leadership.base_token = message.token
        searched = board.now - self._election.started_at if self._election else 0
        self._election = None
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
        board.post(SchedulerChanged(stream.stream_id, message.acting, since))

    @staticmethod
    def _offer_runners(
        stream: PeerStream, message: Welcome, board: InstanceBoard
    ) -> None:
        """Offer runners that a scheduler does not know.

        They have to reach it before the jobs that may have runs on them.
        """
        knows_fewer = len(board.pool.entries) > message.runners_known
        listed = tuple(board.pool.entries.values()) if knows_fewer else ()
        unlisted = tuple(
            one
            for runner_id, one in board.unlisted_runners.known.items()
            if runner_id not in message.unlisted_runners
        )
        if listed or unlisted:
            board.emit(SendMessage(stream.stream_id, RunnersOffer(listed, unlisted)))

    def _handle_not_scheduling(
        self, stream: PeerStream, message: NotScheduling, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        if stream.stream_id == leadership.scheduler_stream_id:
            self._lose_scheduler("it no longer schedules", False, board)
            return
        if stream.purpose in ("target", "acting"):
            leadership.streams.pop(stream.stream_id, None)
            board.emit(CloseStream(stream.stream_id))
            if stream.purpose == "target" and self._election is not None:
                self._election.failure_reason = "it does not schedule"
                self._step_election(board)

    def _answer_liveness_query(self, stream: PeerStream, board: InstanceBoard) -> None:
        leadership = board.leadership
        settings = board.settings
        silent_ms = -1
        address = zone = ""
        if leadership.role is Role.SCHEDULING:
            silent_ms = 0
        elif leadership.role is Role.ACTING:
            address, zone = settings.peers_address, board.pool.zone
        elif leadership.role is Role.FOLLOWING and leadership.scheduler_is_acting:
            address, zone = leadership.scheduler_address, leadership.scheduler_zone
        elif leadership.role is Role.FOLLOWING:
            silent_ms = board.now - leadership.scheduler_last_received_at
        reply = LivenessReply(
            settings.name,
            settings.zone,
            leadership.known_revision,
            silent_ms,
            address,
            zone,
            leadership.record.name if leadership.record else "",
            leadership.record.peers_address if leadership.record else "",
            bool(board.pool.entries),
            board.stopping.requested,
        )
        board.emit(SendMessage(stream.stream_id, reply))

    def _handle_promotion(
        self, stream: PeerStream, message: Promote, board: InstanceBoard
    ) -> None:
        if (
            board.stopping.requested
            or stream.stream_id != board.leadership.scheduler_stream_id
        ):
            return
        if self._load_monitor.is_slow(board.tuning):
            return
        board.leadership.known_revision = max(
            board.leadership.known_revision, message.revision
        )
        if self._election is None:
            self._election = Election(board.now, "the scheduler is about to stop")
        self._election.promotion = message
        if not self._election.claim_call_id:
            elections.begin_claim(self._election, board)

    def _handle_leadership_moved(
        self, stream: PeerStream, message: LeadershipMoved, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        if message.revision <= leadership.known_revision and stream.stream_id != (
            leadership.scheduler_stream_id
        ):
            return
        leadership.record = LeadershipRecord(
            message.name, "", message.peers_address, message.revision
        )
        leadership.known_revision = max(leadership.known_revision, message.revision)
        if leadership.role is Role.SCHEDULING:
            self._step_down("leadership handed over to the successor", board)
        elif stream.stream_id == leadership.scheduler_stream_id:
            self._lose_scheduler("it handed over leadership", False, board)

    def _update_readiness(self, board: InstanceBoard) -> None:
        ready = (
            board.configuration.current.version > 0
            and board.leadership.scheduler_stream_id != NO_STREAM
            and not board.stopping.requested
        )
        if ready != self._reported_ready:
            self._reported_ready = ready
            board.emit(SetReadiness(ready))
