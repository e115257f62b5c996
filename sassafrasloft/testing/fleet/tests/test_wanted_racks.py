"""Jobs whose data is in one rack: elsewhere their tasks take three times as long."""

import attrs

from sassafrasloft.gateway import AnswerKind
from sassafrasloft.runs.health import current_slowness
from sassafrasloft.testing.fleet.tests.situations import (
    LOOKUP,
    ORDER,
    follower_names,
    is_completed,
    on_time,
    scheduler_of,
    settled_world,
    submit_in_sequence,
    submit_lookup,
)
from sassafrasloft.testing.fleet.world import simple_job

RACK_SIZE = 4
WANTED = "rack-0"


def world_of_racks(**options):
    """Return a world of six racks of four runners each."""
    world = settled_world(runners=8, **options)
    for number, runner in enumerate(list(world.runners.values())):
        rack = f"rack-{number // RACK_SIZE}"
        runner.entry = attrs.evolve(runner.entry, labels=("kind-a", rack))
        world.register(runner.entry)
    world.run(1_200)
    return world


def submit_near(world, number, instance):
    """Hand in a lookup of four tasks whose data is in the wanted rack."""
    job = simple_job(number, 4, 14_000, 60)
    step = attrs.evolve(job.steps[0], preferred_rack=WANTED)
    return world.submit(attrs.evolve(job, steps=(step,)), LOOKUP, instance)


def test_jobs_of_a_rack_with_room_run_there():
    """Guards against tasks that take three times as long without need."""
    world = world_of_racks()
    jobs = submit_in_sequence(world, 40, gap_ms=60, submit=submit_near)
    world.run(500)
    assert on_time(jobs) == 40


def test_tasks_away_from_their_data_do_not_make_runners_look_slow():
    """Guards against sound runners that are taken for slow and used last."""
    world = world_of_racks()
    submit_in_sequence(world, 60, gap_ms=15, submit=submit_near)
    world.run(500)
    pool = world.instances[scheduler_of(world)].core.board.pool
    slow = [
        view.runner_id
        for view in pool.runners.values()
        if current_slowness(view, world.now) > 1.5
    ]
    assert slow == []


def test_tasks_away_from_their_data_do_not_lengthen_the_estimates_of_a_route():
    """Guards against jobs that are refused since all are expected to take longer."""
    world = world_of_racks()
    submit_in_sequence(world, 60, gap_ms=15, submit=submit_near)
    world.run(500)
    estimates = world.instances[scheduler_of(world)].core.board.estimates
    assert 55 <= estimates.expected_ms("lookup", 60) <= 75


def test_a_short_wait_for_the_wanted_rack_comes_before_a_late_run_elsewhere():
    """Guards against lookups that are late for certain while the rack has room soon.

    Elsewhere a lookup takes 180 ms and is late; in its rack room comes within 60.
    """
    world = world_of_racks()
    jobs = submit_in_sequence(world, 60, gap_ms=30, submit=submit_near)
    world.run(500)
    assert on_time(jobs) >= 54
    assert all(job.answer.kind is not AnswerKind.FAILED for job in jobs)


def test_a_rack_without_runners_keeps_no_job_waiting():
    """Guards against jobs that are refused since the rack they want is gone."""
    world = world_of_racks()
    gone = [one for one, runner in world.runners.items() if runner.entry.is_in(WANTED)]
    world.cut = lambda one, other: one in gone or other in gone
    world.run(1_500)
    jobs = submit_in_sequence(world, 40, gap_ms=60, submit=submit_near)
    world.run(500)
    assert all(is_completed(job) for job in jobs)
    assert max(job.waited_ms for job in jobs) <= 200


def test_an_order_goes_elsewhere_rather_than_be_refused():
    """Guards against orders that are refused for their rack while others have room.

    Twelve orders of two tasks want a rack with room for four.
    """
    world = world_of_racks()
    names = follower_names(world)
    orders = []
    for number in range(12):
        job = simple_job(500 + number, 2, 14_000, 900)
        step = attrs.evolve(job.steps[0], preferred_rack=WANTED)
        job = attrs.evolve(job, steps=(step,))
        name = names[number % len(names)]
        orders.append(world.submit(job, ORDER, name, deadline_ms=6_000))
        world.run(5)
    world.run(4_500)
    assert all(is_completed(job) for job in orders)


def test_other_jobs_are_in_time_beside_a_rack_that_many_want():
    """Guards against a burst for one rack that keeps the room of all others."""
    world = world_of_racks()
    names = follower_names(world)
    wanted, plain = [], []
    for number in range(60):
        name = names[number % len(names)]
        wanted.append(submit_near(world, 1_000 + number, name))
        plain.append(submit_lookup(world, 1 + number, name))
        world.run(15)
    world.run(1_000)
    assert on_time(plain) >= 57
    assert all(job.answers for job in wanted)
