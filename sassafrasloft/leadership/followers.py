"""Streams as the scheduler sees them: followers, heartbeats and the member list."""

from collections.abc import Container

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseStream, SendMessage
from sassafrasloft.instance.events import FollowerAccepted, FollowerLost, ZoneReclaimed
from sassafrasloft.instance.messages import (
    Handover,
    Heartbeat,
    Hello,
    Member,
    Welcome,
    ZoneEpoch,
)
from sassafrasloft.leadership.heartbeat_timeout import heartbeat_timeout_ms
from sassafrasloft.leadership.state import (
    TOKENS_PER_REVISION,
    PeerStream,
    Role,
)
from sassafrasloft.scheduling.handovers import (
    report_ended_jobs,
    report_jobs,
    report_unseen_runners,
)

MEMBERS_PER_HEARTBEAT = 1_000
"""Entries of member lists that are sent in one heartbeat period, at least one list: of
50 bytes each and in 50 ms, a megabyte a second. The lists of 31 instances fit."""
UNLISTED_RUNNERS_PER_HEARTBEAT = 500
"""Entries of unlisted runners that are sent in one heartbeat period, at least one
report: of 100 bytes each, a megabyte a second as well."""
RECONNECT_GRACE_MS = 1_000
"""An instance whose stream ended reconnects within this time, or has failed."""


