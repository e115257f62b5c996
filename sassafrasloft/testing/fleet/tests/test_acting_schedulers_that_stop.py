"""Planned stops in an availability zone that is cut off.

Load pattern: instances are restarted in turn while their zone is isolated, so that the
acting scheduler, and those that may follow it, are asked to stop.
"""

import pytest

from sassafrasloft.leadership import Role
from sassafrasloft.testing.fleet.tests.situations import (
    is_completed,
    scheduler_of,
    settled_world,
    submit_lookup,
)
from sassafrasloft.testing.fleet.tests.test_partitions import isolate_zone

FLEET = {"north": 4, "south": 4, "west": 4}
ELECTION_MS = 900
"""Time after the cut within which the zone has an acting scheduler."""


def zone_without_scheduler(world):
    holder = world.instances[scheduler_of(world)].zone
    return next(zone for zone in FLEET if zone != holder)


def names_in(world, zone):
    return [name for name, one in world.instances.items() if one.zone == zone]


def acting_in(world, zone):
    return [
        name
        for name in names_in(world, zone)
        if world.instances[name].alive
        and world.instances[name].core.board.leadership.role is Role.ACTING
    ]


def count_events(world, zone, event):
    """Return how often instances of a zone have logged an event."""
    return sum(
        line.event == event
        for name in names_in(world, zone)
        for _, line in world.instances[name].log
    )


def strongest_in(world, zone):
    """Return the instance that would become the acting scheduler."""
    members = world.instances[scheduler_of(world)].core.board.leadership.members
    inside = [one for one in members if one.zone == zone]
    return min(inside, key=lambda one: (-one.cores, one.slot)).name


def submit_for(world, names, duration_ms, first):
    jobs = []
    for number in range(duration_ms // 40):
        jobs.append(submit_lookup(world, first + number, names[number % len(names)]))
        world.run(40)
    return jobs


def test_instance_that_stops_does_not_become_acting_scheduler():
    """Guards against an acting scheduler that exits shortly after it was chosen.

    All jobs in its zone were then answered as possibly run, and the zone was without a
    scheduler a second time.
    """
    world = settled_world(FLEET, runners=4)
    zone = zone_without_scheduler(world)
    stopping = strongest_in(world, zone)
    world.stop(stopping)
    world.run(1_000)
    isolate_zone(world, zone, True)
    world.run(ELECTION_MS)
    (acting,) = acting_in(world, zone)
    assert acting != stopping
    others = [name for name in names_in(world, zone) if name != stopping]
    jobs = submit_for(world, others, 3_000, first=100)
    world.run(300)
    assert all(is_completed(job) for job in jobs)
    assert count_events(world, zone, "acting_scheduler") == 1


def test_zone_whose_instances_all_stop_still_has_an_acting_scheduler():
    """Guards against a zone that serves nobody since all its instances stop."""
    world = settled_world(FLEET, runners=4)
    zone = zone_without_scheduler(world)
    isolate_zone(world, zone, True)
    for name in names_in(world, zone):
        world.stop(name)
    world.run(ELECTION_MS)
    assert len(acting_in(world, zone)) == 1


@pytest.mark.parametrize("cut_goes_on_ms", [1_500, 4_000])
def test_acting_scheduler_that_is_asked_to_stop_serves_until_the_cut_ends(
    cut_goes_on_ms,
):
    """Guards against a planned stop that takes the scheduler from its whole zone."""
    world = settled_world(FLEET, runners=4)
    zone = zone_without_scheduler(world)
    isolate_zone(world, zone, True)
    world.run(ELECTION_MS)
    (acting,) = acting_in(world, zone)
    world.stop(acting)
    others = [name for name in names_in(world, zone) if name != acting]
    jobs = submit_for(world, others, cut_goes_on_ms, first=100)
    world.cut = lambda one, other: False
    jobs += submit_for(world, others, 1_200, first=300)
    world.run(500)
    assert not [job for job in jobs if not is_completed(job)]
    assert not world.instances[acting].alive


def test_next_acting_scheduler_is_not_fenced_by_the_last_one():
    """Guards against a second election, as the token of a successor is too low.

    Here the first acting scheduler has the highest slot of its zone.
    """
    cores = {f"{zone}-3": 2.0 for zone in FLEET}
    world = settled_world(FLEET, runners=4, cores=cores)
    zone = zone_without_scheduler(world)
    isolate_zone(world, zone, True)
    world.run(ELECTION_MS)
    (acting,) = acting_in(world, zone)
    slots = {
        one.name: one.slot
        for one in world.instances[acting].core.board.leadership.members
    }
    world.kill(acting)
    world.run(ELECTION_MS)
    (successor,) = acting_in(world, zone)
    assert slots[successor] < slots[acting]
    assert count_events(world, zone, "runner_fenced") == 0
    assert count_events(world, zone, "right_lost") == 0


@pytest.mark.parametrize("stops_first", [True, False])
def test_leadership_is_claimed_while_an_acting_scheduler_stops(stops_first):
    """Guards against a fleet without a holder of leadership for a whole planned stop.

    A stopping instance may not claim it, and those that follow it had no reason to.
    """
    world = settled_world(FLEET, runners=4)
    world.store_down = True
    world.kill(scheduler_of(world))
    world.run(ELECTION_MS)
    (acting,) = [name for zone in FLEET for name in acting_in(world, zone)]
    if stops_first:
        world.stop(acting)
        world.run(500)
    world.store_down = False
    if not stops_first:
        world.stop(acting)
    world.run(2_000)
    assert scheduler_of(world) != acting
    names = [name for name, one in world.instances.items() if one.alive and one.ready]
    jobs = submit_for(world, names, 1_000, first=100)
    world.run(400)
    assert all(is_completed(job) for job in jobs)
