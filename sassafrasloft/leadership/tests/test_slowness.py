"""Tests of how a scheduler classifies delayed heartbeats and load."""

from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.leadership.load_monitor import MIN_HANDOVER_BACKOFF_MS, LoadMonitor

TUNING = Tuning()


class HeartbeatFeed:
    """Feeds a load monitor with heartbeats of a given load, in tasks per heartbeat."""

    def __init__(self):
        self.monitor = LoadMonitor()
        self.now = 0
        self.monitor.begin(MIN_HANDOVER_BACKOFF_MS, 0.0, self.now)

    def run(self, count, tasks, heartbeat_delay_ms=0, share=1.0):
        for _ in range(count):
            self.now += TUNING.beat_ms + heartbeat_delay_ms
            self.monitor.record_heartbeat(
                heartbeat_delay_ms, TUNING.beat_ms + heartbeat_delay_ms, TUNING
            )
            self.monitor.record_load(tasks, share, self.now, TUNING, heartbeat_delay_ms)
        return self.monitor


def test_a_load_sustained_before_is_no_overload():
    """Guards against leadership that stays on a machine that has become slow."""
    feed = HeartbeatFeed()
    feed.run(40, tasks=20)
    monitor = feed.run(20, tasks=20 * 3, heartbeat_delay_ms=100)
    assert monitor.is_under_pressure(TUNING)
    assert not monitor.is_overloaded(feed.now)


def test_a_load_never_sustained_is_an_overload_until_its_work_is_done():
    """Guards against a leadership handover that would not help."""
    feed = HeartbeatFeed()
    feed.run(40, tasks=20)
    assert feed.run(20, tasks=40 * 3, heartbeat_delay_ms=100).is_overloaded(feed.now)
    assert feed.run(10, tasks=20, share=0.5).is_overloaded(feed.now)


def test_a_limited_intake_means_pressure():
    """Guards against a slow machine whose intake limit keeps its heartbeats on time."""
    feed = HeartbeatFeed()
    feed.run(40, tasks=20)
    monitor = feed.run(20, tasks=20, share=0.4)
    assert not monitor.is_slow(TUNING)
    assert monitor.is_under_pressure(TUNING)


def test_each_handover_for_slowness_doubles_the_backoff():
    """Guards against leadership that changes repeatedly without improvement."""
    feed = HeartbeatFeed()
    feed.run(60, tasks=20, heartbeat_delay_ms=100)
    assert feed.monitor.may_hand_over(feed.now)
    for factor in (2, 4, 8):
        feed.monitor.record_handover(feed.now)
        assert feed.monitor.handover_backoff_ms == factor * MIN_HANDOVER_BACKOFF_MS
        assert not feed.monitor.may_hand_over(
            feed.now + factor * MIN_HANDOVER_BACKOFF_MS
        )
        assert feed.monitor.may_hand_over(
            feed.now + factor * MIN_HANDOVER_BACKOFF_MS + 1
        )


def test_the_backoff_is_reset_after_a_time_without_pressure():
    """Guards against leadership that stays on a slow machine for an old overload."""
    feed = HeartbeatFeed()
    feed.monitor.begin(4 * MIN_HANDOVER_BACKOFF_MS, 0.0, 0)
    feed.run(200, tasks=20)
    assert feed.monitor.handover_backoff_ms == MIN_HANDOVER_BACKOFF_MS
