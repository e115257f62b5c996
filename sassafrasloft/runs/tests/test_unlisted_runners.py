"""What instances remember of runners that the store does not list."""

from sassafrasloft.instance.message_codec import decode_message
from sassafrasloft.instance.messages import Heartbeat, RunnersOffer, Welcome
from sassafrasloft.runs import RunnerEntry
from sassafrasloft.runs.unlisted_runners import (
    MAX_REMEMBERED,
    UnlistedRunners,
    UnlistedRunnersReport,
)
from sassafrasloft.workload import Resources

NOW = 10_000


def entry(number):
    """Return the entry of a runner."""
    name = f"runner-{number}"
    return RunnerEntry(name, "desk", f"host-{number}", "north", False, Resources(1_000))


def remembering(count, revision=100):
    """Return what is known after some entries went missing at a revision."""
    unlisted = UnlistedRunners()
    unlisted.remember([entry(number) for number in range(count)], revision)
    return unlisted


def test_report_with_an_older_list_lets_nothing_be_forgotten():
    """Guards against trust in a scheduler that has not found the entry missing yet.

    It still uses the runner as a listed one, so that its report lacks it.
    """
    unlisted = remembering(1, revision=100)
    unlisted.apply_report((), 99, NOW)
    assert unlisted.remembered
    unlisted.apply_report(None, 100, NOW)
    assert not unlisted.remembered


def test_reported_runner_is_kept_until_it_is_no_longer_reported():
    """Guards against forgetting a runner that the scheduler goes on using."""
    unlisted = remembering(2)
    unlisted.apply_report((entry(0),), 101, NOW)
    unlisted.apply_report(None, 102, NOW)
    assert unlisted.remembered == (entry(0),)
    unlisted.apply_report((), 103, NOW)
    assert not unlisted.remembered


def test_report_without_a_revision_only_adds():
    """Guards against reports of acting schedulers, which know only their zone."""
    unlisted = remembering(1)
    unlisted.apply_report((entry(1),), 0, NOW)
    assert unlisted.remembered == (entry(0), entry(1))


def test_new_scheduler_is_given_time_to_learn_of_runners():
    """Guards against reports that were sent before the new scheduler got offers."""
    unlisted = remembering(1)
    unlisted.begin_following(NOW + 10)
    unlisted.apply_report((), 200, NOW + 9)
    assert unlisted.remembered
    unlisted.apply_report(None, 201, NOW + 10)
    assert not unlisted.remembered


def test_report_of_an_earlier_scheduler_does_not_keep_runners():
    """Guards against runners that are remembered for good after a takeover."""
    unlisted = UnlistedRunners()
    unlisted.apply_report((entry(0),), 100, NOW)
    unlisted.begin_following(NOW)
    unlisted.apply_report(None, 101, NOW)
    assert not unlisted.remembered


def test_remembered_entries_are_bounded():
    """Guards against memory that grows with each runner that was ever replaced."""
    unlisted = remembering(MAX_REMEMBERED + 5)
    assert len(unlisted.remembered) == MAX_REMEMBERED
    assert unlisted.remembered[0] == entry(5)


def test_followers_are_told_of_additions_at_once_and_of_removals_at_the_end():
    """Guards against reports on all runners each time that one run ends."""
    report = UnlistedRunnersReport()
    assert not report.update(())
    assert report.update((entry(0), entry(1)))
    assert not report.update((entry(1),))
    assert report.update((entry(1), entry(2)))
    assert report.update(())
    assert report.version == 3


def test_messages_of_earlier_releases_report_nothing():
    """Guards against followers that forget runners by an earlier release's beats."""
    beat = decode_message(["beat", None, 0, 1.0, 0, 0.0, 7])
    assert isinstance(beat, Heartbeat)
    assert (beat.runner_list_revision, beat.unlisted_runners) == (0, None)
    welcome = decode_message(["welcome", "a", 1_000_000, "", False])
    assert isinstance(welcome, Welcome)
    assert welcome.unlisted_runners == ()
    assert decode_message(["runners", []]) == RunnersOffer(())
