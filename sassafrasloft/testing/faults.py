"""Faults that can be injected into a world, and random schedules of them."""

from collections.abc import Callable
from random import Random

import attrs

from sassafrasloft.testing.world import World

FaultAction = Callable[[World, Random], None]

_FAULTS: dict[str, FaultAction] = {}


def register_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Return a decorator that registers a fault under a name."""

    def register(action: FaultAction) -> FaultAction:
        if name in _FAULTS:
            raise ValueError(f"fault {name!r} is registered twice")
        _FAULTS[name] = action
        return action

    return register


def fault_names() -> tuple[str, ...]:
    """Return the names of all faults in order of registration."""
    return tuple(_FAULTS)


def inject_fault(name: str, world: World, random: Random) -> None:
    """Inject one fault now; its end is scheduled with it."""
    _FAULTS[name](world, random)


@attrs.frozen
class FaultPlan:
    """Random schedule of faults, drawn from a seed.

    Parameters
    ----------
    mean_gap_ms : float
        Mean time between faults.
    pair_share : float
        Share of the faults that occur together with a second one.
    names : tuple of str
        Names of the faults to draw from.
    """

    mean_gap_ms: float = 4_000.0
    pair_share: float = 0.4
    names: tuple[str, ...] = attrs.field(factory=fault_names)

    def schedule(self, world: World, random: Random, until_ms: float) -> int:
        """Schedule faults until a time and return their number."""
        now = random.expovariate(1 / self.mean_gap_ms)
        count = 0
        while now < until_ms:
            for _ in range(2 if random.random() < self.pair_share else 1):
                name = random.choice(self.names)
                fault_random = Random(random.getrandbits(64))
                world.queue.at(
                    now, lambda n=name, r=fault_random: inject_fault(n, world, r)
                )
                count += 1
            now += random.expovariate(1 / self.mean_gap_ms)
        return count


def _draw_host(world: World, random: Random) -> str:
    hosts = [host.name for host in world.live_hosts() if not host.draining]
    return random.choice(hosts) if len(hosts) > 1 else ""


def _draw_runner(world: World, random: Random) -> str:
    return random.choice(list(world.runners.hosts))


@register_fault("instance_crash")
def crash_instance(world: World, random: Random) -> None:
    """Kill an instance; the platform restarts it after 0.5 to 30 s."""
    name = _draw_host(world, random)
    if name:
        world.kill_instance(name)
        delay_ms = random.uniform(500, 30_000)
        world.queue.after(delay_ms, lambda: world.restart_instance(name))


@register_fault("instance_drain")
def drain_instance(world: World, random: Random) -> None:
    """Drain an instance and start a new process once it has exited."""
    name = _draw_host(world, random)
    if not name:
        return
    world.drain_instance(name)

    def replace() -> None:
        if world.hosts[name].alive:
            world.queue.after(1_000, replace)
        else:
            world.restart_instance(name)

    world.queue.after(1_000, replace)


@register_fault("instance_pause")
def pause_instance(world: World, random: Random) -> None:
    """Pause an instance, often for longer than its lease."""
    name = _draw_host(world, random)
    if name:
        world.hosts[name].pause(random.choice((500, 3_000, 12_000, 30_000)))


@register_fault("runner_crash")
def crash_runner(world: World, random: Random) -> None:
    """Kill a runner; its connections are reset, or stay open without replies."""
    name = _draw_runner(world, random)
    world.runners.kill(name, power_loss=random.random() < 0.5)
    delay_ms = random.uniform(500, 20_000)
    world.queue.after(delay_ms, lambda: world.runners.restart(name))


@register_fault("rack_loss")
def lose_rack(world: World, random: Random) -> None:
    """Cut the power of all runners in a rack."""
    rack = random.choice([runner.rack for runner in world.settings.runners])
    names = [runner.name for runner in world.settings.runners if runner.rack == rack]
    for name in names:
        world.runners.kill(name, power_loss=True)
        delay_ms = random.uniform(2_000, 20_000)
        world.queue.after(delay_ms, lambda n=name: world.runners.restart(n))


@register_fault("runner_fails_everything")
def fail_all_tasks(world: World, random: Random) -> None:
    """Let a runner fail each task immediately after its start."""
    runner = world.runners.hosts[_draw_runner(world, random)]
    runner.logic.faults.fail_all = True

    def end_fault() -> None:
        runner.logic.faults.fail_all = False

    world.queue.after(random.uniform(5_000, 20_000), end_fault)


@register_fault("runner_straggles")
def slow_runner(world: World, random: Random) -> None:
    """Slow a runner down by a factor of 3 to 10."""
    runner = world.runners.hosts[_draw_runner(world, random)]
    runner.logic.faults.slow_factor = random.uniform(3, 10)

    def end_fault() -> None:
        runner.logic.faults.slow_factor = 1.0

    world.queue.after(random.uniform(5_000, 20_000), end_fault)


@register_fault("runner_leaves")
def make_runner_leave(world: World, random: Random) -> None:
    """Let a runner leave, as reported by its replies and, with a lag, the list."""
    name = _draw_runner(world, random)
    runner = world.runners.hosts[name]
    zone = runner.settings.zone
    runner.logic.faults.leaving = True
    world.platform.set_runner_state(name, zone, "leaving")

    def end_fault() -> None:
        runner.logic.faults.leaving = False
        world.platform.set_runner_state(name, zone, "live")

    world.queue.after(random.uniform(10_000, 30_000), end_fault)


@register_fault("silent_connection")
def make_connections_unresponsive(world: World, random: Random) -> None:
    """Make the connections of an instance to three runners unresponsive for good."""
    name = _draw_host(world, random)
    if name:
        for runner in random.sample(list(world.runners.hosts), 3):
            world.runners.silence(name, runner)


@register_fault("zone_cut")
def partition_random_zone(world: World, random: Random) -> None:
    """Partition an availability zone, in half of the cases from the platform too."""
    zone = random.choice(world.settings.zones)
    world.partition_zone(zone, with_platform=random.random() < 0.5)
    world.queue.after(random.uniform(2_000, 40_000), world.heal)


@register_fault("lossy_streams")
def degrade_streams(world: World, random: Random) -> None:
    """Lose, duplicate and delay messages between instances.

    Reports of runners are duplicated as well.
    """
    world.network.lost_share = 0.1
    world.network.duplicated_share = 0.1
    world.network.jitter_ms = 20.0
    world.runners.duplicated_share = 0.1

    def end_fault() -> None:
        world.network.lost_share = 0.0
        world.network.duplicated_share = 0.0
        world.network.jitter_ms = 0.0
        world.runners.duplicated_share = 0.0

    world.queue.after(random.uniform(2_000, 10_000), end_fault)


@register_fault("platform_outage")
def stop_platform(world: World, random: Random) -> None:
    """Let the platform refuse every call."""
    world.platform.logic.faults.outage = True

    def end_fault() -> None:
        world.platform.logic.faults.outage = False

    world.queue.after(random.uniform(2_000, 60_000), end_fault)


@register_fault("platform_slow")
def slow_platform(world: World, random: Random) -> None:
    """Delay the replies of the platform and lose those of the next two writes."""
    faults = world.platform.logic.faults
    faults.slow_ms = random.choice((500, 3_000))
    faults.lose_writes += 2

    def end_fault() -> None:
        faults.slow_ms = 0

    world.queue.after(random.uniform(2_000, 20_000), end_fault)


@register_fault("watches_silent")
def make_watches_unresponsive(world: World, random: Random) -> None:
    """Make all waiting watches unresponsive for good."""
    world.platform.make_watches_unresponsive()


@register_fault("cancellation_wave")
def cancel_open_jobs(world: World, random: Random) -> None:
    """Let about a third of the callers cancel their open jobs."""
    for caller in world.callers.callers:
        if random.random() < 0.33:
            caller.cancel()


@register_fault("resubmission_wave")
def break_caller_connections(world: World, random: Random) -> None:
    """Break the connections of about a third of the callers, which resubmit."""
    for caller in world.callers.callers:
        if random.random() < 0.33:
            caller.handle_connection_loss()
