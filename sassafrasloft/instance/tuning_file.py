"""Reads an instance's tunables from a YAML file and reports all problems at once."""

from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import yaml
from returns.result import Failure, Result, Success

from sassafrasloft.errors import MalformedInput
from sassafrasloft.instance.tuning import Tuning

MAX_BYTES = 100_000
"""Limit of the file size; a file with all tunables is smaller than 5,000."""
Check = Callable[[Tuning], bool]


@attrs.frozen
class TuningCheck:
    """A check across several tunables.

    Its error names one of them, `field`, and the remedy.
    """

    field: str
    remedy: str
    holds: Check


_CHECKS: list[TuningCheck] = []


def tuning_check(field: str, remedy: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check across tunables.

    Parameters
    ----------
    field : str
        The tunable that the error names.
    remedy : str
    """

    def enter(check: Check) -> Check:
        _CHECKS.append(TuningCheck(field, remedy, check))
        return check

    return enter


def registered_checks() -> tuple[TuningCheck, ...]:
    """Return all checks, in order of registration."""
    return tuple(_CHECKS)


@tuning_check("silence_ms", "At least three times beat_ms.")
def _beats_fit_into_silence(tuning: Tuning) -> bool:
    return tuning.silence_ms >= 3 * tuning.beat_ms


@tuning_check("lease_ms", "At least twice renewal_ms plus hold_slack_ms.")
def _renewals_fit_into_lease(tuning: Tuning) -> bool:
    return tuning.lease_ms >= 2 * tuning.renewal_ms + tuning.hold_slack_ms


@tuning_check("stop_retry_ms", "At most half of lease_ms.")
def _stops_are_repeated_within_lease(tuning: Tuning) -> bool:
    return 2 * tuning.stop_retry_ms <= tuning.lease_ms


@tuning_check("right_lease_ms", "At least twice right_renewal_ms.")
def _renewals_fit_into_right(tuning: Tuning) -> bool:
    return tuning.right_lease_ms >= 2 * tuning.right_renewal_ms


@tuning_check("store_transfer_ms", "At least store_timeout_ms.")
def _transfer_outlasts_a_pause(tuning: Tuning) -> bool:
    return tuning.store_transfer_ms >= tuning.store_timeout_ms


@tuning_check("pause_ms", "Above silence_ms: a pause is longer than a silence.")
def _pause_is_longer_than_silence(tuning: Tuning) -> bool:
    return tuning.pause_ms > tuning.silence_ms


@tuning_check("longest_quarantine_ms", "At least first_quarantine_ms.")
def _quarantines_grow(tuning: Tuning) -> bool:
    return tuning.longest_quarantine_ms >= tuning.first_quarantine_ms


@tuning_check(
    "longest_stop_ms", "Above ready_before_exit_ms plus closed_before_exit_ms."
)
def _stop_leaves_time_for_requests(tuning: Tuning) -> bool:
    before = tuning.ready_before_exit_ms + tuning.closed_before_exit_ms
    return tuning.longest_stop_ms > before


def load_tuning(path: Path) -> Result[Tuning, list[MalformedInput]]:
    """Return the tunables of a file, or all of its problems.

    Tunables that the file omits have their defaults.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return Failure([MalformedInput(str(path), str(error))])
    if len(data) > MAX_BYTES:
        found = f"{len(data)} bytes"
        return Failure([MalformedInput(str(path), found, f"At most {MAX_BYTES}.")])
    try:
        document = yaml.safe_load(data)
    except yaml.YAMLError as error:
        return Failure([MalformedInput(str(path), str(error))])
    return read_tuning({} if document is None else document)


def read_tuning(document: object) -> Result[Tuning, list[MalformedInput]]:
    """Return the tunables of a document, or all of its problems."""
    if not isinstance(document, dict):
        return Failure(
            [MalformedInput("tuning", repr(document), "A mapping of names to values.")]
        )
    problems = list(_wrong_values(document))
    if problems:
        return Failure(problems)
    tuning = Tuning(**document)
    problems = [
        MalformedInput(one.field, repr(getattr(tuning, one.field)), one.remedy)
        for one in _CHECKS
        if not one.holds(tuning)
    ]
    return Failure(problems) if problems else Success(tuning)


def _wrong_values(document: dict) -> Iterator[MalformedInput]:
    kinds = {field.name: field.type for field in attrs.fields(Tuning)}
    for name, value in document.items():
        if name not in kinds:
            yield MalformedInput(str(name), repr(value), "docs/settings.md names all.")
        elif kinds[name] is float:
            if type(value) not in (int, float) or value <= 0:
                yield MalformedInput(name, repr(value), "A number above 0.")
        elif type(value) is not int or value <= 0:
            yield MalformedInput(name, repr(value), "A whole number above 0.")
