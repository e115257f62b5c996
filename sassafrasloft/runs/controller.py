"""Keeps runs on runners alive and learns of their ends."""

from sassafrasloft.blackboard import Controller, Event, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    RightGained,
    RightLost,
    RunAccepted,
    RunFinished,
    RunnerReplied,
    RunnersListed,
    StopTask,
    TaskPlaced,
    ZoneReturned,
)
from sassafrasloft.runs import health, holding
from sassafrasloft.runs.orders import (
    HoldReply,
    OrderOutcome,
    RunEnd,
    StartReply,
    StartRun,
    StopReply,
    StopRun,
)
from sassafrasloft.runs.runners import Run, RunnerEntry, RunnerView, RunState

SWEEP_TIMER = "runs.sweep"
SWEEP_MS = 25
"""Period of the check for lapsed leases and overdue runs, in milliseconds."""


@CONTROLLERS.register("runs", order=40)
class RunsController(Controller):
    """Owns `board.pool`."""

    handles = (
        RightGained,
        RightLost,
        RunnersListed,
        RunnerReplied,
        TaskPlaced,
        StopTask,
        TimerFired,
        ZoneReturned,
    )

    def __init__(self) -> None:
        self._calls: holding.Calls = {}

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle replies of runners, new lists and changes of the right."""
        if isinstance(event, RunnerReplied):
            self._take_reply(event, board)
        elif isinstance(event, TaskPlaced):
            self._start(event.run, event.spec, board)
        elif isinstance(event, StopTask):
            view = board.pool.runners.get(event.run.runner_id)
            if view is not None and view.runs.get(event.run.task) is event.run:
                self.stop(view, event.run, board)
        elif isinstance(event, TimerFired):
            if event.name == SWEEP_TIMER and board.pool.active:
                self._sweep(board)
        elif isinstance(event, RunnersListed):
            self._take_list(event.entries, board)
        elif isinstance(event, RightGained):
            self._activate(event, board)
        elif isinstance(event, RightLost):
            self._deactivate(event, board)
        elif isinstance(event, ZoneReturned):
            self._contact_zone(event.zone, board)

    # The right to give orders

    def _activate(self, event: RightGained, board: InstanceBoard) -> None:
        pool = board.pool
        pool.acting = event.acting
        if pool.active:
            self._renew_token(event, board)
            return
        pool.active = True
        pool.zone = event.zone
        pool.activated_at = board.now
        pool.runners.clear()
        pool.live_runs.clear()
        pool.orphans.clear()
        self._calls.clear()
        for entry in pool.entries.values():
            self._see(entry, board)
        board.set_timer(SWEEP_TIMER, SWEEP_MS)

    def _renew_token(self, event: RightGained, board: InstanceBoard) -> None:
        """Go on with a new token or with fewer runners; runs are not affected."""
        pool = board.pool
        pool.zone = event.zone
        for view in list(pool.runners.values()):
            self._contact_again(view, board)
        for entry in pool.entries.values():
            self._see(entry, board)

    def _deactivate(self, event: RightLost, board: InstanceBoard) -> None:
        pool = board.pool
        pool.active = False
        pool.zone = ""
        pool.runners.clear()
        pool.live_runs.clear()
        pool.orphans.clear()
        self._calls.clear()

    def _contact_zone(self, zone: str, board: InstanceBoard) -> None:
        for view in board.pool.runners.values():
            if view.entry.zone == zone:
                self._contact_again(view, board)

    def _contact_again(self, view: RunnerView, board: InstanceBoard) -> None:
        """Show a runner the fencing token in force and ask what it runs."""
        view.fenced = False
        view.contacted = False
        view.out_of_touch_since = board.now
        holding.look(view, board, self._calls)

    # The list of runners

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
        pool.changed = True

    def _entries_may_be_missing(self, board: InstanceBoard) -> bool:
        """Return whether entries that lapsed in an outage may not be back yet."""
        regained = board.configuration.store_regained_at
        age = board.now - regained
        return regained >= 0 and age < board.tuning.missing_grace_ms

    def _see(self, entry: RunnerEntry, board: InstanceBoard) -> None:
        pool = board.pool
        if pool.zone and entry.zone != pool.zone:
            return
        view = pool.runners.get(entry.runner_id)
        if view is not None and _is_older(view, entry):
            return
        if view is not None and _is_restarted(view, entry):
            self._give_up_runner(view, "restarted under the same id", board)
            view = None
        if view is None:
            view = RunnerView(entry, entry.capacity, out_of_touch_since=board.now)
            pool.runners[entry.runner_id] = view
            holding.look(view, board, self._calls)
            return
        if entry.draining and not view.entry.draining:
            board.log("runner_draining", runner=entry.runner_id)
        view.missing_since = -1
        if entry.capacity != view.entry.capacity:
            grown = entry.capacity.minus(view.entry.capacity)
            view.free = view.free.plus(grown)
        view.entry = entry

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
        """Forget a runner whose runs are certainly over, or no longer ours."""
        board.log("runner_gone", runner=view.runner_id, reason=reason)
        for run in list(view.runs.values()):
            self._finish(view, run, RunEnd.LAPSED, reason, board)
        board.pool.runners.pop(view.runner_id, None)

    # Replies

    def _take_reply(self, event: RunnerReplied, board: InstanceBoard) -> None:
        call = self._calls.pop(event.call_id, None)
        if call is None:
            return
        run = call.run
        view = board.pool.runners.get(call.runner_id)
        if view is None:
            return
        holding.note_answer(view, event, call.kind, board)
        reply = event.reply
        in_force = board.rights.token_for(view.entry.zone)
        if reply.outcome is OrderOutcome.FENCED and call.token == in_force:
            self._note_fence(view, board)
        if reply.outcome is OrderOutcome.OTHER_INCARNATION and call.kind != "start":
            self._note_restart(view, board)
        if isinstance(reply, HoldReply):
            self._take_hold(view, event.call_id, reply, board)
        elif isinstance(reply, StartReply) and run is not None:
            self._take_start(view, run, reply, board)
        elif isinstance(reply, StopReply) and run is not None:
            self._take_stop(view, run, reply, board)

    def _note_fence(self, view: RunnerView, board: InstanceBoard) -> None:
        if not view.fenced:
            view.fenced = True
            view.fenced_at = board.now
            board.log("runner_fenced", "WARNING", runner=view.runner_id)

    def _note_restart(self, view: RunnerView, board: InstanceBoard) -> None:
        """Forget the incarnation that was known; the list brings the new one."""
        self._give_up_runner(view, "another incarnation answers", board)

    def _take_start(
        self, view: RunnerView, run: Run, reply: StartReply, board: InstanceBoard
    ) -> None:
        outcome = reply.outcome
        if run.task not in view.runs or view.runs[run.task] is not run:
            return
        if outcome is OrderOutcome.DONE:
            run.accepted_at = board.now
            run.accepted_id = board.fresh_id()
            if run.state in (RunState.STARTING, RunState.UNCERTAIN):
                run.state = RunState.RUNNING
            board.post(RunAccepted(run))
        elif outcome is OrderOutcome.UNKNOWN:
            if run.state is RunState.STARTING:
                run.state = RunState.UNCERTAIN
                board.count("starts_unanswered")
            self.stop(view, run, board)
        else:
            health.note_rejection(view, outcome, board)
            self._finish(view, run, None, outcome.value, board)
            if outcome is OrderOutcome.NO_ROOM:
                holding.look(view, board, self._calls)

    def _take_stop(
        self, view: RunnerView, run: Run, reply: StopReply, board: InstanceBoard
    ) -> None:
        if view.runs.get(run.task) is not run:
            return
        if reply.outcome is OrderOutcome.DONE:
            run.stop_confirmed_id = board.fresh_id()
            holding.look(view, board, self._calls)
        elif reply.outcome in (OrderOutcome.UNKNOWN, OrderOutcome.NOT_SENT):
            self.stop(view, run, board)

    def _take_hold(
        self,
        view: RunnerView,
        call_id: int,
        reply: HoldReply,
        board: InstanceBoard,
    ) -> None:
        if view.hold_call == call_id:
            view.hold_call = 0
        if reply.outcome is not OrderOutcome.DONE:
            return
        if holding.is_new_process(view, reply):
            self._give_up_runner(view, "restarted under the same id", board)
            return
        first = not view.contacted
        view.contacted = True
        view.born_at_ms = max(view.born_at_ms, reply.started_at_ms)
        if first:
            view.contacted_at = board.now
            board.log("runner_contacted", runner=view.runner_id)
        self._take_ends(view, reply, board)
        self._compare_running(view, reply, call_id, board)
        self._stop_orphans(board)
        holding.continue_holding(view, board, self._calls)
        board.pool.changed = True

    def _take_ends(
        self, view: RunnerView, reply: HoldReply, board: InstanceBoard
    ) -> None:
        for ended in reply.ended:
            if ended.end_number <= view.seen_end:
                continue
            view.seen_end = ended.end_number
            run = view.runs.get(ended.task)
            if run is not None and run.number == ended.number:
                health.note_end(view, run, ended.end, board)
                self._finish(view, run, ended.end, "listed by its runner", board)
            else:
                orphan = board.pool.orphans.get(ended.task)
                if orphan is not None and orphan.number == ended.number:
                    del board.pool.orphans[ended.task]
                    view.remove(orphan)

    def _compare_running(
        self, view: RunnerView, reply: HoldReply, call_id: int, board: InstanceBoard
    ) -> None:
        listed = {one.task: one for one in reply.running}
        for run in list(view.runs.values()):
            one = listed.pop(run.task, None)
            if one is not None and one.number == run.number:
                self._note_running(run, one.percent_done, board)
                continue
            if one is not None:
                self._stop_unknown(view, one.task, one.number, board)
            if _certainly_absent(run, call_id):
                self._finish(view, run, _absent_end(run), "not listed", board)
        for one in listed.values():
            if holding.in_takeover(view, board):
                holding.note_orphan(view, one, board)
            else:
                self._stop_unknown(view, one.task, one.number, board)

    def _note_running(self, run: Run, percent: float, board: InstanceBoard) -> None:
        run.percent_done = percent
        run.percent_read_at = board.now
        if run.state in (RunState.STARTING, RunState.UNCERTAIN):
            run.state = RunState.RUNNING
            run.accepted_at = board.now
            run.accepted_id = board.fresh_id()
            board.post(RunAccepted(run))

    def _stop_unknown(
        self, view: RunnerView, task: str, number: int, board: InstanceBoard
    ) -> None:
        board.count("unknown_runs_stopped")
        order = StopRun(board.rights.token_for(view.entry.zone), task, number)
        holding.call_runner(view, "stop_unknown", order, None, board, self._calls)

    # Orders

    def _start(self, run: Run, spec: str, board: InstanceBoard) -> None:
        view = board.pool.runners[run.runner_id]
        token = board.rights.token_for(view.entry.zone)
        lease = holding.lease_end(view, board)
        order = StartRun(token, run.task, run.number, spec, lease)
        timeout = board.tuning.start_timeout_ms
        holding.call_runner(view, "start", order, run, board, self._calls, timeout)
        holding.continue_holding(view, board, self._calls)

    def stop(self, view: RunnerView, run: Run, board: InstanceBoard) -> None:
        """Stop a run; repeated until the runner answers or the lease ends."""
        if run.state is not RunState.UNCERTAIN:
            run.state = RunState.STOPPING
        if board.now >= run.lease_until:
            return
        order = StopRun(board.rights.token_for(view.entry.zone), run.task, run.number)
        holding.call_runner(view, "stop", order, run, board, self._calls)

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

    # Periodic checks

    def _sweep(self, board: InstanceBoard) -> None:
        board.set_timer(SWEEP_TIMER, SWEEP_MS)
        for view in list(board.pool.runners.values()):
            self._end_lapsed(view, board)
            if not view.fenced:
                holding.keep_holding(view, board, self._calls)
                if health.report_overdue(view, board):
                    holding.look(view, board, self._calls)
        self._stop_orphans(board)

    def _end_lapsed(self, view: RunnerView, board: InstanceBoard) -> None:
        tuning = board.tuning
        # Another scheduler that has taken the runner may keep its runs this long.
        taken = tuning.orphan_grace_ms + tuning.stop_ms
        for run in list(view.runs.values()):
            if board.now > run.lease_until + tuning.lapse_margin_ms + taken:
                board.count("runs_lapsed")
                self._finish(view, run, RunEnd.LAPSED, "its lease ended", board)

    def _stop_orphans(self, board: InstanceBoard) -> None:
        grace = 0 if board.pool.acting else board.tuning.orphan_grace_ms
        for orphan in list(board.pool.orphans.values()):
            if board.now - orphan.sent_at < grace:
                continue
            view = board.pool.runners.get(orphan.runner_id)
            if view is None:
                del board.pool.orphans[orphan.task]
            elif orphan.state is not RunState.STOPPING:
                self.stop(view, orphan, board)


def _is_older(view: RunnerView, entry: RunnerEntry) -> bool:
    return 0 <= entry.started_at_ms < view.born_at_ms


def _is_restarted(view: RunnerView, entry: RunnerEntry) -> bool:
    known = max(view.born_at_ms, view.entry.started_at_ms)
    return entry.address != view.entry.address or 0 <= known < entry.started_at_ms


def _certainly_absent(run: Run, call_id: int) -> bool:
    """Return whether a list asked for by a call would show the run if it were there.

    Times in milliseconds do not tell the order of calls.
    """
    if run.stop_confirmed_id:
        return run.stop_confirmed_id < call_id
    return 0 < run.accepted_id < call_id


def _absent_end(run: Run) -> RunEnd | None:
    """Return how a run ended that a runner no longer lists."""
    if run.accepted_at < 0:
        return None
    return RunEnd.STOPPED if run.stop_confirmed_id else RunEnd.LAPSED
