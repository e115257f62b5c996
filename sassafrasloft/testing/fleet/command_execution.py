"""Executes the commands of the instances of a test fleet.

Models the I/O layer: the streams between instances, the calls to the store and to the
runners, the timers and the processor time.
"""

import attrs
import msgpack

from sassafrasloft.blackboard import Command, DecisionCore, Event, SetTimer, TimerFired
from sassafrasloft.clock import Milliseconds
from sassafrasloft.gateway import CallerAnswer
from sassafrasloft.instance.commands import (
    AnswerCaller,
    CallRunner,
    CallStore,
    CloseStream,
    ExitProcess,
    OpenStream,
    SendMessage,
    SetReadiness,
    WriteLog,
)
from sassafrasloft.instance.events import (
    MessageReceived,
    RunnerReplied,
    StreamClosed,
    StreamOpened,
)
from sassafrasloft.instance.message_codec import decode_message, encode_message
from sassafrasloft.runs import (
    CommandOutcome,
    PollReply,
    PollRuns,
    RunnerReply,
    StartReply,
    StartRun,
    StopReply,
    StopRun,
)
from sassafrasloft.standins.lease_runner import LeaseRunnerStandin
from sassafrasloft.testing.event_queue import Action
from sassafrasloft.testing.fleet.processor import Processor
from sassafrasloft.testing.fleet.runner_faults import StartFault
from sassafrasloft.testing.fleet.store_execution import StoreExecutor
from sassafrasloft.workload import JobRequest, Route

INITIAL_CLOCK_MS = 5_000_000
ONE_WAY_DELAY_MS = 1.0
HOST = "callers.example"
SERVICE = "desk"
_REPLIES = {StartRun: StartReply, StopRun: StopReply, PollRuns: PollReply}


@attrs.define(eq=False)
class TestJob:
    """A job that a test submits, with its answers and their times."""

    __test__ = False

    job: JobRequest
    route: Route
    submitted_at: Milliseconds
    answers: list[tuple[Milliseconds, CallerAnswer]] = attrs.field(factory=list)
    open_requests: int = 0

    @property
    def answer(self) -> CallerAnswer | None:
        """The first answer, if there is one."""
        return self.answers[0][1] if self.answers else None

    @property
    def waited_ms(self) -> float:
        """The time from the first submission to the first answer."""
        return self.answers[0][0] - self.submitted_at


@attrs.define(eq=False)
class Instance:
    """One process of an instance, with its decision core and its connections."""

    name: str
    zone: str
    address: str
    core: DecisionCore
    timers: dict[str, int] = attrs.field(factory=dict)
    alive: bool = True
    frozen: bool = False
    ready: bool = False
    deferred_events: list[Event] = attrs.field(factory=list)
    streams: dict[int, tuple["Instance", int]] = attrs.field(factory=dict)
    """The peer and its id of the stream, by the id on this side."""
    requests: dict[int, TestJob] = attrs.field(factory=dict)
    log: list[tuple[float, WriteLog]] = attrs.field(factory=list)
    next_stream: int = 1 << 40
    processor: Processor = attrs.field(factory=Processor)
    blocked_deliveries: dict[int, list[Action]] = attrs.field(factory=dict)
    """Deliveries, by stream, that await the end of a cut, in order."""


