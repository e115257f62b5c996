"""Tests of the clocks."""

import pytest

from sassafrasloft.clock import ManualClock, SystemClock


def test_manual_clock_refuses_negative_duration():
    """Guards against a test that moves time backwards by mistake."""
    clock = ManualClock(5)
    assert clock.advance(3) == 8
    with pytest.raises(ValueError, match="0 or more"):
        clock.advance(-1)


def test_system_clock_is_monotonic():
    clock = SystemClock()
    assert clock.now() <= clock.now()
