"""Which runners there are, and what is forgotten with them."""

from sassafrasloft.blackboard import Controller
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import RightGained, RightLost, RunFinished
from sassafrasloft.runs import holding
from sassafrasloft.runs.contacts import ContactQueue
from sassafrasloft.runs.orders import RunEnd
from sassafrasloft.runs.runners import Run, RunnerEntry, RunnerView

SWEEP_TIMER = "runs.sweep"
SWEEP_MS = 25
"""Period of the check for lapsed leases and overdue runs, in milliseconds."""


class RunnerKeeper(Controller):
    """Follows the list of runners while this instance schedules."""

    def __init__(self) -> None:
        self._calls: holding.Calls = {}
        self._contacts = ContactQueue()

    def _activate(self, event: RightGained, board: InstanceBoard) -> None:
        pool = board.pool
        pool.acting = event.acting
        if pool.active:
            self._renew_token(event, board)
            return
        pool.active = True
        pool.zone = event.zone
        pool.away_factor = board.settings.away_factor
        pool.activated_at = board.now
        pool.runners.clear()
        pool.live_runs.clear()
        pool.orphans.clear()
        self._calls.clear()
        self._contacts.clear()
        for entry in pool.entries.values():
            self._see(entry, board)
        self._contact_next(board)
        board.set_timer(SWEEP_TIMER, SWEEP_MS)

    def _renew_token(self, event: RightGained, board: InstanceBoard) -> None:
        """Go on with a new token or with fewer runners; runs are not affected."""
        pool = board.pool
        pool.zone = event.zone
        for view in list(pool.runners.values()):
            self._contact_again(view, board)
        for entry in pool.entries.values():
            self._see(entry, board)
        self._contact_next(board)

    def _deactivate(self, event: RightLost, board: InstanceBoard) -> None:
        pool = board.pool
        pool.active = False
        pool.zone = ""
        pool.runners.clear()
        pool.live_runs.clear()
        pool.orphans.clear()
        self._calls.clear()
        self._contacts.clear()

    def _contact_zone(self, zone: str, board: InstanceBoard) -> None:
        for view in board.pool.runners.values():
            if view.entry.zone == zone:
                self._contact_again(view, board)
        self._contact_next(board)

    def _contact_again(self, view: RunnerView, board: InstanceBoard) -> None:
        """Show a runner the fencing token in force and ask what it runs."""
        view.fenced = False
        view.contacted = False
        view.out_of_touch_since = board.now
        self._contacts.add(view.runner_id)

    def _contact_next(self, board: InstanceBoard, least: int = 0) -> None:
        """Ask some of the runners that wait for it what they run."""
        for view in self._contacts.take(least, board.pool):
            holding.look(view, board, self._calls)

    def _take_list(
        self, entries: tuple[RunnerEntry, ...], board: InstanceBoard
    ) -> None:
        pool = board.pool
        listed = {entry.runner_id: entry for entry in entries}
        if self._entries_may_be_missing(board):
            listed = pool.entries | listed
        pool.entries = listed
        pool.entries_read_at = board.now
        if not pool.active:
            return
        for entry in pool.entries.values():
            self._see(entry, board)
        for view in list(pool.runners.values()):
            if view.runner_id not in pool.entries:
                self._note_missing(view, board)
        self._contact_next(board)
        pool.changed = True

    def _take_offer(
        self, entries: tuple[RunnerEntry, ...], board: InstanceBoard
    ) -> None:
        """Take runners whose entries lapsed before this instance read the list.

        What is offered later than entries take to come back has left.
        """
        pool = board.pool
        unknown = [one for one in entries if one.runner_id not in pool.entries]
        active_ms = board.now - pool.activated_at
        if not unknown or active_ms > board.tuning.missing_grace_ms:
            return
        board.log("runners_offered", count=len(unknown), known=len(pool.entries))
        pool.offered_at = board.now
        for entry in unknown:
            pool.entries[entry.runner_id] = entry
            if pool.active:
                self._see(entry, board)
        self._contact_next(board)

    def _entries_may_be_missing(self, board: InstanceBoard) -> bool:
        """Return whether entries that lapsed in an outage may not be back yet."""
        regained = board.configuration.store_regained_at
        latest = max(regained, board.pool.offered_at)
        return latest >= 0 and board.now - latest < board.tuning.missing_grace_ms

    def _see(self, entry: RunnerEntry, board: InstanceBoard) -> None:
        pool = board.pool
        if pool.zone and entry.zone != pool.zone:
            return
        view = pool.runners.get(entry.runner_id)
        if view is not None and _is_older(view, entry):
            return
        if view is not None and entry.address != view.entry.address:
            self._give_up_runner(view, "started again at another address", board)
            view = None
        restarted = view is not None and _is_restarted(view, entry)
        if view is None:
            view = RunnerView(entry, entry.capacity, out_of_touch_since=board.now)
            pool.runners[entry.runner_id] = view
            self._contacts.add(entry.runner_id)
            return
        if entry.draining and not view.entry.draining:
            board.log("runner_draining", runner=entry.runner_id)
        view.missing_since = -1
        if entry.capacity != view.entry.capacity:
            grown = entry.capacity.minus(view.entry.capacity)
            view.free = view.free.plus(grown)
        view.entry = entry
        if restarted:
            # The answer shows which runs the new process has.
            holding.look(view, board, self._calls)

    def _note_missing(self, view: RunnerView, board: InstanceBoard) -> None:
        if view.missing_since < 0:
            view.missing_since = board.now
            board.log("runner_missing", runner=view.runner_id)
            return
        gone = board.now - view.missing_since > board.tuning.missing_grace_ms
        if gone and not view.runs:
            board.pool.runners.pop(view.runner_id, None)
            board.log("runner_gone", runner=view.runner_id)

    def _give_up_runner(
        self, view: RunnerView, reason: str, board: InstanceBoard
    ) -> None:
        """Forget a runner whose process is certainly gone, and its runs."""
        board.log("runner_gone", runner=view.runner_id, reason=reason)
        for run in list(view.runs.values()):
            self._finish(view, run, RunEnd.LAPSED, reason, board)
        board.pool.runners.pop(view.runner_id, None)

    def _finish(
        self,
        view: RunnerView,
        run: Run,
        end: RunEnd | None,
        reason: str,
        board: InstanceBoard,
    ) -> None:
        view.remove(run)
        if board.pool.live_runs.get(run.task) is run:
            del board.pool.live_runs[run.task]
        board.pool.orphans.pop(run.task, None)
        board.pool.changed = True
        board.post(RunFinished(run, end, reason))


def _is_older(view: RunnerView, entry: RunnerEntry) -> bool:
    return 0 <= entry.started_at_ms < view.born_at_ms


def _is_restarted(view: RunnerView, entry: RunnerEntry) -> bool:
    known = max(view.born_at_ms, view.entry.started_at_ms)
    return 0 <= known < entry.started_at_ms
