"""Tests of publishing edited settings by compare-and-swap."""

import attrs
import yaml
from returns.result import Success

from sassafrasloft.configuration.document_changes import changed_keys
from sassafrasloft.configuration.publish import Edit, PublishOutcome, publish
from sassafrasloft.errors import (
    ConfigurationConflict,
    MalformedInput,
    PlatformUnavailable,
)
from sassafrasloft.messages import (
    KeyValue,
    ReadKey,
    Unavailable,
    WriteConflict,
    WriteKey,
    Written,
)

KEY = "sassafrasloft/markhost/settings"
LOST_REPLY = "lost"
REFUSED_WRITE = "refused"
DELAYED_WRITE = "late"


def document(revision, edit_id, recent=(), author="ann", **settings) -> str:
    return yaml.safe_dump(
        {
            "revision": revision,
            "edit_id": edit_id,
            "recent_edit_ids": list(recent),
            "author": author,
            "settings": settings,
        }
    )


class Store:
    """One key with compare-and-swap, and the faults of its calls.

    `write_faults` holds the fault of each write, `read_successes` whether each read
    succeeds.
    """

    def __init__(
        self, value="", revision=0, write_faults=(), read_successes=()
    ) -> None:
        self.value = value
        self.revision = revision
        self.write_faults = list(write_faults)
        self.read_successes = list(read_successes)
        self.writes = 0
        self.delayed_writes: list[WriteKey] = []

    def __call__(self, call):
        if isinstance(call, ReadKey):
            if self.read_successes and not self.read_successes.pop(0):
                return Unavailable("outage")
            return KeyValue(KEY, self.value, self.revision)
        self.writes += 1
        fault = self.write_faults.pop(0) if self.write_faults else ""
        if fault == REFUSED_WRITE:
            return Unavailable("429")
        if fault == DELAYED_WRITE:
            self.delayed_writes.append(call)
            return Unavailable("timeout")
        for late in self.delayed_writes:
            self.apply(late)
        reply = self.apply(call)
        return Unavailable("timeout") if fault == LOST_REPLY else reply

    def apply(self, call):
        if call.expected_revision != self.revision:
            return WriteConflict(KEY, self.revision)
        self.value, self.revision = call.value, self.revision + 10
        return Written(KEY, self.revision)


def edit(base=0, edit_id="mine", base_text="", **settings) -> Edit:
    def render(revision, recent):
        return document(revision, edit_id, recent, "bob", **settings)

    return Edit(KEY, base, edit_id, render, base_text)


def test_revisions_increase_and_recent_edit_ids_are_bounded():
    """Guards against skipped revisions, lost edit ids and an unbounded id list."""
    store = Store()
    for number in range(50):
        result = publish(store, edit(number, f"e{number}"))
        assert result == Success(PublishOutcome(number + 1))
    recent = yaml.safe_load(store.value)["recent_edit_ids"]
    assert recent == [f"e{number}" for number in range(48, 16, -1)]


def test_revision_is_above_the_one_that_instances_have_in_force():
    """Guards against a revision that instances ignore after a restore."""
    store = Store(document(5, "old"), 3)
    above = attrs.evolve(edit(5), above_revision=7)
    assert publish(store, above) == Success(PublishOutcome(8))


def test_lost_reply_is_resolved_by_reading_back():
    """Guards against applying a write twice because its reply was lost."""
    store = Store(write_faults=[LOST_REPLY])
    assert publish(store, edit()) == Success(PublishOutcome(1, read_back=True))
    assert store.writes == 1


def test_edit_below_a_newer_edit_is_recognized():
    """Guards against a false conflict with an edit made on top of this one."""
    store = Store(document(4, "theirs", ["x", "mine"]), 90)
    result = publish(store, edit(1))
    assert result == Success(PublishOutcome(2, read_back=True, superseded=True))
    assert store.writes == 0


def test_delayed_write_is_not_applied_twice():
    """Guards against two revisions of one edit when a write was only delayed."""
    store = Store(document(1, "e1"), 10, write_faults=[DELAYED_WRITE])
    assert publish(store, edit(1)) == Success(PublishOutcome(2, read_back=True))
    assert store.revision == 20
    assert yaml.safe_load(store.value)["revision"] == 2


