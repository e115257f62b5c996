"""Tests that the intake share follows the heartbeat delay of the scheduler."""

from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.leadership.intake_limiter import MIN_INTAKE_SHARE, IntakeLimiter

TUNING = Tuning()


LOAD = 200.0
"""Tasks per second."""


def feed_heartbeats(limiter, delays, start=0, sustained_load=0.0):
    now = start
    for late in delays:
        now += TUNING.beat_ms + late
        limiter.record_heartbeat(late, LOAD, sustained_load, now, TUNING)
    return now


def test_a_single_delayed_heartbeat_does_not_limit_the_intake():
    """Guards against refused jobs after a short standstill of the machine."""
    limiter = IntakeLimiter()
    feed_heartbeats(limiter, [0, 60, 0, 0, 100, 0, 150, 0])
    assert limiter.share == 1.0


def test_share_falls_with_sustained_delay_and_recovers_afterwards():
    """Guards against an intake limit that remains after the overload."""
    limiter = IntakeLimiter()
    now = feed_heartbeats(limiter, [80, 90, 100, 110])
    lowered = limiter.share
    assert lowered < 0.8
    feed_heartbeats(limiter, [0] * 60, now)
    assert limiter.share == 1.0


def test_share_is_not_lowered_again_before_the_effect_shows():
    """Guards against a share that drops to the minimum while old work is handled."""
    limiter = IntakeLimiter()
    now = feed_heartbeats(limiter, [200, 200])
    once = limiter.share
    for step in range(1, 5):
        limiter.record_heartbeat(200, LOAD, 0.0, now + step * TUNING.beat_ms, TUNING)
        assert limiter.share == once


def test_share_never_falls_below_the_minimum():
    """Guards against a scheduler that gets no work any more."""
    limiter = IntakeLimiter()
    feed_heartbeats(limiter, [500] * 200)
    assert limiter.share == MIN_INTAKE_SHARE


def test_very_late_heartbeat_limits_the_intake_until_the_next_one_on_time():
    """Guards against a late reaction to a severe overload.

    In a severe overload the second heartbeat comes only a second later.
    """
    limiter = IntakeLimiter()
    now = feed_heartbeats(limiter, [250])
    assert limiter.share < 0.5
    feed_heartbeats(limiter, [0], now)
    assert limiter.share == 1.0


def test_fast_growing_backlog_lowers_the_share_in_one_step():
    """Guards against steps that are too small for a multiple of the usual load."""
    limiter = IntakeLimiter()
    feed_heartbeats(limiter, [50, 50 + 4 * (TUNING.beat_ms + 50)])
    assert limiter.share <= 0.2


def test_share_rises_fast_up_to_a_sustained_load():
    """Guards against jobs that are refused for seconds after an overload."""
    slow, fast = IntakeLimiter(), IntakeLimiter()
    for limiter, sustained_load in ((slow, 0.0), (fast, LOAD)):
        limiter.begin(0.1)
        feed_heartbeats(limiter, [0] * 10, sustained_load=sustained_load)
    assert slow.share < 0.2
    assert fast.share > 0.8
