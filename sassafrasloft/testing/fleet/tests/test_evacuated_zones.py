"""Operators evacuate availability zones while the fleet changes.

The audit of the fleet fails each test in which a task starts in a zone that was
evacuated for longer than allowed.
"""

import pytest

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.instance.events import MessageReceived
from sassafrasloft.instance.messages import EvacuationReport
from sassafrasloft.leadership import Role
from sassafrasloft.metadata.evacuations import ZoneEvacuation
from sassafrasloft.testing.fleet.auditing import EVACUATION_MS
from sassafrasloft.testing.fleet.store_execution import STORE
from sassafrasloft.testing.fleet.tests.situations import (
    ZONES,
    follower_names,
    is_completed,
    scheduler_of,
    settled_world,
    submit_in_sequence,
    submit_lookup,
    submit_order,
)

ZONE = "north"
"""The zone whose runners come first, so that they are used under little load."""
STREAM_ID = 77
JOBS_UNTIL_DUE = EVACUATION_MS // 60 + 10
"""Jobs 60 ms apart that last until no task may start in the zone any more."""


def runs_in(world, zone):
    return sum(
        len(one.running) for one in world.runners.values() if one.entry.zone == zone
    )


def submit_until_due(world, first=100):
    """Submit jobs until after no task may start in the evacuated zone any more."""
    jobs = submit_in_sequence(world, JOBS_UNTIL_DUE, first=first)
    world.run(500)
    return jobs


def cut_from_store(world, names):
    names = set(names)
    world.cut = lambda one, other: STORE in (one, other) and names & {one, other}


def test_evacuated_zone_gets_no_tasks_and_its_runs_end():
    """Guards against starts in an evacuated zone, and against lost runs there."""
    world = settled_world(runners=8)
    instance = follower_names(world)[0]
    before = [submit_order(world, n, instance) for n in range(1, 12)]
    world.run(60)
    assert runs_in(world, ZONE)
    world.evacuate(ZONE)
    jobs = submit_until_due(world)
    assert all(is_completed(job) for job in [*before, *jobs])
    assert not runs_in(world, ZONE)


def test_zone_that_is_given_back_gets_tasks_again():
    """Guards against capacity that is lost for good after an evacuation."""
    world = settled_world(runners=2)
    world.evacuate(ZONE)
    world.run(100)
    world.give_back(ZONE)
    world.run(100)
    for number in range(1, 7):
        submit_order(world, number, follower_names(world)[0])
    world.run(60)
    assert runs_in(world, ZONE)


@pytest.mark.parametrize("delay_ms", [0, 3, 20])
def test_scheduler_killed_right_after_an_evacuation(delay_ms):
    """Guards against a successor that does not know of the evacuation."""
    world = settled_world(runners=4)
    world.evacuate(ZONE)
    world.run(delay_ms)
    world.kill(scheduler_of(world))
    world.run(500)
    submit_until_due(world)


def test_acting_scheduler_knows_of_the_evacuation():
    """Guards against starts by a scheduler that takes over without the store."""
    world = settled_world(runners=4)
    world.evacuate(ZONE)
    world.run(50)
    world.store_down = True
    world.kill(scheduler_of(world))
    world.run(1_000)
    roles = [
        one.core.board.leadership.role for one in world.instances.values() if one.alive
    ]
    assert Role.ACTING in roles
    instances = [name for name, one in world.instances.items() if one.alive]
    for number in range(JOBS_UNTIL_DUE):
        submit_lookup(world, 100 + number, instances[number % len(instances)])
        world.run(60)


def test_scheduler_without_the_store_is_told_by_its_followers():
    """Guards against starts by a scheduler that the store alone does not reach."""
    world = settled_world(runners=4)
    scheduler = scheduler_of(world)
    cut_from_store(world, [scheduler])
    world.run(100)
    world.evacuate(ZONE)
    jobs = submit_until_due(world)
    assert scheduler_of(world) == scheduler
    assert all(is_completed(job) for job in jobs)