class Followers:
    """The followers of this scheduler and the member list."""

    def __init__(self) -> None:
        self._known_members: dict[str, tuple[Member, int]] = {}
        """By name: the member's entry and when it expires if the member is absent."""
        self._members_version = 0
        """Number of changes of the member list."""
        self._members_allowance = MEMBERS_PER_HEARTBEAT
        """Entries of member lists that may be sent until the next heartbeat."""
        self._unlisted_allowance = UNLISTED_RUNNERS_PER_HEARTBEAT
        """Entries of unlisted runners that may be sent until the next heartbeat."""
        self._reported_list_at: Milliseconds = -1
        """When the list of runners was read whose revision was sent last."""
        self._next_slot = 1

    def begin(self, board: InstanceBoard) -> None:
        """Start from the member list that the previous scheduler sent."""
        leadership = board.leadership
        self._known_members.clear()
        # Followers may have got another list from the previous scheduler.
        self._members_version += 1
        until = board.now + board.tuning.absence_ms
        for one in leadership.members:
            self._known_members[one.name] = (one, until)
        self._next_slot = max((one.slot for one in leadership.members), default=0) + 1
        own = board.settings
        self._record_member(own.name, own.zone, own.peers_address, own.cores, board)
        self._publish_members(board)

    def _record_member(
        self, name: str, zone: str, address: str, cores: float, board: InstanceBoard
    ) -> None:
        known = self._known_members.get(name)
        slot = known[0].slot if known else self._next_slot
        if known is None:
            self._next_slot += 1
        entry = Member(name, zone, address, cores, slot)
        if known is None or known[0] != entry:
            board.log("instance_seen", instance=name, zone=zone, slot=slot)
        self._known_members[name] = (entry, board.now + board.tuning.absence_ms)

    def _publish_members(self, board: InstanceBoard) -> None:
        entries = (one for one, _ in self._known_members.values())
        members = tuple(sorted(entries, key=lambda one: one.slot))
        if members != board.leadership.members:
            board.leadership.members = members
            self._members_version += 1

    def _may_send_members(self, stream: PeerStream, board: InstanceBoard) -> bool:
        """Return whether a follower gets the member list now, and account for it.

        Load pattern: when hundreds of instances start, the list changes with each of
        them. Sent to all at each change, it would fill the link of the scheduler and
        delay its heartbeats beyond their timeout.
        """
        count = len(board.leadership.members)
        is_current = stream.members_version == self._members_version
        if is_current or self._members_allowance <= 0:
            return False
        self._members_allowance -= count
        stream.members_version = self._members_version
        return True

    def _may_send_unlisted_runners(
        self, stream: PeerStream, board: InstanceBoard
    ) -> bool:
        """Return whether a follower gets the report now, and account for it.

        Load pattern: many runners do not reach the store at the same time.
        """
        report = board.unlisted_runners.report
        is_current = stream.unlisted_runners_version == report.version
        if is_current or self._unlisted_allowance <= 0:
            return False
        self._unlisted_allowance -= len(report.entries)
        stream.unlisted_runners_version = report.version
        return True

    def accept_follower(
        self, stream: PeerStream, message: Hello, board: InstanceBoard
    ) -> None:
        """Accept an instance as a follower and send it the current state."""
        leadership = board.leadership
        stream.follower = True
        stream.name = message.name
        stream.zone = message.zone
        stream.accepts_crash_counts = message.accepts_crash_counts
        self._record_member(
            message.name, message.zone, message.peers_address, message.cores, board
        )
        self._publish_members(board)
        board.emit(
            SendMessage(
                stream.stream_id,
                Welcome(
                    board.settings.name,
                    leadership.base_token,
                    board.pool.zone,
                    leadership.role is Role.ACTING,
                    board.now - board.pool.activated_at,
                    len(board.pool.entries),
                    reads_evacuations=True,
                    zone_epochs=leadership.used_zone_epochs(),
                    unlisted_runners=tuple(board.unlisted_runners.known),
                ),
            )
        )
        sends_members = self._may_send_members(stream, board)
        sends_unlisted = self._may_send_unlisted_runners(stream, board)
        heartbeat = _heartbeat_message(sends_members, sends_unlisted, 0, board)
        board.emit(SendMessage(stream.stream_id, heartbeat))
        if stream.accepts_crash_counts:
            board.post(FollowerAccepted(stream.stream_id))
        self._reclaim_zones(message.zone_epochs, board)

    def _reclaim_zones(
        self, zone_epochs: tuple[ZoneEpoch, ...], board: InstanceBoard
    ) -> None:
        """Reclaim the zones whose runners an acting scheduler has used."""
        leadership = board.leadership
        if leadership.role is not Role.SCHEDULING:
            return
        for one in zone_epochs:
            if one.round > leadership.zone_epochs.get(one.zone, 0):
                leadership.zone_epochs[one.zone] = one.round + 1
                board.log("zone_taken_back", zone=one.zone, round=one.round + 1)
                board.post(ZoneReclaimed(one.zone, one.round + 1))

    def accept_handover(self, message: Handover, board: InstanceBoard) -> None:
        """Reclaim the zones of an acting scheduler that steps down."""
        self._reclaim_zones(message.zone_epochs, board)

    def send_heartbeats(self, board: InstanceBoard) -> None:
        """Send a heartbeat to all followers and remove those that timed out."""
        leadership = board.leadership
        if not self.has_quorum(board):
            leadership.majority_missed_at = board.now
        if leadership.role is Role.SCHEDULING:
            self._remove_absent_members(board)
            self._reclaim_fenced_zones(board)
        self._members_allowance = MEMBERS_PER_HEARTBEAT
        self._unlisted_allowance = UNLISTED_RUNNERS_PER_HEARTBEAT
        list_revision = self._new_list_revision(board)
        heartbeats = _HeartbeatVariants(list_revision, board)
        for stream in list(leadership.streams.values()):
            if not stream.follower:
                continue
            silent_ms = board.now - stream.last_received_at
            if silent_ms > heartbeat_timeout_ms(stream.heartbeat_delay_ms, board):
                self.remove(stream, True, board)
                board.emit(CloseStream(stream.stream_id))
                continue
            sends_members = self._may_send_members(stream, board)
            sends_unlisted = self._may_send_unlisted_runners(stream, board)
            heartbeat = heartbeats.get(stream, sends_members, sends_unlisted)
            board.emit(SendMessage(stream.stream_id, heartbeat))

    def _new_list_revision(self, board: InstanceBoard) -> int:
        """Return the revision of a list of runners that was just read; 0 if none was.

        An acting scheduler knows nothing of the runners of other zones, and cannot
        read the list.
        """
        pool = board.pool
        is_scheduling = board.leadership.role is Role.SCHEDULING
        if not is_scheduling or pool.entries_read_at == self._reported_list_at:
            return 0
        self._reported_list_at = pool.entries_read_at
        return pool.list_revision

    def _reclaim_fenced_zones(self, board: InstanceBoard) -> None:
        """Reclaim zones whose runners are still fenced by a failed acting scheduler.

        An acting scheduler that is alive gives up its runners within `fenced_ms`.
        """
        if not self.has_quorum(board):
            return
        leadership = board.leadership
        latest = board.now - board.tuning.fenced_ms
        zones = {
            view.entry.zone
            for view in board.pool.runners.values()
            if view.fenced and view.fenced_at <= latest
        }
        for zone in sorted(zones):
            leadership.zone_epochs[zone] = leadership.zone_epochs.get(zone, 0) + 1
            board.log("zone_taken_back", zone=zone, round=leadership.zone_epochs[zone])
            board.post(ZoneReclaimed(zone, leadership.zone_epochs[zone]))

    def _remove_absent_members(self, board: InstanceBoard) -> None:
        present = {
            one.name for one in board.leadership.streams.values() if one.follower
        }
        present.add(board.settings.name)
        gone = [
            name
            for name, (_, until) in self._known_members.items()
            if name not in present and until <= board.now
        ]
        for name in gone:
            del self._known_members[name]
            board.log("instance_gone", instance=name)
        if gone:
            self._publish_members(board)

    def remove(self, stream: PeerStream, silent: bool, board: InstanceBoard) -> None:
        """Remove a follower whose stream ended or timed out."""
        board.leadership.streams.pop(stream.stream_id, None)
        stream.follower = False
        known = self._known_members.get(stream.name)
        if known is not None:
            absence = board.tuning.absence_ms if silent else RECONNECT_GRACE_MS
            self._known_members[stream.name] = (known[0], board.now + absence)
        board.log("instance_lost", instance=stream.name, silent=silent)
        board.post(FollowerLost(stream.stream_id, silent))

    def follower_streams(self, board: InstanceBoard) -> list[PeerStream]:
        """Return the streams of all followers."""
        return [one for one in board.leadership.streams.values() if one.follower]

    def has_quorum(self, board: InstanceBoard) -> bool:
        """Return whether more than half of the members follow."""
        return (len(self.follower_streams(board)) + 1) * 2 > len(
            board.leadership.members
        )

    def has_zone_quorum(self, board: InstanceBoard) -> bool:
        """Return whether more than half of the members in this zone follow."""
        zone = board.settings.zone
        present = 1 + sum(one.zone == zone for one in self.follower_streams(board))
        known = sum(one.zone == zone for one in board.leadership.members)
        return present * 2 > known

    def collect_offered_tasks(self, board: InstanceBoard) -> int:
        """Return and reset the number of tasks that callers submitted to followers."""
        streams = self.follower_streams(board)
        offered = sum(one.offered for one in streams)
        for stream in streams:
            stream.offered = 0
        return offered

    def choose_successor(
        self,
        board: InstanceBoard,
        min_cores: float = 0.0,
        max_heartbeat_delay_ms: Milliseconds | None = None,
        excluded: Container[str] = (),
    ) -> PeerStream | None:
        """Return the follower with the most cores that can take over leadership.

        Parameters
        ----------
        board : InstanceBoard
        min_cores : float
            Cores that the follower must have at least.
        max_heartbeat_delay_ms : int, optional
            Largest heartbeat delay that the follower may report; no limit if None.
        excluded : container of str
            Names of followers that are not to be chosen.
        """
        cores = {one.name: one.cores for one in board.leadership.members}
        able = [
            one
            for one in self.follower_streams(board)
            if one.name not in excluded
            and cores.get(one.name, 0.0) >= min_cores
            and (
                max_heartbeat_delay_ms is None
                or one.heartbeat_delay_ms <= max_heartbeat_delay_ms
            )
        ]
        return min(
            able,
            key=lambda one: (-cores.get(one.name, 0.0), one.name),
            default=None,
        )


