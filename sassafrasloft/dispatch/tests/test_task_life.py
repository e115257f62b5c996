"""Stateful test of the task life cycle with lost, late and duplicated messages."""

import attrs
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.strategies import booleans, integers, sampled_from

from sassafrasloft.core import (
    Deliver,
    DeliveryFailed,
    JobAccepted,
    Probe,
    ProbeReported,
    SetTimer,
    Settle,
    SettleReported,
    TaskReported,
    TimerFired,
)
from sassafrasloft.dispatch import DispatchController
from sassafrasloft.jobs import Fate, ReportState, RunnerCapacity, TaskReport
from sassafrasloft.upstreams.tests.builders import Driver, make_settings

SLOTS = 8
REFUSED, FAILED = ReportState.REFUSED, ReportState.FAILED


@attrs.define
class FakeRunner:
    """A correct runner that remembers every task it has started or settled."""

    name: str
    lives: int = 0
    running: list = attrs.field(factory=list)
    done: dict = attrs.field(factory=dict)
    promised: set = attrs.field(factory=set)

    @property
    def capacity(self):
        incarnation = f"i-{self.name}" + "+" * self.lives
        return RunnerCapacity(incarnation, SLOTS - len(self.running))

    def offer(self, incarnation, key):
        """Start a task, or return the reason for refusing it."""
        if incarnation != self.capacity.runner_incarnation:
            return "wrong_incarnation"
        if key in self.promised:
            return "settled"
        if key in self.running or key in self.done:
            return "duplicate"
        if len(self.running) >= SLOTS:
            return "busy"
        self.running.append(key)
        return ""

    def settle(self, key):
        if key in self.done:
            return self.done[key]
        if key in self.running:
            return TaskReport(key, ReportState.RUNNING)
        self.promised.add(key)
        return TaskReport(key, ReportState.NEVER_STARTED)


