"""What an instance does as it gains, keeps, passes on or loses the right."""

from sassafrasloft.blackboard import Controller
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallStore, CloseStream, SendMessage
from sassafrasloft.instance.events import (
    OWN_INSTANCE,
    FollowerLost,
    RightGained,
    RightLost,
    TargetChanged,
    TargetLost,
)
from sassafrasloft.instance.messages import (
    Handover,
    NotScheduling,
    Promote,
    SchedulerMoved,
)
from sassafrasloft.leadership import seeking
from sassafrasloft.leadership.followers import Followers, handover
from sassafrasloft.leadership.intake import IntakeControl
from sassafrasloft.leadership.seeking import Search
from sassafrasloft.leadership.slowness import SLOW_RETRY_MS, Slowness
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
FASTER = 1.5
"""An instance with this many times our cores bears a load that we do not."""
NONE = -1


class RightHolder(Controller):
    """The roles of an instance and the changes between them."""

    def __init__(self) -> None:
        self._followers = Followers()
        self._search: Search | None = None
        self._keep_call = 0
        self._ready = False
        self._beat_at = 0
        self._backlog_ms = 0
        """How long the oldest event that waits for the core has waited."""
        self._slowness = Slowness()
        self._offered_before = 0
        """Tasks that callers had handed in here at the last beat."""
        self._intake = IntakeControl()
        self._handover: Handover | None = None
        """What this instance knew as it ceased to schedule; for the next one."""

    def _become_scheduler(self, record: RightRecord, board: InstanceBoard) -> None:
        rights = board.rights
        if board.stopping.requested and rights.role is not Role.SCHEDULING:
            return
        again = rights.role is Role.SCHEDULING
        search = self._search
        rights.replaced_revision = search.claim_revision if search else 0
        self._search = None
        rights.record = record
        rights.record_absent = False
        rights.known_revision = record.revision
        rights.base_token = record.revision * TOKENS_PER_REVISION
        rights.rounds.clear()
        rights.slot = 0
        old_target = rights.target
        rights.role = Role.SCHEDULING
        rights.target = OWN_INSTANCE
        board.set_timer(KEEP_TIMER, board.tuning.right_renewal_ms)
        board.log("right_won", revision=record.revision, token=rights.base_token)
        board.count("rights_won")
        if again:
            board.post(RightGained(rights.base_token, ""))
            return
        self._announce_to(old_target, record, board)
        self._followers.begin(board)
        promotion = search.promotion if search else None
        if promotion is not None:
            rights.intake_share = promotion.intake_share
        pause_ms = promotion.pause_ms if promotion else 0
        self._begin_measuring(pause_ms or SLOW_RETRY_MS, board)
        board.post(RightGained(rights.base_token, ""))
        board.post(TargetChanged(OWN_INSTANCE, since=board.now))

    def _begin_measuring(self, pause_ms: Milliseconds, board: InstanceBoard) -> None:
        """Go on from what the last scheduler said of the load."""
        rights = board.rights
        self._intake.begin(rights.intake_share)
        self._slowness.begin(pause_ms, rights.borne, board.now)

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
        board.post(TargetLost(False, rights.base_token // TOKENS_PER_REVISION))

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
        board.post(TargetLost(silent, rights.base_token // TOKENS_PER_REVISION))
        self._begin_search("", board)

    def _become_acting(self, slot: int, zone: str, board: InstanceBoard) -> None:
        rights = board.rights
        rights.role = Role.ACTING
        rights.target = OWN_INSTANCE
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
        self._begin_measuring(SLOW_RETRY_MS, board)
        board.post(RightGained(rights.base_token, zone, acting=True))
        board.post(TargetChanged(OWN_INSTANCE, acting=True))

    def _leave_if_fenced(self, board: InstanceBoard) -> None:
        """Stop acting once another scheduler has most of the runners."""
        runners = board.pool.runners.values()
        fenced = sum(view.fenced for view in runners)
        if runners and fenced * 2 > len(runners):
            self._step_down("another scheduler has the runners", board)

    def _keep_right(self, board: InstanceBoard) -> None:
        rights = board.rights
        if rights.role is not Role.SCHEDULING:
            return
        board.set_timer(KEEP_TIMER, board.tuning.right_renewal_ms)
        unconfirmed = board.now - rights.lease_confirmed_at
        expired = unconfirmed > board.tuning.right_lease_ms
        if expired and not self._is_followed(board):
            self._step_down("neither the store nor most instances answer", board)
            # The others have been missing for longer than that already.
            self._search.since -= board.tuning.acting_delay_ms
            return
        if not self._keep_call and rights.lease_id:
            self._keep_call = board.fresh_id()
            operation = KeepLease(rights.lease_id)
            timeout = board.tuning.store_timeout_ms
            board.emit(CallStore(self._keep_call, operation, timeout))

    def _is_followed(self, board: InstanceBoard) -> bool:
        """Return whether enough instances follow to go on without the store.

        In a zone that is cut off the right goes on being used on the zone's runners:
        another scheduler has higher tokens, but does not reach them.
        """
        followers = self._followers
        return followers.has_quorum(board) or followers.has_zone_quorum(board)

    def _take_kept(self, reply: StoreReply, board: InstanceBoard) -> None:
        if isinstance(reply, LeaseGranted):
            board.rights.lease_confirmed_at = board.now
        elif isinstance(reply, StoreFailure) and reply.no_such_lease:
            board.rights.lease_id = 0

    def _claim_again(self, board: InstanceBoard) -> None:
        """Take the right again after its lease ended; scheduling goes on."""
        if self._search is None:
            self._search = Search(board.now, "own right lapsed")
        if not self._search.claim_call:
            seeking.begin_claim(self._search, board)
        board.set_timer(SEARCH_TIMER, seeking.STEP_MS)

    def _measure_lateness(self, board: InstanceBoard) -> None:
        """Note how late this instance handles events.

        Beats pass the events that wait, so that the age of these counts as well.
        """
        tuning = board.tuning
        elapsed = board.now - self._beat_at
        late = max(self._backlog_ms, elapsed - tuning.beat_ms)
        self._beat_at = board.now
        board.rights.late_ms = late
        self._slowness.note_beat(late, elapsed, tuning)

    def _judge_slowness(self, offered: int, board: InstanceBoard) -> None:
        """Hand over if another instance has measurably more to spare.

        Parameters
        ----------
        offered : int
            Tasks that callers handed in here since the last beat.
        board : InstanceBoard
        """
        slowness, rights, tuning = self._slowness, board.rights, board.tuning
        tasks = offered + self._followers.take_offered(board)
        share = rights.intake_share
        slowness.note_load(tasks, share, board.now, tuning, rights.late_ms)
        rights.borne = slowness.borne
        due = slowness.is_strained(tuning) and slowness.may_hand_over(board.now)
        if not due or rights.role is not Role.SCHEDULING:
            return
        overloaded = slowness.is_overloaded(board.now)
        least = board.settings.cores * (FASTER if overloaded else 1.0)
        successor = self._followers.successor(board, least, tuning.busy_beat_ms)
        if successor is None:
            return
        board.log(
            "too_slow",
            "WARNING",
            beats_late_ms=round(slowness.lateness_ms),
            share=round(share, 2),
            overloaded=overloaded,
        )
        slowness.note_handed_over(board.now)
        # A load that was borne before needs no limit on a machine that is not slow.
        self._ask(successor, share if overloaded else 1.0, slowness.pause_ms, board)

    def _limit_intake(self, board: InstanceBoard) -> None:
        rights = board.rights
        before = rights.intake_share
        slowness, late_ms = self._slowness, rights.late_ms
        self._intake.note_beat(
            late_ms, slowness.load, slowness.borne, board.now, board.tuning
        )
        rights.intake_share = self._intake.share
        if before == 1.0 > rights.intake_share:
            board.log("intake_limited", "WARNING", beats_late_ms=rights.late_ms)
            board.count("intake_limits")
        elif before < 1.0 == rights.intake_share:
            board.log("intake_unlimited")

    def _begin_stop(self, board: InstanceBoard) -> None:
        if board.rights.role is Role.SCHEDULING:
            self._promote_successor(board)

    def _promote_successor(self, board: InstanceBoard) -> None:
        rights = board.rights
        if rights.role is not Role.SCHEDULING or not board.stopping.requested:
            return
        successor = self._followers.successor(board)
        if successor is not None:
            self._ask(successor, rights.intake_share, 0, board)
        board.set_timer(PROMOTE_TIMER, PROMOTE_RETRY_MS)

    def _ask(
        self,
        successor: StreamState,
        intake_share: float,
        pause_ms: Milliseconds,
        board: InstanceBoard,
    ) -> None:
        """Ask a follower to take over the right."""
        board.log("successor_asked", instance=successor.name)
        promote = Promote(board.rights.known_revision, intake_share, pause_ms)
        board.emit(SendMessage(successor.stream_id, promote))

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
        """Go on with the search; the search itself is in the subclass."""
