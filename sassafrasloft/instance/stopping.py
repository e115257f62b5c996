"""The planned stop of an instance, which interrupts no request."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseCallers, ExitProcess
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import StopRequested
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.leadership import Role

CHECK_TIMER = "stopping.check"
CHECK_PERIOD_MS = 50
"""Period of the check whether all requests are answered."""


@CONTROLLERS.register("stopping", order=5)
class StoppingController(Controller):
    """Runs the planned stop; the only writer of `board.stopping`.

    The instance first waits until the load balancer sends no new connections, then
    closes its listener, and exits once all requests are answered and no other
    instance depends on it as the scheduler, or at the time limit.
    """

    handles = (StopRequested, TimerFired)

    def __init__(self) -> None:
        self._listener_closed_at = -1

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Begin the stop on request, and exit once no request is open."""
        stopping = board.stopping
        if isinstance(event, StopRequested):
            if not stopping.requested:
                stopping.requested_at = board.now
                board.log("stop_requested", open_requests=board.requests.count)
                board.set_timer(CHECK_TIMER, CHECK_PERIOD_MS)
        elif isinstance(event, TimerFired) and event.name == CHECK_TIMER:
            self._advance_stop(board)

    def _advance_stop(self, board: InstanceBoard) -> None:
        board.set_timer(CHECK_TIMER, CHECK_PERIOD_MS)
        elapsed_ms = board.now - board.stopping.requested_at
        tuning = board.tuning
        if elapsed_ms < tuning.ready_before_exit_ms:
            return
        if self._listener_closed_at < 0:
            self._listener_closed_at = board.now
            board.emit(CloseCallers())
        closed_ms = board.now - self._listener_closed_at
        if closed_ms < tuning.closed_before_exit_ms:
            return
        idle = board.requests.count == 0
        if (idle and not _is_needed(board)) or elapsed_ms >= tuning.longest_stop_ms:
            board.log(
                "stopped", open_requests=board.requests.count, after_ms=elapsed_ms
            )
            board.auditor.check(
                InstanceInvariant.PLANNED_STOP_CUTS_NOTHING,
                idle,
                f"{board.requests.count} requests are unanswered",
            )
            board.emit(ExitProcess())


def _is_needed(board: InstanceBoard) -> bool:
    """Return whether other instances depend on this one as their scheduler.

    One that holds leadership waits until another instance has taken over. An acting one
    cannot hand over while its zone is cut off, and waits until it reaches a scheduler.
    """
    leadership = board.leadership
    if leadership.role is Role.SCHEDULING:
        return bool(leadership.members[1:])
    if leadership.role is Role.ACTING:
        return any(one.follower for one in leadership.streams.values())
    return False
