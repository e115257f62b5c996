"""Simulated runners and their connections to the instances."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from sassafrasloft.core import (
    AbandonDelivery,
    Command,
    Deliver,
    DeliveryFailed,
    Event,
    Fence,
    FenceReported,
    Probe,
    ProbeReported,
    Settle,
    SettleReported,
    StopTasks,
    TaskReported,
)
from sassafrasloft.jobs import ReportState, TaskKey, TaskReport
from sassafrasloft.settings import RunnerSettings
from sassafrasloft.standins.runner import (
    Delivery,
    OfferedTask,
    RunnerLimits,
    RunnerLogic,
)

if TYPE_CHECKING:
    from sassafrasloft.testing.hosts import InstanceHost
    from sassafrasloft.testing.world import World

STALE_CONNECTION_SHARE = 0.5
"""Share of deliveries across a partition that use a stale pooled connection.

They get no reply, whereas a new connection fails with a time-out.
"""


@attrs.define(eq=False)
class OpenDelivery:
    """A delivery to a runner that still awaits reports of tasks.

    Parameters
    ----------
    keys : set of TaskKey
        Tasks without a final report.
    unresponsive : bool
        Whether neither reports nor failures reach the instance any more.
    """

    delivery_id: str
    host: InstanceHost
    keys: set[TaskKey]
    unresponsive: bool = False


@attrs.define(eq=False)
class RunnerHost:
    """A runner process with its open deliveries.

    Parameters
    ----------
    incarnation_number : int
        Number of processes of the runner so far.
    next_wakeup_ms : float
        Time of the next scheduled wakeup; negative if there is none.
    recorded_starts : int
        Number of task starts that the ground truth has recorded.
    """

    settings: RunnerSettings
    logic: RunnerLogic
    alive: bool = True
    incarnation_number: int = 1
    next_wakeup_ms: float = -1.0
    recorded_starts: int = 0
    open_deliveries: dict[TaskKey, OpenDelivery] = attrs.field(factory=dict)


class RunnerLinks:
    """Carries commands to the runners and their replies back.

    Parameters
    ----------
    world : World
        Supplies the event queue, the network and the ground truth.
    random : random.Random
        Draws stale connections and duplicated reports.

    Attributes
    ----------
    duplicated_share : float
        Share of the reports that arrive twice.
    last_delivery_ms : dict of str to float
        Time of the last delivery to each runner.
    """

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._unresponsive_pairs: set[tuple[str, str]] = set()
        self.duplicated_share = 0.0
        self.last_delivery_ms: dict[str, float] = {}
        self.hosts: dict[str, RunnerHost] = {}
        for settings in world.settings.runners:
            limits = RunnerLimits(
                settings.slots,
                settings.cores,
                settings.memory_mb,
                settings.accelerators,
                world.settings.upstreams.result_retention_ms,
                settings.waiting_places,
            )
            logic = RunnerLogic(settings.name, f"{settings.name}-1", limits)
            self.hosts[settings.name] = RunnerHost(settings, logic)

    # Fault injection.

    def kill(self, name: str, power_loss: bool) -> None:
        """Kill a runner; its connections are reset, or unresponsive on power loss."""
        runner = self.hosts[name]
        runner.alive = False
        broken: dict[str, OpenDelivery] = {}
        for delivery in runner.open_deliveries.values():
            broken[delivery.delivery_id] = delivery
        runner.open_deliveries.clear()
        if power_loss:
            return
        for delivery in broken.values():
            self._fail_delivery(runner, delivery, sent=True, reason="connection reset")

    def restart(self, name: str) -> None:
        """Restart a runner that has ended, as a new incarnation."""
        runner = self.hosts[name]
        if runner.alive:
            return
        runner.incarnation_number += 1
        runner.alive = True
        runner.logic.restart(f"{name}-{runner.incarnation_number}")

    def silence(self, instance: str, name: str) -> None:
        """Make the open and pooled connections of a pair unresponsive.

        The open deliveries never get a reply, nor does the next delivery, which
        uses the pooled connection.
        """
        for delivery in self.hosts[name].open_deliveries.values():
            if delivery.host.name == instance:
                delivery.unresponsive = True
        self._unresponsive_pairs.add((instance, name))

    def close_instance_connections(self, host: InstanceHost) -> None:
        """Close the connections of an instance whose process ended."""
        for runner in self.hosts.values():
            for key, delivery in list(runner.open_deliveries.items()):
                if delivery.host is host:
                    del runner.open_deliveries[key]

    # Commands.

    def carry_out(self, host: InstanceHost, command: Command) -> None:
        """Send a command of an instance to its runner."""
        if isinstance(command, Deliver):
            self._deliver(host, command)
        elif isinstance(command, AbandonDelivery):
            self._abandon(host, command)
        elif isinstance(command, Settle | StopTasks):
            self._exchange_messages(
                host, command, self._settle_reply, self._settle_unreachable
            )
        elif isinstance(command, Fence):
            self._exchange_messages(
                host, command, self._fence_reply, self._fence_unreachable
            )
        elif isinstance(command, Probe):
            self._exchange_messages(
                host, command, self._probe_reply, self._probe_unreachable
            )
        else:
            raise TypeError(f"unknown runner command {type(command).__name__}")

    def _abandon(self, host: InstanceHost, command: AbandonDelivery) -> None:
        for delivery in self.hosts[command.runner].open_deliveries.values():
            if delivery.host is host and delivery.delivery_id == command.delivery_id:
                delivery.unresponsive = True

    def _is_reachable(self, host: InstanceHost, runner: RunnerHost) -> bool:
        return self._world.network.is_connected(host.zone, runner.settings.zone)

    def _latency_ms(self, host: InstanceHost, runner: RunnerHost) -> float:
        return self._world.network.latency_ms(host.zone, runner.settings.zone)

    def _deliver(self, host: InstanceHost, command: Deliver) -> None:
        self._world.traffic.deliveries += 1
        self.last_delivery_ms[command.runner] = self._world.now
        runner = self.hosts[command.runner]
        keys = {assignment.key for assignment in command.assignments}
        delivery = OpenDelivery(command.delivery_id, host, keys)
        pair = (host.name, command.runner)
        if pair in self._unresponsive_pairs:
            self._unresponsive_pairs.discard(pair)
            return
        if not self._is_reachable(host, runner):
            if self._random.random() >= STALE_CONNECTION_SHARE:
                timeout_ms = self._world.settings.upstreams.connect_timeout_ms
                self._fail_delivery(
                    runner, delivery, False, "connect timeout", timeout_ms
                )
            return
        if not runner.alive:
            self._fail_delivery(runner, delivery, False, "connection refused")
            return
        delay_ms = self._latency_ms(host, runner)
        self._world.queue.after(
            delay_ms, lambda: self._deliver_at_runner(runner, delivery, command)
        )

    def _deliver_at_runner(
        self, runner: RunnerHost, delivery: OpenDelivery, command: Deliver
    ) -> None:
        if not runner.alive or not self._is_reachable(delivery.host, runner):
            self._fail_delivery(runner, delivery, sent=True, reason="connection reset")
            return
        offered = tuple(
            OfferedTask(one.key, one.key.submission_id.split(".")[1], one.task)
            for one in command.assignments
        )
        request = Delivery(
            command.delivery_id,
            command.runner_incarnation,
            delivery.host.board.identity.incarnation,
            offered,
            command.lease_ms,
        )
        now = int(self._world.now)
        result = runner.logic.deliver(request, now)
        self._record_starts(runner)
        for key in result.accepted:
            if delivery.host.alive:
                runner.open_deliveries[key] = delivery
        for report in result.refused:
            self._world.traffic.count_wasted(f"refused_{report.reason}", 2)
            self._send_report(runner, delivery, report)
        self._schedule_wakeup(runner)

    def _record_starts(self, runner: RunnerHost) -> None:
        for start in runner.logic.starts_since(runner.recorded_starts):
            runner.recorded_starts += 1
            self._world.ground_truth.record_start(start.key, runner.settings.name)

    def _schedule_wakeup(self, runner: RunnerHost) -> None:
        due_ms = runner.logic.next_due_ms
        if due_ms is None or due_ms == runner.next_wakeup_ms:
            return
        runner.next_wakeup_ms = due_ms
        self._world.queue.at(due_ms, lambda: self._wake_runner(runner, due_ms))

    def _wake_runner(self, runner: RunnerHost, due_ms: float) -> None:
        if runner.next_wakeup_ms == due_ms:
            runner.next_wakeup_ms = -1.0
        if not runner.alive:
            return
        reports = runner.logic.advance(int(self._world.now))
        self._record_starts(runner)
        for report in reports:
            delivery = runner.open_deliveries.pop(report.key, None)
            if delivery is not None:
                self._send_report(runner, delivery, report)
        self._schedule_wakeup(runner)

    def _send_report(
        self, runner: RunnerHost, delivery: OpenDelivery, report: TaskReport
    ) -> None:
        delivery.keys.discard(report.key)
        host = delivery.host
        if delivery.unresponsive or not self._is_reachable(host, runner):
            return
        event = TaskReported(
            runner.settings.name, delivery.delivery_id, report, runner.logic.capacity
        )
        copies = 2 if self._random.random() < self.duplicated_share else 1
        for _ in range(copies):
            self._send_event(host, runner, event)

    def _send_event(self, host: InstanceHost, runner: RunnerHost, event: Event) -> None:
        delay_ms = self._latency_ms(host, runner)
        self._world.queue.after(delay_ms, lambda: host.handle_event(event))

    def _fail_delivery(
        self,
        runner: RunnerHost,
        delivery: OpenDelivery,
        sent: bool,
        reason: str,
        delay_ms: float = 1.0,
    ) -> None:
        keys = tuple(sorted(delivery.keys))
        event = DeliveryFailed(
            runner.settings.name, delivery.delivery_id, keys, sent, reason
        )
        if keys and not delivery.unresponsive:
            self._world.queue.after(delay_ms, lambda: delivery.host.handle_event(event))

    # Requests with a single reply, each on a new connection.

    def _exchange_messages(self, host, command, reply, unreachable) -> None:
        runner = self.hosts[command.runner]
        if not runner.alive or not self._is_reachable(host, runner):
            timeout_ms = self._world.settings.upstreams.settle_timeout_ms
            event = unreachable(command)
            self._world.queue.after(timeout_ms, lambda: host.handle_event(event))
            return

        def handle_request() -> None:
            if runner.alive and self._is_reachable(host, runner):
                self._send_event(host, runner, reply(runner, command))
            else:
                host.handle_event(unreachable(command))

        self._world.queue.after(self._latency_ms(host, runner), handle_request)

    def _settle_reply(
        self, runner: RunnerHost, command: Settle | StopTasks
    ) -> SettleReported:
        now = int(self._world.now)
        ask = (
            runner.logic.stop
            if isinstance(command, StopTasks)
            else (runner.logic.settle)
        )
        reports = tuple(ask(command.runner_incarnation, command.keys, now))
        for report in reports:
            if report.state is not ReportState.RUNNING:
                runner.open_deliveries.pop(report.key, None)
        if isinstance(command, StopTasks):
            self._wake_runner(runner, runner.next_wakeup_ms)  # A slot was freed.
        incarnation = runner.logic.capacity.runner_incarnation
        return SettleReported(command.runner, command.keys, True, incarnation, reports)

    def _settle_unreachable(self, command: Settle | StopTasks) -> SettleReported:
        return SettleReported(command.runner, command.keys, reachable=False)

    def _fence_reply(self, runner: RunnerHost, command: Fence) -> FenceReported:
        started = tuple(runner.logic.fence(command.incarnation))
        for report in runner.logic.drop_fenced():
            delivery = runner.open_deliveries.pop(report.key, None)
            if delivery is not None:
                self._send_report(runner, delivery, report)
        incarnation = runner.logic.capacity.runner_incarnation
        return FenceReported(
            command.runner, command.incarnation, True, incarnation, started
        )

    def _fence_unreachable(self, command: Fence) -> FenceReported:
        return FenceReported(command.runner, command.incarnation, reachable=False)

    def _probe_reply(self, runner: RunnerHost, command: Probe) -> ProbeReported:
        healthy = not runner.logic.faults.fail_all
        return ProbeReported(command.runner, True, healthy, runner.logic.capacity)

    def _probe_unreachable(self, command: Probe) -> ProbeReported:
        return ProbeReported(command.runner, reachable=False)
