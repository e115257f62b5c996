"""The faults of fault scenarios; each one ends without further action."""

from sassafrasloft.runs import CommandOutcome
from sassafrasloft.testing.fleet.fault_scenarios import FaultScenario, register_fault
from sassafrasloft.testing.fleet.store_execution import STORE

LOSS_SHARES = (0.1, 0.3, 0.6)
"""Shares of runner commands, polls, store replies or writes that are affected."""


@register_fault("zone_cut")
def cut_zone(scenario: FaultScenario) -> None:
    """Isolate a zone from the others, and in most cases from the store as well."""
    zone = scenario.choose_zone()
    endpoints = scenario.endpoints()
    if scenario.random.random() < 0.3:
        endpoints.remove(STORE)
    inside = {one for one in endpoints if scenario.zone_of(one) == zone}
    scenario.record_event(f"zone {zone} store={STORE in endpoints}")
    scenario.cut(
        scenario.links_between(inside, set(endpoints) - inside),
        scenario.draw_duration(),
    )


@register_fault("instance_cut")
def cut_instance(scenario: FaultScenario) -> None:
    """Isolate an instance from all endpoints or from one kind of endpoint."""
    name = scenario.choose_instance()
    kinds = (
        set(scenario.endpoints()),
        set(scenario.world.instances),
        set(scenario.world.runners),
        {STORE},
    )
    others = scenario.random.choice(kinds) - {name}
    scenario.record_event(f"instance {name} from {len(others)} endpoints")
    scenario.cut(scenario.links_between({name}, others), scenario.draw_duration())


@register_fault("link_cuts")
def cut_links(scenario: FaultScenario) -> None:
    """Cut some one-way links between any endpoints."""
    endpoints = scenario.endpoints()
    chosen = [
        scenario.random.sample(endpoints, 2)
        for _ in range(scenario.random.choice((4, 30)))
    ]
    scenario.cut({(one, two) for one, two in chosen}, scenario.draw_duration())


@register_fault("instances_cut")
def cut_instances(scenario: FaultScenario) -> None:
    """Isolate a random group of instances from the other instances."""
    names = sorted(scenario.world.instances)
    count = scenario.random.randint(1, len(names) - 1)
    group = set(scenario.random.sample(names, count))
    scenario.record_event(f"instances {sorted(group)}")
    scenario.cut(
        scenario.links_between(group, set(names) - group), scenario.draw_duration()
    )


@register_fault("runner_cut")
def cut_runner(scenario: FaultScenario) -> None:
    """Cut the links between some runners and some instances."""
    world = scenario.world
    runners = scenario.random.sample(
        sorted(world.runners), scenario.random.randint(1, 3)
    )
    names = sorted(world.instances)
    affected = scenario.random.sample(names, scenario.random.randint(1, len(names)))
    scenario.cut(
        scenario.links_between(set(runners), set(affected)), scenario.draw_duration()
    )


@register_fault("store_cut")
def cut_store(scenario: FaultScenario) -> None:
    """Cut the links between the store and some instances."""
    names = sorted(scenario.world.instances)
    affected = set(
        scenario.random.sample(names, scenario.random.randint(1, len(names)))
    )
    scenario.record_event(f"store from {sorted(affected)}")
    scenario.cut(scenario.links_between({STORE}, affected), scenario.draw_duration())


@register_fault("store_down")
def stop_store(scenario: FaultScenario) -> None:
    """Stop the store; leases are either paused or continue to expire."""
    world = scenario.world
    duration_ms = scenario.draw_duration()
    pauses = scenario.random.random() < 0.5
    world.store_down = True

    def end() -> None:
        world.store_down = False
        if pauses:
            world.store.extend_leases(int(duration_ms))

    scenario.schedule(duration_ms, end)


@register_fault("kill")
def kill_instance(scenario: FaultScenario) -> None:
    """Kill an instance, or power off its machine, and start it again."""
    world = scenario.world
    name = scenario.choose_instance()
    if not world.instances[name].alive:
        return
    scenario.record_event(f"instance {name}")
    if scenario.random.random() < 0.5:
        world.kill(name)
    else:
        world.power_off(name)
    zone = scenario.zone_of(name)
    scenario.schedule(
        scenario.draw_duration(), lambda: world.start_instance(name, zone)
    )


