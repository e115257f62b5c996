"""Starts and stops runs on runners, renews their leases and collects their results."""

from sassafrasloft.blackboard import Event, TimerFired
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.controllers import CONTROLLERS
from sassafrasloft.instance.events import (
    ConfigurationAdopted,
    EarlierRunDone,
    EvacuationsChanged,
    LeadershipGained,
    LeadershipLost,
    RunAccepted,
    RunnerEntryOutdated,
    RunnerReplied,
    RunnersListed,
    RunnersOffered,
    RunPlaced,
    RunStopRequested,
    SchedulerChanged,
    UnlistedRunnersReported,
    ZoneReclaimed,
)
from sassafrasloft.runs import health, polling, stops
from sassafrasloft.runs.contacts import MIN_CONTACTS_PER_SWEEP
from sassafrasloft.runs.orders import (
    CommandOutcome,
    EndedRun,
    PollReply,
    RunEnd,
    StartReply,
    StartRun,
    StopReply,
    StopRun,
)
from sassafrasloft.runs.runner_list import SWEEP_INTERVAL_MS, SWEEP_TIMER, RunnerTracker
from sassafrasloft.runs.runners import Run, RunnerView, RunState


@CONTROLLERS.register("runs", order=40)
class RunsController(RunnerTracker):
    """Owns `board.pool` and `board.unlisted_runners`."""

    handles = (
        ConfigurationAdopted,
        EvacuationsChanged,
        LeadershipGained,
        LeadershipLost,
        RunnersListed,
        RunnersOffered,
        RunnerReplied,
        RunPlaced,
        RunStopRequested,
        SchedulerChanged,
        TimerFired,
        UnlistedRunnersReported,
        ZoneReclaimed,
    )

    def react(self, event: Event, board: InstanceBoard) -> None:
        """Handle replies of runners, new runner lists and changes of leadership."""
        if isinstance(event, RunnerReplied):
            self._handle_reply(event, board)
        elif isinstance(event, RunPlaced):
            self._start_run(event.run, event.spec, board)
        elif isinstance(event, RunStopRequested):
            view = board.pool.runners.get(event.run.runner_id)
            if view is not None and view.runs.get(event.run.task) is event.run:
                stops.request_stop(view, event.run, board, self._calls)
        elif isinstance(event, TimerFired):
            if event.name == SWEEP_TIMER and board.pool.active:
                self._sweep(board)
        elif isinstance(event, ConfigurationAdopted):
            board.pool.guarded_services = frozenset(
                one.name for one in event.configuration.services if one.rejects_overload
            )
        elif isinstance(event, EvacuationsChanged):
            board.pool.evacuated_zones = board.evacuations.zones
            board.pool.changed = True
        elif isinstance(event, RunnersListed):
            self._apply_runner_list(event.entries, event.revision, board)
        elif isinstance(event, RunnersOffered):
            self._add_offered_runners(event, board)
        elif isinstance(event, UnlistedRunnersReported):
            board.unlisted_runners.apply_report(
                event.entries, event.list_revision, board.now
            )
        elif isinstance(event, SchedulerChanged):
            # After this time the runs of earlier schedulers have ended, or the new one
            # knows their runners.
            keep_until = board.now + polling.predecessor_lease_ms(board.tuning)
            board.unlisted_runners.begin_following(keep_until)
        elif isinstance(event, LeadershipGained):
            self._activate(event, board)
        elif isinstance(event, LeadershipLost):
            self._deactivate(event, board)
        elif isinstance(event, ZoneReclaimed):
            self._recontact_zone(event.zone, board)

    def _handle_reply(self, event: RunnerReplied, board: InstanceBoard) -> None:
        call = self._calls.pop(event.call_id, None)
        if call is None:
            return
        run = call.run
        view = board.pool.runners.get(call.runner_id)
        if view is None:
            return
        polling.record_reply(view, event, call, board)
        if self._contacts.record_reply(view.runner_id):
            self._contact_waiting_runners(board)
        reply = event.reply
        in_force = board.leadership.token_for(view.entry.zone)
        if reply.outcome is CommandOutcome.FENCED and call.token == in_force:
            self._mark_fenced(view, board)
        if reply.outcome is CommandOutcome.OTHER_INCARNATION and call.kind != "start":
            self._handle_other_incarnation(view, board)
        if isinstance(reply, PollReply):
            self._handle_poll_reply(view, event.call_id, call, reply, board)
        elif isinstance(reply, StartReply) and run is not None:
            self._handle_start_reply(view, run, reply, board)
        elif isinstance(reply, StopReply) and run is not None:
            stops.handle_stop_reply(view, run, reply.outcome, board, self._calls)

    def _mark_fenced(self, view: RunnerView, board: InstanceBoard) -> None:
        if not view.fenced:
            view.fenced = True
            view.fenced_at = board.now
            board.log("runner_fenced", "WARNING", runner=view.runner_id)

    def _handle_other_incarnation(self, view: RunnerView, board: InstanceBoard) -> None:
        """Drop the known incarnation; the runner list provides the new one."""
        self._drop_runner(view, "another incarnation replied", board)

    def _handle_start_reply(
        self, view: RunnerView, run: Run, reply: StartReply, board: InstanceBoard
    ) -> None:
        outcome = reply.outcome
        if run.task not in view.runs or view.runs[run.task] is not run:
            return
        if outcome is CommandOutcome.DONE:
            run.accepted_at = board.now
            run.accepted_sequence = board.fresh_id()
            run.last_progress_at = max(run.last_progress_at, board.now)
            view.lost_starts = 0
            if run.state in (RunState.STARTING, RunState.UNCERTAIN):
                run.state = RunState.RUNNING
            board.post(RunAccepted(run))
        elif outcome is CommandOutcome.UNKNOWN:
            if run.state is RunState.STARTING:
                run.state = RunState.UNCERTAIN
                board.count("starts_unanswered")
                health.record_lost_start(view, board)
            stops.request_stop(view, run, board, self._calls)
        else:
            health.record_rejection(view, outcome, board)
            self._finish_run(view, run, None, outcome.value, board)
            if outcome is CommandOutcome.NO_ROOM:
                polling.poll_now(view, board, self._calls)

    def _handle_poll_reply(
        self,
        view: RunnerView,
        call_id: int,
        call: polling.OpenCall,
        reply: PollReply,
        board: InstanceBoard,
    ) -> None:
        if view.long_poll_call == call_id:
            view.long_poll_call = 0
        if reply.outcome is not CommandOutcome.DONE:
            return
        if not polling.is_under_current_token(call, view, board):
            return  # The reply to the next poll repeats what it lists.
        if 0 <= reply.started_at_ms < view.process_started_at_ms:
            return  # A late reply of an earlier process.
        if polling.is_new_incarnation(view, reply):
            view = self._replace_incarnation(view, reply, call_id, board)
        elif board.crashes.has_restarted(view.runner_id, reply.started_at_ms):
            # Its entry had expired meanwhile, so that its view is a new one.
            self._record_crash(view, set(), board)
        else:
            board.crashes.record_reply(view.runner_id)
        polling.record_contact(view, board)
        view.process_started_at_ms = max(
            view.process_started_at_ms, reply.started_at_ms
        )
        if view.has_outdated_entry and view.entry_outdated_at < 0:
            view.entry_outdated_at = board.now
            board.post(RunnerEntryOutdated())
        self._apply_ended_runs(view, reply, board)
        self._reconcile_running(view, reply, call_id, board)
        self._stop_orphans(board)
        polling.ensure_long_poll(view, board, self._calls)
        board.pool.changed = True

    def _replace_incarnation(
        self,
        view: RunnerView,
        reply: PollReply,
        call_id: int,
        board: InstanceBoard,
    ) -> RunnerView:
        """Replace the view of a restarted runner; keep runs that it may still have."""
        board.log("runner_restarted", runner=view.runner_id, runs=len(view.runs))
        listed = {(one.task, one.number) for one in reply.running}
        unlisted = [
            run for run in view.runs.values() if (run.task, run.number) not in listed
        ]
        self._record_crash(view, {run.task for run in unlisted}, board)
        for run in unlisted:
            if not _is_certainly_absent(run, call_id):
                continue
            self._finish_run(
                view, run, RunEnd.LEASE_EXPIRED, "the runner restarted", board
            )
        new_view = RunnerView(view.entry, view.entry.capacity)
        for run in view.runs.values():
            new_view.add(run)
        new_view.unconfirmed_stops = view.unconfirmed_stops
        new_view.lease_until = view.lease_until
        polling.update_clock_offset(new_view, reply.runner_clock_ms, board.now)
        board.pool.runners[new_view.runner_id] = new_view
        return new_view

    def _apply_ended_runs(
        self, view: RunnerView, reply: PollReply, board: InstanceBoard
    ) -> None:
        for ended in reply.ended:
            if ended.end_number <= view.seen_end:
                continue
            view.seen_end = ended.end_number
            run = view.runs.get(ended.task)
            if run is not None and run.number == ended.number:
                health.record_run_end(view, run, ended.end, board)
                self._finish_run(view, run, ended.end, "reported by the runner", board)
            else:
                self._record_unknown_end(view, ended, board)

    @staticmethod
    def _record_unknown_end(
        view: RunnerView, ended: EndedRun, board: InstanceBoard
    ) -> None:
        """Record the end of a run on a runner that did not list it as running.

        It ended before the first poll, and its scheduler may not know of it. Another
        run of the task, perhaps of the same number, may go on elsewhere.
        """
        if ended.end is RunEnd.DONE and polling.in_takeover_grace(view, board):
            board.post(EarlierRunDone(ended.task))

    def _reconcile_running(
        self, view: RunnerView, reply: PollReply, call_id: int, board: InstanceBoard
    ) -> None:
        listed = {listed_run.task: listed_run for listed_run in reply.running}
        for run in list(view.runs.values()):
            listed_run = listed.pop(run.task, None)
            if listed_run is not None and listed_run.number == run.number:
                self._record_running(run, listed_run.percent_done, board)
                continue
            if listed_run is not None:
                self._stop_unknown_run(view, listed_run.task, listed_run.number, board)
            if _is_certainly_absent(run, call_id):
                self._finish_run(
                    view,
                    run,
                    _end_of_absent_run(run),
                    "no longer listed by the runner",
                    board,
                )
        for listed_run in listed.values():
            if polling.in_takeover_grace(view, board):
                polling.add_orphan(view, listed_run, board)
            else:
                self._stop_unknown_run(view, listed_run.task, listed_run.number, board)

    def _record_running(self, run: Run, percent: float, board: InstanceBoard) -> None:
        run.record_progress(percent, board.now)
        if run.state in (RunState.STARTING, RunState.UNCERTAIN):
            run.state = RunState.RUNNING
            run.accepted_at = board.now
            run.accepted_sequence = board.fresh_id()
            board.post(RunAccepted(run))

    def _stop_unknown_run(
        self, view: RunnerView, task: str, number: int, board: InstanceBoard
    ) -> None:
        board.count("unknown_runs_stopped")
        order = StopRun(board.leadership.token_for(view.entry.zone), task, number)
        polling.call_runner(view, "stop_unknown", order, None, board, self._calls)

    def _start_run(self, run: Run, spec: str, board: InstanceBoard) -> None:
        view = board.pool.runners[run.runner_id]
        token = board.leadership.token_for(view.entry.zone)
        lease = polling.renew_leases(view, board)
        order = StartRun(token, run.task, run.number, spec, lease)
        timeout = board.tuning.start_timeout_ms
        polling.call_runner(view, "start", order, run, board, self._calls, timeout)
        polling.ensure_long_poll(view, board, self._calls)

    def _sweep(self, board: InstanceBoard) -> None:
        board.set_timer(SWEEP_TIMER, SWEEP_INTERVAL_MS)
        self._contact_waiting_runners(board, MIN_CONTACTS_PER_SWEEP)
        for view in list(board.pool.runners.values()):
            if view.is_idle:
                continue
            self._finish_expired_runs(view, board)
            if not view.fenced and view.runner_id not in self._contacts:
                stops.repeat_stops(view, board, self._calls)
                polling.maintain_contact(view, board, self._calls)
                if health.post_overdue_runs(view, board):
                    polling.poll_now(view, board, self._calls)
        self._stop_orphans(board)

    def _finish_expired_runs(self, view: RunnerView, board: InstanceBoard) -> None:
        for run in list(view.runs.values()):
            if _must_have_ended(run, board):
                board.count("runs_lapsed")
                if view.unanswered:
                    board.crashes.record_loss(
                        view.runner_id,
                        view.process_started_at_ms,
                        run.task,
                        board.now,
                    )
                self._finish_run(
                    view, run, RunEnd.LEASE_EXPIRED, "the lease expired", board
                )

    def _stop_orphans(self, board: InstanceBoard) -> None:
        grace = 0 if board.pool.acting else board.tuning.orphan_grace_ms
        for orphan in list(board.pool.orphans.values()):
            if board.now - orphan.sent_at < grace:
                continue
            view = board.pool.runners.get(orphan.runner_id)
            if view is None:
                del board.pool.orphans[orphan.task]
            elif orphan.state is not RunState.STOPPING:
                stops.request_stop(view, orphan, board, self._calls)


