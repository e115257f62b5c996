"""Placement of waiting tasks on runners: one placement pass in each step."""

import attrs

from sassafrasloft.core import (
    Assignment,
    Blackboard,
    Deliver,
    TaskSent,
)
from sassafrasloft.dispatch.estimates import usable
from sassafrasloft.dispatch.homes import CandidateList
from sassafrasloft.dispatch.orders import Order
from sassafrasloft.dispatch.placements import Offer, Placement, fits
from sassafrasloft.dispatch.queue import (
    drop_job,
    live_record,
    record_sent,
    take_keys,
)
from sassafrasloft.dispatch.retry_budget import refill_tokens, take_token
from sassafrasloft.invariants import Invariant
from sassafrasloft.jobs import TaskKey
from sassafrasloft.state import JobRecord, TaskRecord, TaskState, WaitingJob
from sassafrasloft.upstreams import assert_not_leaving


@attrs.define
class RunnerBatch:
    """The tasks that a placement pass assigns to one runner."""

    runner: str
    assignments: list[Assignment] = attrs.field(factory=list)
    records: list[JobRecord] = attrs.field(factory=list)


class PlacementPass:
    """Assigns waiting tasks while there is free capacity, then emits the deliveries.

    Parameters
    ----------
    board : Blackboard
        The shared state. The pass updates the queue immediately; runner state
        changes when `TaskSent` is handled.
    order, placement : Order, Placement
        The ordering and placement policies in force.
    candidates : CandidateList
        The runners in this instance's order of preference.
    """

    def __init__(
        self,
        board: Blackboard,
        order: Order,
        placement: Placement,
        candidates: CandidateList,
    ) -> None:
        self._board = board
        self._order = order
        self._placement = placement
        self._group = board.settings.service.dispatch.max_group_tasks
        self._offers = self._collect(candidates)
        self._placed: dict[str, RunnerBatch] = {}
        self._skipped: list[str] = []

    def run(self) -> bool:
        """Run the pass; return whether at least one task was placed."""
        board = self._board
        while self._offers:
            job = self._order.next_job(board)
            if job is None:
                break
            record = live_record(board, job.submission_id)
            if record is None:
                drop_job(board, job.submission_id)
            elif not self._place_next_tasks(job, record):
                self._skipped.append(job.submission_id)
                board.queue.held[job.submission_id] = None
        self._requeue_skipped()
        for group in self._placed.values():
            self._deliver(group)
        return bool(self._placed)

    def _collect(self, candidates: CandidateList) -> list[Offer]:
        board = self._board
        offers = []
        for candidate in self._placement.considered(board, candidates):
            free = self._placement.offer(board, candidate, self._group)
            if free > 0 and usable(board, candidate.state):
                offers.append(Offer(candidate, free))
        return offers

    def _place_next_tasks(self, job: WaitingJob, record: JobRecord) -> bool:
        """Assign the next tasks of a job to a runner; return whether one was found."""
        offers = self._offers
        alone = not job.fits_anywhere or job.keys[0].index in job.excluded_runners
        if alone:
            offers = self._suitable_offers(job, record)
        offer = self._placement.choose(self._board, offers)
        if offer is None:
            return False
        quota = self._order.left(self._board, job.team)
        limit = min(len(job.keys), offer.free, quota, self._group)
        count = self._within_retry_budget(job, min(1, limit) if alone else limit)
        if count <= 0:
            return False
        keys = job.keys[:count]
        name = offer.candidate.name
        group = self._placed.setdefault(name, RunnerBatch(name))
        for key in keys:
            self._assign(group, job, key, record)
        take_keys(self._board, self._order, job, count)
        offer.take(count)
        if offer.free <= 0:
            self._offers.remove(offer)
        return True

    def _suitable_offers(self, job: WaitingJob, record: JobRecord) -> list[Offer]:
        """Return the offers of runners that can run the job's first waiting task."""
        index = job.keys[0].index
        spec = record.tasks[index].spec
        excluded_runners = set(job.excluded_runners.get(index, ()))
        if len(excluded_runners) >= len(self._board.upstreams.runners):
            # Only a restarted runner accepts it; refusals tell which.
            excluded_runners.clear()
        return [
            one
            for one in self._offers
            if one.candidate.name not in excluded_runners
            and fits(spec, one.candidate.state.settings)
        ]

    def _within_retry_budget(self, job: WaitingJob, limit: int) -> int:
        """Return how many of the first `limit` tasks the retry budget allows."""
        if not job.budgeted_returns:
            refill_tokens(self._board, limit)
            return limit
        for place in range(limit):
            if job.keys[place].index not in job.budgeted_returns:
                refill_tokens(self._board, 1)
            elif not take_token(self._board):
                self._board.metrics.add("retries_delayed")
                return place
        return limit

    def _assign(
        self, group: RunnerBatch, job: WaitingJob, key: TaskKey, record: JobRecord
    ) -> None:
        task = record.tasks[key.index]
        if not self._may_start(job, key, task):
            return
        record_sent(self._board, job, key)
        group.assignments.append(Assignment(key, task.spec))
        group.records.append(record)

    def _may_start(self, job: WaitingJob, key: TaskKey, task: TaskRecord) -> bool:
        """Check `starts_at_most_once` before a task is assigned to a runner."""
        runner = self._board.upstreams.runners.get(task.runner)
        holds = (
            task.state is TaskState.WAITING
            and task.outcome is None
            and key not in self._board.queue.sent
            and task.placements <= job.proofs.get(key.index, 0)
            and (runner is None or key not in runner.in_flight)
        )
        detail = f"{key} is {task.state} after {task.placements} placements"
        auditor = self._board.auditor
        return auditor.check(Invariant.STARTS_AT_MOST_ONCE, holds, detail)

    def _requeue_skipped(self) -> None:
        board = self._board
        for submission_id in self._skipped:
            board.queue.held.pop(submission_id, None)
            job = board.queue.jobs.get(submission_id)
            if job is not None and job.keys:
                self._order.put(board, job)

    def _deliver(self, group: RunnerBatch) -> None:
        board = self._board
        state = board.upstreams.runners[group.runner]
        for start in range(0, len(group.assignments), self._group):
            part = tuple(group.assignments[start : start + self._group])
            records = group.records[start : start + self._group]
            assert_not_leaving(board, state)
            delivery_id = board.fresh_id("d")
            lease_ms = max(record.due_ms for record in records) - board.now
            first = records[0]
            span_id = board.fresh_span_id() if first.trace_id else ""
            board.emit(
                Deliver(
                    group.runner,
                    state.incarnation,
                    delivery_id,
                    part,
                    max(lease_ms, board.settings.service.upstreams.overdue_max_ms),
                    first.trace_id,
                    span_id,
                )
            )
            board.metrics.add("deliveries")
            board.metrics.add("tasks_sent", len(part))
            for one in part:
                board.post(TaskSent(one.key, group.runner, delivery_id, span_id))