class _HeartbeatVariants:
    """The heartbeats of one period, each created once so that it is encoded once.

    Parameters
    ----------
    list_revision : int
        Revision of a new list of runners; 0 if there is none.
    board : InstanceBoard
    """

    def __init__(self, list_revision: int, board: InstanceBoard) -> None:
        self._list_revision = list_revision
        self._board = board
        self._variants: dict[tuple[bool, bool, int], Heartbeat] = {}

    def get(
        self, stream: PeerStream, sends_members: bool, sends_unlisted: bool
    ) -> Heartbeat:
        """Return the heartbeat for a follower.

        It gets no revision before the report that goes with it.
        """
        report = self._board.unlisted_runners.report
        has_report = stream.unlisted_runners_version == report.version
        list_revision = self._list_revision if has_report else 0
        key = (sends_members, sends_unlisted, list_revision)
        if key not in self._variants:
            self._variants[key] = _heartbeat_message(*key, self._board)
        return self._variants[key]


def _heartbeat_message(
    sends_members: bool,
    sends_unlisted: bool,
    list_revision: int,
    board: InstanceBoard,
) -> Heartbeat:
    leadership = board.leadership
    report = board.unlisted_runners.report
    return Heartbeat(
        leadership.members if sends_members else None,
        leadership.heartbeat_delay_ms,
        leadership.intake_share,
        sustained_load=leadership.sustained_load,
        configuration_version=board.configuration.current.version,
        runner_list_revision=list_revision,
        unlisted_runners=report.entries if sends_unlisted else None,
    )


def handover_message(board: InstanceBoard) -> Handover:
    """Return what the next scheduler needs to know of jobs, runs and zones."""
    leadership = board.leadership
    return Handover(
        leadership.base_token // TOKENS_PER_REVISION,
        leadership.role is Role.ACTING,
        leadership.used_zone_epochs(),
        report_jobs(board),
        report_unseen_runners(board),
        report_ended_jobs(board),
    )
