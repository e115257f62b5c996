"""Estimates of the free slots of a runner from this instance's information."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard
from sassafrasloft.state import Health, RunnerState
from sassafrasloft.upstreams import connection_share


def usable(board: Blackboard, state: RunnerState) -> bool:
    """Return whether tasks may be sent to a runner at present."""
    return (
        state.health is Health.HEALTHY
        and state.trusted
        and not state.leaving
        and not state.retired
        and state.incarnation != ""
        and board.now >= state.busy_until_ms
        and not (state.on_probation and state.in_flight)
    )


def connection_capacity(board: Blackboard, state: RunnerState, group: int) -> int:
    """Return how many tasks can be delivered over the free connections."""
    open_connections = connection_share(board, state) - len(state.deliveries)
    if state.on_probation:
        return min(1, open_connections)
    return open_connections * group


def estimated_free(
    board: Blackboard, state: RunnerState, reply_trusted_ms: Milliseconds
) -> int:
    """Return the free slots according to the last reply, or gossip if it is stale."""
    free = state.settings.slots - len(state.in_flight)
    age_ms = board.now - state.free_known_ms
    if state.free_known_ms >= 0 and age_ms <= reply_trusted_ms:
        return free - state.others_running
    return free - state.peers_running
