"""Steps of the election in an instance that has no scheduler."""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseStream
from sassafrasloft.instance.events import StoreItemChanged
from sassafrasloft.instance.messages import LivenessReply
from sassafrasloft.leadership import elections
from sassafrasloft.leadership.elections import Election
from sassafrasloft.leadership.role_controller import SEED_QUERY_TIMER, RoleController
from sassafrasloft.leadership.state import LeadershipRecord, PeerStream, Role


class ElectionController(RoleController):
    """Connects to the holder of leadership, claims leadership or becomes acting."""

    def _step_election(self, board: InstanceBoard) -> None:
        election = self._election
        leadership = board.leadership
        if election is None:
            return
        if leadership.role is Role.SCHEDULING:
            due = leadership.vacant and board.now >= election.next_claim_at
            if due and not election.claim_call_id:
                elections.begin_claim(election, board)
            return
        self._connect_to_holder(election, board)
        if election.failure_reason or leadership.vacant:
            self._advance_claim(election, board)
        self._consider_acting(election, board)

    def _query_seeds(self, board: InstanceBoard) -> None:
        """Poll the seeds for a scheduler, after a start while the store is down."""
        leadership = board.leadership
        if leadership.role is not Role.SEEKING or leadership.record is not None:
            return
        board.set_timer(SEED_QUERY_TIMER, board.tuning.store_retry_ms)
        if leadership.vacant or not board.settings.seeds:
            return
        if self._election is None:
            self._election = Election(board.now)
        elections.start_poll(self._election, board)

    def _connect_to_holder(self, election: Election, board: InstanceBoard) -> None:
        record = board.leadership.record
        if record is None or record.name == board.settings.name:
            if record is not None and not election.failure_reason:
                election.failure_reason = "the leadership record names this instance"
            return
        waiting = self._pending_holder_stream(board)
        if waiting is not None:
            if board.now - waiting.opened_at < 2 * board.tuning.connect_timeout_ms:
                return
            del board.leadership.streams[waiting.stream_id]
            board.emit(CloseStream(waiting.stream_id))
            election.failure_reason = elections.REASON_NO_ANSWER
        if board.now < election.next_connect_at:
            return
        election.next_connect_at = board.now + elections.CONNECT_RETRY_MS
        elections.open_stream(board, record.peers_address, "target")

    def _pending_holder_stream(self, board: InstanceBoard) -> PeerStream | None:
        streams = board.leadership.streams.values()
        return next((one for one in streams if one.purpose == "target"), None)

    def _close_former_holder_streams(self, board: InstanceBoard) -> None:
        """Close the streams that were opened to a former holder of leadership."""
        leadership = board.leadership
        for stream in list(leadership.streams.values()):
            if (
                stream.purpose == "target"
                and stream.stream_id != leadership.scheduler_stream_id
            ):
                del leadership.streams[stream.stream_id]
                board.emit(CloseStream(stream.stream_id))

    def _advance_claim(self, election: Election, board: InstanceBoard) -> None:
        if board.leadership.members and elections.poll_due(election, board):
            elections.start_poll(election, board)
        if election.claim_call_id or not elections.may_claim(election, board):
            return
        if election.next_claim_at < 0:
            delay = (
                elections.succession_rank(election, board) * board.tuning.rank_delay_ms
            )
            if not board.leadership.members:
                delay = self._claim_delay_without_members(board)
            election.next_claim_at = board.now + delay
        if board.now >= election.next_claim_at:
            elections.begin_claim(election, board)

    def _claim_delay_without_members(self, board: InstanceBoard) -> int:
        """Return a delay that favours instances with more cores.

        It replaces the rank when no other instances are known.
        """
        weakness = max(0.0, 2.0 - board.settings.cores)
        step = board.tuning.rank_delay_ms
        return int(weakness * 2 * step) + board.random.randrange(step)

    def _consider_acting(self, election: Election, board: InstanceBoard) -> None:
        """Follow or become the acting scheduler if the election takes too long."""
        leadership = board.leadership
        tuning = board.tuning
        if leadership.role is Role.ACTING:
            return
        if board.now - election.started_at < tuning.acting_delay_ms:
            return
        first = election.first_poll_at < 0
        if elections.poll_due(election, board):
            elections.start_poll(election, board)
        if first or board.now - election.first_poll_at < tuning.vote_ms:
            return
        if elections.scheduler_alive_for_peer(election, board):
            return
        majority_lost = elections.majority_lost_scheduler(election, board)
        store_answers = (
            board.configuration.store_reachable and not election.claim_unanswered
        )
        if majority_lost and store_answers:
            return
        address = elections.known_acting_address(election, board)
        if address:
            self._connect_to_acting_scheduler(address, board)
            return
        zone = "" if majority_lost else board.settings.zone
        leader = elections.choose_acting_scheduler(election, zone, board)
        if leader is None:
            return
        if leader.name == board.settings.name:
            self._become_acting_scheduler(leader.slot, zone, board)
        else:
            self._connect_to_acting_scheduler(leader.peers_address, board)

    def _connect_to_acting_scheduler(self, address: str, board: InstanceBoard) -> None:
        streams = board.leadership.streams.values()
        if address == board.settings.peers_address:
            return
        if not any(one.purpose == "acting" for one in streams):
            elections.open_stream(board, address, "acting")

    def _handle_liveness_reply(
        self, message: LivenessReply, board: InstanceBoard
    ) -> None:
        """Handle the reply of a polled instance."""
        election = self._election
        leadership = board.leadership
        if election is None:
            return
        if message.revision > leadership.known_revision and message.holder_address:
            leadership.record = LeadershipRecord(
                message.holder, "", message.holder_address, message.revision
            )
            leadership.known_revision = message.revision
            leadership.vacant = False
            board.log(
                "right_heard_of", holder=message.holder, revision=message.revision
            )
            election.restart_for_new_holder()
            self._close_former_holder_streams(board)
        election.replies[message.name] = (message, board.now)
        self._step_election(board)

    def _handle_record_change(
        self, event: StoreItemChanged, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        if event.revision == 0:
            self._handle_vacancy(board)
            return
        record = LeadershipRecord.from_bytes(event.value, event.revision)
        if record is None:
            board.log("right_unreadable", "ERROR", revision=event.revision)
            return
        leadership.vacant = False
        if (
            record.revision <= leadership.known_revision
            and leadership.record is not None
        ):
            return
        board.log(
            "right_changed",
            holder=record.name,
            revision=record.revision,
            before=leadership.known_revision,
        )
        leadership.record = record
        leadership.known_revision = record.revision
        if record.incarnation == board.incarnation:
            self._handle_own_record(record, board)
        elif self._names_current_scheduler(record, board):
            return
        elif leadership.role in (Role.SCHEDULING, Role.FOLLOWING):
            self._leave_for_new_holder(board)
        else:
            if self._election is not None:
                self._election.restart_for_new_holder()
            self._close_former_holder_streams(board)
            self._begin_election("", board)

    def _handle_own_record(
        self, record: LeadershipRecord, board: InstanceBoard
    ) -> None:
        """Become the scheduler if the claim took effect before its reply arrived."""
        election = self._election
        if election is not None and election.claim_lease_id:
            board.leadership.lease_id = election.claim_lease_id
            board.leadership.lease_confirmed_at = board.now
        self._become_scheduler(record, board)

    def _names_current_scheduler(
        self, record: LeadershipRecord, board: InstanceBoard
    ) -> bool:
        """Return whether the record names the scheduler that this instance follows."""
        stream = board.leadership.streams.get(board.leadership.scheduler_stream_id)
        return stream is not None and stream.address == record.peers_address

    def _handle_vacancy(self, board: InstanceBoard) -> None:
        leadership = board.leadership
        leadership.vacant = True
        if leadership.role is Role.SCHEDULING:
            board.log("right_lapsed", "WARNING")
            self._reclaim_leadership(board)
        elif leadership.role is Role.SEEKING:
            # An election that only polls the seeds has no timer for its next step.
            self._begin_election("no instance holds leadership", board)

    def _leave_for_new_holder(self, board: InstanceBoard) -> None:
        """Stop scheduling or following, as the record names another holder."""
        if board.leadership.role is Role.SCHEDULING:
            self._step_down("another instance holds leadership", board)
        else:
            self._lose_scheduler("leadership moved to another instance", False, board)
