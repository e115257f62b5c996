"""Tests of the timer thread and the worker pool."""

import threading
from queue import SimpleQueue

from sassafrasloft.clock import SystemClock
from sassafrasloft.entry.tests.helpers import WAIT_S
from sassafrasloft.entry.timers import TimerThread
from sassafrasloft.entry.workers import WorkerPool


def test_a_replaced_timer_fires_once_at_its_new_time():
    """Guards against a timer that fires at its original time after a change."""
    fired: SimpleQueue[str] = SimpleQueue()
    clock = SystemClock()
    timers = TimerThread(clock, fired.put)
    timers.start()
    now = clock.now()
    timers.set("moved", now + 10)
    timers.set("moved", now + 60)
    timers.set("first", now + 30)
    assert [fired.get(timeout=WAIT_S) for _ in range(2)] == ["first", "moved"]
    assert clock.now() >= now + 60
    timers.set("never", clock.now() + 60_000)
    timers.stop()
    assert fired.empty()


def test_a_pool_limits_its_threads_and_survives_an_exception():
    """Guards against unbounded threads and a worker that an exception terminates."""
    done: SimpleQueue[str] = SimpleQueue()
    release, started = threading.Event(), threading.Semaphore(0)

    def work(name: str) -> None:
        started.release()
        release.wait(WAIT_S)
        done.put(name)
        raise ValueError("simulated failure of a call")

    pool = WorkerPool("test", 2)
    for number in range(5):
        pool.submit(work, f"call-{number}")
    for _ in range(2):
        assert started.acquire(timeout=WAIT_S)
    assert not started.acquire(blocking=False)
    release.set()
    assert {done.get(timeout=WAIT_S) for _ in range(5)} == {
        f"call-{number}" for number in range(5)
    }
    pool.stop()
