"""Decision on which runner processes this incarnation of the instance may use.

A runner keeps fences in memory only. An instance that was partitioned may have
been considered gone and fenced by its peers, and callers may have been told that
its waiting tasks did not run. A runner that restarts afterwards has lost the
fence and would start these tasks. Therefore a runner process that is first seen
while a fence is possible is not trusted: it gets no work until a process that
was known earlier has accepted a task. A fence that is completed only after that
includes the new process too.
"""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    AuthorityLost,
    Blackboard,
    Controller,
    Event,
    IncarnationFenced,
    Started,
    register_controller,
)
from sassafrasloft.jobs import TaskKey
from sassafrasloft.state import Health, RunnerState

UNTRUSTED_TIMEOUT_MS: Milliseconds = 10_000
"""Time for which untrusted processes wait for a trusted one. All runners are probed
within 5 s after a partition, and some of them may be known from before."""


def assess_incarnation(board: Blackboard, state: RunnerState) -> None:
    """Decide whether a runner process that was first seen now may be given work."""
    _extend_unfenced_time(board)
    state.incarnation_seen_ms = board.now
    state.trusted = board.now - board.upstreams.unfenced_ms <= _unfenced_window_ms(
        board
    )
    if state.trusted:
        board.upstreams.untrusted.pop(state.settings.name, None)
    else:
        board.upstreams.untrusted[state.settings.name] = None
        board.log("WARNING", "runner_not_trusted_yet", runner=state.settings.name)


def record_task_completion(
    board: Blackboard, state: RunnerState, key: TaskKey, sent_ms: Milliseconds
) -> None:
    """Trust the processes seen before a trusted one was sent a task that it ran.

    Only tasks of the present incarnation of this instance count: a process that
    runs one had not been fenced when the task was sent.
    """
    own = f".{board.identity.incarnation}."
    if not state.trusted or own not in key.submission_id:
        return
    table = board.upstreams
    table.unfenced_ms = max(table.unfenced_ms, sent_ms)
    for name in list(table.untrusted):
        other = table.runners.get(name)
        if other is None or other.incarnation_seen_ms <= sent_ms:
            del table.untrusted[name]
            if other is not None:
                other.trusted = True


def _unfenced_window_ms(board: Blackboard) -> Milliseconds:
    """Return how long after a lease renewal no peer considers this instance gone."""
    service = board.settings.service
    window_ms = service.platform.lease_ms + service.membership.gone_after_ms
    return window_ms - service.platform.call_timeout_ms


def _extend_unfenced_time(board: Blackboard) -> None:
    """Extend the unfenced time to the last lease renewal.

    The renewal proves nothing if a fence was already possible before it.
    """
    renewed_ms = board.platform.lease_renewed_ms
    table = board.upstreams
    if (
        table.unfenced_ms
        <= renewed_ms
        <= table.unfenced_ms + _unfenced_window_ms(board)
    ):
        table.unfenced_ms = renewed_ms


@register_controller("upstreams.trust", 41)
class TrustController(Controller):
    """Tracks until when the present incarnation is known not to be fenced."""

    handles = (Started, AuthorityLost)

    def __init__(self) -> None:
        self._renewal_requested_for = ""

    def react(self, event: Event, board: Blackboard) -> None:
        """Trust all runners again, since no peer can have fenced a new incarnation."""
        table = board.upstreams
        table.unfenced_ms = board.now
        table.untrusted.clear()
        for state in table.runners.values():
            state.trusted = True

    def settle(self, board: Blackboard) -> None:
        """Request a new incarnation if no trusted runner is left to take work."""
        _extend_unfenced_time(board)
        table = board.upstreams
        if not table.untrusted:
            return
        incarnation_seen_ms = [
            table.runners[name].incarnation_seen_ms
            for name in table.untrusted
            if name in table.runners
        ]
        if (
            board.now - min(incarnation_seen_ms, default=board.now)
            < UNTRUSTED_TIMEOUT_MS
        ):
            return
        is_work_possible = any(
            state.trusted and state.incarnation and state.health is Health.HEALTHY
            for state in table.runners.values()
        )
        own = board.identity.incarnation
        if not is_work_possible and self._renewal_requested_for != own:
            self._renewal_requested_for = own
            board.post(IncarnationFenced(own))