def test_unreadable_key_reports_an_unknown_outcome_with_remedy():
    """Guards against reporting failure for a write that may have taken effect."""
    store = Store(write_faults=[LOST_REPLY], read_successes=[True] + [False] * 5)
    error = publish(store, edit()).failure()
    assert isinstance(error, PlatformUnavailable)
    assert "may be in effect" in str(error) and "same edit id" in str(error)
    assert publish(store, edit()) == Success(PublishOutcome(1, read_back=True))


def test_outage_before_any_write_reports_that_nothing_was_written():
    """Guards against reporting an unknown outcome for an edit that was never sent."""
    waits = []
    error = publish(Store(read_successes=[False] * 5), edit(), waits.append).failure()
    assert "nothing was written" in str(error)
    assert waits == [1, 2, 3, 4]


def test_last_lost_write_is_also_read_back():
    """Guards against giving up after the last write without reading the key."""
    assert publish(Store(write_faults=[REFUSED_WRITE]), edit()) == Success(
        PublishOutcome(1)
    )
    store = Store(write_faults=[REFUSED_WRITE] * 4 + [LOST_REPLY])
    assert publish(store, edit()) == Success(PublishOutcome(1, read_back=True))
    error = publish(Store(write_faults=[REFUSED_WRITE] * 9), edit()).failure()
    assert "does not show the edit" in str(error)


def test_conflict_error_lists_the_changes_of_both_edits():
    """Guards against a conflict error that does not show what each side changed."""
    base = document(1, "e1", limits={"max_jobs": 5, "max_answers": 7})
    theirs = document(2, "e2", limits={"max_jobs": 6, "max_answers": 7})
    mine = edit(1, base_text=base, limits={"max_jobs": 9, "max_answers": 8})
    store = Store(theirs, 20)
    error = publish(store, mine).failure()
    assert isinstance(error, ConfigurationConflict)
    for part in (
        "revision 2 by ann (edit e2) changes limits.max_jobs;",
        "your edit mine of revision 1 changes limits.max_answers, limits.max_jobs;",
        "both change limits.max_jobs",
        "Read revision 2, repeat the edit on it and publish again",
    ):
        assert part in str(error)
    assert store.writes == 0


def test_concurrent_edit_between_read_and_write_is_a_conflict():
    """Guards against overwriting an edit that came between read and write."""
    store = Store(document(1, "e1"), 10)

    def call(request):
        if isinstance(request, WriteKey) and store.revision == 10:
            store.value, store.revision = document(2, "theirs"), 11
        return store(request)

    assert isinstance(publish(call, edit(1)).failure(), ConfigurationConflict)
    assert yaml.safe_load(store.value)["edit_id"] == "theirs"


def test_malformed_documents_are_rejected_and_not_written():
    """Guards against editing a malformed document and against writing one."""
    for text in ("[", "- 1", "revision: x", "revision: 1\nrecent_edit_ids: 4"):
        assert isinstance(publish(Store(text, 5), edit()).failure(), MalformedInput)
    store = Store()
    wrong = Edit(KEY, 0, "mine", lambda revision, recent: document(revision, "other"))
    for one in (wrong, edit(text="x" * 1_000_001)):
        assert isinstance(publish(store, one).failure(), MalformedInput)
    assert store.writes == 0


def test_changed_keys_identify_list_entries_by_name():
    """Guards against an added runner that counts as a change of all others."""
    before = yaml.safe_dump({"settings": {"runners": [{"name": "b", "slots": 8}]}})
    after = yaml.safe_dump(
        {
            "settings": {
                "runners": [{"name": "a", "slots": 8}, {"name": "b", "slots": 8}]
            },
            "overlays": {"ub-north": {"limits": {"max_jobs": 3}}},
        }
    )
    assert changed_keys(before, after) == (
        "runners.a.name",
        "runners.a.slots",
        "overlays.ub-north.limits.max_jobs",
    )