def test_new_scheduler_is_told_by_an_instance_that_begins_to_follow_it():
    """Guards against an acting scheduler that the request never reached."""
    world = settled_world(runners=4)
    informed = follower_names(world)[-1]
    cut_from_store(world, set(world.instances) - {informed})
    world.run(100)
    world.evacuate(ZONE)
    world.run(100)
    world.store_down = True
    world.kill(scheduler_of(world))
    world.run(1_500)
    acting = [
        one
        for one in world.instances.values()
        if one.alive and one.core.board.leadership.role is Role.ACTING
    ]
    assert acting
    assert informed not in [one.name for one in acting]
    for one in acting:
        assert one.core.board.pool.evacuated_zones == {ZONE}


def test_evacuation_is_found_after_the_store_has_dropped_its_history():
    """Guards against a request that is written while no watch is open."""
    world = settled_world(runners=4)
    cut_from_store(world, world.instances)
    world.run(2_500)
    world.evacuate(ZONE)
    world.store.forget_history()
    world.run(1_000)
    world.cut = lambda one, other: False
    submit_until_due(world)


@pytest.mark.parametrize("evacuated_last", [True, False])
def test_last_of_several_requests_within_one_watch_applies(evacuated_last):
    """Guards against a request that is undone by an earlier one of the same reply."""
    world = settled_world(runners=4)
    key = world.documents.evacuations_prefix + ZONE
    world.store.put(key, b"{}")
    world.store.delete(key)
    if evacuated_last:
        world.evacuate(ZONE)
    else:
        world.store.put(key, b"{}")
        world.store.delete(key)
        world._notify_watches()
    world.run(100)
    board = world.instances[scheduler_of(world)].core.board
    assert board.evacuations.zones == ({ZONE} if evacuated_last else set())
    assert board.pool.evacuated_zones == board.evacuations.zones


def test_request_removed_while_the_store_was_away_no_longer_applies():
    """Guards against a zone that stays evacuated as its removal was missed."""
    world = settled_world(runners=4)
    world.evacuate(ZONE)
    world.run(100)
    cut_from_store(world, world.instances)
    world.run(2_500)
    world.give_back(ZONE)
    world.store.forget_history()
    world.cut = lambda one, other: False
    world.run(2_500)
    board = world.instances[scheduler_of(world)].core.board
    assert board.evacuations.zones == frozenset()


def test_two_zones_are_evacuated_at_once():
    """Guards against a request that replaces another one."""
    world = settled_world(runners=6)
    world.evacuate(ZONE)
    world.evacuate("west")
    jobs = submit_until_due(world)
    assert all(is_completed(job) for job in jobs)
    assert not runs_in(world, ZONE)
    assert not runs_in(world, "west")


def test_jobs_of_a_service_without_other_runners_are_rejected_at_once():
    """Guards against jobs that wait for runners that may take nothing."""
    world = settled_world(runners=4)
    for zone in ZONES:
        world.evacuate(zone)
    world.run(100)
    job = submit_order(world, 1, follower_names(world)[0])
    world.run(100)
    assert job.answer.kind is AnswerKind.REFUSED
    assert job.waited_ms < 20


def test_jobs_that_wait_as_the_last_zone_is_evacuated_are_rejected():
    """Guards against jobs that wait for the end of their objective for nothing."""
    world = settled_world(runners=1)
    instance = follower_names(world)[0]
    for number in range(1, 7):
        submit_order(world, number, instance)
    world.run(20)
    waiting = submit_lookup(world, 50, instance)
    world.run(10)
    assert waiting.answer is None
    for zone in ZONES:
        world.evacuate(zone)
    world.run(40)
    assert waiting.answer.kind is AnswerKind.REFUSED


def test_starts_that_runners_carry_out_late_keep_the_bound():
    """Guards against starts that were under way as the request came."""
    world = settled_world(runners=4, seed=5)
    world.late_orders = 0.1
    submit_in_sequence(world, 10, gap_ms=20)
    world.evacuate(ZONE)
    submit_until_due(world)


@pytest.mark.parametrize(("revision", "applies"), [(1, False), (1_000_000, True)])
def test_only_newer_reports_of_other_instances_apply(revision, applies):
    """Guards against a zone that a delayed report evacuates or gives back again."""
    world = settled_world(runners=4)
    world.evacuate(ZONE)
    world.give_back(ZONE)
    world.run(100)
    scheduler = world.instances[scheduler_of(world)]
    report = EvacuationReport((ZoneEvacuation(ZONE, revision, True),))
    world.tell(scheduler, MessageReceived(STREAM_ID, report))
    assert (ZONE in scheduler.core.board.evacuations.zones) is applies
