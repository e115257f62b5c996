"""The scenarios of the policy benchmark."""

from collections.abc import Callable

import attrs

from sassafrasloft.testing import Workload, World

START_MS = 3_000.0
"""Instances find each other before the first job arrives."""

FAULT_MS = 20_000.0
"""When a scenario's fault begins."""

FaultSchedule = Callable[[World], None]


@attrs.frozen
class Scenario:
    """A workload and what happens meanwhile.

    Parameters
    ----------
    faults : callable
        Enters the faults into a world's queue.
    watched_runners : tuple of str
        Runners that must get no delivery 5 s after `FAULT_MS`.
    burst_jobs : int
        Jobs that arrive at once at `FAULT_MS`.
    """

    name: str
    workload: Workload
    faults: FaultSchedule
    watched_runners: tuple[str, ...] = ()
    burst_jobs: int = 0


_SCENARIOS: dict[str, Scenario] = {}

STEADY_70 = Workload(load=0.7)


def register_scenario(
    name: str,
    workload: Workload = STEADY_70,
    watched_runners: tuple[str, ...] = (),
    burst_jobs: int = 0,
) -> Callable[[FaultSchedule], FaultSchedule]:
    """Return a decorator that enters a scenario."""

    def enter(faults: FaultSchedule) -> FaultSchedule:
        _SCENARIOS[name] = Scenario(name, workload, faults, watched_runners, burst_jobs)
        return faults

    return enter


def scenarios() -> dict[str, Scenario]:
    """Return the scenarios by name, in order of registration."""
    return dict(_SCENARIOS)


def _at(world: World, time_ms: float, action: Callable[[], None]) -> None:
    world.queue.at(time_ms, action)


@register_scenario("load_30", Workload(load=0.3))
@register_scenario("load_70")
@register_scenario("load_95", Workload(load=0.95))
@register_scenario("declared_off_10x", Workload(load=0.7, declared_error_factor=10.0))
@register_scenario("burst", Workload(load=0.5), burst_jobs=40)
def no_faults(world: World) -> None:
    """Let nothing happen."""


@register_scenario("failing_worker", watched_runners=("runner-05",))
def failing_worker(world: World) -> None:
    """One worker fails everything that it starts."""
    faults = world.runners.hosts["runner-05"].logic.faults
    _at(world, FAULT_MS, lambda: setattr(faults, "fail_all", True))


@register_scenario("leaving_runner", watched_runners=("runner-05",))
def leaving_runner(world: World) -> None:
    """One runner leaves; the platform's list says so late."""

    def leave() -> None:
        runner = world.runners.hosts["runner-05"]
        runner.logic.faults.leaving = True
        world.platform.set_runner_state("runner-05", runner.settings.zone, "leaving")

    _at(world, FAULT_MS, leave)


@register_scenario("straggling_rack")
def straggling_rack(world: World) -> None:
    """All runners of one rack run five times slower for 20 s."""
    rack = [
        runner.logic.faults
        for runner in world.runners.hosts.values()
        if runner.settings.rack == "rack-2"
    ]

    def set_factor(factor: float) -> None:
        for faults in rack:
            faults.slow_factor = factor

    _at(world, FAULT_MS, lambda: set_factor(5.0))
    _at(world, FAULT_MS + 20_000, lambda: set_factor(1.0))


@register_scenario("silent_connections")
def silent_connections(world: World) -> None:
    """All open connections between a third of all pairs go silent."""

    def silence() -> None:
        pairs = [(i, r) for i in world.hosts for r in world.runners.hosts]
        for place, (instance, runner) in enumerate(pairs):
            if place % 3 == 0:
                world.runners.silence(instance, runner)

    _at(world, FAULT_MS, silence)


@register_scenario("cancellation_wave")
def cancellation_wave(world: World) -> None:
    """Half of the callers cancel at once."""

    def cancel() -> None:
        for caller in world.callers.callers[::2]:
            caller.cancel()

    _at(world, FAULT_MS, cancel)


@register_scenario("rolling_restart")
def rolling_restart(world: World) -> None:
    """All instances are drained and replaced, one after the other."""
    names = [instance.name for instance in world.settings.instances]

    def drain(place: int) -> None:
        if place < len(names):
            world.drain_instance(names[place])
            world.queue.after(500, lambda: wait_for_exit(place))

    def wait_for_exit(place: int) -> None:
        if world.hosts[names[place]].alive:
            world.queue.after(500, lambda: wait_for_exit(place))
            return
        world.restart_instance(names[place])
        world.queue.after(1_000, lambda: drain(place + 1))

    _at(world, 10_000, lambda: drain(0))


@register_scenario("instance_crash")
def instance_crash(world: World) -> None:
    """One instance is killed and replaced 10 s later."""
    name = world.settings.instances[0].name
    _at(world, FAULT_MS, lambda: world.kill_instance(name))
    _at(world, FAULT_MS + 10_000, lambda: world.restart_instance(name))


@register_scenario("zone_cut")
def zone_cut(world: World) -> None:
    """One zone is cut off from the others and the platform for 15 s."""
    zone = world.settings.zones[0]
    _at(world, FAULT_MS, lambda: world.partition_zone(zone))
    _at(world, FAULT_MS + 15_000, world.heal)


@register_scenario("platform_down")
def platform_down(world: World) -> None:
    """Let the platform refuse all calls from the start to the end."""
    faults = world.platform.logic.faults
    _at(world, START_MS, lambda: setattr(faults, "outage", True))
