"""The table of runners and the handling of their reports on deliveries."""

from sassafrasloft.clock import Milliseconds
from sassafrasloft.core import (
    Blackboard,
    Controller,
    DeliveryFailed,
    Event,
    PeerMessageReceived,
    ProbeReported,
    SettingsAdopted,
    Started,
    TaskReported,
    TaskSent,
    TimerFired,
    register_controller,
)
from sassafrasloft.jobs import Fate, RefusalReason, ReportState, TaskKey
from sassafrasloft.settings import RunnerSettings
from sassafrasloft.state import DeliverySpan, InFlight, RunnerState
from sassafrasloft.upstreams.capacity import (
    discard_incarnation,
    discard_stale_gossip,
    record_capacity,
    replace_peer_gossip,
)
from sassafrasloft.upstreams.faults import (
    handle_probe_result,
    record_reachable,
    record_task_failure,
    record_task_success,
    record_unreachable,
)
from sassafrasloft.upstreams.gossip import gossip_of
from sassafrasloft.upstreams.in_flight import end_task, find_current_entry, return_task
from sassafrasloft.upstreams.leaving import LEAVING_PROBE_DELAY_MS, mark_leaving
from sassafrasloft.upstreams.settling import (
    overdue_after_ms,
    query_tasks,
    schedule_query,
)
from sassafrasloft.upstreams.trust import record_task_completion

INITIAL_BUSY_DELAY_MS: Milliseconds = 20
MAX_BUSY_DELAY_MS: Milliseconds = 320
"""A runner that refuses a task as busy gets no tasks for a delay that doubles with
each refusal, up to this maximum."""
NOT_SENT_REASON = "not_sent"


@register_controller("upstreams.runners", 40)
class RunnersController(Controller):
    """Maintains the table of runners and their tasks in flight."""

    handles = (
        Started,
        SettingsAdopted,
        TaskSent,
        TaskReported,
        DeliveryFailed,
        ProbeReported,
        PeerMessageReceived,
        TimerFired,
    )

    def react(self, event: Event, board: Blackboard) -> None:
        """Update the table of runners from one event."""
        if isinstance(event, TaskReported):
            _handle_task_report(event, board)
        elif isinstance(event, TaskSent):
            _record_task_sent(event, board)
        elif isinstance(event, PeerMessageReceived):
            gossip = gossip_of(event, board)
            if gossip is not None:
                replace_peer_gossip(board, event.peer, gossip)
        elif isinstance(event, TimerFired):
            discard_stale_gossip(board)
        elif isinstance(event, DeliveryFailed):
            _handle_delivery_failure(event, board)
        elif isinstance(event, ProbeReported):
            _handle_probe_report(event, board)
        else:
            adopt_runners(board)


def adopt_runners(board: Blackboard) -> None:
    """Update the table to the settings and schedule probes of new runners.

    A runner that is no longer in the settings gets no work and is removed once
    its last task in flight has ended.
    """
    table = board.upstreams
    old = table.runners
    new: dict[str, RunnerState] = {}
    for settings in board.settings.service.runners:
        state = old.pop(settings.name, None)
        if state is None:
            state = _new_runner(board, settings)
        elif state.settings.address != settings.address:
            discard_incarnation(board, state)
        state.settings = settings
        state.retired = False
        new[settings.name] = state
    for name, state in old.items():
        table.probe_due.pop(name, None)
        if state.in_flight:
            state.retired = True
            new[name] = state
    table.runners = new
    table.generation += 1


def _new_runner(board: Blackboard, settings: RunnerSettings) -> RunnerState:
    running = (
        gossip.running_by_runner.get(settings.name, 0)
        for gossip in board.upstreams.peers_gossip.values()
    )
    board.upstreams.probe_due[settings.name] = board.now
    return RunnerState(settings, peers_running=sum(running))


def _record_task_sent(event: TaskSent, board: Blackboard) -> None:
    state = board.upstreams.runners[event.runner]
    record = board.jobs.running.get(event.key.submission_id)
    spec = record.tasks[event.key.index].spec if record else None
    entry = InFlight(event.delivery_id, board.now, 0, state.incarnation)
    state.in_flight[event.key] = entry
    state.recent_sends.append(board.now)
    open_tasks = state.deliveries.get(event.delivery_id, 0)
    state.deliveries[event.delivery_id] = open_tasks + 1
    if event.span_id and record is not None:
        span = DeliverySpan(record.trace_id, event.span_id, record.span_id, board.now)
        board.upstreams.spans.setdefault(event.delivery_id, span)
    limits = board.settings.service.upstreams
    delay_ms = overdue_after_ms(board, spec) if spec else limits.overdue_min_ms
    schedule_query(board, event.runner, event.key, entry, delay_ms)


