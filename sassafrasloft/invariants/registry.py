"""Names of the invariants."""

from enum import StrEnum


class Invariant(StrEnum):
    """Guarantees of the service; see section 1.1 of docs/design.md."""

    STARTS_AT_MOST_ONCE = "starts_at_most_once"
    ANSWERS_ARE_WHOLE = "answers_are_whole"
    ANSWER_REACHES_ITS_CALLER = "answer_reaches_its_caller"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    NON_IDEMPOTENT_RUNS_ONCE = "non_idempotent_runs_once"
    LEAVING_GETS_NO_WORK = "leaving_gets_no_work"
    PLANNED_STOP_CUTS_NOTHING = "planned_stop_cuts_nothing"
    CONFIGURATION_NEVER_REVERTS = "configuration_never_reverts"


class InstanceInvariant(StrEnum):
    """Guarantees of an instance whose runners are shared through one scheduler."""

    STARTS_AT_MOST_ONCE = "starts_at_most_once"
    """A task is started only while it waits, and never after it has completed."""
    ONE_RUN_AT_A_TIME = "one_run_at_a_time"
    ANSWERS_ARE_WHOLE = "answers_are_whole"
    ANSWER_REACHES_ITS_CALLER = "answer_reaches_its_caller"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    LEAVING_GETS_NO_WORK = "leaving_gets_no_work"
    PLANNED_STOP_CUTS_NOTHING = "planned_stop_cuts_nothing"
    CONFIGURATION_NEVER_REVERTS = "configuration_never_reverts"


def invariants() -> tuple[Invariant, ...]:
    """Return all invariants in a fixed order."""
    return tuple(Invariant)
