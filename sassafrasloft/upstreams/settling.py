"""Queries of the state of overdue tasks, sent on a new connection.

A task is queried at its runner if no report has arrived some time after it was
sent. One timer is set for the earliest query. Queries are stored in buckets by
time, so that a step examines only the tasks that are due.
"""

from collections.abc import Iterable
from heapq import heappop, heappush

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    Event,
    Settle,
    SettleReported,
    TimerFired,
    register_controller,
)
from sassafrasloft.jobs import Fate, ReportState, TaskKey, TaskReport, TaskSpec
from sassafrasloft.state import Health, InFlight, RunnerState, ScheduledQuery
from sassafrasloft.upstreams.faults import (
    record_reachable,
    record_task_failure,
    record_task_success,
    record_unreachable,
)
from sassafrasloft.upstreams.in_flight import (
    abandon_delivery_if_empty,
    end_task,
    return_task,
)

TIMER = "upstreams.settling"
BUCKET_MS: Milliseconds = 50
"""Queries are delayed by up to this time; each bucket costs one timer."""
MIN_QUERY_INTERVAL_MS: Milliseconds = 250
MAX_UNREACHABLE_QUERY_INTERVAL_MS: Milliseconds = 2_000
UNREACHABLE_REASON = "runner_unreachable"
RESTARTED_REASON = "runner_restarted"


def overdue_after_ms(board: Blackboard, spec: TaskSpec) -> Milliseconds:
    """Return the time after sending at which a task without a report is queried."""
    limits = board.settings.service.upstreams
    expected_ms = spec.run_ms * board.queue.run_ms_ratio
    bounded = min(limits.overdue_max_ms, expected_ms * limits.overdue_factor)
    return int(max(limits.overdue_min_ms, bounded))


