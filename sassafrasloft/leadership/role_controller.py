"""Role changes: acquiring, renewing, handing over and losing leadership."""

from sassafrasloft.blackboard import Controller
from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CallStore, CloseStream, SendMessage
from sassafrasloft.instance.events import (
    OWN_INSTANCE,
    FollowerLost,
    LeadershipGained,
    LeadershipLost,
    SchedulerChanged,
    SchedulerLost,
)
from sassafrasloft.instance.messages import (
    Handover,
    LeadershipMoved,
    NotScheduling,
    Promote,
)
from sassafrasloft.leadership import elections
from sassafrasloft.leadership.elections import Election
from sassafrasloft.leadership.followers import Followers, handover_message
from sassafrasloft.leadership.intake_limiter import IntakeLimiter
from sassafrasloft.leadership.load_monitor import MIN_HANDOVER_BACKOFF_MS, LoadMonitor
from sassafrasloft.leadership.state import (
    TOKENS_PER_REVISION,
    LeadershipRecord,
    PeerStream,
    Role,
)
from sassafrasloft.metadata import KeepLease, LeaseGranted, StoreFailure, StoreReply

HEARTBEAT_TIMER = "leadership.beat"
LEASE_RENEWAL_TIMER = "leadership.keep"
ELECTION_TIMER = "leadership.search"
PROMOTION_TIMER = "leadership.promote"
SEED_QUERY_TIMER = "leadership.seeds"
PROMOTION_RETRY_MS = 400
"""Interval between promotion requests while stopping, in milliseconds. A successor
claims leadership within two calls of the store."""
FASTER_CORES_FACTOR = 1.5
"""An instance with this many times the cores of the scheduler sustains a load that
overloads the scheduler."""
NO_STREAM = -1
"""Stream id of the scheduler while there is none."""


