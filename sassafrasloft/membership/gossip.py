"""Gossip: periodic messages with the load and state of an instance to its peers."""

import attrs

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    AuthorityLost,
    Blackboard,
    Controller,
    DrainRequested,
    Event,
    PeerLinkChanged,
    PeerMessageReceived,
    SendToPeer,
    Started,
    TimerFired,
    register_controller,
)
from sassafrasloft.membership.heirs import merge_heirs
from sassafrasloft.membership.load_tables import (
    NameIndexCache,
    estimate_named_bytes,
    estimate_packed_bytes,
    pack_loads,
    unpack_loads,
)
from sassafrasloft.membership.peers import peer_is_recently_heard
from sassafrasloft.membership.receivers import choose_receivers
from sassafrasloft.messages import Gossip, RunnerNotice
from sassafrasloft.state import Health, PeerState

GOSSIP_TIMER = "membership.gossip"

GOSSIP_BYTES_PER_SECOND = 2_700
"""Byte budget; 10 % below the design limit of 3 KB/s, as sizes are estimated."""

BASE_GOSSIP_BYTES = 90
"""Size of a framed gossip message without tables and with long instance names."""

REFRESH_MS: Milliseconds = 4_000
"""Interval at which unchanged tables and notices are resent.

A message may be lost on a stream whose failure was not detected, and peers must
know about a leaving runner within 5 s.
"""

HEIRS_REFRESH_MS: Milliseconds = 60_000
MAX_HEIRS_REFRESHED = 16
"""The newest heirs are resent every `HEIRS_REFRESH_MS` for the same reason."""

ROTATION_MESSAGES = 20
"""Number of gossip messages after which a sender chooses other receivers.

This matters only if it has more peers than the fanout.
"""

MAX_HEIRS_PER_GOSSIP = 8
"""An heir takes about 60 bytes; a longer table is spread over several messages."""

MAX_EXPIRED_RECEIVERS = 2
"""Maximum number of additional receivers whose lease has expired.

A peer is declared ended only after a connection to it was attempted.
"""


@attrs.frozen
class GossipContent:
    """The part of a gossip message that is the same for all receivers."""

    revision: int
    leaving: bool
    waiting_tasks: int
    notices: tuple[tuple[RunnerNotice, ...], tuple[RunnerNotice, ...]]
    runners: dict[str, int]
    teams: dict[str, int]

    @property
    def busy(self) -> bool:
        """Whether tasks are running or waiting on this instance."""
        return bool(self.waiting_tasks or self.runners or self.teams)


def collect_content(board: Blackboard) -> GossipContent:
    """Return the present state of this instance for its peers."""
    leaving: list[RunnerNotice] = []
    ejected: list[RunnerNotice] = []
    running: dict[str, int] = {}
    for name, runner in board.upstreams.runners.items():
        if runner.in_flight:
            running[name] = len(runner.in_flight)
        if runner.leaving and runner.incarnation:
            leaving.append(RunnerNotice(name, runner.incarnation))
        if runner.health is Health.EJECTED and runner.incarnation:
            ejected.append(RunnerNotice(name, runner.incarnation))
    teams = {name: use.running for name, use in board.queue.teams.items()}
    return GossipContent(
        revision=board.settings.revision,
        leaving=board.peers.leaving,
        waiting_tasks=board.queue.waiting_tasks,
        notices=(tuple(leaving), tuple(ejected)),
        runners=running,
        teams={name: count for name, count in teams.items() if count > 0},
    )


@attrs.define
class LastSent:
    """The state that was last sent to one incarnation of a peer."""

    incarnation: str
    sent_ms: Milliseconds = -1
    revision: int = -1
    leaving: bool = False
    notices: tuple[tuple[RunnerNotice, ...], ...] = ()
    notices_sequence: int = -1
    notices_ms: Milliseconds = -1
    tables: tuple[dict[str, int], dict[str, int]] | None = None
    tables_sequence: int = -1
    tables_ms: Milliseconds = -1
    heirs: dict[str, str] = attrs.field(factory=dict)
    heirs_ms: Milliseconds = 0

    def has_changes(self, content: GossipContent, heirs: dict[str, str]) -> bool:
        """Whether anything except the load has changed since it was last sent."""
        return (
            content.revision != self.revision
            or content.leaving != self.leaving
            or content.notices != self.notices
            or heirs != self.heirs
        )


