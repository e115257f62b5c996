"""How the share of new jobs follows the lateness of a scheduler's beats."""

from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.leadership.intake import LEAST_SHARE, IntakeControl

TUNING = Tuning()


LOAD = 200.0
"""Tasks a second."""


def beats(control, lateness, start=0, borne=0.0):
    now = start
    for late in lateness:
        now += TUNING.beat_ms + late
        control.note_beat(late, LOAD, borne, now, TUNING)
    return now


def test_a_single_late_beat_limits_nothing():
    """Guards against refusals because a machine stood still for a moment."""
    control = IntakeControl()
    beats(control, [0, 60, 0, 0, 100, 0, 150, 0])
    assert control.share == 1.0


def test_lasting_lateness_lowers_the_share_and_its_end_raises_it():
    """Guards against a limit that stays after the overload."""
    control = IntakeControl()
    now = beats(control, [80, 90, 100, 110])
    lowered = control.share
    assert lowered < 0.8
    beats(control, [0] * 60, now)
    assert control.share == 1.0


def test_a_share_is_not_lowered_again_before_the_effect_can_show():
    """Guards against a share that falls to nothing while old work is handled."""
    control = IntakeControl()
    now = beats(control, [200, 200])
    once = control.share
    for step in range(1, 5):
        control.note_beat(200, LOAD, 0.0, now + step * TUNING.beat_ms, TUNING)
        assert control.share == once


def test_some_jobs_are_always_let_in():
    """Guards against a scheduler that is cut off from all work for good."""
    control = IntakeControl()
    beats(control, [500] * 200)
    assert control.share == LEAST_SHARE


def test_a_very_late_beat_limits_until_the_next_one_is_in_time():
    """Guards against a far overload whose second beat comes a second later."""
    control = IntakeControl()
    now = beats(control, [250])
    assert control.share < 0.5
    beats(control, [0], now)
    assert control.share == 1.0


def test_a_backlog_that_grows_fast_is_cut_at_once():
    """Guards against steps that are too small for a load of several times."""
    control = IntakeControl()
    beats(control, [50, 50 + 4 * (TUNING.beat_ms + 50)])
    assert control.share <= 0.2


def test_the_share_rises_fast_up_to_a_load_that_was_borne():
    """Guards against refusals for seconds after an overload."""
    slow, fast = IntakeControl(), IntakeControl()
    for control, borne in ((slow, 0.0), (fast, LOAD)):
        control.begin(0.1)
        beats(control, [0] * 10, borne=borne)
    assert slow.share < 0.2
    assert fast.share > 0.8