def schedule_query(
    board: Blackboard, runner: str, key: TaskKey, entry: InFlight, delay_ms: int
) -> None:
    """Schedule the next query of a task, which replaces one scheduled before."""
    table = board.upstreams
    due_ms = -(-(board.now + delay_ms) // BUCKET_MS) * BUCKET_MS
    entry.overdue_ms = due_ms
    bucket = table.due.get(due_ms)
    if bucket is None:
        bucket = table.due[due_ms] = []
        heappush(table.due_times, due_ms)
        if table.due_timer_ms < 0 or due_ms < table.due_timer_ms:
            _set_timer(board, due_ms)
    bucket.append(ScheduledQuery(key, runner, due_ms))


def query_tasks(board: Blackboard, state: RunnerState, keys: Iterable[TaskKey]) -> None:
    """Query tasks in flight with one message for each runner incarnation.

    Tasks with a pending query are skipped.
    """
    wait_ms = 2 * board.settings.service.upstreams.settle_timeout_ms
    by_incarnation: dict[str, list[TaskKey]] = {}
    name = state.settings.name
    for key in keys:
        entry = state.in_flight.get(key)
        if entry is None or entry.is_query_pending:
            continue
        entry.is_query_pending = True
        entry.query_count += 1
        if entry.first_query_ms < 0:
            entry.first_query_ms = board.now
        schedule_query(board, name, key, entry, wait_ms)
        by_incarnation.setdefault(entry.runner_incarnation, []).append(key)
    for incarnation, asked in by_incarnation.items():
        board.metrics.add("messages_settle", 2)
        board.emit(Settle(name, incarnation, tuple(asked)))


def _set_timer(board: Blackboard, due_ms: Milliseconds) -> None:
    board.upstreams.due_timer_ms = due_ms
    board.set_timer(TIMER, due_ms - board.now)


@register_controller("upstreams.settling", 42)
class SettlingController(Controller):
    """Queries overdue tasks and applies the replies of the runners."""

    handles = (TimerFired, SettleReported)

    def react(self, event: Event, board: Blackboard) -> None:
        """Query the tasks that are due, or apply the reply of a runner."""
        if isinstance(event, TimerFired):
            if event.name == TIMER:
                self._query_due(board)
        elif isinstance(event, SettleReported):
            state = board.upstreams.runners.get(event.runner)
            if state is not None:
                self._handle_reply(event, state, board)

    def _query_due(self, board: Blackboard) -> None:
        table = board.upstreams
        by_runner: dict[str, list[TaskKey]] = {}
        while table.due_times and table.due_times[0] <= board.now:
            for check in table.due.pop(heappop(table.due_times)):
                state = table.runners.get(check.runner)
                entry = state.in_flight.get(check.key) if state else None
                if entry is None or entry.overdue_ms != check.due_ms:
                    continue
                by_runner.setdefault(check.runner, []).append(check.key)
        table.due_timer_ms = -1
        for name, keys in by_runner.items():
            self._query_overdue(table.runners[name], keys, board)
        if table.due_times and table.due_timer_ms != table.due_times[0]:
            _set_timer(board, table.due_times[0])

    def _query_overdue(
        self, state: RunnerState, keys: list[TaskKey], board: Blackboard
    ) -> None:
        for key in keys:
            entry = state.in_flight[key]
            if entry.is_query_pending:
                # The I/O layer has reported no result: treat it as unreachable.
                entry.is_query_pending = False
                self._retry_or_give_up(state, key, entry, board)
        remaining = [key for key in keys if key in state.in_flight]
        if state.health is Health.UNREACHABLE:
            remaining = self._postpone_repeated_queries(state, remaining, board)
        query_tasks(board, state, remaining)

    def _postpone_repeated_queries(
        self, state: RunnerState, keys: list[TaskKey], board: Blackboard
    ) -> list[TaskKey]:
        """Postpone tasks with an unanswered query and return the others.

        The unreachable runner is probed, which costs one message for all of its
        tasks. Each task is queried once more when its time limit is reached.
        """
        limit_ms = board.settings.service.upstreams.settle_limit_ms
        to_query = []
        for key in keys:
            entry = state.in_flight.get(key)
            if entry is None:
                continue  # Listed twice, and ended at the first one.
            first = entry.unreachable_ms < 0
            waited_ms = board.now - entry.unreachable_ms
            if first or waited_ms >= limit_ms:
                to_query.append(key)
            else:
                self._retry_or_give_up(state, key, entry, board)
        return to_query

    def _handle_reply(
        self, event: SettleReported, state: RunnerState, board: Blackboard
    ) -> None:
        reports = {report.key: report for report in event.reports}
        if event.reachable:
            record_reachable(board, state)
        else:
            record_unreachable(board, state, "settle")
        unreported: dict[str, InFlight] = {}
        for key in event.keys:
            entry = state.in_flight.get(key)
            if entry is None:
                board.metrics.add("reports_ignored")
                continue
            entry.is_query_pending = False
            if not event.reachable:
                self._retry_or_give_up(state, key, entry, board)
            elif event.runner_incarnation != entry.runner_incarnation:
                self._end_restarted(state, key, event.runner_incarnation, board)
            elif self._apply_report(state, key, entry, reports.get(key), board):
                unreported[entry.delivery_id] = entry
        for entry in unreported.values():
            self._query_rest_of_delivery(state, entry, board)

    def _apply_report(
        self,
        state: RunnerState,
        key: TaskKey,
        entry: InFlight,
        report: TaskReport | None,
        board: Blackboard,
    ) -> bool:
        """Apply the report on one task.

        Return whether the task was settled by it although its own delivery
        had not reported an end.
        """
        if report is None or report.state is ReportState.REFUSED:
            self._retry_or_give_up(state, key, entry, board)
            return False
        entry.unreachable_ms = -1
        if report.state is ReportState.RUNNING:
            self._schedule_next_query(state, key, entry, board)
            return False
        if report.state is ReportState.COMPLETE:
            record_task_success(board, state)
            end_task(
                board, state, key, Fate.COMPLETE, report.result, run_ms=report.run_ms
            )
        elif report.state is ReportState.FAILED:
            record_task_failure(board, state, key)
            reason = report.reason or "failed"
            end_task(board, state, key, Fate.MAY_HAVE_RUN, reason=reason)
        else:
            return_task(board, state, key, ReportState.NEVER_STARTED.value)
        board.metrics.add("tasks_settled")
        return True

    def _schedule_next_query(
        self, state: RunnerState, key: TaskKey, entry: InFlight, board: Blackboard
    ) -> None:
        limits = board.settings.service.upstreams
        interval_ms = limits.overdue_min_ms * 2 ** min(entry.query_count - 1, 8)
        interval_ms = min(
            max(interval_ms, MIN_QUERY_INTERVAL_MS), limits.overdue_max_ms
        )
        schedule_query(board, state.settings.name, key, entry, interval_ms)

    def _retry_or_give_up(
        self, state: RunnerState, key: TaskKey, entry: InFlight, board: Blackboard
    ) -> None:
        limit_ms = board.settings.service.upstreams.settle_limit_ms
        if entry.unreachable_ms < 0:
            entry.unreachable_ms = board.now
        waited_ms = board.now - entry.unreachable_ms
        if waited_ms >= limit_ms:
            end_task(board, state, key, Fate.MAY_HAVE_RUN, reason=UNREACHABLE_REASON)
            abandon_delivery_if_empty(board, state, entry)
            return
        interval_ms = min(
            max(MIN_QUERY_INTERVAL_MS, waited_ms), MAX_UNREACHABLE_QUERY_INTERVAL_MS
        )
        interval_ms = min(interval_ms, limit_ms - waited_ms)
        schedule_query(board, state.settings.name, key, entry, interval_ms)

    def _end_restarted(
        self, state: RunnerState, key: TaskKey, incarnation: str, board: Blackboard
    ) -> None:
        """End a task whose runner restarted, since it may have run before."""
        entry = state.in_flight[key]
        if incarnation != state.incarnation:
            state.incarnation = ""
            board.upstreams.probe_due[state.settings.name] = board.now
        end_task(board, state, key, Fate.MAY_HAVE_RUN, reason=RESTARTED_REASON)
        abandon_delivery_if_empty(board, state, entry)

    def _query_rest_of_delivery(
        self, state: RunnerState, unreported: InFlight, board: Blackboard
    ) -> None:
        """Query the other tasks of a delivery that did not report a settled task."""
        rest = [
            key
            for key, entry in state.in_flight.items()
            if entry.delivery_id == unreported.delivery_id and entry.query_count == 0
        ]
        query_tasks(board, state, rest)
        abandon_delivery_if_empty(board, state, unreported)
