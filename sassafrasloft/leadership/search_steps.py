"""The steps of an instance that looks for a scheduler."""

from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseStream
from sassafrasloft.instance.events import StoreItemChanged
from sassafrasloft.instance.messages import HeardReply
from sassafrasloft.leadership import seeking
from sassafrasloft.leadership.roles import SEEDS_TIMER, RightHolder
from sassafrasloft.leadership.seeking import Search
from sassafrasloft.leadership.state import RightRecord, Role, StreamState


class SchedulerSearch(RightHolder):
    """Finds the holder of the right, claims it, or acts without it."""

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
            search.evidence = seeking.NO_ANSWER
        if board.now < search.connect_at:
            return
        search.connect_at = board.now + seeking.RETRY_MS
        seeking.open_stream(board, record.peers_address, "target")

    def _target_stream(self, board: InstanceBoard) -> StreamState | None:
        streams = board.rights.streams.values()
        return next((one for one in streams if one.purpose == "target"), None)

    def _close_target_streams(self, board: InstanceBoard) -> None:
        """Close streams that were opened to a former holder."""
        rights = board.rights
        for stream in list(rights.streams.values()):
            if stream.purpose == "target" and stream.stream_id != rights.target:
                del rights.streams[stream.stream_id]
                board.emit(CloseStream(stream.stream_id))

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

    def _follow_record(self, board: InstanceBoard) -> None:
        """Leave the present scheduler for the one in the newest record."""
        if board.rights.role is Role.SCHEDULING:
            self._step_down("another instance has the right", board)
        else:
            self._lose_target("the right has passed on", False, board)
