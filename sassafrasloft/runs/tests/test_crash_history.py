"""Where tasks may start after runners were lost under them."""

import pytest

from sassafrasloft.runs import CrashHistory, StartRule, TaskCrashes
from sassafrasloft.runs.crash_history import MAX_TASKS, RETENTION_MS


def history_after(crashes=(), losses=()):
    """Return the history of task ``a``; each entry has the other tasks of a runner."""
    history = CrashHistory()
    for number, others in enumerate(crashes):
        history.record_crash(f"crashed-{number}", {"a", *others}, 0)
    for number, others in enumerate(losses):
        for task in ("a", *others):
            history.record_loss(f"lost-{number}", 1, task, 0)
    return history


@pytest.mark.parametrize(
    ("crashes", "losses", "rule"),
    [
        ([], [], StartRule.ANYWHERE),
        ([], ["b"], StartRule.APART),
        (["b"], [], StartRule.APART),
        ([], ["b", "b"], StartRule.ALONE),
        (["b", "c"], [], StartRule.ALONE),
        (["b", ""], [], StartRule.NOWHERE),
        (["b", "b", "b"], [], StartRule.NOWHERE),
        (["b", "b"], ["b"], StartRule.WAIT),
        ([], ["b", "b", "b"], StartRule.WAIT),
    ],
)
def test_crashes_and_losses_restrict_where_a_task_starts(crashes, losses, rule):
    """Guards against a task that is given up for crashes that another may cause."""
    assert history_after(crashes, losses).rule_for("a") is rule


def test_runner_that_replies_again_counts_neither_as_crashed_nor_as_lost():
    """Guards against tasks that wait for runners that were only cut off."""
    history = history_after(losses=["b", "b", "b"])
    for number in range(3):
        history.record_reply(f"lost-{number}")
    assert history.rule_for("a") is StartRule.ANYWHERE
    assert not history.concerns("a")


def test_newer_process_of_a_runner_is_told_from_the_lost_one():
    """Guards against a crash that is taken for the end of a cut."""
    history = history_after(losses=["b"])
    assert not history.has_restarted("lost-0", 1)
    assert history.has_restarted("lost-0", 2)
    assert not history.has_restarted("another", 2)


def test_crash_after_its_runs_were_lost_counts_for_them_once():
    """Guards against a crash that counts twice, or not for tasks that moved on."""
    history = history_after(losses=["b"])
    counts = history.record_crash("lost-0", {"c"}, 1)
    assert counts == tuple(TaskCrashes(task, 1, False) for task in "abc")
    assert history.record_crash("lost-0", set(), 2) == ()


def test_counts_of_several_schedulers_are_merged():
    """Guards against a lower count of another scheduler that replaces a higher one."""
    history = history_after(crashes=["b", "b"])
    history.merge((TaskCrashes("a", 1, True),), 0)
    assert history.rule_for("a") is StartRule.NOWHERE


def test_history_is_bounded_and_expires():
    """Guards against a history that grows for good."""
    history = CrashHistory()
    for number in range(MAX_TASKS + 5):
        history.record_crash(f"runner-{number}", {f"task-{number}"}, 0)
        history.record_loss(f"lost-{number}", 1, "task", 0)
    assert len(history.counts) == MAX_TASKS
    assert history.concerns("task")
    history.forget_expired(RETENTION_MS + 1)
    assert history.counts == ()
    assert not history.concerns("task")
