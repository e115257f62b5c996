"""A planned stop that cuts off no request."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.commands import CloseCallers, ExitProcess
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import StopRequested
from sassafrasloft.invariants import InstanceInvariant
from sassafrasloft.leadership import Role

CHECK_TIMER = "stopping.check"
CHECK_MS = 50
"""Period of the check whether all requests have their answers, in milliseconds."""


@CONTROLLERS.register("stopping", order=5)
class StoppingController(Controller):
    """Owns `board.stopping`."""

    handles = (StopRequested, TimerFired)

    def __init__(self) -> None:
        self._closed_at = -1

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Begin the stop, and end the process once nothing is open."""
        stopping = board.stopping
        if isinstance(event, StopRequested):
            if not stopping.requested:
                stopping.requested_at = board.now
                board.log("stop_requested", open_requests=board.requests.count)
                board.set_timer(CHECK_TIMER, CHECK_MS)
        elif isinstance(event, TimerFired) and event.name == CHECK_TIMER:
            self._check(board)

    def _check(self, board: InstanceBoard) -> None:
        board.set_timer(CHECK_TIMER, CHECK_MS)
        elapsed = board.now - board.stopping.requested_at
        tuning = board.tuning
        if elapsed < tuning.ready_before_exit_ms:
            return
        if self._closed_at < 0:
            self._closed_at = board.now
            board.emit(CloseCallers())
        closed_for = board.now - self._closed_at
        if closed_for < tuning.closed_before_exit_ms:
            return
        idle = board.requests.count == 0
        scheduling = board.rights.role is Role.SCHEDULING and board.rights.roster[1:]
        if (idle and not scheduling) or elapsed >= tuning.longest_stop_ms:
            board.log("stopped", open_requests=board.requests.count, after_ms=elapsed)
            board.auditor.check(
                InstanceInvariant.PLANNED_STOP_CUTS_NOTHING,
                idle,
                f"{board.requests.count} requests have no answer",
            )
            board.emit(ExitProcess())
