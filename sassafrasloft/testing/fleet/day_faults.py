"""The faults of fault days; each ends by itself."""

from sassafrasloft.testing.fleet.edges import STORE
from sassafrasloft.testing.fleet.fault_days import FaultDay, register_fault

SHARES = (0.1, 0.3, 0.6)
"""Of orders, holds or replies that are lost."""


@register_fault("zone_cut")
def cut_zone(day: FaultDay) -> None:
    """Cut a zone off from the others, mostly from the store as well."""
    zone = day.a_zone()
    places = day.places()
    if day.random.random() < 0.3:
        places.remove(STORE)
    inside = {one for one in places if day.zone_of(one) == zone}
    day.note(f"zone {zone} store={STORE in places}")
    day.cut(day.links_of(inside, set(places) - inside), day.duration())


@register_fault("instance_cut")
def cut_instance(day: FaultDay) -> None:
    """Cut an instance off from all, or from a kind of place."""
    name = day.an_instance()
    kinds = (
        set(day.places()),
        set(day.world.instances),
        set(day.world.runners),
        {STORE},
    )
    others = day.random.choice(kinds) - {name}
    day.note(f"instance {name} from {len(others)} places")
    day.cut(day.links_of({name}, others), day.duration())


@register_fault("link_cuts")
def cut_links(day: FaultDay) -> None:
    """Cut some links between any places."""
    places = day.places()
    chosen = [day.random.sample(places, 2) for _ in range(day.random.choice((4, 30)))]
    day.cut({(one, two) for one, two in chosen}, day.duration())


@register_fault("instances_cut")
def cut_instances(day: FaultDay) -> None:
    """Cut a random group of instances off from the other instances."""
    names = sorted(day.world.instances)
    count = day.random.randint(1, len(names) - 1)
    group = set(day.random.sample(names, count))
    day.note(f"instances {sorted(group)}")
    day.cut(day.links_of(group, set(names) - group), day.duration())


@register_fault("runner_cut")
def cut_runner(day: FaultDay) -> None:
    """Cut some runners off from some instances."""
    world = day.world
    runners = day.random.sample(sorted(world.runners), day.random.randint(1, 3))
    names = sorted(world.instances)
    some = day.random.sample(names, day.random.randint(1, len(names)))
    day.cut(day.links_of(set(runners), set(some)), day.duration())


@register_fault("store_cut")
def cut_store(day: FaultDay) -> None:
    """Let the store turn some instances away."""
    names = sorted(day.world.instances)
    some = set(day.random.sample(names, day.random.randint(1, len(names))))
    day.note(f"store from {sorted(some)}")
    day.cut(day.links_of({STORE}, some), day.duration())


@register_fault("store_down")
def stop_store(day: FaultDay) -> None:
    """Stop the store; leases pause or run on."""
    world = day.world
    duration = day.duration()
    pauses = day.random.random() < 0.5
    world.store_down = True

    def end() -> None:
        world.store_down = False
        if pauses:
            world.store.extend_leases(int(duration))

    day.after(duration, end)


@register_fault("kill")
def kill_instance(day: FaultDay) -> None:
    """Kill an instance or its machine and start it again."""
    world = day.world
    name = day.an_instance()
    if not world.instances[name].alive:
        return
    day.note(f"instance {name}")
    if day.random.random() < 0.5:
        world.kill(name)
    else:
        world.power_off(name)
    zone = day.zone_of(name)
    day.after(day.duration(), lambda: world.start_instance(name, zone))


@register_fault("freeze")
def freeze_instance(day: FaultDay) -> None:
    """Suspend an instance and let it go on."""
    world = day.world
    name = day.an_instance()
    process = world.instances[name]
    if process.frozen or not process.alive:
        return
    day.note(f"instance {name}")
    world.freeze(name)

    def thaw() -> None:
        if world.instances[name] is process:
            world.thaw(name)

    day.after(day.duration(), thaw)


@register_fault("stop")
def stop_instance(day: FaultDay) -> None:
    """Ask an instance to stop, and start it again."""
    world = day.world
    name = day.an_instance()
    process = world.instances[name]
    if not process.alive:
        return
    day.note(f"instance {name}")
    world.stop(name)
    zone = day.zone_of(name)

    def start() -> None:
        if world.instances[name] is process:
            if process.alive:
                world.kill(name)
            world.start_instance(name, zone)

    day.after(6_000, start)


@register_fault("slow")
def slow_instance(day: FaultDay) -> None:
    """Let the timers of an instance come late."""
    world = day.world
    name = day.an_instance()
    before = world.timer_delay.get(name, 0)
    world.timer_delay[name] = day.random.choice((30, 60, 120))
    day.note(f"instance {name} by {world.timer_delay[name]}")
    day.after(day.duration(), lambda: world.timer_delay.update({name: before}))


@register_fault("lost_calls")
def lose_calls(day: FaultDay) -> None:
    """Lose or delay a share of one kind of call."""
    world = day.world
    kind = day.random.choice(
        ("late_orders", "lost_holds", "lose_replies", "late_writes")
    )
    share = day.random.choice(SHARES)
    day.note(f"{kind} {share}")
    setattr(world, kind, share)
    day.after(day.duration(), lambda: setattr(world, kind, 0.0))


@register_fault("entries_lapse")
def lapse_entries(day: FaultDay) -> None:
    """Let the entries of a zone's runners lapse, and come back."""
    world = day.world
    zone = day.a_zone()
    entries = [
        one.entry
        for _, one in sorted(world.runners.items())
        if one.entry.zone == zone and day.random.random() < 0.8
    ]
    day.note(f"zone {zone}, {len(entries)} entries")
    for entry in entries:
        world.unregister(entry.runner_id)

    def come_back() -> None:
        for entry in entries:
            world.register(world.runners[entry.runner_id].entry)

    day.after(day.duration(), come_back)


@register_fault("runner_restart")
def restart_runner(day: FaultDay) -> None:
    """Crash a runner; it starts again under its id."""
    day.world.restart_runner(day.random.choice(sorted(day.world.runners)))