class RoleController(Controller):
    """Carries out the role changes of an instance."""

    def __init__(self) -> None:
        self._followers = Followers()
        self._election: Election | None = None
        self._renewal_call_id = 0
        """Store call that renews the lease of leadership; 0 if none is open."""
        self._reported_ready = False
        """Readiness that was reported last."""
        self._last_heartbeat_at = 0
        self._event_queue_delay_ms = 0
        """How long the oldest event in the queue of the core has waited."""
        self._load_monitor = LoadMonitor()
        self._offered_at_last_heartbeat = 0
        """Number of tasks that callers had submitted here by the last heartbeat."""
        self._intake_limiter = IntakeLimiter()
        self._asked_successors: set[str] = set()
        """Followers that were asked to take over since the stop was requested."""
        self._pending_handover: Handover | None = None
        """State of jobs and runs as this instance stopped scheduling, for the next
        scheduler."""

    def _become_scheduler(self, record: LeadershipRecord, board: InstanceBoard) -> None:
        leadership = board.leadership
        if board.stopping.requested and leadership.role is not Role.SCHEDULING:
            return
        again = leadership.role is Role.SCHEDULING
        election = self._election
        leadership.replaced_revision = election.superseded_revision if election else 0
        self._election = None
        leadership.record = record
        leadership.vacant = False
        leadership.known_revision = record.revision
        leadership.base_token = record.revision * TOKENS_PER_REVISION
        leadership.zone_epochs.clear()
        leadership.slot = 0
        old_target = leadership.scheduler_stream_id
        leadership.role = Role.SCHEDULING
        leadership.scheduler_stream_id = OWN_INSTANCE
        board.set_timer(LEASE_RENEWAL_TIMER, board.tuning.right_renewal_ms)
        board.log("right_won", revision=record.revision, token=leadership.base_token)
        board.count("rights_won")
        if again:
            board.post(LeadershipGained(leadership.base_token, ""))
            return
        self._notify_promoter(old_target, record, board)
        self._followers.begin(board)
        promotion = election.promotion if election else None
        if promotion is not None:
            leadership.intake_share = promotion.intake_share
        handover_backoff_ms = promotion.backoff_ms if promotion else 0
        self._begin_load_control(handover_backoff_ms or MIN_HANDOVER_BACKOFF_MS, board)
        board.post(LeadershipGained(leadership.base_token, ""))
        board.post(SchedulerChanged(OWN_INSTANCE, since=board.now))

    def _begin_load_control(
        self, handover_backoff_ms: Milliseconds, board: InstanceBoard
    ) -> None:
        """Start the load control with the values of the previous scheduler."""
        leadership = board.leadership
        self._intake_limiter.begin(leadership.intake_share)
        self._load_monitor.begin(
            handover_backoff_ms, leadership.sustained_load, board.now
        )

    def _notify_promoter(
        self, stream_id: int, record: LeadershipRecord, board: InstanceBoard
    ) -> None:
        """Notify the former scheduler, if connected, that leadership moved."""
        if stream_id > 0:
            moved = LeadershipMoved(record.name, record.peers_address, record.revision)
            board.emit(SendMessage(stream_id, moved))

    def _step_down(self, reason: str, board: InstanceBoard) -> None:
        board.log("right_lost", "WARNING", reason=reason)
        board.count("rights_lost")
        self._stop_scheduling(reason, board)
        self._begin_election("", board)

    def _stop_scheduling(self, reason: str, board: InstanceBoard) -> None:
        """Stop scheduling, and refer the followers to the new holder if it is known."""
        leadership = board.leadership
        self._pending_handover = handover_message(board)
        record = leadership.record
        for stream in self._followers.follower_streams(board):
            if record is not None and record.name != board.settings.name:
                moved = LeadershipMoved(
                    record.name, record.peers_address, record.revision
                )
            else:
                moved = NotScheduling(board.settings.name, leadership.known_revision)
            board.emit(SendMessage(stream.stream_id, moved))
            stream.follower = False
            board.post(FollowerLost(stream.stream_id, False))
        board.post(LeadershipLost(reason))
        leadership.role = Role.SEEKING
        leadership.scheduler_stream_id = NO_STREAM
        leadership.lease_id = 0
        board.post(SchedulerLost(False, leadership.base_token // TOKENS_PER_REVISION))

    def _lose_scheduler(self, reason: str, silent: bool, board: InstanceBoard) -> None:
        leadership = board.leadership
        board.log(
            "scheduler_lost",
            "WARNING",
            reason=reason,
            heard_ms_ago=board.now - leadership.scheduler_last_received_at,
            revision=leadership.known_revision,
        )
        board.count("schedulers_lost")
        stream = leadership.streams.pop(leadership.scheduler_stream_id, None)
        if stream is not None:
            board.emit(CloseStream(stream.stream_id))
        leadership.role = Role.SEEKING
        leadership.scheduler_stream_id = NO_STREAM
        board.post(SchedulerLost(silent, leadership.base_token // TOKENS_PER_REVISION))
        self._begin_election("", board)

    def _become_acting_scheduler(
        self, slot: int, zone: str, board: InstanceBoard
    ) -> None:
        leadership = board.leadership
        leadership.role = Role.ACTING
        leadership.scheduler_stream_id = OWN_INSTANCE
        leadership.base_token = leadership.known_revision * TOKENS_PER_REVISION
        leadership.slot = slot
        known = (*board.pool.entries.values(), *board.unlisted_runners.remembered)
        zones = {one.zone for one in known}
        for one in sorted(zones | {board.settings.zone}):
            if zone in ("", one):
                # Runners hold the token of the last acting scheduler, if there was one.
                last = leadership.followed_zone_epochs.get(one, 0)
                epoch = max(leadership.zone_epochs.get(one, 0), last) + 1
                leadership.zone_epochs[one] = epoch
        token = leadership.token_for(board.settings.zone)
        board.log("acting_scheduler", "WARNING", zone=zone, token=token)
        board.count("acting_rights_used")
        self._followers.begin(board)
        self._begin_load_control(MIN_HANDOVER_BACKOFF_MS, board)
        board.post(LeadershipGained(leadership.base_token, zone, acting=True))
        board.post(SchedulerChanged(OWN_INSTANCE, acting=True))
        self._promote_successor(board)

    def _step_down_if_fenced(self, board: InstanceBoard) -> None:
        """Stop acting as scheduler once another scheduler controls most runners."""
        runners = board.pool.runners.values()
        fenced = sum(view.fenced for view in runners)
        if runners and fenced * 2 > len(runners):
            self._step_down("another scheduler controls most of the runners", board)

    def _renew_leadership(self, board: InstanceBoard) -> None:
        leadership = board.leadership
        if leadership.role is not Role.SCHEDULING:
            return
        board.set_timer(LEASE_RENEWAL_TIMER, board.tuning.right_renewal_ms)
        unconfirmed_ms = board.now - leadership.lease_confirmed_at
        expired = unconfirmed_ms > board.tuning.right_lease_ms
        if expired and not self._has_sufficient_followers(board):
            self._step_down("lease expired and too few instances follow", board)
            # The other instances have been unreachable for longer than this delay, so
            # that this instance may become the acting scheduler without waiting.
            self._election.started_at -= board.tuning.acting_delay_ms
            return
        if not self._renewal_call_id and leadership.lease_id:
            self._renewal_call_id = board.fresh_id()
            operation = KeepLease(leadership.lease_id)
            timeout = board.tuning.store_timeout_ms
            board.emit(CallStore(self._renewal_call_id, operation, timeout))

    def _has_sufficient_followers(self, board: InstanceBoard) -> bool:
        """Return whether enough instances follow to go on scheduling without a lease.

        In an isolated availability zone, the scheduler goes on using the runners of the
        zone: another scheduler has higher fencing tokens, but cannot reach them.
        """
        followers = self._followers
        return followers.has_quorum(board) or followers.has_zone_quorum(board)

    def _handle_renewal_reply(self, reply: StoreReply, board: InstanceBoard) -> None:
        if isinstance(reply, LeaseGranted):
            board.leadership.lease_confirmed_at = board.now
        elif isinstance(reply, StoreFailure) and reply.lease_not_found:
            board.leadership.lease_id = 0

    def _reclaim_leadership(self, board: InstanceBoard) -> None:
        """Claim leadership again after its lease ended, while scheduling goes on."""
        if self._election is None:
            self._election = Election(
                board.now, "leadership lease of this instance lapsed"
            )
        if not self._election.claim_call_id:
            elections.begin_claim(self._election, board)
        board.set_timer(ELECTION_TIMER, elections.STEP_PERIOD_MS)

    def _measure_heartbeat_delay(self, board: InstanceBoard) -> None:
        """Measure how late this instance handles events.

        Heartbeats overtake queued events, so the age of the oldest one counts too.
        """
        tuning = board.tuning
        elapsed = board.now - self._last_heartbeat_at
        late = max(self._event_queue_delay_ms, elapsed - tuning.beat_ms)
        self._last_heartbeat_at = board.now
        board.leadership.heartbeat_delay_ms = late
        self._load_monitor.record_heartbeat(late, elapsed, tuning)

    def _hand_over_if_under_pressure(self, offered: int, board: InstanceBoard) -> None:
        """Hand over leadership if under pressure and a follower is better placed.

        Parameters
        ----------
        offered : int
            Tasks that callers submitted here since the last heartbeat.
        board : InstanceBoard
        """
        load_monitor, leadership, tuning = (
            self._load_monitor,
            board.leadership,
            board.tuning,
        )
        tasks = offered + self._followers.collect_offered_tasks(board)
        share = leadership.intake_share
        load_monitor.record_load(
            tasks, share, board.now, tuning, leadership.heartbeat_delay_ms
        )
        leadership.sustained_load = load_monitor.sustained_load
        due = load_monitor.is_under_pressure(tuning) and load_monitor.may_hand_over(
            board.now
        )
        if not due or leadership.role is not Role.SCHEDULING:
            return
        overloaded = load_monitor.is_overloaded(board.now)
        min_cores = board.settings.cores * (FASTER_CORES_FACTOR if overloaded else 1.0)
        successor = self._followers.choose_successor(
            board, min_cores, tuning.busy_beat_ms
        )
        if successor is None:
            return
        board.log(
            "too_slow",
            "WARNING",
            beats_late_ms=round(load_monitor.mean_delay_ms),
            share=round(share, 2),
            overloaded=overloaded,
        )
        load_monitor.record_handover(board.now)
        # A load that was sustained before needs no limit on a machine that is not slow.
        self._request_promotion(
            successor,
            share if overloaded else 1.0,
            load_monitor.handover_backoff_ms,
            board,
        )

    def _update_intake_share(self, board: InstanceBoard) -> None:
        leadership = board.leadership
        before = leadership.intake_share
        load_monitor, heartbeat_delay_ms = (
            self._load_monitor,
            leadership.heartbeat_delay_ms,
        )
        self._intake_limiter.record_heartbeat(
            heartbeat_delay_ms,
            load_monitor.load,
            load_monitor.sustained_load,
            board.now,
            board.tuning,
        )
        leadership.intake_share = self._intake_limiter.share
        if before == 1.0 > leadership.intake_share:
            board.log(
                "intake_limited", "WARNING", beats_late_ms=leadership.heartbeat_delay_ms
            )
            board.count("intake_limits")
        elif before < 1.0 == leadership.intake_share:
            board.log("intake_unlimited")

    def _begin_stop(self, board: InstanceBoard) -> None:
        if board.leadership.role in (Role.SCHEDULING, Role.ACTING):
            self._promote_successor(board)

    def _promote_successor(self, board: InstanceBoard) -> None:
        """Ask a follower to claim leadership while this instance is about to stop.

        Followers of an acting scheduler can claim it once the store answers again.
        """
        leadership = board.leadership
        is_scheduler = leadership.role in (Role.SCHEDULING, Role.ACTING)
        if not is_scheduler or not board.stopping.requested:
            return
        board.set_timer(PROMOTION_TIMER, PROMOTION_RETRY_MS)
        is_acting = leadership.role is Role.ACTING
        if is_acting and not board.configuration.store_reachable:
            return
        successor = self._followers.choose_successor(
            board, excluded=self._asked_successors
        )
        if successor is None:
            # All have been asked; requests may have been lost.
            self._asked_successors.clear()
            successor = self._followers.choose_successor(board)
        if successor is not None:
            # A follower that is about to stop as well does not take over.
            self._asked_successors.add(successor.name)
            self._request_promotion(successor, leadership.intake_share, 0, board)

    def _request_promotion(
        self,
        successor: PeerStream,
        intake_share: float,
        handover_backoff_ms: Milliseconds,
        board: InstanceBoard,
    ) -> None:
        """Ask a follower to take over leadership."""
        board.log("successor_asked", instance=successor.name)
        promote = Promote(
            board.leadership.known_revision, intake_share, handover_backoff_ms
        )
        board.emit(SendMessage(successor.stream_id, promote))

    def _begin_election(self, failure_reason: str, board: InstanceBoard) -> None:
        if self._election is None:
            self._election = Election(board.now, failure_reason)
        else:
            election = self._election
            election.next_connect_at = board.now
            election.failure_reason = failure_reason
        board.set_timer(ELECTION_TIMER, elections.STEP_PERIOD_MS)
        self._step_election(board)

    def _step_election(self, board: InstanceBoard) -> None:
        """Carry out the next step of the election; implemented by the subclass."""
