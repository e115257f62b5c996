"""The actor that owns the decision core of a process."""

import logging
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

import attrs
import pykka

from sassafrasloft.clock import Clock
from sassafrasloft.core import Command, DecisionCore, Event, Started
from sassafrasloft.metrics import MetricsRegistry

MAX_BUFFERED_SAMPLES = 500
"""Metric samples that the core may collect before they move into histograms."""

_LOGGER = logging.getLogger(__name__)

CommandHandler = Callable[[Command], None]


@attrs.frozen
class StartCore:
    """Starts the core and sets the handler for each class of command."""

    handlers: dict[type[Command], CommandHandler]


@attrs.frozen
class UpdateMetrics:
    """Asks the actor to copy the core's counters into the metrics registry."""


class DispatcherActor(pykka.ThreadingActor):
    """Passes events to the core one at a time and executes the resulting commands.

    Parameters
    ----------
    core : DecisionCore
        The decision core; only the thread of this actor may step it.
    clock : Clock
        Read when an event is processed, so that a pause of the process appears as
        a gap between two events.
    metrics : MetricsRegistry
        Metrics of the process.
    """

    use_daemon_thread = True

    @staticmethod
    def _create_actor_inbox() -> SimpleQueue:
        """Return a queue written in C, as each task passes through it several times."""
        return SimpleQueue()

    def __init__(
        self, core: DecisionCore, clock: Clock, metrics: MetricsRegistry
    ) -> None:
        super().__init__()
        self._core = core
        self._clock = clock
        self._metrics = metrics
        self._handlers: dict[type[Command], CommandHandler] = {}

    def on_receive(self, message: Any) -> Any:
        """Handle an event, the start message or a request to update the metrics."""
        if isinstance(message, Event):
            self._handle_event(message)
        elif isinstance(message, UpdateMetrics):
            self._update_metrics()
        elif isinstance(message, StartCore):
            self._handlers = message.handlers
            self._handle_event(Started())

    def _handle_event(self, event: Event) -> None:
        try:
            commands = self._core.step(event, self._clock.now())
        except Exception:
            # A failure on one event must not end the process and all of its jobs.
            _LOGGER.exception("the core failed on %s", type(event).__name__)
            self._metrics.add("core_faults")
            commands = self._core.board.take_commands()
        for command in commands:
            self._execute(command)
        if len(self._core.board.metrics.samples) > MAX_BUFFERED_SAMPLES:
            self._move_samples()

    def _execute(self, command: Command) -> None:
        try:
            self._handlers[type(command)](command)
        except Exception:
            _LOGGER.exception("command %s failed", type(command).__name__)
            self._metrics.add("command_faults")

    def _move_samples(self) -> None:
        counters = self._core.board.metrics
        samples, counters.samples = counters.samples, []
        self._metrics.record_all(samples)

    def _update_metrics(self) -> None:
        self._move_samples()
        board = self._core.board
        for name, value in board.metrics.values.items():
            self._metrics.set_counter(name, value)
        for kind, counts in (
            ("invariant_checks", board.auditor.checks),
            ("invariant_violations", board.auditor.violations),
        ):
            for invariant, count in counts.items():
                labels = (("invariant", invariant.value),)
                self._metrics.set_counter(kind, count, labels)
        in_flight = sum(len(one.in_flight) for one in board.upstreams.runners.values())
        self._metrics.set_gauge("tasks_in_flight", in_flight)
        self._metrics.set_gauge("tasks_waiting", board.queue.waiting_tasks)
        self._metrics.set_gauge("jobs_running", len(board.jobs.running))
        self._metrics.set_gauge("answers_kept", len(board.jobs.answers))
        self._metrics.set_gauge("settings_revision", board.settings.revision)
