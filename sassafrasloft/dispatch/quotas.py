"""Service-wide team quotas, shared by the live instances."""

from collections.abc import Mapping

from sassafrasloft.core import Blackboard
from sassafrasloft.messages import Gossip
from sassafrasloft.settings import TeamSettings
from sassafrasloft.state import TeamUse

DEFAULT_TEAM = TeamSettings("")


def team_use(board: Blackboard, team: str) -> TeamUse:
    """Return the usage counters of a team; create them if there are none yet."""
    use = board.queue.teams.get(team)
    if use is None:
        use = board.queue.teams[team] = TeamUse()
    return use


class TeamIndex:
    """An index of team settings by name, rebuilt when the settings change."""

    def __init__(self) -> None:
        self._teams: Mapping[str, TeamSettings] = {}
        self._source: tuple[TeamSettings, ...] | None = None

    def find(self, board: Blackboard, team: str) -> TeamSettings:
        """Return a team's settings, or the defaults if it has none."""
        source = board.settings.service.teams
        if source is not self._source:
            self._source = source
            self._teams = {one.name: one for one in source}
        return self._teams.get(team, DEFAULT_TEAM)


def quota_left(board: Blackboard, settings: TeamSettings, use: TeamUse) -> int:
    """Return how many more tasks of a team this instance may send now.

    Each live instance may always use an equal share of the quota. It may also
    use what the other instances leave unused according to their last gossip.
    Two instances that do so at the same time can exceed the quota until they
    receive each other's next gossip.
    """
    share = settings.max_running // board.queue.live_instances
    elsewhere = settings.max_running - use.running_elsewhere
    return max(share, elsewhere) - use.running


def record_team_gossip(board: Blackboard, peer: str, gossip: Gossip) -> None:
    """Replace the running tasks by team that a peer last reported in gossip."""
    board.queue.peers_heard_ms[peer] = board.now
    _replace_peer_counts(board, peer, gossip.running_by_team)


def forget_silent_peers(board: Blackboard) -> None:
    """Stop counting the tasks of peers whose heartbeat timeout has expired."""
    silence_ms = board.settings.service.membership.peer_silence_ms
    heard = board.queue.peers_heard_ms
    for peer in [peer for peer, at in heard.items() if board.now - at > silence_ms]:
        _replace_peer_counts(board, peer, {})
        del heard[peer]
        del board.queue.peers_teams[peer]


def _replace_peer_counts(board: Blackboard, peer: str, running: dict[str, int]) -> None:
    for team, count in board.queue.peers_teams.get(peer, {}).items():
        team_use(board, team).running_elsewhere -= count
    for team, count in running.items():
        team_use(board, team).running_elsewhere += count
    board.queue.peers_teams[peer] = running
