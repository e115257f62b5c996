"""Keeps runs on runners alive and learns of their ends."""

from sassafrasloft.blackboard import Event, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    RightGained,
    RightLost,
    RunAccepted,
    RunnerReplied,
    RunnersListed,
    RunnersOffered,
    StopTask,
    TaskPlaced,
    ZoneReturned,
)
from sassafrasloft.runs import health, holding
from sassafrasloft.runs.contacts import IN_EACH_SWEEP
from sassafrasloft.runs.orders import (
    HoldReply,
    OrderOutcome,
    RunEnd,
    StartReply,
    StartRun,
    StopReply,
    StopRun,
)
from sassafrasloft.runs.runner_list import SWEEP_MS, SWEEP_TIMER, RunnerKeeper
from sassafrasloft.runs.runners import Run, RunnerView, RunState


@CONTROLLERS.register("runs", order=40)
class RunsController(RunnerKeeper):
    """Owns `board.pool`."""

    handles = (
        RightGained,
        RightLost,
        RunnersListed,
        RunnersOffered,
        RunnerReplied,
        TaskPlaced,
        StopTask,
        TimerFired,
        ZoneReturned,
    )

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
        elif isinstance(event, RunnersOffered):
            self._take_offer(event.entries, board)
        elif isinstance(event, RightGained):
            self._activate(event, board)
        elif isinstance(event, RightLost):
            self._deactivate(event, board)
        elif isinstance(event, ZoneReturned):
            self._contact_zone(event.zone, board)

    def _take_reply(self, event: RunnerReplied, board: InstanceBoard) -> None:
        call = self._calls.pop(event.call_id, None)
        if call is None:
            return
        run = call.run
        view = board.pool.runners.get(call.runner_id)
        if view is None:
            return
        holding.note_answer(view, event, call, board)
        if self._contacts.note_answer(view.runner_id):
            self._contact_next(board)
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
            run.progress_at = max(run.progress_at, board.now)
            view.lost_starts = 0
            if run.state in (RunState.STARTING, RunState.UNCERTAIN):
                run.state = RunState.RUNNING
            board.post(RunAccepted(run))
        elif outcome is OrderOutcome.UNKNOWN:
            if run.state is RunState.STARTING:
                run.state = RunState.UNCERTAIN
                board.count("starts_unanswered")
                health.note_lost_start(view, board)
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
        if 0 <= reply.started_at_ms < view.born_at_ms:
            return  # Of a former process, and overtaken.
        if holding.is_new_process(view, reply):
            view = self._replace_process(view, reply, call_id, board)
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

    def _replace_process(
        self,
        view: RunnerView,
        reply: HoldReply,
        call_id: int,
        board: InstanceBoard,
    ) -> RunnerView:
        """Go on with a runner's new process and the runs that it may have."""
        board.log("runner_restarted", runner=view.runner_id, runs=len(view.runs))
        listed = {(one.task, one.number) for one in reply.running}
        for run in list(view.runs.values()):
            if (run.task, run.number) in listed or not _certainly_absent(run, call_id):
                continue
            self._finish(view, run, RunEnd.LAPSED, "its runner restarted", board)
        fresh = RunnerView(view.entry, view.entry.capacity)
        for run in view.runs.values():
            fresh.add(run)
        fresh.lease_until = view.lease_until
        holding.learn_clock(fresh, reply.runner_clock_ms, board.now)
        board.pool.runners[fresh.runner_id] = fresh
        return fresh

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
        run.note_progress(percent, board.now)
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

    def _sweep(self, board: InstanceBoard) -> None:
        board.set_timer(SWEEP_TIMER, SWEEP_MS)
        self._contact_next(board, IN_EACH_SWEEP)
        for view in list(board.pool.runners.values()):
            self._end_lapsed(view, board)
            if not view.fenced and view.runner_id not in self._contacts:
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