@register_controller("membership.gossip", 24)
class GossipController(Controller):
    """Sends gossip every `gossip_period_ms` within a byte budget."""

    handles = (Started, TimerFired, PeerLinkChanged, DrainRequested, AuthorityLost)

    def __init__(self) -> None:
        self._last_sent: dict[str, LastSent] = {}
        self._names = NameIndexCache()

    def react(self, event: Event, board: Blackboard) -> None:
        """Send gossip on the timer, and immediately on a drain or loss of authority."""
        if isinstance(event, PeerLinkChanged):
            self._last_sent.pop(event.peer, None)
        elif isinstance(event, TimerFired):
            if event.name == GOSSIP_TIMER:
                self._send_gossip(board, immediately=False)
                self._set_timer(board, 0)
        elif isinstance(event, Started):
            # A random offset spreads the messages of instances that start together.
            self._set_timer(board, board.random.randrange(1, 100))
        else:
            self._send_gossip(board, immediately=True)

    @staticmethod
    def _set_timer(board: Blackboard, offset_ms: Milliseconds) -> None:
        period = board.settings.service.membership.gossip_period_ms
        board.set_timer(GOSSIP_TIMER, period + offset_ms)

    def _send_gossip(self, board: Blackboard, immediately: bool) -> None:
        content = collect_content(board)
        table = board.peers
        due = []
        for name in self._receivers(board):
            last_sent = self._last_sent_to(name, table.peers[name])
            if immediately or self._is_due(last_sent, content, board):
                due.append(name)
        if not due:
            return
        table.gossip_sequence += 1
        with_tables = self._choose_table_receivers(due, content, board)
        for name in due:
            self._send(name, content, name in with_tables, board)

    def _receivers(self, board: Blackboard) -> list[str]:
        """Return the chosen peers and some of those whose lease has expired."""
        identity = board.identity
        peers = board.peers.peers
        chosen = choose_receivers(
            identity.instance,
            identity.zone,
            [peer.settings for peer in peers.values()],
            board.settings.service.membership.gossip_fanout,
            board.peers.gossip_sequence // ROTATION_MESSAGES,
        )
        listed = board.platform.listed
        expired_peers = [
            name
            for name, peer in peers.items()
            if name not in chosen
            and not peer.up
            and (entry := listed.get(f"entry/{name}")) is not None
            and entry.state == "lapsed"
        ]
        return chosen + expired_peers[:MAX_EXPIRED_RECEIVERS]

    def _last_sent_to(self, name: str, peer: PeerState) -> LastSent:
        last_sent = self._last_sent.get(name)
        if last_sent is None or last_sent.incarnation != peer.incarnation:
            last_sent = self._last_sent[name] = LastSent(peer.incarnation)
        return last_sent

    @staticmethod
    def _is_due(last_sent: LastSent, content: GossipContent, board: Blackboard) -> bool:
        """Whether gossip to a peer is due.

        An idle instance whose state has not changed sends gossip less often.
        """
        if content.busy or last_sent.has_changes(content, board.peers.heirs):
            return True
        if last_sent.tables is not None and last_sent.tables != (
            content.runners,
            content.teams,
        ):
            return True
        silence = board.settings.service.membership.peer_silence_ms
        return last_sent.sent_ms < 0 or board.now - last_sent.sent_ms >= silence // 3

    def _choose_table_receivers(
        self, due: list[str], content: GossipContent, board: Blackboard
    ) -> set[str]:
        """Return the peers to send tables to, as far as the byte budget allows.

        Peers with the oldest tables come first. If any peer has outdated tables,
        at least one is returned.
        """
        tables = (content.runners, content.teams)
        stale = []
        for name in due:
            peer = board.peers.peers[name]
            last_sent = self._last_sent[name]
            reachable = peer.up or peer_is_recently_heard(board, peer)
            expired = board.now - last_sent.tables_ms >= REFRESH_MS
            if reachable and (last_sent.tables != tables or expired):
                stale.append((last_sent.tables_ms, name))
        period = board.settings.service.membership.gossip_period_ms
        remaining_bytes = (
            GOSSIP_BYTES_PER_SECOND * period // 1000 - len(due) * BASE_GOSSIP_BYTES
        )
        chosen: set[str] = set()
        for _, name in sorted(stale):
            remaining_bytes -= self._estimate_table_bytes(name, content, board)
            if chosen and remaining_bytes < 0:
                break
            chosen.add(name)
        return chosen

    def _has_same_names(self, name: str, board: Blackboard) -> bool:
        """Whether a peer can decode positional loads, as far as is known."""
        gossip = board.peers.peers[name].gossip
        return gossip is None or gossip.names_digest in (
            "",
            self._names.of(board.settings.service).digest,
        )

    def _estimate_table_bytes(
        self, name: str, content: GossipContent, board: Blackboard
    ) -> int:
        if not self._has_same_names(name, board):
            return estimate_named_bytes(content.runners) + estimate_named_bytes(
                content.teams
            )
        index = self._names.of(board.settings.service)
        pairs = pack_loads(index.runners, content.runners)
        return estimate_packed_bytes(pairs + pack_loads(index.teams, content.teams))

    def _send(
        self, name: str, content: GossipContent, tables: bool, board: Blackboard
    ) -> None:
        last_sent = self._last_sent[name]
        peer = board.peers.peers[name]
        sequence = board.peers.gossip_sequence
        reachable = peer.up or peer_is_recently_heard(board, peer)
        index = self._names.of(board.settings.service)
        fields: dict[str, object] = {}
        if tables:
            last_sent.tables = (content.runners, content.teams)
            last_sent.tables_sequence = sequence
            last_sent.tables_ms = board.now
            fields |= self._table_fields(name, content, board)
        expired = board.now - last_sent.notices_ms >= REFRESH_MS
        if reachable and (content.notices != last_sent.notices or expired):
            last_sent.notices = content.notices
            last_sent.notices_sequence = sequence
            last_sent.notices_ms = board.now
        if last_sent.notices_sequence == sequence:
            fields["runners_leaving"], fields["runners_ejected"] = content.notices
        if reachable:
            fields["heirs"] = self._take_unsent_heirs(
                last_sent, board.peers.heirs, board.now
            )
        last_sent.sent_ms = board.now
        last_sent.revision = content.revision
        last_sent.leaving = content.leaving
        gossip = Gossip(
            instance=board.identity.instance,
            incarnation=board.identity.incarnation,
            sequence=sequence,
            settings_revision=content.revision,
            leaving=content.leaving,
            waiting_tasks=content.waiting_tasks,
            tables_sequence=last_sent.tables_sequence,
            notices_sequence=last_sent.notices_sequence,
            names_digest=index.digest,
            now_ms=board.now,
            **fields,
        )
        board.emit(SendToPeer(name, gossip))
        board.metrics.add("messages_gossip")

    def _table_fields(
        self, name: str, content: GossipContent, board: Blackboard
    ) -> dict[str, object]:
        if not self._has_same_names(name, board):
            return {
                "running_by_runner": dict(content.runners),
                "running_by_team": dict(content.teams),
            }
        index = self._names.of(board.settings.service)
        return {
            "runner_loads": pack_loads(index.runners, content.runners),
            "team_loads": pack_loads(index.teams, content.teams),
        }

    @staticmethod
    def _take_unsent_heirs(
        last_sent: LastSent, heirs: dict[str, str], now: Milliseconds
    ) -> dict[str, str]:
        """Return a batch of heirs that a peer lacks and mark them as sent."""
        if now - last_sent.heirs_ms >= HEIRS_REFRESH_MS:
            last_sent.heirs_ms = now
            for key in list(heirs)[-MAX_HEIRS_REFRESHED:]:
                last_sent.heirs.pop(key, None)
        if last_sent.heirs == heirs:
            return {}
        for key in [key for key in last_sent.heirs if key not in heirs]:
            del last_sent.heirs[key]
        unsent = [
            key for key, heir in heirs.items() if last_sent.heirs.get(key) != heir
        ]
        new = {key: heirs[key] for key in unsent[:MAX_HEIRS_PER_GOSSIP]}
        last_sent.heirs |= new
        return new


