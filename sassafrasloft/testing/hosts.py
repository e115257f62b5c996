"""Simulated processes of entry instances: decision cores with their timers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from sassafrasloft.core import (
    Blackboard,
    Command,
    DecisionCore,
    Event,
    Exit,
    SetTimer,
    Started,
    TimerFired,
)
from sassafrasloft.invariants import InvariantChecker
from sassafrasloft.settings import InstanceSettings, ServiceSettings
from sassafrasloft.state import Identity

if TYPE_CHECKING:
    from sassafrasloft.testing.world import World

CoreFactory = Callable[[Blackboard], DecisionCore]


class InstanceHost:
    """Simulated process of an entry instance, which can be paused or killed.

    Parameters
    ----------
    world : World
        Carries out the commands of the core.
    settings : InstanceSettings
        Name, zone and addresses of the instance.
    service : ServiceSettings
        Settings of the service that the process is started with.
    random : random.Random
        Draws the incarnation and seeds the random generator of the core.
    make_core : callable
        Returns a core for a blackboard.

    Attributes
    ----------
    alive : bool
        Whether the process has neither exited nor been killed.
    serving : bool
        Whether the health check tells the load balancer to send connections.
    draining : bool
        Whether a planned stop was requested.
    """

    def __init__(
        self,
        world: World,
        settings: InstanceSettings,
        service: ServiceSettings,
        random: Random,
        make_core: CoreFactory,
    ) -> None:
        self._world = world
        self._settings = settings
        self._timers: dict[str, int] = {}
        self._timer_versions = 0
        self._paused_until_ms = -1.0
        self._deferred_events: list[Event] = []
        self._replaying_deferred = False
        self._exiting = False
        self.alive = True
        self.serving = True
        self.draining = False
        identity = Identity(
            settings.name,
            settings.zone,
            f"{random.getrandbits(64):016x}",
            random.randbytes(16),
        )
        core_random = Random(random.getrandbits(64))
        board = Blackboard(
            identity, service, core_random, InvariantChecker(strict=True)
        )
        self._core = make_core(board)

    @property
    def name(self) -> str:
        """The name of the instance."""
        return self._settings.name

    @property
    def settings(self) -> InstanceSettings:
        """The name, zone and addresses of the instance."""
        return self._settings

    @property
    def zone(self) -> str:
        """The availability zone of the instance."""
        return self._settings.zone

    @property
    def board(self) -> Blackboard:
        """The blackboard, which holds the state of the core."""
        return self._core.board

    @property
    def paused(self) -> bool:
        """Whether the process is paused."""
        return self._world.now < self._paused_until_ms

    def start(self) -> None:
        """Pass the first event, `Started`, to the core."""
        self.handle_event(Started())

    def handle_event(self, event: Event) -> None:
        """Pass an event to the core, or defer it while the process is paused."""
        if not self.alive:
            return
        if self.paused:
            self._deferred_events.append(event)
            return
        self._run_step(event)

    def pause(self, duration_ms: float) -> None:
        """Suspend the process; it defers events, as its sockets would buffer them."""
        self._paused_until_ms = self._world.now + duration_ms
        self._world.queue.at(self._paused_until_ms, self._resume)

    def kill(self) -> None:
        """End the process immediately and drop its deferred events."""
        self.alive = False
        self._deferred_events.clear()

    def _resume(self) -> None:
        if self.paused:
            return
        deferred, self._deferred_events = self._deferred_events, []
        self._replaying_deferred = True
        for event in deferred:
            self.handle_event(event)
        self._replaying_deferred = False
        if self._exiting and self.alive:
            self._world.instance_exited(self)

    def _run_step(self, event: Event) -> None:
        commands = self._core.step(event, int(self._world.now))
        self._world.observer.on_step(self, event, commands)
        for command in commands:
            self._carry_out(command)

    def _carry_out(self, command: Command) -> None:
        if isinstance(command, SetTimer):
            self._set_timer(command)
        elif isinstance(command, Exit):
            # An exiting process first handles what its sockets have buffered.
            self._exiting = True
            if not self._replaying_deferred:
                self._world.instance_exited(self)
        else:
            self._world.carry_out(self, command)

    def _set_timer(self, command: SetTimer) -> None:
        self._timer_versions += 1
        version = self._timer_versions
        self._timers[command.name] = version
        self._world.queue.at(
            command.due_ms, lambda: self._fire_timer(command.name, version)
        )

    def _fire_timer(self, name: str, version: int) -> None:
        if self._timers.get(name) != version or not self.alive:
            return
        if not self.paused:
            del self._timers[name]
        self.handle_event(TimerFired(name))
