"""Recovery after a crash: when runners are fenced and who then gets answers."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    FenceReported,
    PeerMessageReceived,
    TimerFired,
    register_controller,
)
from sassafrasloft.messages import FenceResult, Gossip
from sassafrasloft.state import SeenIncarnation
from sassafrasloft.submissions.fencing import (
    FENCE_TIMER,
    add_report,
    adopt_result,
    begin_fence,
    finish_fence,
    recovery_done,
)
from sassafrasloft.submissions.forwarding import (
    request_of_pending,
    route_elsewhere,
)
from sassafrasloft.submissions.ids import owner_key, parse_submission_id
from sassafrasloft.submissions.owners import find_owner

OBSERVE_PERIOD_MS: Milliseconds = 500
"""How often incarnations of runners are noted."""


MAX_CLOCK_OFFSETS = 1_000
"""Incarnations of peers whose clock is known; oldest out."""


@register_controller("submissions.recovery", 33)
class RecoveryController(Controller):
    """Fences ended incarnations and answers the requests that wait for it."""

    handles = (FenceReported, PeerMessageReceived, TimerFired)

    def react(self, event: Event, board: Blackboard) -> None:
        """Handle a reply of a runner, a result of a peer or a timer."""
        match event:
            case FenceReported():
                self._reported(event, board)
            case PeerMessageReceived(message=FenceResult()):
                key = owner_key(event.message.instance, event.message.incarnation)
                if adopt_result(board, key, event.message):
                    _answer_parked(board)
            case PeerMessageReceived(message=Gossip()):
                note_clock(board, event.message)
            case TimerFired() if event.name.startswith(FENCE_TIMER):
                self._timer(event.name.removeprefix(FENCE_TIMER), board)

    def settle(self, board: Blackboard) -> None:
        """Note since when incarnations have been known."""
        observations = board.jobs.observations
        due_ms = observations.observed_ms + OBSERVE_PERIOD_MS
        if observations.observed_ms < 0 or board.now >= due_ms:
            observations.observed_ms = board.now
            _observe(board)

    def _reported(self, event: FenceReported, board: Blackboard) -> None:
        for key, fence in board.jobs.fences.items():
            if key.rpartition(".")[2] == event.incarnation and fence.begun:
                add_report(board, fence, event)
                if not fence.waiting and not fence.done:
                    finish_fence(board, key, fence)
                    _answer_parked(board)
                return

    def _timer(self, key: str, board: Blackboard) -> None:
        fence = board.jobs.fences.get(key)
        if fence is None or fence.done:
            return
        if not fence.begun:
            begin_fence(board, key, fence)
        else:
            finish_fence(board, key, fence)
            _answer_parked(board)


def _answer_parked(board: Blackboard) -> None:
    """Route the requests that wait for a recovery again."""
    for forward_id, pending in list(board.jobs.forwards.items()):
        if pending.peer:
            continue
        request = request_of_pending(pending)
        parsed = parse_submission_id(request.submission_id)
        submission_id = parsed.unwrap()
        owner = find_owner(board, submission_id)
        if owner.ended and not recovery_done(board, owner):
            continue
        del board.jobs.forwards[forward_id]
        route_elsewhere(board, request, submission_id)


def _observe(board: Blackboard) -> None:
    observations = board.jobs.observations
    for name, runner in board.upstreams.runners.items():
        seen = observations.runners.get(name)
        if runner.incarnation and (
            seen is None or seen.incarnation != runner.incarnation
        ):
            observations.runners[name] = SeenIncarnation(runner.incarnation, board.now)


def note_clock(board: Blackboard, gossip: Gossip) -> None:
    """Note how far a peer's clock is from the own one, by its fastest gossip."""
    if gossip.now_ms < 0:
        return
    offsets_ms = board.jobs.observations.clock_offsets_ms
    key = owner_key(gossip.instance, gossip.incarnation)
    offset_ms = board.now - gossip.now_ms
    offsets_ms[key] = min(offset_ms, offsets_ms.get(key, offset_ms))
    while len(offsets_ms) > MAX_CLOCK_OFFSETS:
        del offsets_ms[next(iter(offsets_ms))]
