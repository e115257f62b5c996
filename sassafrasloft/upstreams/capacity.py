"""Tracking of the incarnation and the free slots of each runner."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import Blackboard
from sassafrasloft.jobs import RunnerCapacity
from sassafrasloft.messages import Gossip
from sassafrasloft.state import Health, RunnerState
from sassafrasloft.upstreams.leaving import mark_leaving
from sassafrasloft.upstreams.settling import query_tasks
from sassafrasloft.upstreams.trust import assess_incarnation

MAX_TRANSIT_MS: Milliseconds = 5
"""A reply may not yet count tasks sent less than this time before it arrived: a
round trip between availability zones takes 2 to 3 ms."""


def connection_share(board: Blackboard, state: RunnerState) -> int:
    """Return how many open deliveries to a runner this instance may have."""
    instances = max(1, len(board.settings.service.instances))
    return max(1, state.settings.connections // instances)


def record_capacity(
    board: Blackboard, state: RunnerState, capacity: RunnerCapacity
) -> None:
    """Update the state of a runner from the capacity that it reported in a reply."""
    if capacity.runner_incarnation != state.incarnation:
        _adopt_incarnation(board, state, capacity.runner_incarnation)
    horizon = board.now - MAX_TRANSIT_MS
    recent = [sent for sent in state.recent_sends if sent > horizon]
    state.recent_sends = recent
    arrived = max(0, len(state.in_flight) - len(recent))
    used = max(0, state.settings.slots - capacity.free_slots) + capacity.waiting
    state.others_running = max(0, used - arrived)
    state.free_slots = capacity.free_slots
    state.free_known_ms = board.now
    if capacity.free_slots > 0:
        state.busy_until_ms = 0
    if capacity.leaving:
        mark_leaving(board, state, "reply")


def discard_incarnation(board: Blackboard, state: RunnerState) -> None:
    """Send a runner no tasks until a probe returns its present incarnation."""
    state.incarnation = ""
    state.free_known_ms = -1
    board.upstreams.probe_due[state.settings.name] = board.now


def replace_peer_gossip(board: Blackboard, peer: str, gossip: Gossip | None) -> None:
    """Replace the running tasks counted from a peer's previous gossip.

    Without a new gossip, the tasks of the peer are no longer counted.
    """
    table = board.upstreams
    old = table.peers_gossip.pop(peer, None)
    if old is not None:
        for name, count in old.running_by_runner.items():
            state = table.runners.get(name)
            if state is not None:
                state.peers_running = max(0, state.peers_running - count)
    if gossip is None:
        table.peers_heard_ms.pop(peer, None)
        return
    table.peers_gossip[peer] = gossip
    table.peers_heard_ms[peer] = board.now
    for name, count in gossip.running_by_runner.items():
        state = table.runners.get(name)
        if state is not None:
            state.peers_running += count


def discard_stale_gossip(board: Blackboard) -> None:
    """Discard the gossip of peers that have exceeded the heartbeat timeout."""
    silence_ms = board.settings.service.membership.peer_silence_ms
    heard = board.upstreams.peers_heard_ms
    silent = [peer for peer, at in heard.items() if board.now - at > silence_ms]
    for peer in silent:
        replace_peer_gossip(board, peer, None)


def _adopt_incarnation(board: Blackboard, state: RunnerState, incarnation: str) -> None:
    old, state.incarnation = state.incarnation, incarnation
    assess_incarnation(board, state)
    ejected = state.health is Health.EJECTED
    state.leaving = False
    state.leaving_source = ""
    state.leaving_since_ms = -1
    state.health = Health.HEALTHY
    state.reason = ""
    state.consecutive_failures = 0
    state.failure_share = 0.0
    state.ended_tasks = 0
    state.last_failed_job = ""
    state.peers_ejecting = 0
    state.on_probation = ejected
    state.busy_until_ms = 0
    board.upstreams.probe_due.pop(state.settings.name, None)
    lost = [
        key
        for key, entry in state.in_flight.items()
        if entry.runner_incarnation != incarnation
    ]
    if old and old != incarnation:
        board.log("WARNING", "runner_restarted", runner=state.settings.name)
    query_tasks(board, state, lost)
