"""The processor time of instances in a test fleet."""

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.testing.fleet.processor import WorkCosts
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world


def test_events_wait_in_order_while_an_instance_is_busy():
    """Guards against timers that overtake the work before them."""
    world = settled_world()
    world.costs = WorkCosts(event_ms=100.0)
    instance = world.instances[scheduler_of(world)]
    handled = []
    step = instance.core.step

    def note(event, now):
        handled.append((event, now))
        return step(event, now)

    instance.core.step = note
    first, second = TimerFired("first"), TimerFired("second")
    world.tell(instance, first)
    world.tell(instance, second)
    world.run(400)
    times = {event: at for event, at in handled if event in (first, second)}
    assert list(times) == [first, second]
    assert times[second] - times[first] >= 100


def test_a_faster_processor_is_busy_for_less_time():
    """Guards against a model in which all instances are equally fast."""
    world = settled_world(costs=WorkCosts(), cores={"north-0": 2.0, "north-1": 1.0})
    fast, slow = (world.instances[name].processor for name in ("north-0", "north-1"))
    before = fast.busy_ms, slow.busy_ms
    for name in ("north-0", "north-1"):
        for _ in range(50):
            world.tell(world.instances[name], TimerFired("unknown"))
    world.run(1)
    world.run(10)
    assert fast.busy_ms - before[0] < slow.busy_ms - before[1]
