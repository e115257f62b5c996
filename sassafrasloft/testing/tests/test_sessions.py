"""Tests of the session logs against the golden files.

They guard against unintended changes of behaviour, and against decisions that
depend on the order of sets or on the process. `make golden` rewrites the files.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest

import sassafrasloft
from sassafrasloft.testing.session_log import format_ranges
from sassafrasloft.testing.sessions import GOLDEN_DIRECTORY, run_session, sessions

MAX_GOLDEN_LINES = 210
"""Longer files are not reviewed when they change."""


@pytest.mark.parametrize("name", sessions())
def test_session_matches_its_golden_file(name):
    recorded = sessions()[name].path.read_text("utf-8")
    assert run_session(name).splitlines() == recorded.splitlines()
    assert len(recorded.splitlines()) <= MAX_GOLDEN_LINES


def test_each_golden_file_has_a_session():
    assert {path.stem for path in GOLDEN_DIRECTORY.glob("*.golden")} == set(sessions())


@pytest.mark.parametrize("hash_seed", ["1", "77"])
def test_session_does_not_depend_on_the_hash_seed(hash_seed):
    script = (
        "import sys; from sassafrasloft.testing.sessions import run_session; "
        "sys.stdout.write(run_session('instance_crash'))"
    )
    root = Path(sassafrasloft.__file__).parents[1]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(root)}
    output = subprocess.run(
        [sys.executable, "-c", script],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    ).stdout
    assert output == sessions()["instance_crash"].path.read_text("utf-8")


def test_format_ranges_joins_consecutive_indexes():
    assert format_ranges([5, 0, 2, 1]) == "0-2,5"
