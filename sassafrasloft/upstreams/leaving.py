"""Detection of runners that are leaving, from whichever source reports it first."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    PeerMessageReceived,
    PlatformReplied,
    register_controller,
)
from sassafrasloft.invariants import Invariant
from sassafrasloft.messages import Gossip
from sassafrasloft.state import RunnerState
from sassafrasloft.upstreams.gossip import gossip_of

LEAVING_GRACE_MS: Milliseconds = 3_000
"""Time after the first notice in which deliveries are still tolerated; the service
guarantees that a leaving runner gets no work after a few seconds."""
LEAVING_PROBE_DELAY_MS: Milliseconds = 10_000
"""Interval of the probes of a leaving runner, which detect a restart by its new
incarnation."""


def mark_leaving(board: Blackboard, state: RunnerState, source: str) -> None:
    """Mark a runner as leaving: it gets no work until it has a new incarnation."""
    if state.leaving:
        return
    state.leaving = True
    state.leaving_since_ms = board.now
    state.leaving_source = source
    name = state.settings.name
    board.metrics.add(f"runners_leaving_by_{source}")
    board.log("INFO", "runner_leaving", runner=name, source=source)
    board.upstreams.probe_due.setdefault(name, board.now + LEAVING_PROBE_DELAY_MS)


def assert_not_leaving(board: Blackboard, state: RunnerState) -> None:
    """Check the invariant `leaving_gets_no_work` when a delivery is emitted.

    The check uses the time of the first notice instead of the flag by which
    placement skips the runner, so that it also detects a lost flag.
    """
    since_ms = state.leaving_since_ms
    holds = since_ms < 0 or board.now - since_ms <= LEAVING_GRACE_MS
    detail = f"{state.settings.name} is known to be leaving since {since_ms} ms"
    board.auditor.check(Invariant.LEAVING_GETS_NO_WORK, holds, detail)


@register_controller("upstreams.leaving", 46)
class LeavingController(Controller):
    """Detects leaving runners in the platform's list and in the gossip of peers."""

    handles = (PlatformReplied, PeerMessageReceived)

    def __init__(self) -> None:
        self._applied_list_ms: Milliseconds = -1

    def react(self, event: Event, board: Blackboard) -> None:
        """Mark the runners that the list or a peer reports as leaving."""
        if isinstance(event, PlatformReplied):
            self._apply_instance_list(board)
        elif isinstance(event, PeerMessageReceived):
            gossip = gossip_of(event, board)
            if gossip is not None:
                self._apply_gossip(gossip, board)

    def _apply_instance_list(self, board: Blackboard) -> None:
        if board.platform.listed_ms == self._applied_list_ms:
            return
        self._applied_list_ms = board.platform.listed_ms
        for name, state in board.upstreams.runners.items():
            entry = board.platform.listed.get(f"runner/{name}")
            if entry is None:
                continue
            if entry.incarnation and entry.incarnation != state.incarnation:
                continue  # The list is outdated: it names another process.
            if entry.state == "leaving":
                mark_leaving(board, state, "list")
            elif entry.state == "live" and state.leaving_source == "list":
                state.leaving = False
                state.leaving_source = ""
                state.leaving_since_ms = -1

    def _apply_gossip(self, gossip: Gossip, board: Blackboard) -> None:
        for notice in gossip.runners_leaving:
            state = board.upstreams.runners.get(notice.runner)
            if state is not None and state.incarnation == notice.runner_incarnation:
                mark_leaving(board, state, "gossip")
