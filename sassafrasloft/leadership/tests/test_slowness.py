"""What a scheduler makes of late beats and of the load."""

from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.leadership.slowness import SLOW_RETRY_MS, Slowness

TUNING = Tuning()


class Beats:
    """Feeds beats with a given load, in tasks a beat."""

    def __init__(self):
        self.slowness = Slowness()
        self.now = 0
        self.slowness.begin(SLOW_RETRY_MS, 0.0, self.now)

    def run(self, count, tasks, late_ms=0, share=1.0):
        for _ in range(count):
            self.now += TUNING.beat_ms + late_ms
            self.slowness.note_beat(late_ms, TUNING.beat_ms + late_ms, TUNING)
            self.slowness.note_load(tasks, share, self.now, TUNING, late_ms)
        return self.slowness


def test_a_load_that_was_borne_before_is_no_overload():
    """Guards against staying on a machine that has turned slow."""
    beats = Beats()
    beats.run(40, tasks=20)
    slowness = beats.run(20, tasks=20 * 3, late_ms=100)
    assert slowness.is_strained(TUNING)
    assert not slowness.is_overloaded(beats.now)


def test_a_load_that_was_never_borne_is_an_overload_until_its_work_is_done():
    """Guards against a change of the right that would help nothing."""
    beats = Beats()
    beats.run(40, tasks=20)
    assert beats.run(20, tasks=40 * 3, late_ms=100).is_overloaded(beats.now)
    assert beats.run(10, tasks=20, share=0.5).is_overloaded(beats.now)


def test_a_limited_intake_is_a_strain():
    """Guards against a slow machine whose limit keeps its beats in time."""
    beats = Beats()
    beats.run(40, tasks=20)
    slowness = beats.run(20, tasks=20, share=0.4)
    assert not slowness.is_slow(TUNING)
    assert slowness.is_strained(TUNING)


def test_each_change_for_slowness_doubles_the_pause_to_the_next():
    """Guards against a right that goes round while nothing gets better."""
    beats = Beats()
    beats.run(60, tasks=20, late_ms=100)
    assert beats.slowness.may_hand_over(beats.now)
    for factor in (2, 4, 8):
        beats.slowness.note_handed_over(beats.now)
        assert beats.slowness.pause_ms == factor * SLOW_RETRY_MS
        assert not beats.slowness.may_hand_over(beats.now + factor * SLOW_RETRY_MS)
        assert beats.slowness.may_hand_over(beats.now + factor * SLOW_RETRY_MS + 1)


def test_the_pause_is_short_again_after_a_time_without_strain():
    """Guards against staying on a slow machine for an overload of long ago."""
    beats = Beats()
    beats.slowness.begin(4 * SLOW_RETRY_MS, 0.0, 0)
    beats.run(200, tasks=20)
    assert beats.slowness.pause_ms == SLOW_RETRY_MS