def _handle_task_report(event: TaskReported, board: Blackboard) -> None:
    state = board.upstreams.runners.get(event.runner)
    report = event.report
    entry = find_current_entry(state, report.key, event.delivery_id)
    if entry is None:
        board.metrics.add("reports_ignored")
        return
    record_reachable(board, state)
    if report.state is ReportState.COMPLETE:
        record_task_success(board, state)
        record_task_completion(board, state, report.key, entry.sent_ms)
        end_task(
            board, state, report.key, Fate.COMPLETE, report.result, "", report.run_ms
        )
    elif report.state is ReportState.FAILED:
        record_task_failure(board, state, report.key)
        reason = report.reason or "failed"
        end_task(board, state, report.key, Fate.MAY_HAVE_RUN, "", reason, report.run_ms)
    elif report.state is ReportState.REFUSED:
        _handle_refusal(event, state, board)
    elif report.state is ReportState.NEVER_STARTED:
        return_task(board, state, report.key, report.state.value)
    _apply_capacity(event, state, entry, board)


def _apply_capacity(
    event: TaskReported, state: RunnerState, entry: InFlight, board: Blackboard
) -> None:
    capacity = event.capacity
    if capacity is None:
        return
    old_process = capacity.runner_incarnation == entry.runner_incarnation
    if old_process and entry.runner_incarnation != state.incarnation:
        return  # A late reply of a process that has been replaced.
    record_capacity(board, state, capacity)


def _handle_refusal(event: TaskReported, state: RunnerState, board: Blackboard) -> None:
    report = event.report
    reason = report.reason
    if reason == RefusalReason.DUPLICATE:
        # An earlier message with this task may have started it.
        query_tasks(board, state, (report.key,))
        return
    if reason not in set(RefusalReason):
        board.metrics.add("refusals_of_unknown_reason")
        query_tasks(board, state, (report.key,))
        return
    if reason == RefusalReason.BUSY:
        _back_off(state, board.now)
    elif reason == RefusalReason.LEAVING:
        mark_leaving(board, state, "reply")
    elif reason == RefusalReason.WRONG_INCARNATION and event.capacity is None:
        discard_incarnation(board, state)
    return_task(board, state, report.key, RefusalReason(reason).value)


def _back_off(state: RunnerState, now: Milliseconds) -> None:
    """Send a busy runner no tasks for a while.

    Further refusals of the same delivery arrive within the delay and do not
    extend it.
    """
    if now < state.busy_until_ms:
        return
    idle_ms = now - state.busy_until_ms
    if state.busy_delay_ms == 0 or idle_ms > MAX_BUSY_DELAY_MS:
        state.busy_delay_ms = INITIAL_BUSY_DELAY_MS
    else:
        state.busy_delay_ms = min(2 * state.busy_delay_ms, MAX_BUSY_DELAY_MS)
    state.busy_until_ms = now + state.busy_delay_ms


def _handle_delivery_failure(event: DeliveryFailed, board: Blackboard) -> None:
    state = board.upstreams.runners.get(event.runner)
    if state is None:
        board.metrics.add("reports_ignored")
        return
    if not event.sent:
        record_unreachable(board, state, "connect")
        for key in event.keys:
            if find_current_entry(state, key, event.delivery_id) is None:
                board.metrics.add("reports_ignored")
            else:
                return_task(board, state, key, NOT_SENT_REASON)
        return
    board.metrics.add("deliveries_broken")
    state.deliveries.pop(event.delivery_id, None)
    left: list[TaskKey] = []
    for key, entry in state.in_flight.items():
        if entry.delivery_id == event.delivery_id:
            entry.connection_open = False
            left.append(key)
    query_tasks(board, state, left)


def _handle_probe_report(event: ProbeReported, board: Blackboard) -> None:
    state = board.upstreams.runners.get(event.runner)
    if state is None:
        return
    if event.reachable and event.capacity is not None:
        record_capacity(board, state, event.capacity)
    usable = event.reachable and event.healthy and event.capacity is not None
    handle_probe_result(board, state, usable)
    if state.leaving:
        due_ms = board.now + LEAVING_PROBE_DELAY_MS
        board.upstreams.probe_due[event.runner] = due_ms