@register_controller("membership.gossip_received", 25)
class GossipReceivedController(Controller):
    """Stores the newest gossip of each peer, with omitted tables restored."""

    handles = (PeerMessageReceived,)

    def __init__(self) -> None:
        self._names = NameIndexCache()

    def react(self, event: Event, board: Blackboard) -> None:
        """Store a gossip message unless a newer one of its incarnation is known."""
        assert isinstance(event, PeerMessageReceived)
        gossip = event.message
        peer = board.peers.peers.get(event.peer)
        if not isinstance(gossip, Gossip) or peer is None:
            return
        if gossip.instance != event.peer or gossip.incarnation != peer.incarnation:
            return
        if peer.gossip is not None and gossip.sequence <= peer.gossip.sequence:
            board.metrics.add("gossip_out_of_order")
            return
        peer.gossip = self._with_omitted_tables(gossip, peer.gossip, board)
        peer.leaving = gossip.leaving
        merge_heirs(board, gossip.heirs)

    def _with_omitted_tables(
        self, gossip: Gossip, before: Gossip | None, board: Blackboard
    ) -> Gossip:
        """Return the gossip with omitted tables restored and packed ones decoded."""
        changes: dict[str, object] = {}
        if before is not None and gossip.notices_sequence not in (0, gossip.sequence):
            changes["runners_leaving"] = before.runners_leaving
            changes["runners_ejected"] = before.runners_ejected
        if gossip.tables_sequence not in (0, gossip.sequence):
            if before is not None:
                changes["running_by_runner"] = before.running_by_runner
                changes["running_by_team"] = before.running_by_team
        elif gossip.runner_loads or gossip.team_loads:
            index = self._names.of(board.settings.service)
            if index.digest == gossip.names_digest:
                changes["running_by_runner"] = unpack_loads(
                    index.runners, gossip.runner_loads
                )
                changes["running_by_team"] = unpack_loads(
                    index.teams, gossip.team_loads
                )
            else:
                board.metrics.add("gossip_tables_not_understood")
        return attrs.evolve(gossip, runner_loads=(), team_loads=(), **changes)