@register_fault("freeze")
def freeze_instance(scenario: FaultScenario) -> None:
    """Suspend an instance and resume it."""
    world = scenario.world
    name = scenario.choose_instance()
    process = world.instances[name]
    if process.frozen or not process.alive:
        return
    scenario.record_event(f"instance {name}")
    world.freeze(name)

    def thaw() -> None:
        if world.instances[name] is process:
            world.thaw(name)

    scenario.schedule(scenario.draw_duration(), thaw)


@register_fault("stop")
def stop_instance(scenario: FaultScenario) -> None:
    """Ask an instance to stop, and start it again after the time for its shutdown."""
    world = scenario.world
    name = scenario.choose_instance()
    process = world.instances[name]
    if not process.alive:
        return
    scenario.record_event(f"instance {name}")
    world.stop(name)
    zone = scenario.zone_of(name)

    def start() -> None:
        if world.instances[name] is process:
            if process.alive:
                world.kill(name)
            world.start_instance(name, zone)

    scenario.schedule(6_000, start)


@register_fault("slow")
def slow_instance(scenario: FaultScenario) -> None:
    """Delay the timers of an instance."""
    world = scenario.world
    name = scenario.choose_instance()
    previous_delay_ms = world.timer_delays_ms.get(name, 0)
    world.timer_delays_ms[name] = scenario.random.choice((30, 60, 120))
    scenario.record_event(f"instance {name} by {world.timer_delays_ms[name]}")
    scenario.schedule(
        scenario.draw_duration(),
        lambda: world.timer_delays_ms.update({name: previous_delay_ms}),
    )


@register_fault("lost_calls")
def lose_calls(scenario: FaultScenario) -> None:
    """Lose or delay a share of the calls of one kind."""
    world = scenario.world
    kind = scenario.random.choice(
        ("late_orders", "lost_poll_share", "lose_replies", "delayed_write_share")
    )
    share = scenario.random.choice(LOSS_SHARES)
    scenario.record_event(f"{kind} {share}")
    setattr(world, kind, share)
    scenario.schedule(scenario.draw_duration(), lambda: setattr(world, kind, 0.0))


@register_fault("entries_lapse")
def expire_entries(scenario: FaultScenario) -> None:
    """Let most runner entries of a zone expire, and register the runners again."""
    world = scenario.world
    zone = scenario.choose_zone()
    entries = [
        one.entry
        for _, one in sorted(world.runners.items())
        if one.entry.zone == zone and scenario.random.random() < 0.8
    ]
    scenario.record_event(f"zone {zone}, {len(entries)} entries")
    for entry in entries:
        world.unregister(entry.runner_id)

    def register_again() -> None:
        for entry in entries:
            world.register(world.runners[entry.runner_id].entry)

    scenario.schedule(scenario.draw_duration(), register_again)


@register_fault("runner_restart")
def restart_runner(scenario: FaultScenario) -> None:
    """Crash a runner and restart it at once under the same id."""
    scenario.world.restart_runner(
        scenario.random.choice(sorted(scenario.world.runners))
    )


@register_fault("runners_reject", by_default=False)
def reject_commands(scenario: FaultScenario) -> None:
    """Let some runners reject a share of all commands, or all stops."""
    faults = scenario.world.runner_faults
    names = sorted(scenario.world.runners)
    chosen = scenario.random.sample(names, scenario.random.randint(1, 4))
    share = scenario.random.choice((0.0, 0.5, 0.9, 1.0))
    scenario.record_event(f"{chosen} reject {share or 'stops'}")
    if share:
        faults.rejected_shares.update(dict.fromkeys(chosen, share))
    else:
        faults.stops.update(dict.fromkeys(chosen, CommandOutcome.UNHEALTHY))

    def end() -> None:
        for name in chosen:
            faults.rejected_shares.pop(name, None)
            faults.stops.pop(name, None)

    scenario.schedule(scenario.draw_duration(), end)
