"""Tracks the list of runners and removes runners that are gone."""

from sassafrasloft.blackboard import Controller
from sassafrasloft.instance.board import InstanceBoard
from sassafrasloft.instance.events import (
    LeadershipGained,
    LeadershipLost,
    RunFinished,
    RunnerCrashed,
    RunnersOffered,
)
from sassafrasloft.runs import polling
from sassafrasloft.runs.contacts import ContactQueue
from sassafrasloft.runs.orders import RunEnd
from sassafrasloft.runs.runners import Run, RunnerEntry, RunnerView
from sassafrasloft.runs.unlisted_runners import runners_to_report

MAX_LOGGED_TASKS = 10
MAX_LOGGED_RUNNERS = 10
SWEEP_TIMER = "runs.sweep"
SWEEP_INTERVAL_MS = 25
"""Interval between checks for expired leases and overdue runs."""


class RunnerTracker(Controller):
    """Updates the pool from the list of runners while this instance schedules."""

    def __init__(self) -> None:
        self._calls: polling.OpenCalls = {}
        self._contacts = ContactQueue()

    def _activate(self, event: LeadershipGained, board: InstanceBoard) -> None:
        pool = board.pool
        pool.acting = event.acting
        if pool.active:
            self._change_token(event, board)
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
            self._update_runner(entry, board)
        self._add_unlisted_runners(board)
        self._contact_waiting_runners(board)
        board.set_timer(SWEEP_TIMER, SWEEP_INTERVAL_MS)

    def _change_token(self, event: LeadershipGained, board: InstanceBoard) -> None:
        """Switch to a new token or to fewer runners; runs are not affected."""
        pool = board.pool
        pool.zone = event.zone
        for view in list(pool.runners.values()):
            self._queue_contact(view, board)
        for entry in pool.entries.values():
            self._update_runner(entry, board)
        self._add_unlisted_runners(board)
        self._contact_waiting_runners(board)

    def _deactivate(self, event: LeadershipLost, board: InstanceBoard) -> None:
        pool = board.pool
        board.unlisted_runners.remember(_runners_to_report(board), pool.list_revision)
        board.unlisted_runners.report.clear()
        pool.active = False
        pool.zone = ""
        pool.runners.clear()
        pool.live_runs.clear()
        pool.orphans.clear()
        self._calls.clear()
        self._contacts.clear()

    def _recontact_zone(self, zone: str, board: InstanceBoard) -> None:
        for view in board.pool.runners.values():
            if view.entry.zone == zone:
                self._queue_contact(view, board)
        self._contact_waiting_runners(board)

    def _queue_contact(self, view: RunnerView, board: InstanceBoard) -> None:
        """Queue a runner for an initial poll under the current fencing token."""
        view.fenced = False
        view.contacted = False
        view.no_contact_since = board.now
        view.contact_rejected_at = -1
        self._contacts.add(view.runner_id)

    def _contact_waiting_runners(self, board: InstanceBoard, least: int = 0) -> None:
        """Poll some of the runners that wait for their initial poll."""
        for view in self._contacts.pop_next(least, board.pool):
            polling.poll_now(view, board, self._calls)

    def _apply_runner_list(
        self, entries: tuple[RunnerEntry, ...], revision: int, board: InstanceBoard
    ) -> None:
        pool = board.pool
        listed = {entry.runner_id: entry for entry in entries}
        board.unlisted_runners.discard(listed)
        may_be_incomplete = self._entries_may_be_missing(board)
        if may_be_incomplete:
            listed = pool.entries | listed
        removed = [one for key, one in pool.entries.items() if key not in listed]
        pool.entries = listed
        pool.entries_read_at = board.now
        pool.list_revision = 0 if may_be_incomplete else revision
        if not pool.active:
            board.unlisted_runners.remember(removed, revision)
            return
        for entry in pool.entries.values():
            self._update_runner(entry, board)
        for view in list(pool.runners.values()):
            if view.runner_id not in pool.entries:
                self._handle_missing_entry(view, board)
        self._report_unlisted_runners(board)
        self._contact_waiting_runners(board)
        pool.changed = True

    def _add_unlisted_runners(self, board: InstanceBoard) -> None:
        """Add remembered runners, which may have runs but get no further ones."""
        pool = board.pool
        added = []
        for entry in board.unlisted_runners.remembered:
            if entry.runner_id in pool.runners:
                continue
            self._update_runner(entry, board)
            view = pool.runners.get(entry.runner_id)
            if view is not None:
                view.missing_since = board.now
                added.append(view.runner_id)
        if added:
            board.count("unlisted_runners_polled", len(added))
            board.log(
                "unlisted_runners_polled",
                "WARNING",
                count=len(added),
                runners=added[:MAX_LOGGED_RUNNERS],
            )
        self._report_unlisted_runners(board)

    @staticmethod
    def _report_unlisted_runners(board: InstanceBoard) -> None:
        """Update what the followers are told of runners outside the list."""
        entries = _runners_to_report(board)
        if board.unlisted_runners.report.update(entries):
            runners = [one.runner_id for one in entries[:MAX_LOGGED_RUNNERS]]
            board.log("unlisted_runners", count=len(entries), runners=runners)

    def _add_offered_runners(self, event: RunnersOffered, board: InstanceBoard) -> None:
        """Add runners that another instance knows."""
        pool = board.pool
        unlisted = [one for one in event.unlisted if one.runner_id not in pool.entries]
        board.unlisted_runners.remember(unlisted, pool.list_revision)
        if pool.active:
            self._add_unlisted_runners(board)
        self._add_reported_runners(event.entries, board)
        self._contact_waiting_runners(board)

    def _add_reported_runners(
        self, entries: tuple[RunnerEntry, ...], board: InstanceBoard
    ) -> None:
        """Add runners whose entries had expired when this instance read the list.

        Entries reported after `missing_grace_ms` are ignored: a runner that still
        exists has registered again by then.
        """
        pool = board.pool
        unknown = [one for one in entries if one.runner_id not in pool.entries]
        active_ms = board.now - pool.activated_at
        if not unknown or active_ms > board.tuning.missing_grace_ms:
            return
        board.log("runners_offered", count=len(unknown), known=len(pool.entries))
        pool.runners_reported_at = board.now
        for entry in unknown:
            pool.entries[entry.runner_id] = entry
            if pool.active:
                self._update_runner(entry, board)

    def _entries_may_be_missing(self, board: InstanceBoard) -> bool:
        """Return whether entries that expired in an outage may not be restored yet."""
        regained = board.configuration.store_regained_at
        latest = max(regained, board.pool.runners_reported_at)
        return latest >= 0 and board.now - latest < board.tuning.missing_grace_ms

    def _update_runner(self, entry: RunnerEntry, board: InstanceBoard) -> None:
        pool = board.pool
        if pool.zone and entry.zone != pool.zone:
            return
        view = pool.runners.get(entry.runner_id)
        if view is not None:
            if view.entry is entry and view.missing_since < 0:
                return
            if _is_outdated(view, entry):
                return
        if view is not None and entry.address != view.entry.address:
            self._drop_runner(view, "the runner restarted at another address", board)
            view = None
        restarted = view is not None and _is_restarted(view, entry)
        if view is None:
            view = RunnerView(entry, entry.capacity, no_contact_since=board.now)
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
        if not view.has_outdated_entry:
            view.entry_outdated_at = -1
        if restarted:
            # The reply shows which runs the new process has.
            polling.poll_now(view, board, self._calls)

    def _handle_missing_entry(self, view: RunnerView, board: InstanceBoard) -> None:
        if view.missing_since < 0:
            view.missing_since = board.now
            board.log("runner_missing", runner=view.runner_id)
            return
        grace_expired = board.now - view.missing_since > board.tuning.missing_grace_ms
        if grace_expired and not view.runs:
            board.pool.runners.pop(view.runner_id, None)
            board.unlisted_runners.discard([view.runner_id])
            board.log("runner_gone", runner=view.runner_id)

    def _drop_runner(self, view: RunnerView, reason: str, board: InstanceBoard) -> None:
        """Remove a runner whose process is certainly gone and finish its runs."""
        board.log("runner_gone", runner=view.runner_id, reason=reason)
        self._record_crash(view, set(view.runs), board)
        for run in list(view.runs.values()):
            self._finish_run(view, run, RunEnd.LEASE_EXPIRED, reason, board)
        board.pool.runners.pop(view.runner_id, None)
        board.unlisted_runners.discard([view.runner_id])

    def _record_crash(
        self, view: RunnerView, tasks: set[str], board: InstanceBoard
    ) -> None:
        """Record that the process of a runner has ended under these tasks.

        A runner that drains has left as it announced, whatever was still on it.
        """
        if view.entry.draining:
            board.crashes.record_reply(view.runner_id)
            return
        counts = board.crashes.record_crash(view.runner_id, tasks, board.now)
        if not counts:
            return
        board.count("runner_crashes")
        board.log(
            "runner_crashed",
            "WARNING",
            runner=view.runner_id,
            tasks=[f"{one.task} {one.crashes}" for one in counts[:MAX_LOGGED_TASKS]],
            count=len(counts),
        )
        board.post(RunnerCrashed(counts))

    def _finish_run(
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


def _runners_to_report(board: InstanceBoard) -> tuple[RunnerEntry, ...]:
    lease_expiry_ms = polling.predecessor_lease_ms(board.tuning)
    return runners_to_report(board.pool, board.now, lease_expiry_ms)


def _is_outdated(view: RunnerView, entry: RunnerEntry) -> bool:
    return 0 <= entry.started_at_ms < view.process_started_at_ms


def _is_restarted(view: RunnerView, entry: RunnerEntry) -> bool:
    known = max(view.process_started_at_ms, view.entry.started_at_ms)
    return 0 <= known < entry.started_at_ms
