"""Reads of the list of runners, by the scheduler and by all other instances."""

from collections import Counter

from sassafrasloft.instance.commands import CallStore
from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.metadata import ListItems
from sassafrasloft.testing.fleet.tests.situations import (
    observe_commands,
    scheduler_of,
    settled_world,
)


def test_unchanged_entries_are_not_read_again():
    """Guards against parsing the entries of all runners each second.

    The loop stood still meanwhile, so that heartbeats were late.
    """
    world = settled_world(runners=5)
    reads = Counter()
    read_runner = world.documents.read_runner

    def counted(key, value):
        reads[key] += 1
        return read_runner(key, value)

    world.documents.read_runner = counted
    world.run(10_000)
    assert not reads
    runner = next(iter(world.runners.values()))
    world.register(runner.entry)
    world.run(10_000)
    assert set(reads.values()) == {len(world.instances)}


def test_lists_of_all_instances_are_bounded():
    """Guards against lists that take the store's bandwidth from the scheduler.

    300 instances that read 3,000 entries every 3 s took two thirds of it.
    """
    zones = {"north": 6, "south": 6, "west": 6}
    # Short periods make up for the smaller numbers of this fleet.
    world = settled_world(zones, 100, tuning=Tuning(standby_list_ms=60))
    scheduler = world.instances[scheduler_of(world)]
    lists = Counter()

    def record(command, now):
        if isinstance(command, CallStore) and isinstance(command.operation, ListItems):
            lists[command.operation.may_be_stale] += 1

    observe_commands(world, record)
    seconds = 2
    world.run(seconds * 1_000)
    entries_per_s = lists[True] * len(scheduler.core.board.pool.entries) / seconds
    assert lists[False] >= seconds - 1
    # The first lists are read before the number of runners is known.
    assert entries_per_s <= 1.5 * 30_000
