"""Tests of reading and checking the file of tunables."""

import pytest
from returns.result import Failure, Success

from sassafrasloft.instance.tuning import Tuning
from sassafrasloft.instance.tuning_file import (
    MAX_BYTES,
    load_tuning,
    read_tuning,
    registered_checks,
)


def test_omitted_tunables_have_their_defaults(tmp_path):
    path = tmp_path / "tuning.yaml"
    path.write_text("beat_ms: 40\noverdue_factor: 3\n")
    tuning = load_tuning(path).unwrap()
    assert tuning == Tuning(beat_ms=40, overdue_factor=3)


def test_empty_file_gives_the_defaults(tmp_path):
    path = tmp_path / "tuning.yaml"
    path.write_text("# nothing differs\n")
    assert load_tuning(path) == Success(Tuning())


def test_defaults_pass_all_checks():
    assert read_tuning({}) == Success(Tuning())


def test_all_problems_are_reported_at_once():
    """Guards against operators who find only one error of a file at each start."""
    wrong = {"beat_ms": "50", "silence_ms": -1, "lease": 3, "wait_share": True}
    problems = read_tuning(wrong).failure()
    assert [one.subject for one in problems] == list(wrong)
    assert all(one.remedy for one in problems)


@pytest.mark.parametrize(
    ("values", "field"),
    [
        ({"beat_ms": 100}, "silence_ms"),
        ({"renewal_ms": 500}, "lease_ms"),
        ({"stop_retry_ms": 500}, "stop_retry_ms"),
        ({"right_renewal_ms": 1_100}, "right_lease_ms"),
        ({"store_transfer_ms": 300}, "store_transfer_ms"),
        ({"pause_ms": 250}, "pause_ms"),
        ({"longest_quarantine_ms": 500}, "longest_quarantine_ms"),
        ({"longest_stop_ms": 2_800}, "longest_stop_ms"),
    ],
)
def test_inconsistent_values_are_refused(values, field):
    assert [one.subject for one in read_tuning(values).failure()] == [field]


def test_each_registered_check_is_tested():
    assert len(registered_checks()) == 8


@pytest.mark.parametrize("text", ["[1]", "a: [", "beat_ms", "x" * (MAX_BYTES + 1)])
def test_malformed_files_are_refused(text, tmp_path):
    path = tmp_path / "tuning.yaml"
    path.write_text(text)
    assert isinstance(load_tuning(path), Failure)


def test_missing_file_is_an_error(tmp_path):
    """Guards against a misspelt path that silently leaves the defaults in force."""
    assert isinstance(load_tuning(tmp_path / "none.yaml"), Failure)