class TaskLife(RuleBasedStateMachine):
    """Drives one instance; the rules choose the network faults."""

    def __init__(self):
        super().__init__()
        service = make_settings(runners=3, instances=("one",))
        self.driver = Driver(service, (DispatchController(),))
        self.driver.start()
        self.runners = {name: FakeRunner(name) for name in self.driver.runners}
        self.timers = {"upstreams.probe": self.driver.board.upstreams.probe_timer_ms}
        self.delivers, self.asks, self.probes, self.reports = [], [], [], []
        self.starts = {}
        self.finished = set()
        self.accepted = 0

    def step(self, event):
        for command in self.driver.step(event):
            if isinstance(command, Deliver):
                self.delivers.append(command)
            elif isinstance(command, Settle):
                self.asks.append(command)
            elif isinstance(command, Probe):
                self.probes.append(command)
            elif isinstance(command, SetTimer):
                self.timers[command.name] = command.due_ms

    def arrive(self, command, heard=True):
        """Deliver tasks to their runner; report its refusals if `heard`."""
        runner = self.runners[command.runner]
        for one in command.assignments:
            reason = runner.offer(command.runner_incarnation, one.key)
            if not reason:
                self.starts[one.key] = self.starts.get(one.key, 0) + 1
            elif heard:
                report = TaskReport(one.key, REFUSED, reason=reason)
                self.reports.append((command.runner, command.delivery_id, report))

    def hear(self, name, delivery_id, report):
        capacity = self.runners[name].capacity
        self.step(TaskReported(name, delivery_id, report, capacity))

    @rule(tasks=integers(1, 12))
    def submit(self, tasks):
        if self.accepted < 60:
            self.accepted += tasks
            self.step(JobAccepted(self.driver.add_job(tasks)))

    @precondition(lambda self: self.delivers)
    @rule(way=sampled_from(["arrives", "doubled", "not_sent", "broken", "silent"]))
    def deliver(self, way):
        command = self.delivers.pop(0)
        keys = tuple(one.key for one in command.assignments)
        if way in ("arrives", "doubled"):
            self.arrive(command)
            if way == "doubled":
                self.arrive(command)
        elif way == "not_sent":
            self.step(DeliveryFailed(command.runner, command.delivery_id, keys, False))
        elif way == "broken":
            self.arrive(command, heard=False)
            self.step(DeliveryFailed(command.runner, command.delivery_id, keys, True))

    @precondition(lambda self: self.delivers)
    @rule()
    def break_connection_and_deliver_late(self):
        command = self.delivers.pop(0)
        keys = tuple(one.key for one in command.assignments)
        self.step(DeliveryFailed(command.runner, command.delivery_id, keys, True))
        if self.asks:
            self.answer(reachable=True)
        self.arrive(command, heard=False)

    @rule(name=sampled_from(["r0", "r1", "r2"]), failed=booleans(), lost=booleans())
    def finish(self, name, failed, lost):
        runner = self.runners[name]
        if not runner.running:
            return
        key = runner.running.pop(0)
        self.finished.add(key)
        state = FAILED if failed else ReportState.COMPLETE
        runner.done[key] = TaskReport(key, state, run_ms=100)
        entry = self.driver.runners[name].in_flight.get(key)
        if entry is not None and not lost:
            self.reports.append((name, entry.delivery_id, runner.done[key]))

    @precondition(lambda self: self.reports)
    @rule(doubled=booleans(), late=booleans())
    def report(self, doubled, late):
        report = self.reports.pop(-1 if late else 0)
        self.hear(*report)
        if doubled:
            self.reports.append(report)

    @precondition(lambda self: self.asks)
    @rule(reachable=booleans())
    def answer(self, reachable):
        ask = self.asks.pop(0)
        if not reachable:
            self.step(SettleReported(ask.runner, ask.keys, False))
            return
        runner = self.runners[ask.runner]
        incarnation = runner.capacity.runner_incarnation
        same = incarnation == ask.runner_incarnation
        reports = tuple(runner.settle(key) for key in ask.keys) if same else ()
        self.step(SettleReported(ask.runner, ask.keys, True, incarnation, reports))

    @rule(name=sampled_from(["r0", "r1", "r2"]))
    def restart(self, name):
        lives = self.runners[name].lives + 1
        self.runners[name] = FakeRunner(name, lives)

    @rule()
    def wait(self):
        if self.timers:
            name = min(self.timers, key=self.timers.get)
            due_ms = self.timers.pop(name)
            self.driver.now = max(self.driver.now, due_ms)
            self.step(TimerFired(name))
        while self.probes:
            probe = self.probes.pop()
            capacity = self.runners[probe.runner].capacity
            self.step(ProbeReported(probe.runner, True, True, capacity))

    @invariant()
    def reported_fates_match_runner_history(self):
        assert all(count == 1 for count in self.starts.values())
        ended = [event.key for event in self.driver.keeper.ended]
        assert len(ended) == len(set(ended))
        for event in self.driver.keeper.ended:
            if event.fate is Fate.NOT_RUN:
                assert event.key not in self.starts
            elif event.fate is Fate.COMPLETE:
                assert event.key in self.finished

    def teardown(self):
        """Check that every job ends once the network works again."""
        for _ in range(400):
            if not self.driver.board.jobs.running:
                break
            self.driver.board.queue.retry_tokens = 32.0
            while self.delivers:
                self.arrive(self.delivers.pop(0))
            while self.asks:
                self.answer(reachable=True)
            for name in self.runners:
                self.finish(name, failed=False, lost=False)
            while self.reports:
                self.hear(*self.reports.pop(0))
            self.wait()
        self.reported_fates_match_runner_history()
        assert not self.driver.board.jobs.running
        assert self.driver.board.queue.waiting_tasks == 0
        assert not self.driver.board.queue.sent


TaskLife.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestTaskLife = TaskLife.TestCase
