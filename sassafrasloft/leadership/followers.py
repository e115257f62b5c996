"""The scheduler's side of the streams: followers, beats and the roster."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseStream, SendMessage
from sassafrasloft.instance.events import FollowerLost, ZoneReturned
from sassafrasloft.instance.messages import (
    Beat,
    ConfigurationOffer,
    Handover,
    Hello,
    JobProgress,
    RosterEntry,
    Welcome,
    ZoneRound,
)
from sassafrasloft.leadership.silence import longest_silence
from sassafrasloft.leadership.state import (
    TOKENS_PER_REVISION,
    Rights,
    Role,
    StreamState,
)
from sassafrasloft.scheduling import ScheduledJob, TaskState

RECONNECT_MS = 1_000
"""An instance whose stream ended comes back within this, or is gone."""


class Followers:
    """Instances that hand in jobs here, and those heard from lately."""

    def __init__(self) -> None:
        self._heard: dict[str, tuple[RosterEntry, int]] = {}
        """By name: the entry and when it leaves the roster."""
        self._roster_changed = False
        self._next_slot = 1

    def begin(self, board: InstanceBoard) -> None:
        """Start from the roster that the last scheduler sent."""
        rights = board.rights
        self._heard.clear()
        until = board.now + board.tuning.absence_ms
        for one in rights.roster:
            self._heard[one.name] = (one, until)
        self._next_slot = max((one.slot for one in rights.roster), default=0) + 1
        own = board.settings
        self._note(own.name, own.zone, own.peers_address, own.cores, board)
        self._publish(board)

    def _note(
        self, name: str, zone: str, address: str, cores: float, board: InstanceBoard
    ) -> None:
        known = self._heard.get(name)
        slot = known[0].slot if known else self._next_slot
        if known is None:
            self._next_slot += 1
        entry = RosterEntry(name, zone, address, cores, slot)
        if known is None or known[0] != entry:
            self._roster_changed = True
            board.log("instance_seen", instance=name, zone=zone, slot=slot)
        self._heard[name] = (entry, board.now + board.tuning.absence_ms)

    def _publish(self, board: InstanceBoard) -> None:
        self._roster_changed = True
        board.rights.roster = tuple(
            sorted((one for one, _ in self._heard.values()), key=lambda one: one.slot)
        )

    def welcome(
        self, stream: StreamState, message: Hello, board: InstanceBoard
    ) -> None:
        """Take an instance as a follower."""
        rights = board.rights
        stream.follower = True
        stream.name = message.name
        stream.zone = message.zone
        self._note(
            message.name, message.zone, message.peers_address, message.cores, board
        )
        self._publish(board)
        board.emit(
            SendMessage(
                stream.stream_id,
                Welcome(
                    board.settings.name,
                    rights.base_token,
                    board.pool.zone,
                    rights.role is Role.ACTING,
                    board.now - board.pool.activated_at,
                    len(board.pool.entries),
                ),
            )
        )
        board.emit(SendMessage(stream.stream_id, _beat(rights.roster, rights)))
        configuration = board.configuration
        if message.configuration_version < configuration.current.version:
            offer = ConfigurationOffer(configuration.document)
            board.emit(SendMessage(stream.stream_id, offer))
        self._take_rounds(message.rounds, board)

    def _take_rounds(self, rounds: tuple[ZoneRound, ...], board: InstanceBoard) -> None:
        """Take back the runners that an acting scheduler has used."""
        rights = board.rights
        if rights.role is not Role.SCHEDULING:
            return
        for one in rounds:
            if one.round > rights.rounds.get(one.zone, 0):
                rights.rounds[one.zone] = one.round + 1
                board.log("zone_taken_back", zone=one.zone, round=one.round + 1)
                board.post(ZoneReturned(one.zone, one.round + 1))

    def take_handover(self, message: Handover, board: InstanceBoard) -> None:
        """Note the fencing tokens of an acting scheduler that steps down."""
        self._take_rounds(message.rounds, board)

    def beat(self, board: InstanceBoard) -> None:
        """Send a sign of life and drop silent followers."""
        rights = board.rights
        if rights.role is Role.SCHEDULING:
            self._expire(board)
            self._take_back_fenced(board)
        roster = rights.roster if self._roster_changed else None
        self._roster_changed = False
        for stream in list(rights.streams.values()):
            if not stream.follower:
                continue
            silent_ms = board.now - stream.heard_at
            if silent_ms > longest_silence(stream.late_ms, board):
                self.drop(stream, True, board)
                board.emit(CloseStream(stream.stream_id))
            else:
                board.emit(SendMessage(stream.stream_id, _beat(roster, rights)))

    def _take_back_fenced(self, board: InstanceBoard) -> None:
        """Take back the runners of an acting scheduler that has died."""
        if not self.has_quorum(board):
            return
        rights = board.rights
        latest = board.now - board.tuning.fenced_ms
        zones = {
            view.entry.zone
            for view in board.pool.runners.values()
            if view.fenced and view.fenced_at <= latest
        }
        for zone in sorted(zones):
            rights.rounds[zone] = rights.rounds.get(zone, 0) + 1
            board.log("zone_taken_back", zone=zone, round=rights.rounds[zone])
            board.post(ZoneReturned(zone, rights.rounds[zone]))

    def _expire(self, board: InstanceBoard) -> None:
        present = {one.name for one in board.rights.streams.values() if one.follower}
        present.add(board.settings.name)
        gone = [
            name
            for name, (_, until) in self._heard.items()
            if name not in present and until <= board.now
        ]
        for name in gone:
            del self._heard[name]
            board.log("instance_gone", instance=name)
        if gone:
            self._publish(board)

    def drop(self, stream: StreamState, silent: bool, board: InstanceBoard) -> None:
        """Note the loss of a follower."""
        board.rights.streams.pop(stream.stream_id, None)
        stream.follower = False
        known = self._heard.get(stream.name)
        if known is not None:
            absence = board.tuning.absence_ms if silent else RECONNECT_MS
            self._heard[stream.name] = (known[0], board.now + absence)
        board.log("instance_lost", instance=stream.name, silent=silent)
        board.post(FollowerLost(stream.stream_id, silent))

    def connected(self, board: InstanceBoard) -> list[StreamState]:
        """Return the streams of all followers."""
        return [one for one in board.rights.streams.values() if one.follower]

    def has_quorum(self, board: InstanceBoard) -> bool:
        """Return whether more than half of the known instances follow."""
        return (len(self.connected(board)) + 1) * 2 > len(board.rights.roster)

    def has_zone_quorum(self, board: InstanceBoard) -> bool:
        """Return whether more than half of the own zone's instances follow."""
        zone = board.settings.zone
        present = 1 + sum(one.zone == zone for one in self.connected(board))
        known = sum(one.zone == zone for one in board.rights.roster)
        return present * 2 > known

    def take_offered(self, board: InstanceBoard) -> int:
        """Return how many tasks callers handed in elsewhere since the last call."""
        streams = self.connected(board)
        offered = sum(one.offered for one in streams)
        for stream in streams:
            stream.offered = 0
        return offered

    def successor(
        self,
        board: InstanceBoard,
        least_cores: float = 0.0,
        latest_ms: Milliseconds | None = None,
    ) -> StreamState | None:
        """Return the follower that is to schedule next.

        Parameters
        ----------
        board : InstanceBoard
        least_cores : float
            That it needs.
        latest_ms : int, optional
            How late its own beats may be.
        """
        cores = {one.name: one.cores for one in board.rights.roster}
        able = [
            one
            for one in self.connected(board)
            if cores.get(one.name, 0.0) >= least_cores
            and (latest_ms is None or one.late_ms <= latest_ms)
        ]
        return min(
            able,
            key=lambda one: (-cores.get(one.name, 0.0), one.name),
            default=None,
        )


def _beat(roster: tuple[RosterEntry, ...] | None, rights: Rights) -> Beat:
    return Beat(roster, rights.late_ms, rights.intake_share, borne=rights.borne)


def handover(board: InstanceBoard) -> Handover:
    """Return what a new scheduler needs to know of jobs and runs.

    Runs that are being stopped belong to jobs that are no longer open.
    """
    live: dict[str, list[str]] = {
        job.job_id: [] for job in board.jobs.open.values() if job.offered
    }
    for task in board.pool.live_runs:
        live.setdefault(task.partition(".")[0], []).append(task)
    jobs = tuple(
        JobProgress(job_id, _done_tasks(board.jobs.open.get(job_id)), tuple(running))
        for job_id, running in live.items()
    )
    rights = board.rights
    return Handover(
        rights.base_token // TOKENS_PER_REVISION,
        rights.role is Role.ACTING,
        rights.used_rounds(),
        jobs,
    )


def _done_tasks(job: ScheduledJob | None) -> tuple[str, ...]:
    if job is None:
        return ()
    return tuple(
        task.name for task in job.tasks.values() if task.state is TaskState.DONE
    )
