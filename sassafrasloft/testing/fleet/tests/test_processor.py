"""Model of the processor time of instances in a test fleet."""

from sassafrasloft.blackboard import TimerFired
from sassafrasloft.testing.fleet.processor import WorkCosts
from sassafrasloft.testing.fleet.tests.situations import scheduler_of, settled_world


def test_busy_instance_handles_events_in_order():
    """Guards against timers that overtake earlier events."""
    world = settled_world()
    world.costs = WorkCosts(event_ms=100.0)
    instance = world.instances[scheduler_of(world)]
    handled = []
    step = instance.core.step

    def record_step(event, now):
        handled.append((event, now))
        return step(event, now)

    instance.core.step = record_step
    first, second = TimerFired("first"), TimerFired("second")
    world.tell(instance, first)
    world.tell(instance, second)
    world.run(400)
    times = {event: at for event, at in handled if event in (first, second)}
    assert list(times) == [first, second]
    assert times[second] - times[first] >= 100


def test_faster_processor_is_busy_for_less_time():
    """Guards against a model that ignores the speed of processors."""
    world = settled_world(costs=WorkCosts(), cores={"north-0": 2.0, "north-1": 1.0})
    fast, slow = (world.instances[name].processor for name in ("north-0", "north-1"))
    before = fast.busy_ms, slow.busy_ms
    for name in ("north-0", "north-1"):
        for _ in range(50):
            world.tell(world.instances[name], TimerFired("unknown"))
    world.run(1)
    world.run(10)
    assert fast.busy_ms - before[0] < slow.busy_ms - before[1]