def _must_have_ended(run: Run, board: InstanceBoard) -> bool:
    """Return whether a run has ended with its lease, whoever else may have renewed it.

    An instance without a majority of followers may have been replaced. Its successor
    renews the leases of runs that it finds for the time in which their jobs may be
    submitted to it, and then waits for their end or for a confirmed stop.
    """
    tuning = board.tuning
    expired_at = run.lease_until + tuning.lapse_margin_ms
    overdue_ms = board.now - expired_at
    if overdue_ms <= tuning.orphan_grace_ms + tuning.stop_ms:
        return False
    renewed_at = run.lease_until - board.settings.longest_lease_ms
    if board.leadership.kept_majority(renewed_at, expired_at):
        return True
    renewed_ms = tuning.lease_ms + tuning.lapse_margin_ms
    return overdue_ms > tuning.orphan_grace_ms + renewed_ms


def _is_certainly_absent(run: Run, call_id: int) -> bool:
    """Return whether the reply to a call would list the run if it still existed.

    Compares sequence numbers, because calls may share the same millisecond.
    """
    if run.stop_confirmed_sequence:
        return run.stop_confirmed_sequence < call_id
    return 0 < run.accepted_sequence < call_id


def _end_of_absent_run(run: Run) -> RunEnd | None:
    """Return the result of a run that its runner no longer lists."""
    if run.accepted_at < 0:
        return None
    return RunEnd.STOPPED if run.stop_confirmed_sequence else RunEnd.LEASE_EXPIRED