class FleetCommandExecutor(StoreExecutor):
    """Executes commands with the stand-ins of a fleet; the subclass holds the state."""

    def _set_timer(self, instance: Instance, name: str, at: int) -> None:
        instance.timers[name] = at

        def fire() -> None:
            if instance.timers.get(name) == at:
                del instance.timers[name]
                self.tell(instance, TimerFired(name))

        self.queue.at(at + self.timer_delays_ms.get(instance.name, 0), fire)

    def _record_answer(
        self, instance: Instance, request_id: int, answer: CallerAnswer
    ) -> None:
        job = instance.requests.pop(request_id, None)
        if job is None:
            return
        job.open_requests -= 1
        job.answers.append((self.now, answer))
        self.audit.check_answer(job.job.job_id, answer, self.now, job.open_requests)

    def _call_runner(self, instance: Instance, command: CallRunner) -> None:
        self.queue.after(
            ONE_WAY_DELAY_MS, lambda: self._execute_at_runner(instance, command)
        )
        outcome = _REPLIES[type(command.order)](CommandOutcome.UNKNOWN)
        self.queue.after(
            command.timeout_ms,
            lambda: self._deliver_runner_reply(instance, command, outcome),
        )

    def _execute_at_runner(self, instance: Instance, command: CallRunner) -> None:
        runner = self.runners.get(command.runner_id)
        if runner is None or self.cut(instance.name, command.runner_id):
            return
        order = command.order
        rejection = self.runner_faults.rejection(command.runner_id, order, self.random)
        if rejection is not None:
            reply = _REPLIES[type(order)](rejection)
            self._send_runner_reply(instance, command, reply)
            return
        if isinstance(order, StartRun) and self._apply_start_fault(instance, command):
            return
        if not isinstance(order, PollRuns) and self.random.random() < self.late_orders:
            delay = self.random.uniform(200, 3_000)
            self.queue.after(delay, lambda: self._execute_delayed_command(command))
            return
        if isinstance(order, PollRuns) and self.random.random() < self.lost_poll_share:
            return
        reply = runner.take(order, self.now)
        self._schedule_advance(runner)
        done = reply.outcome is CommandOutcome.DONE
        if isinstance(order, PollRuns) and order.wait_ms and done and not reply.ended:
            self._continue_long_poll(instance, command, runner, order.wait_ms)
            return
        self._send_runner_reply(instance, command, reply)

    def _apply_start_fault(self, instance: Instance, command: CallRunner) -> bool:
        """Apply the fault of the runner to a start; return whether it has one."""
        fault = self.runner_faults.apply_to_start(command.runner_id, instance.zone)
        if fault is StartFault.REFUSED:
            self._send_runner_reply(
                instance, command, StartReply(CommandOutcome.UNHEALTHY)
            )
        elif fault is StartFault.RESET:
            self._send_runner_reply(
                instance, command, StartReply(CommandOutcome.UNKNOWN)
            )
        return fault is not None

    def _execute_delayed_command(self, command: CallRunner) -> None:
        runner = self.runners.get(command.runner_id)
        if runner is not None:
            runner.take(command.order, self.now)
            self._schedule_advance(runner)

    def _continue_long_poll(
        self,
        instance: Instance,
        command: CallRunner,
        runner: LeaseRunnerStandin,
        remaining_ms: float,
    ) -> None:
        """Answer a long poll when a run ends or when its wait time has passed."""
        poll_interval_ms = 2.0
        if self.runners.get(command.runner_id) is not runner:
            return
        runner.advance(self.now)
        if remaining_ms <= 0 or runner.has_unseen_ends(command.order):
            listed = attrs.evolve(command.order, lease_end_ms=0)
            self._send_runner_reply(instance, command, runner.take(listed, self.now))
            return
        self.queue.after(
            poll_interval_ms,
            lambda: self._continue_long_poll(
                instance, command, runner, remaining_ms - poll_interval_ms
            ),
        )

    def _schedule_advance(self, runner: LeaseRunnerStandin) -> None:
        at = runner.next_change()
        if at != float("inf") and self._next_advance_at.get(runner, float("inf")) > at:
            self._next_advance_at[runner] = at
            self.queue.at(at + 1, lambda: self._advance_runner(runner))

    def _advance_runner(self, runner: LeaseRunnerStandin) -> None:
        self._next_advance_at.pop(runner, None)
        runner.advance(self.now)
        if runner.next_change() > self.queue.now:
            self._schedule_advance(runner)

    def _send_runner_reply(
        self, instance: Instance, command: CallRunner, reply: RunnerReply
    ) -> None:
        if self.cut(command.runner_id, instance.name):
            return
        if self.runner_faults.loses_reply(command.runner_id, self.random):
            return
        self.queue.after(
            ONE_WAY_DELAY_MS,
            lambda: self._deliver_runner_reply(instance, command, reply),
        )

    def _deliver_runner_reply(
        self, instance: Instance, command: CallRunner, reply: RunnerReply
    ) -> None:
        """Deliver a reply to the instance; the core ignores all but the first."""
        self.tell(instance, RunnerReplied(command.call_id, reply))

    def _instance_at(self, address: str) -> Instance | None:
        for instance in self.instances.values():
            if instance.address == address:
                return instance
        return None

    def _open_stream(
        self, instance: Instance, stream_id: int, address: str, timeout_ms: int
    ) -> None:
        other = self._instance_at(address)
        is_unreachable = (
            other is None
            or other.frozen
            or self.cut(instance.name, other.name)
            or self.cut(other.name, instance.name)
            or (not other.alive and other.name in self.powered_off)
        )
        if is_unreachable:
            event = StreamClosed(stream_id, timed_out=True)
            self.queue.after(timeout_ms, lambda: self.tell(instance, event))
            return
        if not other.alive:
            event = StreamClosed(stream_id, refused=True)
            self.queue.after(2 * ONE_WAY_DELAY_MS, lambda: self.tell(instance, event))
            return
        other.next_stream += 1
        other_id = other.next_stream
        instance.streams[stream_id] = (other, other_id)
        other.streams[other_id] = (instance, stream_id)
        self.queue.after(
            2 * ONE_WAY_DELAY_MS, lambda: self.tell(instance, StreamOpened(stream_id))
        )

    def _close_stream(self, instance: Instance, stream_id: int) -> None:
        endpoint = instance.streams.pop(stream_id, None)
        if endpoint is not None:
            other, other_id = endpoint
            self._transmit(
                instance,
                stream_id,
                other,
                lambda: self._handle_remote_close(other, other_id),
            )

    def _send_message(self, instance: Instance, stream_id: int, data: bytes) -> None:
        pair = instance.streams.get(stream_id)
        if pair is None:
            return
        other, other_id = pair

        def arrive() -> None:
            if other_id in other.streams:
                message = decode_message(msgpack.unpackb(data))
                self.tell(other, MessageReceived(other_id, message))

        self._transmit(instance, stream_id, other, arrive)

    def _transmit(
        self, instance: Instance, stream_id: int, other: Instance, arrive: Action
    ) -> None:
        """Deliver on a stream in order; a cut loses or delays the delivery."""
        blocked = instance.blocked_deliveries.get(stream_id)
        if blocked is not None:
            blocked.append(arrive)
        elif not self.cut(instance.name, other.name):
            self.queue.after(ONE_WAY_DELAY_MS, arrive)
        elif self.retransmit_interval_ms:
            instance.blocked_deliveries[stream_id] = [arrive]
            self._retransmit_later(instance, stream_id, other)

    def _retransmit_later(
        self, instance: Instance, stream_id: int, other: Instance
    ) -> None:
        def retransmit() -> None:
            if self.cut(instance.name, other.name):
                self._retransmit_later(instance, stream_id, other)
                return
            for arrive in instance.blocked_deliveries.pop(stream_id, ()):
                self.queue.after(ONE_WAY_DELAY_MS, arrive)

        self.queue.after(self.retransmit_interval_ms, retransmit)

    def _handle_remote_close(self, instance: Instance, stream_id: int) -> None:
        instance.blocked_deliveries.pop(stream_id, None)
        if instance.streams.pop(stream_id, None) is not None:
            self.tell(instance, StreamClosed(stream_id))

    def _execute(self, instance: Instance, command: Command) -> None:
        match command:
            case SetTimer(name, at):
                self._set_timer(instance, name, at)
            case CallStore():
                self._call_store(instance, command)
            case CallRunner():
                self._call_runner(instance, command)
            case OpenStream(stream_id, address, timeout_ms):
                self._open_stream(instance, stream_id, address, timeout_ms)
            case CloseStream(stream_id):
                self._close_stream(instance, stream_id)
            case SendMessage(stream_id, message):
                self._send_message(instance, stream_id, encode_message(message))
            case AnswerCaller(request_id, answer):
                self._record_answer(instance, request_id, answer)
            case SetReadiness(ready):
                instance.ready = ready
            case WriteLog():
                instance.log.append((self.queue.now, command))
            case ExitProcess():
                self.kill(instance.name)

    def tell(self, instance: Instance, event: Event) -> None:
        """Deliver an event to a process; a frozen process defers it."""
        if not instance.alive:
            return
        if instance.frozen:
            instance.deferred_events.append(event)
            return
        if self.costs is not None:
            instance.processor.waiting.append(event)
            self._process_next_event(instance)
            return
        self._execute_commands(instance, instance.core.step(event, self.now))

    def _process_next_event(self, instance: Instance) -> None:
        """Start the next event; its commands are executed when it is complete."""
        processor = instance.processor
        if processor.busy or not processor.waiting:
            return
        event = processor.waiting.popleft()
        processor.busy = True
        commands = instance.core.step(event, self.now)
        duration = self.costs.of(event, commands) / processor.cores
        processor.busy_ms += duration
        self.queue.after(duration, lambda: self._complete_event(instance, commands))

    def _complete_event(self, instance: Instance, commands: list[Command]) -> None:
        instance.processor.busy = False
        if not instance.alive:
            return
        self._execute_commands(instance, commands)
        if not instance.frozen:
            self._process_next_event(instance)

    def _execute_commands(self, instance: Instance, commands: list[Command]) -> None:
        for command in commands:
            self._execute(instance, command)
        board = instance.core.board
        self.audit.check_configuration_version(
            board.incarnation, board.configuration.current.version
        )

    @property
    def now(self) -> int:
        """The simulated time in milliseconds."""
        return int(self.queue.now)
